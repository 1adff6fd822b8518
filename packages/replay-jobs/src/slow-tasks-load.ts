import { type JobKind, type Load, wholesaleLoad } from "./load.js";

const [check, forecast, watch] = wholesaleLoad.kinds as readonly [JobKind, JobKind, JobKind];
/** Three in a hundred runs take seven times as long as their siblings. */
const slowRuns = { share: 0.03, factor: 7 };

/**
 * Load of the meter readings: 245 workers, 3% of the runs slow by a factor of seven, and 30% of the urgent jobs with steps that
 * allow copies. The value counts the time of a job without slow runs.
 */
export const slowTasksLoad: Load = {
    ...wholesaleLoad,
    workers: 245,
    milliCpu: 64_000,
    memoryMib: 250_000,
    workersPerRack: 12,
    kinds: [
        {
            ...check,
            jobsPerSecond: 6.54,
            targetLatencyMs: 300,
            tasksPerStep: { mean: 10, spread: 0.8, largest: 60 },
            workMs: { mean: 850, spread: 0.5, largest: 2_100 },
            milliCpu: { mean: 8_100, spread: 0.45, largest: 24_000 },
            failureShare: 0.01,
            speculativeShare: 0.3,
            slowRuns,
        },
        {
            ...forecast,
            jobsPerSecond: 7.66,
            tasksPerStep: { mean: 20, spread: 0.6, largest: 80 },
            workMs: { mean: 2_300, spread: 0.5, largest: 5_800 },
            milliCpu: { mean: 7_000, spread: 0.3, largest: 14_000 },
            slowRuns,
        },
        {
            ...watch,
            jobsPerSecond: 0.401,
            initialJobs: 65,
            tasksPerStep: { mean: 14, spread: 0.4, largest: 28 },
            limitsTasksPerWorker: true,
        },
    ],
};

/** The same with all urgent jobs allowing copies, which shows their effect more clearly. */
export const speculativeLoad: Load = {
    ...slowTasksLoad,
    kinds: slowTasksLoad.kinds.map(kind => kind.name === "check" ? { ...kind, speculativeShare: 1 } : kind),
};

/** The same with urgent jobs that need all the processors for which no long-running task is placed. */
export const busySlowTasksLoad: Load = {
    ...speculativeLoad,
    kinds: speculativeLoad.kinds.map(kind =>
        kind.name === "check"
            ? { ...kind, jobsPerSecond: 60 }
            : kind.name === "forecast"
            ? { ...kind, jobsPerSecond: 15 }
            : kind
    ),
};
