export { describeWait } from "./describe-wait.js";
export { hasUnknownPairs, observeMargins, recordUsage } from "./observe-report.js";
export { listStalledRuns } from "./plan-moves.js";
export { type PaceChange, planPaces } from "./plan-paces.js";
export { listCandidates, type PlanInput, planStarts } from "./plan-starts.js";
export { listObsoleteRuns } from "./plan-stops.js";
export { listWaitingSteps, type WaitingStep } from "./waiting-steps.js";
export { findRack } from "./worker-candidate.js";
