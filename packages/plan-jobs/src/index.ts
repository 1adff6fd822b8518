export { type PaceChange, planPaces } from "./plan-paces.js";
export { type PlanInput, planStarts } from "./plan-starts.js";
export { listUnwantedRuns } from "./plan-stops.js";
