import { createJobMachine, formatRunKey, type JobMachine, type WorkerRun } from "@chestnutspool/job-state";
import {
    createInterferenceModel,
    createUsageHistory,
    type InterferenceModel,
    type UsageHistory,
} from "@chestnutspool/learn-interference";
import {
    hasUncertainPairs,
    listObsoleteRuns,
    listStalledRuns,
    observeMargins,
    planPaces,
    planStarts,
    recordUsage,
} from "@chestnutspool/plan-jobs";
import { createRunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import type { QueueSettings, RunEnd, RunKey, RunOutcome, RunStart, WorkerInfo } from "@chestnutspool/types";
import { generateJobs, type PlannedJob, warmUpMs } from "./generate-jobs.js";
import type { JobKind, Load } from "./load.js";
import { createRandom, type Random } from "./random.js";
import { advanceWorker, drawDisturbances, type SimulatedRun } from "./simulated-workers.js";
import { createTally, type Tally, type TallyRow } from "./tally.js";

/** Step of the simulated time, in milliseconds. */
const stepMs = 20;
/** Interval at which a worker reports when nothing ends, in milliseconds. */
const reportMs = 900;
/** The same where something is to be learnt. */
const eagerReportMs = 300;
/** Interval at which paces are planned, in milliseconds. */
const paceIntervalMs = 160;
const service = "pool";
/** Share of the tasks that use only a part of their declared processors, and that part. */
const smallUseShare = 0.4;
const smallUse = 0.68;
/** Part by which a tail reading is off at most. */
const readErrorShare = 0.15;
/** Start of the simulated wall clock, so that times are never 0. */
const epochMs = 1_000_000;

interface World {
    readonly load: Load;
    readonly machine: JobMachine;
    readonly interference: InterferenceModel;
    readonly random: Random;
    readonly runsByWorker: Map<string, Map<string, SimulatedRun>>;
    readonly viewsByWorker: Map<string, RunStatuses>;
    readonly reportedAtMs: Map<string, number>;
    readonly uses: Map<string, UsageHistory>;
    readonly jobs: Map<string, PlannedJob>;
    readonly findDisturbance: (image: string, other: string) => number;
    readonly tally: Tally;
    index: number;
}

function createQueue(kind: JobKind): QueueSettings {
    const { name, priority, maxAttempts, slackFactor, targetLatencyMs } = kind;
    return {
        name,
        hostName: "host",
        path: `/${name}/`,
        service,
        priority,
        maxAttempts,
        slackFactor,
        targetLatencyMs,
        timeoutMs: 3_000,
        advice: undefined,
    };
}

function createWorkerInfo(load: Load, number: number): WorkerInfo {
    const size = load.sizes[number % load.sizes.length] ?? 1;
    return {
        id: `w${String(number).padStart(4, "0")}`,
        address: "127.0.0.1:1",
        service,
        availabilityZone: "z",
        capacity: { milliCpu: load.milliCpu * size, memoryMib: load.memoryMib * size, accelerators: 0 },
        labels: ["a", `r${Math.floor(number / load.workersPerRack)}`],
    };
}

function createWorld(load: Load, seed: number): World {
    const random = createRandom(seed);
    const machine = createJobMachine();
    const world: World = {
        load,
        machine,
        interference: createInterferenceModel(),
        random,
        runsByWorker: new Map(),
        viewsByWorker: new Map(),
        reportedAtMs: new Map(),
        uses: new Map(),
        jobs: new Map(),
        findDisturbance: drawDisturbances(load, random),
        tally: createTally(load),
        index: 0,
    };
    world.index += 1;
    machine.applyCommand(world.index, {
        kind: "setConfiguration",
        nowMs: epochMs,
        configuration: {
            version: 1,
            queues: load.kinds.map(createQueue),
            pools: [{ name: service, healthPath: "/health", guardsCapacity: false, isStandby: false }],
            bodyLimitBytes: 1,
            document: new Uint8Array(0),
        },
    });
    for (let number = 0; number < load.workers; number += 1) {
        const worker = createWorkerInfo(load, number);
        world.index += 1;
        machine.applyCommand(world.index, { kind: "registerWorker", nowMs: epochMs, worker });
        world.runsByWorker.set(worker.id, new Map());
        world.viewsByWorker.set(worker.id, new Map());
        world.uses.set(worker.id, createUsageHistory());
        world.reportedAtMs.set(worker.id, world.random.readShare() * reportMs);
    }
    return world;
}

function createRunKey({ job, occurrence, step, task, run }: WorkerRun): RunKey {
    return { job: job.id, occurrence: occurrence.number, step: step.position, position: task.position, run };
}

function endRun(world: World, worker: string, run: SimulatedRun, outcome: RunOutcome, nowMs: number): void {
    const key = createRunKey(run.run);
    const end: RunEnd = { ...key, outcome, checkpoint: "" };
    world.runsByWorker.get(worker)?.delete(formatRunKey(key));
    world.viewsByWorker.get(worker)?.delete(formatRunKey(key));
    world.index += 1;
    world.machine.applyCommand(world.index, { kind: "endRuns", nowMs: epochMs + nowMs, worker, ends: [end] });
}

function endFinished(world: World, nowMs: number): void {
    for (const [worker, runs] of world.runsByWorker) {
        for (const run of [...runs.values()]) {
            const isServing = run.job.kind.character.kind === "serving";
            if (run.failsAt !== undefined && run.doneMs >= run.workMs * run.failsAt) {
                endRun(world, worker, run, "failed", nowMs);
            }
            else if (!isServing && run.doneMs >= run.workMs) {
                endRun(world, worker, run, "succeeded", nowMs);
            }
        }
    }
}

function reportWorkers(world: World, nowMs: number): void {
    for (const [worker, lastMs] of world.reportedAtMs) {
        const state = world.machine.state.workers.get(worker);
        const views = world.viewsByWorker.get(worker);
        const history = world.uses.get(worker);
        const isEager = state !== undefined && views !== undefined
            && hasUncertainPairs(state, views, world.interference);
        if (
            nowMs - lastMs < (isEager ? eagerReportMs : reportMs) || state === undefined || views === undefined
            || history === undefined
        ) {
            continue;
        }
        world.reportedAtMs.set(worker, nowMs);
        for (const [key, run] of world.runsByWorker.get(worker) ?? []) {
            const view = views.get(key);
            if (view !== undefined) {
                const isServing = run.job.kind.character.kind === "serving";
                const percent = isServing ? 100 : Math.floor(100 * run.doneMs / run.workMs);
                view.progressAtMs = percent === view.progressPercent ? view.progressAtMs : nowMs;
                view.progressPercent = percent;
                view.lastReading = Math.round(
                    isServing ? run.tailMs * (1 + readErrorShare * (2 * world.random.readShare() - 1)) : run.milliCpu,
                );
                view.readAtMs = nowMs;
            }
        }
        recordUsage(state, views, history, nowMs);
        observeMargins(state, views, world.interference, history, nowMs);
    }
}

function planWorkerPaces(world: World, nowMs: number): void {
    if (nowMs % paceIntervalMs !== 0) {
        return;
    }
    for (const [worker, runs] of world.runsByWorker) {
        const state = world.machine.state.workers.get(worker);
        const views = world.viewsByWorker.get(worker);
        const history = world.uses.get(worker);
        if (state === undefined || views === undefined || history === undefined) {
            continue;
        }
        recordUsage(state, views, history, nowMs);
        for (const change of planPaces(state, views, world.interference)) {
            const view = views.get(change.runKey);
            const run = runs.get(change.runKey);
            if (view !== undefined && run !== undefined) {
                view.pacePercent = change.percent;
                view.paceChangedAtMs = nowMs;
                run.percent = change.percent;
                world.tally.countPace();
            }
        }
    }
}

function startRun(world: World, start: RunStart, nowMs: number): void {
    const key = formatRunKey(start);
    const run = world.machine.state.workers.get(start.worker)?.runs.get(key);
    const job = world.jobs.get(start.job);
    if (run === undefined || job === undefined) {
        return;
    }
    const fails = world.random.readShare() < job.kind.failingShare;
    world.runsByWorker.get(start.worker)?.set(key, {
        run,
        job,
        startedAtMs: nowMs,
        workMs: job.workMs[start.step]?.[start.position] ?? job.kind.workMs.mean,
        doneMs: 0,
        useShare: world.random.readShare() < smallUseShare ? smallUse : 1,
        failsAt: fails && job.kind.character.kind !== "serving" ? world.random.readShare() : undefined,
        percent: 100,
        phase: world.random.readShare(),
        milliCpu: 0,
        tailMs: 0,
        isHarmed: false,
    });
    world.viewsByWorker.get(start.worker)?.set(key, createRunStatus(createRunKey(run), "confirmed", nowMs));
}

function planStep(world: World, nowMs: number): void {
    for (const [worker, runs] of world.runsByWorker) {
        const state = world.machine.state.workers.get(worker);
        for (const key of state === undefined ? [] : listObsoleteRuns(state)) {
            const run = runs.get(key);
            if (run !== undefined) {
                endRun(world, worker, run, "stopped", nowMs);
            }
        }
    }
    const input = {
        state: world.machine.state,
        isUsable: () => true,
        findStartLimit: () => undefined,
        findFailedWorker: () => undefined,
        interference: world.interference,
        findRunStatuses: (worker: string) => world.viewsByWorker.get(worker),
    };
    for (const { worker, runKey } of listStalledRuns(input, nowMs)) {
        const run = world.runsByWorker.get(worker)?.get(runKey);
        if (run !== undefined) {
            endRun(world, worker, run, "stopped", nowMs);
        }
    }
    const starts = planStarts(input, epochMs + nowMs);
    if (starts.length > 0) {
        world.index += 1;
        world.machine.applyCommand(world.index, { kind: "startRuns", nowMs: epochMs + nowMs, starts });
        starts.forEach(start => startRun(world, start, nowMs));
    }
}

function applyCallers(world: World, arrivals: PlannedJob[], nowMs: number): void {
    while ((arrivals[0]?.arrivesAtMs ?? Number.POSITIVE_INFINITY) <= nowMs) {
        const job = arrivals.shift() as PlannedJob;
        world.jobs.set(job.definition.id, job);
        world.index += 1;
        world.machine.applyCommand(world.index, {
            kind: "submitJob",
            nowMs: epochMs + nowMs,
            spec: job.definition,
            hostName: "host",
            path: `/${job.kind.name}/${job.definition.id}`,
        });
    }
    for (const job of world.jobs.values()) {
        if (job.cancelAtMs !== undefined && job.cancelAtMs <= nowMs && job.cancelAtMs > nowMs - stepMs) {
            world.index += 1;
            world.machine.applyCommand(world.index, {
                kind: "cancelJob",
                nowMs: epochMs + nowMs,
                job: job.definition.id,
            });
        }
    }
}

/** Plays a load for a time, and for `finishMs` more without new jobs; the same for the same seed. */
export function replayLoad(load: Load, lengthMs: number, finishMs: number, seed: number): readonly TallyRow[] {
    const world = createWorld(load, seed);
    const arrivals = generateJobs(load, lengthMs, world.random);
    for (let nowMs = 0; nowMs < warmUpMs + lengthMs + finishMs; nowMs += stepMs) {
        applyCallers(world, arrivals, nowMs);
        for (const [worker, runs] of world.runsByWorker) {
            const state = world.machine.state.workers.get(worker);
            if (state !== undefined) {
                advanceWorker(state, [...runs.values()], world.findDisturbance, nowMs, stepMs);
            }
        }
        endFinished(world, nowMs);
        reportWorkers(world, nowMs);
        planWorkerPaces(world, nowMs);
        planStep(world, nowMs);
        world.tally.observe(
            world.machine.state,
            world.jobs,
            world.runsByWorker,
            epochMs,
            nowMs,
            nowMs >= warmUpMs && nowMs < warmUpMs + lengthMs,
        );
    }
    return world.tally.summarize(world.machine.state, world.jobs, epochMs);
}
