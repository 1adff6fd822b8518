export { computeLeaseEnd, estimateClock, maxClockDrift, recordClock, renewLease, type WorkerLease } from "./lease.js";
export {
    applyReport,
    createRunView,
    isStartTimedOut,
    type ReportOutcome,
    type RunView,
    type RunViews,
    type StartState,
    type WorkerReport,
} from "./run-views.js";
export {
    countAllowedStarts,
    createWorkerHealth,
    recordRunQuality,
    type RunQuality,
    type WorkerHealth,
} from "./worker-health.js";
