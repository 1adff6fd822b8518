export type { ControlParts } from "./context.js";
export { type ControlApi, startControl } from "./start-control.js";
