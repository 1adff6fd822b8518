export type { ControlParts } from "./context.js";
export type { PlacementDecision, Placer } from "./placer.js";
export { type ControlApi, startControl } from "./start-control.js";
