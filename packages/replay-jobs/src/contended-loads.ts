import type { JobKind, Load } from "./load.js";
import { grownWholesaleLoad } from "./load.js";

const [urgent, batch, lasting] = grownWholesaleLoad.kinds as readonly [JobKind, JobKind, JobKind];

/** Share of the workers and jobs of the deployment that a replay has, so that it does not take minutes. */
const replayedShare = 0.2;

/** Load of the certification deployment: as many urgent and batch jobs as its processors can run. */
export const certificationLoad: Load = {
    ...grownWholesaleLoad,
    workers: 245 * replayedShare,
    milliCpu: 64_000,
    memoryMib: 250_000,
    workersPerRack: 8,
    stops: { stopMs: 200, checkpointMs: 1_000, restoreMs: 250 },
    kinds: [
        {
            ...urgent,
            jobsPerSecond: 8.26 * replayedShare,
            milliCpu: { mean: 7_300, spread: 0.45, largest: 22_000 },
            memoryMib: { mean: 14_600, spread: 0.3, largest: 29_000 },
        },
        {
            ...batch,
            jobsPerSecond: 13.9 * replayedShare,
            initialJobs: 24 * replayedShare,
            milliCpu: { mean: 7_000, spread: 0.3, largest: 14_000 },
            memoryMib: { mean: 12_800, spread: 0.3, largest: 26_000 },
        },
        {
            ...lasting,
            jobsPerSecond: 0.455 * replayedShare,
            initialJobs: 82 * replayedShare,
        },
    ],
};

/** The same load with urgent tasks that need the memory of several batch runs, and twice the batch jobs. */
export const contendedMemoryLoad: Load = {
    ...certificationLoad,
    kinds: certificationLoad.kinds.map(kind =>
        kind.name === urgent.name
            ? { ...kind, memoryMib: { mean: 80_000, spread: 0.3, largest: 160_000 } }
            : kind.name === batch.name
            ? {
                ...kind,
                jobsPerSecond: 2 * kind.jobsPerSecond,
                memoryMib: { mean: 38_000, spread: 0.3, largest: 76_000 },
            }
            : kind
    ),
};
