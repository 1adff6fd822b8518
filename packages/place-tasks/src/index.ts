export type { PlacementDecision, Placer } from "./decision.js";
export { createPlacer } from "./placer.js";
