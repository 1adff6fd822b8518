export {
    computeLeaseEndMs,
    estimateClockMs,
    isOfOtherStart,
    maxClockDrift,
    recordClock,
    renewLease,
    type WorkerLease,
} from "./lease.js";
export {
    applyReport,
    createRunStatus,
    isAtWork,
    isStartOpen,
    isStartTimedOut,
    type ReportOutcome,
    type RunReport,
    type RunStatus,
    type RunStatuses,
    type StartState,
} from "./run-statuses.js";
export {
    countStartsAfterRejection,
    createStartRejections,
    recordConfirmedStart,
    recordStartRejection,
    type StartRejections,
} from "./start-rejections.js";
export {
    addSuspectedRun,
    canShareTrial,
    countUnprovedRuns,
    findCrashSuspects,
    hasSharedTrial,
    hasTrial,
    isDeadly,
    isLikelyCause,
    needsTrial,
    sumSuspectedRuns,
    type SuspectedRuns,
} from "./worker-crashes.js";
export {
    countAllowedStarts,
    createWorkerHealth,
    recordRunQuality,
    type RunQuality,
    type WorkerHealth,
} from "./worker-health.js";
