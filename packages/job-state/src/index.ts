export { findQueue, formatQueueKey } from "./change-jobs.js";
export { countFailures } from "./change-runs.js";
export { createJobMachine, type JobMachine } from "./job-machine.js";
export {
    computeReservation,
    isJobEnded,
    isStepReady,
    type JobModel,
    type JobOccurrence,
    type JobRecord,
    type JobStep,
    type JobTask,
    type PlacedRun,
    type WorkerRun,
    type WorkerState,
} from "./model.js";
export { formatRunKey, formatStepKey, formatTaskKey, parseTaskKey } from "./run-keys.js";
