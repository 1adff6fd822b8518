/**
 * One kind of job in a load. Times are in milliseconds, processors in thousandths of a core. Each `spread` is a
 * standard deviation as a share of the mean.
 */
export interface JobKind {
    readonly name: string;
    readonly priority: number;
    readonly maxAttempts: number;
    readonly slackFactor: number;
    readonly targetLatencyMs: number;
    /** Mean arrival rate. */
    readonly jobsPerSecond: number;
    /** Times in which jobs arrive `factor` times as often; undefined if the rate is constant. */
    readonly bursts?: { readonly factor: number; readonly lengthMs: number; readonly periodMs: number; } | undefined;
    /** Jobs that have arrived when the traffic starts. */
    readonly initialJobs: number;
    readonly steps: { readonly mean: number; readonly spread: number; readonly largest: number; };
    readonly tasksPerStep: { readonly mean: number; readonly spread: number; readonly largest: number; };
    /** True run time of one task; for a serving job, the time from its start until it serves. */
    readonly workMs: { readonly mean: number; readonly spread: number; readonly largest: number; };
    readonly milliCpu: { readonly mean: number; readonly spread: number; readonly largest: number; };
    readonly memoryMib: { readonly mean: number; readonly spread: number; readonly largest: number; };
    /** Spread of the declared run time around the true one. */
    readonly estimateSpread: number;
    /** Share of the runs that fail; runs of serving jobs never do. */
    readonly failureShare: number;
    /** Whether every second job limits the tasks of a step on one worker, to one, two or three. */
    readonly limitsTasksPerWorker: boolean;
    /** Share of the jobs whose steps allow copies of their tasks; by default none do. */
    readonly speculativeShare?: number;
    /** Runs that take longer than usual by a factor, which the planner does not know; by default none do. */
    readonly slowRuns?: { readonly share: number; readonly factor: number; };
    /** Value of a job that ends in time; for a serving job, the value of each measured interval. */
    readonly value: number;
    /** Value of a job that ends late. */
    readonly lateValue: number;
    /** How its tasks use processors. */
    readonly execution:
        /** Runs on the declared processors. */
        | { readonly kind: "reserved"; }
        /** Runs on idle processors. */
        | { readonly kind: "filling"; readonly images: number; }
        /** Serves requests under a tail latency target until the caller cancels the job. */
        | {
            readonly kind: "serving";
            readonly images: number;
            /** Tail latency of an idle task on an otherwise idle worker. */
            readonly unloadedTailMs: number;
            readonly targetMs: number;
            /** Mean load as a share of the declared processors. */
            readonly load: number;
            /** Amplitude of the load oscillation as a share of the mean. */
            readonly loadAmplitude: number;
            /** Period of the load oscillation. */
            readonly loadPeriodMs: number;
            readonly meanLifetimeMs: number;
        };
}

/** Jobs of one kind that want the same rack for some seconds. Times are in milliseconds since the start of the traffic. */
export interface HotRack {
    readonly kind: string;
    readonly rack: string;
    /** Share of the jobs that want it. */
    readonly share: number;
    readonly periods: readonly { readonly fromMs: number; readonly untilMs: number; }[];
    /** Whether the jobs name the rack, as that of their data, or only want any one rack for each step. */
    readonly isNamed: boolean;
}

/** The workers of a replay and the jobs that arrive at them. */
export interface Load {
    readonly workers: number;
    /** Capacity of a worker with size factor 1, in thousandths of a core and in MiB. */
    readonly milliCpu: number;
    readonly memoryMib: number;
    /** Factors on the capacity of the workers, assigned round-robin. */
    readonly sizeFactors: readonly number[];
    readonly workersPerRack: number;
    readonly kinds: readonly JobKind[];
    /**
     * Decrease of a serving task's headroom by images that compete for the same shared resource, for each whole worker
     * that they use.
     */
    readonly contendingDisturbance: number;
    /** Decrease of a serving task's headroom by images that do not compete, for each whole worker that they use. */
    readonly otherDisturbance: number;
    /** Share of the images that put load on a shared resource. */
    readonly contendingShare: number;
    /** Number of starts that the leader can order in one second; undefined if only the workers limit them. */
    readonly startsPerSecond: number | undefined;
    /** How runs are stopped and resumed, in milliseconds; undefined: stops take no time and lose all work. */
    readonly stops?: {
        readonly stopMs: number;
        /** Interval at which a checkpointing task saves its progress. */
        readonly checkpointMs: number;
        /** Time that a run takes to resume from a checkpoint. */
        readonly restoreMs: number;
    };
    /** How the workers differ for some time; by default they are all alike. */
    readonly unevenness?: Unevenness;
    /** How many times longer a task runs outside of the rack that it prefers. */
    readonly farFactor: number;
    /** Undefined if no job prefers a rack. */
    readonly hotRack: HotRack | undefined;
}

/** Workers that are slow, and a zone that fails part of its work, for some seconds in each period. */
export interface Unevenness {
    readonly periodMs: number;
    /** Share of the workers that are slow in each period; others each time. */
    readonly slowShare: number;
    /** Speed of these workers. */
    readonly slowSpeed: number;
    /** Time for which they are slow, and for which the zone fails work, in milliseconds. */
    readonly slowMs: number;
    readonly failingMs: number;
    /** Number of zones; one of them fails this share of what starts there, another one in each period. */
    readonly zones: number;
    readonly failingShare: number;
}

/** Load of the ash advisory service: short checks, long forecasts on idle processors, and watches. */
export const advisoryLoad: Load = {
    workers: 32,
    milliCpu: 32_000,
    memoryMib: 128_000,
    sizeFactors: [1, 1, 1.5],
    workersPerRack: 6,
    contendingDisturbance: 1.6,
    otherDisturbance: 0.25,
    contendingShare: 0.65,
    startsPerSecond: undefined,
    farFactor: 1,
    hotRack: undefined,
    kinds: [
        {
            name: "check",
            priority: 0,
            maxAttempts: 2,
            slackFactor: 1.5,
            targetLatencyMs: 250,
            jobsPerSecond: 3.1,
            initialJobs: 0,
            steps: { mean: 1.6, spread: 0.4, largest: 4 },
            tasksPerStep: { mean: 6, spread: 0.8, largest: 36 },
            workMs: { mean: 800, spread: 0.5, largest: 2_000 },
            milliCpu: { mean: 2_300, spread: 0.45, largest: 6_900 },
            memoryMib: { mean: 4_600, spread: 0.3, largest: 9_200 },
            estimateSpread: 0.2,
            failureShare: 0.02,
            limitsTasksPerWorker: false,
            value: 0.376,
            lateValue: 0.0565,
            execution: { kind: "reserved" },
        },
        {
            name: "forecast",
            priority: 2,
            maxAttempts: 2,
            slackFactor: 2,
            targetLatencyMs: 1_000,
            jobsPerSecond: 3.4,
            initialJobs: 8,
            steps: { mean: 2, spread: 0.4, largest: 5 },
            tasksPerStep: { mean: 8, spread: 0.6, largest: 32 },
            workMs: { mean: 2_700, spread: 0.5, largest: 6_800 },
            milliCpu: { mean: 3_500, spread: 0.3, largest: 7_000 },
            memoryMib: { mean: 6_400, spread: 0.3, largest: 13_000 },
            estimateSpread: 0.5,
            failureShare: 0.05,
            limitsTasksPerWorker: false,
            value: 2.24,
            lateValue: 0.336,
            execution: { kind: "filling", images: 9 },
        },
        {
            name: "watch",
            priority: 0,
            maxAttempts: 3,
            slackFactor: 2.2,
            targetLatencyMs: 2_500,
            jobsPerSecond: 0.144,
            initialJobs: 26,
            steps: { mean: 1, spread: 0, largest: 1 },
            tasksPerStep: { mean: 6, spread: 0.4, largest: 12 },
            workMs: { mean: 320, spread: 0.5, largest: 800 },
            milliCpu: { mean: 6_400, spread: 0.25, largest: 10_000 },
            memoryMib: { mean: 13_000, spread: 0.3, largest: 26_000 },
            estimateSpread: 0,
            failureShare: 0.03,
            limitsTasksPerWorker: false,
            value: 0.413,
            lateValue: 0.0619,
            execution: {
                kind: "serving",
                images: 5,
                unloadedTailMs: 4,
                targetMs: 18,
                load: 0.42,
                loadAmplitude: 0.5,
                loadPeriodMs: 10_000,
                meanLifetimeMs: 200_000,
            },
        },
    ],
};

/** Creates a kind of job that differs from another one. */
export function createKindVariant(kind: JobKind, changes: Partial<JobKind>): JobKind {
    return { ...kind, ...changes };
}

const [check, forecast, watch] = advisoryLoad.kinds as readonly [JobKind, JobKind, JobKind];

/** Load of the wholesaler: stock checks, price-list rebuilds on idle processors, and matching runs. */
export const wholesaleLoad: Load = {
    ...advisoryLoad,
    workers: 45,
    workersPerRack: 11,
    kinds: [
        createKindVariant(check, {
            jobsPerSecond: 3.3,
            maxAttempts: 3,
            milliCpu: { mean: 3_100, spread: 0.45, largest: 9_400 },
            memoryMib: { mean: 6_200, spread: 0.3, largest: 12_000 },
            failureShare: 0.05,
            value: 0.377,
            lateValue: 0.0566,
        }),
        createKindVariant(forecast, {
            jobsPerSecond: 5.9,
            initialJobs: 11,
            maxAttempts: 3,
            workMs: { mean: 1_700, spread: 0.5, largest: 4_300 },
            estimateSpread: 0.2,
            failureShare: 0.005,
            value: 1.05,
            lateValue: 0.157,
        }),
        createKindVariant(watch, {
            jobsPerSecond: 0.198,
            initialJobs: 36,
            value: 0.306,
            lateValue: 0.0459,
            workMs: { mean: 400, spread: 0.5, largest: 1_000 },
            execution: {
                kind: "serving",
                images: 5,
                unloadedTailMs: 10,
                targetMs: 45,
                load: 0.42,
                loadAmplitude: 0.5,
                loadPeriodMs: 14_000,
                meanLifetimeMs: 200_000,
            },
        }),
    ],
};

/** Load of the wholesaler with rebuilds arriving faster than idle processors can run them. */
export const overloadedLoad: Load = {
    ...wholesaleLoad,
    kinds: wholesaleLoad.kinds.map(kind =>
        kind.name === "forecast" ? createKindVariant(kind, { jobsPerSecond: 12 }) : kind
    ),
};

const [wholesaleCheck, wholesaleForecast, wholesaleWatch] = wholesaleLoad.kinds as readonly [JobKind, JobKind, JobKind];

/** Load of the wholesaler once grown: about a thousand starts a second on 342 workers. */
export const grownWholesaleLoad: Load = {
    ...wholesaleLoad,
    workers: 342,
    workersPerRack: 20,
    kinds: [
        createKindVariant(wholesaleCheck, {
            jobsPerSecond: 8.1,
            tasksPerStep: { mean: 10, spread: 0.8, largest: 60 },
            workMs: { mean: 1_000, spread: 0.5, largest: 2_500 },
            milliCpu: { mean: 5_700, spread: 0.45, largest: 17_000 },
        }),
        createKindVariant(wholesaleForecast, {
            jobsPerSecond: 21.3,
            initialJobs: 33,
            tasksPerStep: { mean: 20, spread: 0.6, largest: 80 },
            execution: { kind: "filling", images: 18 },
        }),
        createKindVariant(wholesaleWatch, {
            jobsPerSecond: 0.7,
            initialJobs: 114,
            tasksPerStep: { mean: 14, spread: 0.4, largest: 28 },
            limitsTasksPerWorker: true,
            execution: {
                kind: "serving",
                images: 10,
                unloadedTailMs: 10,
                targetMs: 45,
                load: 0.42,
                loadAmplitude: 0.5,
                loadPeriodMs: 14_000,
                meanLifetimeMs: 163_000,
            },
        }),
    ],
};

/** Load of the wholesaler with more long-running tasks than the workers have processors for. */
export const lastingOverload: Load = {
    ...wholesaleLoad,
    kinds: wholesaleLoad.kinds.map(kind => kind.name === "watch" ? createKindVariant(kind, { initialJobs: 51 }) : kind),
};

/**
 * Sustained overload: three times the rebuilds that idle processors can run, for longer than any of them may wait. Jobs
 * accepted beyond what ends in time cost their starts and processors and earn nothing.
 */
export const sustainedOverload: Load = {
    ...wholesaleLoad,
    kinds: wholesaleLoad.kinds.map(kind =>
        kind.name === "forecast" ? createKindVariant(kind, { jobsPerSecond: 24 }) : kind
    ),
};

/** Sustained overload of the leader, which can order fewer starts than the jobs need while the workers have room. */
export const busyLeaderOverload: Load = {
    ...wholesaleLoad,
    startsPerSecond: 80,
};

/**
 * Load of a third of a pool of 245 workers on which a sixth of the workers are five times slower for 6.5 s, and a zone fails
 * 45% of its work.
 */
export const unevenLoad: Load & { readonly unevenness: Unevenness; } = {
    ...wholesaleLoad,
    workers: 82,
    milliCpu: 64_000,
    memoryMib: 250_000,
    workersPerRack: 12,
    kinds: [
        createKindVariant(check, {
            jobsPerSecond: 2.2,
            maxAttempts: 3,
            targetLatencyMs: 300,
            tasksPerStep: { mean: 10, spread: 0.8, largest: 60 },
            workMs: { mean: 850, spread: 0.5, largest: 2_100 },
            milliCpu: { mean: 8_100, spread: 0.45, largest: 24_000 },
            estimateSpread: 1,
        }),
        createKindVariant(forecast, {
            jobsPerSecond: 2.55,
            maxAttempts: 3,
            tasksPerStep: { mean: 20, spread: 0.6, largest: 80 },
            workMs: { mean: 2_300, spread: 0.5, largest: 5_800 },
            milliCpu: { mean: 7_000, spread: 0.3, largest: 14_000 },
            estimateSpread: 1,
        }),
        createKindVariant(watch, {
            jobsPerSecond: 0.134,
            initialJobs: 20,
            tasksPerStep: { mean: 14, spread: 0.4, largest: 28 },
        }),
    ],
    unevenness: {
        periodMs: 13_000,
        slowShare: 0.16,
        slowSpeed: 0.2,
        slowMs: 6_500,
        failingMs: 6_500,
        zones: 3,
        failingShare: 0.45,
    },
};
