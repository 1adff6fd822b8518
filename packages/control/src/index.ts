export type { ControlDependencies } from "./control-context.js";
export { type ControlApi, startControl } from "./start-control.js";
