export {
    estimateOldBytes,
    findQueue,
    formatJobKey,
    isJobOfRequest,
    isJobPath,
    isQueuePath,
    isSubmissionCancelled,
} from "./change-jobs.js";
export { canCompleteLate, canCopyRun, countFailures } from "./change-runs.js";
export { computeCrashOdds } from "./crash-history.js";
export { createJob } from "./create-job.js";
export { estimateJobBytes } from "./estimate-sizes.js";
export { findRack } from "./find-rack.js";
export { countDelayedSchedules, createDueOccurrences, listActiveJobs } from "./held-jobs.js";
export { createJobMachine, type JobMachine } from "./job-machine.js";
export {
    acceptsStarts,
    computeReservation,
    type CrashHistory,
    findReadyAtMs,
    findShownPhase,
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
export { canWorkerRun, countJobsToMove, formatQueueKey } from "./queue-services.js";
export { createRunKey, formatRunKey, formatStepKey, formatTaskKey, parseTaskKey } from "./run-keys.js";
