export type { PlacementDecision, Placer } from "./placement-decision.js";
export { createPlacer } from "./placer.js";
