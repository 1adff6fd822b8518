export { createFirstFitPlacer, createLeastLoadedPlacer } from "./placement/baselines.js";
export { loadPlacementTrace, placementTraceNames } from "./placement/load-trace.js";
export type { PlacementOutcome } from "./placement/outcome.js";
export { replayPlacementTrace } from "./placement/replay-trace.js";
export { parseTrace, type Trace, type TraceLine } from "./placement/trace.js";
export { type UserWeights, userWeights } from "./placement/user-weights.js";
