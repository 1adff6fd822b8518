export { createMemoryLog } from "./memory-log.js";
