export { describeWait } from "./describe-wait.js";
export { isLearning, observeReport, recordUses } from "./observe-report.js";
export { listStuckRuns } from "./plan-moves.js";
export { type PaceChange, planPaces } from "./plan-paces.js";
export { listRooms, type PlanInput, planStarts } from "./plan-starts.js";
export { listUnwantedRuns } from "./plan-stops.js";
export { listWaitingSteps, type WaitingStep } from "./waiting-steps.js";
export { findRack } from "./worker-room.js";
