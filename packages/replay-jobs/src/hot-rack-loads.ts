import { grownWholesaleLoad, type HotRack, type JobKind, type Load } from "./load.js";

const [check, rebuild, watch] = grownWholesaleLoad.kinds as readonly [JobKind, JobKind, JobKind];

const hotRack: HotRack = {
    kind: "check",
    // Workers 120 to 127: long-running tasks fill the first ones.
    rack: "r15",
    share: 2 / 3,
    periods: [{ fromMs: 4_000, untilMs: 10_000 }, { fromMs: 16_000, untilMs: 22_000 }],
    isNamed: true,
};

/**
 * Hot rack of the certification service: for six seconds at a time, two thirds of its urgent jobs want one rack of eight
 * hosts, which could run about half of them. Declared run times are wrong by up to ten times.
 */
export const hotRackOfEight: Load = {
    ...grownWholesaleLoad,
    workers: 245,
    milliCpu: 64_000,
    memoryMib: 250_000,
    workersPerRack: 8,
    farFactor: 3,
    hotRack,
    kinds: [
        { ...check, jobsPerSecond: 8.26, milliCpu: { ...check.milliCpu, mean: 7_300 }, estimateSpread: 1 },
        {
            ...rebuild,
            jobsPerSecond: 13.9,
            workMs: { ...rebuild.workMs, mean: 1_700 },
            milliCpu: { ...rebuild.milliCpu, mean: 7_000, largest: 14_000 },
            estimateSpread: 1,
        },
        { ...watch, jobsPerSecond: 0.455, initialJobs: 74 },
    ],
};

/** The same while long-running tasks reserve twice as much, about 70% of all processors. */
export const busyHotRack: Load = {
    ...hotRackOfEight,
    kinds: hotRackOfEight.kinds.map(kind =>
        kind.execution.kind === "serving" ? { ...kind, jobsPerSecond: 0.91, initialJobs: 148 } : kind
    ),
};

/** Hot rack of the meter readings: the same with racks of twelve hosts and fewer, shorter jobs. */
export const hotRackOfTwelve: Load = {
    ...hotRackOfEight,
    workersPerRack: 12,
    hotRack: { ...hotRack, rack: "r10" },
    kinds: [
        {
            ...check,
            jobsPerSecond: 6.54,
            targetLatencyMs: 300,
            workMs: { ...check.workMs, mean: 850 },
            milliCpu: { ...check.milliCpu, mean: 8_100 },
            estimateSpread: 1,
        },
        {
            ...rebuild,
            jobsPerSecond: 7.66,
            workMs: { ...rebuild.workMs, mean: 2_300 },
            milliCpu: { ...rebuild.milliCpu, mean: 7_000, largest: 14_000 },
            estimateSpread: 1,
        },
        { ...watch, jobsPerSecond: 0.401, initialJobs: 65 },
    ],
};

/** The same jobs, which name no rack but want one rack for the tasks of each step. */
export const anyOneRackOfEight: Load = {
    ...hotRackOfEight,
    hotRack: { ...hotRack, isNamed: false },
};
