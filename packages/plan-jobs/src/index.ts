export type { ContentionMemory } from "./contended-pools.js";
export { describeWait } from "./describe-wait.js";
export { findWaitReason } from "./find-wait-reason.js";
export { computeFreeLater } from "./hold-workers.js";
export { isNewLongRunning, listKeptWorkers, selectCandidates } from "./keep-workers.js";
export { listObsoleteRuns } from "./list-obsolete-runs.js";
export { listStalledRuns } from "./list-stalled-runs.js";
export { hasUncertainPairs, observeMargins, recordUsage } from "./observe-report.js";
export { describeObservedRun, getWorkerPlace, observeSpeeds } from "./observe-speeds.js";
export { listCandidates, type PlanInput, type StartRation } from "./plan-input.js";
export { createPlanMemory, type PlanMemory } from "./plan-memory.js";
export { type PaceChange, type PaceDetail, planPaces } from "./plan-paces.js";
export { planStarts, planUrgentStarts } from "./plan-starts.js";
export {
    computeChainMs,
    computeObjectiveMs,
    computeSize,
    lateFactor,
    type Lateness,
    predictLateness,
} from "./predict-lateness.js";
export { findUrgency, type Urgency } from "./queue-urgency.js";
export { isOutsideRack, type PlacementWaits } from "./rack-wants.js";
export { findObstacle } from "./rate-workers.js";
export { listStartable } from "./startable-tasks.js";
export { type StarvationSummary, takeStarvationSummary } from "./starved-steps.js";
export type { BlockedTrial, TrialObstacle } from "./trial-obstacles.js";
export { listWaitingSteps, sortWaitingSteps, type WaitingStep } from "./waiting-steps.js";
export {
    type CapacityReservation,
    hasCapacity,
    isEligible,
    reserveCapacity,
    type WorkerCandidate,
} from "./worker-candidate.js";
