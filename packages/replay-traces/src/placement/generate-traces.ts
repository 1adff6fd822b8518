import {
    buildJob,
    buildQuota,
    buildService,
    buildWatch,
    buildWorkers,
    createRandom,
    listOrdinals,
    minuteMs,
    type Random,
    slowdown,
} from "./build-trace-events.js";
import type { Trace, TraceEvent } from "./trace.js";

/** Largest factor by which declared sizes and run times are wrong, from the requirements. */
const declaredErrorLimit = 4;

function buildTrace(name: string, seed: number, minutes: number, events: readonly TraceEvent[]): Trace {
    return { head: { kind: "head", name, seed, durationMs: minutes * minuteMs, slowdown }, events };
}

/** Services that are submitted at three times, so that some must be placed among running batch tasks. */
const userServices: readonly TraceEvent[] = [[0, 6], [3, 5], [8, 4]].flatMap(([minute = 0, tasks = 0]) => {
    const parameters = { cores: 3, atMs: minute * minuteMs, tasks };
    return [
        buildService({ ...parameters, name: `plume-${minute}`, tenant: "moreno", interferenceClass: "plume-check" }),
        buildService({ ...parameters, name: `stock-${minute}`, tenant: "hakata", interferenceClass: "stock-check" }),
    ];
});

const userWatches: readonly TraceEvent[] = listOrdinals(8).map(ordinal =>
    buildWatch({
        name: `watch-${ordinal}`,
        tenant: "moreno",
        interferenceClass: "watch",
        cores: 2,
        atMs: 0,
        tasks: 1,
    })
);

/** One forecast and one price list each minute, which fill about half of twelve workers. */
function buildSteadyJobs(random: Random, minutes: number, sizeLimit: number, runLimit: number): TraceEvent[] {
    return listOrdinals(minutes).map(minute => {
        const atMs = minute * minuteMs + random.drawInt(0, 20) * 1000;
        const buildFactors = () => ({
            sizeFactor: random.drawFactor(sizeLimit),
            runFactor: random.drawFactor(runLimit),
        });
        return [
            buildJob(
                {
                    name: `forecast-${minute}`,
                    tenant: "moreno",
                    interferenceClass: "forecast",
                    cores: 3,
                    atMs,
                    tasks: 10,
                    ...buildFactors(),
                },
                4 * minuteMs,
                (runLimit > 2 ? 20 : 9) * minuteMs,
            ),
            buildJob(
                {
                    name: `price-list-${minute}`,
                    tenant: "hakata",
                    interferenceClass: "price-list",
                    cores: 2,
                    atMs,
                    tasks: 10,
                    ...buildFactors(),
                },
                3 * minuteMs,
                (runLimit > 2 ? 16 : 8) * minuteMs,
            ),
        ];
    }).flat();
}

const userQuotas = (cores: number): TraceEvent[] => [
    buildQuota("moreno", Math.round(cores * 0.6)),
    buildQuota("hakata", Math.round(cores * 0.4)),
];

function buildNoisyWaves(): Trace {
    const random = createRandom(101);
    const loads = [4, 10, 16].flatMap((minute): TraceEvent[] => [
        { kind: "load", atMs: minute * minuteMs, interferenceClass: "forecast", percent: 250 },
        { kind: "load", atMs: (minute + 3) * minuteMs, interferenceClass: "forecast", percent: 100 },
    ]);
    const waves = [4, 10, 16].map(minute =>
        buildJob(
            {
                name: `wave-${minute}`,
                tenant: "moreno",
                interferenceClass: "forecast",
                cores: 3,
                atMs: minute * minuteMs,
                tasks: 30,
            },
            3 * minuteMs,
            9 * minuteMs,
        )
    );
    return buildTrace("noisy-waves", 101, 22, [
        ...buildWorkers(2),
        ...userQuotas(384),
        ...userServices,
        ...userWatches,
        ...buildSteadyJobs(random, 18, 1, 1.3),
        ...loads,
        ...waves,
    ]);
}

function buildRackLost(): Trace {
    const random = createRandom(102);
    const workers = buildWorkers(3);
    const lost = workers.filter(worker => worker.rack === "rack-0").flatMap((worker): TraceEvent[] => [
        { kind: "workerLost", atMs: 6 * minuteMs, worker: worker.worker },
        { ...worker, atMs: 14 * minuteMs },
    ]);
    return buildTrace("rack-lost", 102, 22, [
        ...workers,
        ...userQuotas(576),
        ...userServices,
        ...userWatches,
        ...buildSteadyJobs(random, 18, 1, 1.3),
        ...buildSteadyJobs(random, 10, 1, 1.3).map(event =>
            event.kind === "work" ? { ...event, spec: { ...event.spec, name: `more-${event.spec.name}` } } : event
        ),
        ...lost,
    ]);
}

function buildSizesOff(): Trace {
    const random = createRandom(103);
    return buildTrace("sizes-off", 103, 28, [
        ...buildWorkers(2),
        ...userQuotas(384),
        ...userServices,
        ...userWatches,
        ...buildSteadyJobs(random, 16, declaredErrorLimit, declaredErrorLimit),
    ]);
}

function buildCancelFlood(): Trace {
    const random = createRandom(104);
    const flood = listOrdinals(300).map(ordinal =>
        buildJob(
            {
                name: `flood-${ordinal}`,
                tenant: ordinal % 2 === 0 ? "moreno" : "hakata",
                interferenceClass: ordinal % 2 === 0 ? "forecast" : "price-list",
                cores: 4,
                atMs: 3 * minuteMs + random.drawInt(0, 30) * 1000,
                tasks: 2,
            },
            10 * minuteMs,
            30 * minuteMs,
        )
    );
    const names = flood.flatMap(event => event.kind === "work" ? [event.spec.name] : []);
    return buildTrace("cancel-flood", 104, 16, [
        ...buildWorkers(2),
        ...userQuotas(384),
        ...userServices,
        ...buildSteadyJobs(random, 12, 1, 1.3),
        ...flood,
        { kind: "cancel", atMs: 5 * minuteMs, names },
    ]);
}

function buildBadWorker(): Trace {
    const random = createRandom(105);
    return buildTrace("bad-worker", 105, 22, [
        ...buildWorkers(2),
        ...userQuotas(384),
        ...userServices,
        ...buildSteadyJobs(random, 21, 1, 1.3),
        { kind: "workerFails", atMs: 2 * minuteMs, worker: "worker-02", fails: true },
        { kind: "workerFails", atMs: 15 * minuteMs, worker: "worker-02", fails: false },
    ]);
}

function buildNeverRuns(): Trace {
    const random = createRandom(106);
    const parameters = { tenant: "moreno", interferenceClass: "forecast", tasks: 2 };
    return buildTrace("never-runs", 106, 14, [
        ...buildWorkers(2),
        ...userQuotas(384),
        ...userServices,
        ...buildSteadyJobs(random, 10, 1, 1.3),
        buildJob({ ...parameters, name: "too-large", cores: 40, atMs: 2 * minuteMs }, minuteMs, 10 * minuteMs),
        buildJob(
            { ...parameters, name: "always-fails", cores: 1, atMs: 2 * minuteMs, fails: true },
            minuteMs,
            undefined,
        ),
    ]);
}

function buildBorrowing(): Trace {
    const random = createRandom(107);
    const buildBatch = (tenant: string, interferenceClass: string, ordinal: number, atMs: number): TraceEvent =>
        buildJob(
            {
                name: `${tenant}-${ordinal}`,
                tenant,
                interferenceClass,
                cores: 3,
                atMs,
                tasks: 20,
                runFactor: random.drawFactor(1.3),
            },
            10 * minuteMs,
            tenant === "moreno" ? 16 * minuteMs : 40 * minuteMs,
        );
    return buildTrace("borrowing", 107, 30, [
        ...buildWorkers(2),
        ...userQuotas(384),
        ...userServices,
        ...userWatches,
        ...listOrdinals(8).map(ordinal => buildBatch("hakata", "price-list", ordinal, ordinal * minuteMs)),
        ...listOrdinals(3).map(ordinal => buildBatch("moreno", "forecast", ordinal, 12 * minuteMs)),
    ]);
}

/** All placement traces; each is a pure function of its seed. */
export function buildPlacementTraces(): readonly Trace[] {
    return [
        buildNoisyWaves(),
        buildRackLost(),
        buildSizesOff(),
        buildCancelFlood(),
        buildBadWorker(),
        buildNeverRuns(),
        buildBorrowing(),
    ];
}

/** The trace in JSON lines. */
export function formatTrace({ head, events }: Trace): string {
    return [head, ...events].map(line => `${JSON.stringify(line)}\n`).join("");
}
