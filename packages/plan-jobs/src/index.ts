export { isLearning, observeReport, recordUses } from "./observe-report.js";
export { listStuckRuns } from "./plan-moves.js";
export { type PaceChange, planPaces } from "./plan-paces.js";
export { type PlanInput, planStarts } from "./plan-starts.js";
export { listUnwantedRuns } from "./plan-stops.js";
