import { createKindVariant, grownWholesaleLoad, type JobKind, type Load } from "./load.js";

const [check, rebuild, matching] = grownWholesaleLoad.kinds as readonly [JobKind, JobKind, JobKind];

/**
 * Load of the certification service (docs/contended-load.md) on a sixth of its workers: a quarter of its traffic on the
 * workers that are left of a quarter while one of three zones is evacuated. Bursts of the batch queue exceed what they can run,
 * and the sizes of its jobs vary widely.
 */
export const contendedRoomLoad: Load = {
    ...grownWholesaleLoad,
    workers: 41,
    milliCpu: 64_000,
    memoryMib: 250_000,
    workersPerRack: 8,
    kinds: [
        createKindVariant(check, {
            name: "urgent",
            jobsPerSecond: 2.07,
            milliCpu: { mean: 7_300, spread: 0.45, largest: 22_000 },
        }),
        createKindVariant(rebuild, {
            name: "batch",
            jobsPerSecond: 3.48,
            bursts: { factor: 2.6, lengthMs: 3_500, periodMs: 11_000 },
            initialJobs: 8,
            tasksPerStep: { mean: 20, spread: 0.9, largest: 160 },
            milliCpu: { mean: 7_000, spread: 0.3, largest: 14_000 },
        }),
        createKindVariant(matching, {
            name: "lasting",
            jobsPerSecond: 0.114,
            initialJobs: 18,
        }),
    ],
};
