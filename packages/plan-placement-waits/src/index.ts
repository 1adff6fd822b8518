export { decidePlacementWait, type WaitDecision, type WaitLimit, type WaitOffer } from "./decide-placement-wait.js";
export { keptWorkersShare, longestKeptMs } from "./kept-racks.js";
export {
    createPlacementMemory,
    type EndedRun,
    type EndedWait,
    observeEndedRun,
    type PlacementMemory,
    takeEndedWaits,
    type WaitOutcome,
} from "./placement-memory.js";
export {
    type LaterStep,
    type PlacementPlan,
    planPlacementWaits,
    type StepPlacement,
    type StepWant,
    type WaitPassInput,
} from "./plan-placement-waits.js";
export type { RackWorker, TaskNeed } from "./rack-forecast.js";
export { estimateRunMs, predictRunEndMs, type RunReading, type RunTimeKey } from "./run-times.js";
