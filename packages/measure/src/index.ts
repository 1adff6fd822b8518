export { compareFanOut } from "./commands/compare-fan-out/index.js";
