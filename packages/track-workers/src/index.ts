export {
    clockRateDifference,
    computeLeaseEnd,
    estimateClock,
    recordClock,
    renewLease,
    type WorkerLease,
} from "./lease.js";
export {
    applyReport,
    createRunView,
    isStartGivenUp,
    type ReportOutcome,
    type RunView,
    type RunViews,
    type StartState,
    type WorkerReport,
} from "./run-views.js";
export {
    countAllowedStarts,
    createSoundness,
    recordRunQuality,
    type RunQuality,
    type WorkerSoundness,
} from "./worker-soundness.js";
