/** One kind of job in a load. Times are in milliseconds, processors in thousandths of a core. */
export interface JobKind {
    readonly name: string;
    readonly priority: number;
    readonly maxAttempts: number;
    readonly slackFactor: number;
    readonly targetLatencyMs: number;
    /** Jobs a second, and jobs that are there at the start. */
    readonly perSecond: number;
    readonly atStart: number;
    readonly steps: { readonly mean: number; readonly spread: number; readonly largest: number; };
    readonly width: { readonly mean: number; readonly spread: number; readonly largest: number; };
    readonly workMs: { readonly mean: number; readonly spread: number; readonly largest: number; };
    readonly milliCpu: { readonly mean: number; readonly spread: number; readonly largest: number; };
    readonly memoryMib: { readonly mean: number; readonly spread: number; readonly largest: number; };
    /** Spread of the declared run time around the real one. */
    readonly estimateSpread: number;
    /** Share of runs that fail. */
    readonly failingShare: number;
    readonly worth: number;
    readonly lateWorth: number;
    readonly character:
        | { readonly kind: "reserved"; }
        /** Uses idle processors. */
        | { readonly kind: "filling"; readonly images: number; }
        | {
            readonly kind: "serving";
            readonly images: number;
            readonly tailMs: number;
            readonly targetMs: number;
            readonly load: number;
            readonly swing: number;
            readonly swingMs: number;
            readonly stayMs: number;
        };
}

/** A load of jobs on a number of workers. */
export interface Load {
    readonly workers: number;
    readonly milliCpu: number;
    readonly memoryMib: number;
    /** Sizes of the workers as factors, in turn. */
    readonly sizes: readonly number[];
    readonly workersPerRack: number;
    readonly kinds: readonly JobKind[];
    /** Disturbance of a harmful and of a harmless pair of images, for one whole worker in use. */
    readonly harmful: number;
    readonly harmless: number;
    /** Share of the images that press on a shared resource. */
    readonly heavyShare: number;
}

/** Quick checks, long forecasts on idle processors and watches, as the ash advisory service has them. */
export const advisoryLoad: Load = {
    workers: 32,
    milliCpu: 32_000,
    memoryMib: 128_000,
    sizes: [1, 1, 1.5],
    workersPerRack: 6,
    harmful: 1.6,
    harmless: 0.25,
    heavyShare: 0.65,
    kinds: [
        {
            name: "check",
            priority: 0,
            maxAttempts: 2,
            slackFactor: 1.5,
            targetLatencyMs: 250,
            perSecond: 3.1,
            atStart: 0,
            steps: { mean: 1.6, spread: 0.4, largest: 4 },
            width: { mean: 6, spread: 0.8, largest: 36 },
            workMs: { mean: 800, spread: 0.5, largest: 2_000 },
            milliCpu: { mean: 2_300, spread: 0.45, largest: 6_900 },
            memoryMib: { mean: 4_600, spread: 0.3, largest: 9_200 },
            estimateSpread: 0.2,
            failingShare: 0.02,
            worth: 0.376,
            lateWorth: 0.0565,
            character: { kind: "reserved" },
        },
        {
            name: "forecast",
            priority: 2,
            maxAttempts: 2,
            slackFactor: 2,
            targetLatencyMs: 1_000,
            perSecond: 3.4,
            atStart: 8,
            steps: { mean: 2, spread: 0.4, largest: 5 },
            width: { mean: 8, spread: 0.6, largest: 32 },
            workMs: { mean: 2_700, spread: 0.5, largest: 6_800 },
            milliCpu: { mean: 3_500, spread: 0.3, largest: 7_000 },
            memoryMib: { mean: 6_400, spread: 0.3, largest: 13_000 },
            estimateSpread: 0.5,
            failingShare: 0.05,
            worth: 2.24,
            lateWorth: 0.336,
            character: { kind: "filling", images: 9 },
        },
        {
            name: "watch",
            priority: 0,
            maxAttempts: 3,
            slackFactor: 2.2,
            targetLatencyMs: 2_500,
            perSecond: 0.144,
            atStart: 26,
            steps: { mean: 1, spread: 0, largest: 1 },
            width: { mean: 6, spread: 0.4, largest: 12 },
            workMs: { mean: 320, spread: 0.5, largest: 800 },
            milliCpu: { mean: 6_400, spread: 0.25, largest: 10_000 },
            memoryMib: { mean: 13_000, spread: 0.3, largest: 26_000 },
            estimateSpread: 0,
            failingShare: 0.03,
            worth: 0.413,
            lateWorth: 0.0619,
            character: {
                kind: "serving",
                images: 5,
                tailMs: 4,
                targetMs: 18,
                load: 0.42,
                swing: 0.5,
                swingMs: 10_000,
                stayMs: 200_000,
            },
        },
    ],
};

function scaleKind(kind: JobKind, changes: Partial<JobKind>): JobKind {
    return { ...kind, ...changes };
}

const [check, forecast, watch] = advisoryLoad.kinds as readonly [JobKind, JobKind, JobKind];

/** Stock checks, price-list rebuilds on idle processors and matching runs, as the wholesaler has them. */
export const wholesaleLoad: Load = {
    ...advisoryLoad,
    workers: 45,
    workersPerRack: 11,
    kinds: [
        scaleKind(check, {
            perSecond: 3.3,
            maxAttempts: 3,
            milliCpu: { mean: 3_100, spread: 0.45, largest: 9_400 },
            memoryMib: { mean: 6_200, spread: 0.3, largest: 12_000 },
            failingShare: 0.05,
            worth: 0.377,
            lateWorth: 0.0566,
        }),
        scaleKind(forecast, {
            perSecond: 5.9,
            atStart: 11,
            maxAttempts: 3,
            workMs: { mean: 1_700, spread: 0.5, largest: 4_300 },
            estimateSpread: 0.2,
            failingShare: 0.005,
            worth: 1.05,
            lateWorth: 0.157,
        }),
        scaleKind(watch, {
            perSecond: 0.198,
            atStart: 36,
            worth: 0.306,
            lateWorth: 0.0459,
            workMs: { mean: 400, spread: 0.5, largest: 1_000 },
            character: {
                kind: "serving",
                images: 5,
                tailMs: 10,
                targetMs: 45,
                load: 0.42,
                swing: 0.5,
                swingMs: 14_000,
                stayMs: 200_000,
            },
        }),
    ],
};

/** The wholesaler's load while rebuilds come faster than idle processors can do them. */
export const overloadedLoad: Load = {
    ...wholesaleLoad,
    kinds: wholesaleLoad.kinds.map(kind => kind.name === "forecast" ? scaleKind(kind, { perSecond: 12 }) : kind),
};
