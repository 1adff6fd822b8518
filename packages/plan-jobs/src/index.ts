export type { ContentionMemory } from "./contended-pools.js";
export { describeWait } from "./describe-wait.js";
export { listObsoleteRuns } from "./list-obsolete-runs.js";
export { listStalledRuns } from "./list-stalled-runs.js";
export { hasUncertainPairs, observeMargins, recordUsage } from "./observe-report.js";
export { createPlanMemory, type PlanMemory } from "./plan-memory.js";
export { type PaceChange, planPaces } from "./plan-paces.js";
export { listCandidates, type PlanInput, planStarts } from "./plan-starts.js";
export {
    computeChainMs,
    computeObjectiveMs,
    computeSize,
    lateFactor,
    type Lateness,
    predictLateness,
} from "./predict-lateness.js";
export { listWaitingSteps, type WaitingStep } from "./waiting-steps.js";
export { findRack } from "./worker-candidate.js";
