export { findQueue, formatQueueKey, isJobOfRequest, isJobPath, isQueuePath } from "./change-jobs.js";
export { canCopyRun, countFailures } from "./change-runs.js";
export { createJobMachine, type JobMachine } from "./job-machine.js";
export {
    acceptsStarts,
    computeReservation,
    createJob,
    findReadyAtMs,
    isJobEnded,
    isStepReady,
    type JobOccurrence,
    type JobRecord,
    type JobState,
    type JobStep,
    type JobTask,
    type RecordedSpeed,
    type RunInProgress,
    type TaskCrashes,
    type WorkerRun,
    type WorkerState,
} from "./job-state.js";
export { formatRunKey, formatStepKey, formatTaskKey, parseTaskKey } from "./run-keys.js";
