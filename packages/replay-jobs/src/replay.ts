import { createJobMachine, formatRunKey, type JobMachine, type WorkerRun } from "@chestnutspool/job-state";
import {
    createInterferenceModel,
    createUsageHistory,
    type InterferenceModel,
    type UsageHistory,
} from "@chestnutspool/learn-interference";
import {
    createPlanMemory,
    hasUncertainPairs,
    listObsoleteRuns,
    listStalledRuns,
    observeMargins,
    type PlanMemory,
    planPaces,
    planStarts,
    recordUsage,
} from "@chestnutspool/plan-jobs";
import { createRunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import type { QueueSettings, RunEnd, RunKey, RunOutcome, RunStart, WorkerInfo } from "@chestnutspool/types";
import { generateJobs, type SimulatedJob, warmUpMs } from "./generate-jobs.js";
import type { JobKind, Load } from "./load.js";
import { createRandom, type Random } from "./random.js";
import { createSimulatedAdmission, type SimulatedAdmission } from "./simulated-admission.js";
import { advanceWorker, drawDisturbances, type SimulatedRun } from "./simulated-workers.js";
import { createTally, type Tally, type TallyRow } from "./tally.js";

/** Length of one simulation step, in milliseconds. */
const stepMs = 20;
/** Interval at which a worker reports while none of its runs ends, in milliseconds. */
const reportIntervalMs = 900;
/** Report interval of a worker that runs pairs of images with unknown interference, in milliseconds. */
const learningReportIntervalMs = 300;
/** Interval at which paces are planned, in milliseconds. */
const paceIntervalMs = 160;
const service = "pool";
/** Number of times that a refused caller comes back. */
const retryLimit = 4;
const millisecondsPerSecond = 1_000;
/** Share of the runs on idle processors that use only a part of their declared processors. */
const partialUseTaskShare = 0.4;
/** Share of the declared processors that such a run uses. */
const partialUse = 0.68;
/** Largest error of a tail latency reading, as a share of the true value. */
const tailReadingErrorShare = 0.15;
/** Start of the simulated wall clock; above 0, so that no timestamp is 0. */
const epochMs = 1_000_000;

/** Part of the planner that a replay calls. */
export type PlannerPart = "planStarts" | "listStalledRuns" | "planPaces";

/** Runs one call of a part of the planner, so that a tool can measure it. */
export type PlannerCallRunner = <Result>(part: PlannerPart, call: () => Result) => Result;

/** A caller's attempt to submit a job. */
interface Attempt {
    readonly job: SimulatedJob;
    readonly attempt: number;
    readonly atMs: number;
}

interface Simulation {
    readonly load: Load;
    readonly runCall: PlannerCallRunner;
    readonly machine: JobMachine;
    readonly interference: InterferenceModel;
    readonly random: Random;
    readonly runsByWorker: Map<string, Map<string, SimulatedRun>>;
    readonly runStatusesByWorker: Map<string, RunStatuses>;
    readonly reportedAtMs: Map<string, number>;
    readonly usageByWorker: Map<string, UsageHistory>;
    readonly jobs: Map<string, SimulatedJob>;
    readonly findDisturbance: (image: string, other: string) => number;
    readonly planMemory: PlanMemory;
    readonly tally: Tally;
    /** Decides about new jobs; undefined if all are accepted. */
    readonly admission: SimulatedAdmission | undefined;
    /** Starts that the leader can still order at this moment. */
    startAllowance: number;
    commandIndex: number;
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
    const size = load.sizeFactors[number % load.sizeFactors.length] ?? 1;
    return {
        id: `w${String(number).padStart(4, "0")}`,
        address: "127.0.0.1:1",
        service,
        availabilityZone: "z",
        capacity: { milliCpu: load.milliCpu * size, memoryMib: load.memoryMib * size, accelerators: 0 },
        labels: ["a", `r${Math.floor(number / load.workersPerRack)}`],
    };
}

function createSimulation(load: Load, seed: number, { hasAdmission, runCall }: Required<ReplayOptions>): Simulation {
    const random = createRandom(seed);
    const machine = createJobMachine();
    const simulation: Simulation = {
        load,
        runCall,
        machine,
        interference: createInterferenceModel(),
        random,
        runsByWorker: new Map(),
        runStatusesByWorker: new Map(),
        reportedAtMs: new Map(),
        usageByWorker: new Map(),
        jobs: new Map(),
        findDisturbance: drawDisturbances(load, random),
        planMemory: createPlanMemory(),
        tally: createTally(load),
        admission: hasAdmission ? createSimulatedAdmission(load) : undefined,
        startAllowance: 0,
        commandIndex: 0,
    };
    simulation.commandIndex += 1;
    machine.applyCommand(simulation.commandIndex, {
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
        simulation.commandIndex += 1;
        machine.applyCommand(simulation.commandIndex, { kind: "registerWorker", nowMs: epochMs, worker });
        simulation.runsByWorker.set(worker.id, new Map());
        simulation.runStatusesByWorker.set(worker.id, new Map());
        simulation.usageByWorker.set(worker.id, createUsageHistory());
        simulation.reportedAtMs.set(worker.id, simulation.random.drawShare() * reportIntervalMs);
    }
    return simulation;
}

function createRunKey({ job, occurrence, step, task, run }: WorkerRun): RunKey {
    return { job: job.id, occurrence: occurrence.number, step: step.position, position: task.position, run };
}

function endRun(simulation: Simulation, worker: string, run: SimulatedRun, outcome: RunOutcome, nowMs: number): void {
    const key = createRunKey(run.run);
    const end: RunEnd = { ...key, outcome, checkpoint: "" };
    if (outcome === "succeeded") {
        simulation.admission?.recordEnd(run.run.step.spec, nowMs);
    }
    simulation.runsByWorker.get(worker)?.delete(formatRunKey(key));
    simulation.runStatusesByWorker.get(worker)?.delete(formatRunKey(key));
    simulation.commandIndex += 1;
    simulation.machine.applyCommand(simulation.commandIndex, {
        kind: "endRuns",
        nowMs: epochMs + nowMs,
        worker,
        ends: [end],
    });
}

function endFinishedRuns(simulation: Simulation, nowMs: number): void {
    for (const [worker, runs] of simulation.runsByWorker) {
        for (const run of [...runs.values()]) {
            const isServing = run.job.kind.execution.kind === "serving";
            if (run.failsAfterShare !== undefined && run.doneMs >= run.workMs * run.failsAfterShare) {
                endRun(simulation, worker, run, "failed", nowMs);
            }
            else if (!isServing && run.doneMs >= run.workMs) {
                endRun(simulation, worker, run, "succeeded", nowMs);
            }
        }
    }
}

function reportWorkers(simulation: Simulation, nowMs: number): void {
    for (const [worker, lastMs] of simulation.reportedAtMs) {
        const state = simulation.machine.state.workers.get(worker);
        const statuses = simulation.runStatusesByWorker.get(worker);
        const history = simulation.usageByWorker.get(worker);
        const hasPairsToLearn = state !== undefined && statuses !== undefined
            && hasUncertainPairs(state, statuses, simulation.interference);
        if (
            nowMs - lastMs < (hasPairsToLearn ? learningReportIntervalMs : reportIntervalMs) || state === undefined
            || statuses === undefined
            || history === undefined
        ) {
            continue;
        }
        simulation.reportedAtMs.set(worker, nowMs);
        for (const [key, run] of simulation.runsByWorker.get(worker) ?? []) {
            const status = statuses.get(key);
            if (status !== undefined) {
                const isServing = run.job.kind.execution.kind === "serving";
                const percent = isServing ? 100 : Math.floor(100 * run.doneMs / run.workMs);
                status.progressAtMs = percent === status.progressPercent ? status.progressAtMs : nowMs;
                status.progressPercent = percent;
                status.lastReading = Math.round(
                    isServing
                        ? run.tailMs * (1 + tailReadingErrorShare * (2 * simulation.random.drawShare() - 1))
                        : run.milliCpu,
                );
                status.readAtMs = nowMs;
            }
        }
        recordUsage(state, statuses, history, nowMs);
        observeMargins(state, statuses, simulation.interference, history, nowMs);
    }
}

function planWorkerPaces(simulation: Simulation, nowMs: number): void {
    for (const [worker, runs] of simulation.runsByWorker) {
        const state = simulation.machine.state.workers.get(worker);
        const statuses = simulation.runStatusesByWorker.get(worker);
        const history = simulation.usageByWorker.get(worker);
        if (state === undefined || statuses === undefined || history === undefined) {
            continue;
        }
        recordUsage(state, statuses, history, nowMs);
        for (const change of planPaces(state, statuses, simulation.interference)) {
            const status = statuses.get(change.runKey);
            const run = runs.get(change.runKey);
            if (status !== undefined && run !== undefined) {
                status.pacePercent = change.percent;
                status.paceChangedAtMs = nowMs;
                run.percent = change.percent;
                simulation.tally.countPaceChange();
            }
        }
    }
}

function startRun(simulation: Simulation, start: RunStart, nowMs: number): void {
    const key = formatRunKey(start);
    const run = simulation.machine.state.workers.get(start.worker)?.runs.get(key);
    const job = simulation.jobs.get(start.job);
    if (run === undefined || job === undefined) {
        return;
    }
    const willFail = simulation.random.drawShare() < job.kind.failureShare;
    simulation.runsByWorker.get(start.worker)?.set(key, {
        run,
        job,
        startedAtMs: nowMs,
        workMs: job.workMs[start.step]?.[start.position] ?? job.kind.workMs.mean,
        doneMs: 0,
        useShare: simulation.random.drawShare() < partialUseTaskShare ? partialUse : 1,
        failsAfterShare: willFail && job.kind.execution.kind !== "serving" ? simulation.random.drawShare() : undefined,
        percent: 100,
        disturbancePhase: simulation.random.drawShare(),
        milliCpu: 0,
        tailMs: 0,
        isOverTarget: false,
    });
    simulation.runStatusesByWorker.get(start.worker)?.set(key, createRunStatus(createRunKey(run), "confirmed", nowMs));
    simulation.admission?.recordStart(run.step.spec, nowMs);
    simulation.tally.countStart();
}

function performSchedulingPass(simulation: Simulation, nowMs: number): void {
    for (const [worker, runs] of simulation.runsByWorker) {
        const state = simulation.machine.state.workers.get(worker);
        for (const key of state === undefined ? [] : listObsoleteRuns(state)) {
            const run = runs.get(key);
            if (run !== undefined) {
                endRun(simulation, worker, run, "stopped", nowMs);
            }
        }
    }
    const input = {
        state: simulation.machine.state,
        isUsable: () => true,
        findStartLimit: () => undefined,
        findFailedWorker: () => undefined,
        interference: simulation.interference,
        findRunStatuses: (worker: string) => simulation.runStatusesByWorker.get(worker),
    };
    for (const { worker, runKey } of simulation.runCall("listStalledRuns", () => listStalledRuns(input, nowMs))) {
        const run = simulation.runsByWorker.get(worker)?.get(runKey);
        if (run !== undefined) {
            endRun(simulation, worker, run, "stopped", nowMs);
        }
    }
    const { startsPerSecond } = simulation.load;
    simulation.startAllowance = startsPerSecond === undefined
        ? Number.POSITIVE_INFINITY
        : Math.min(1, simulation.startAllowance) + startsPerSecond * stepMs / millisecondsPerSecond;
    const planned = simulation.runCall(
        "planStarts",
        () => planStarts(input, epochMs + nowMs, simulation.planMemory),
    );
    const starts = planned.slice(0, Math.floor(simulation.startAllowance));
    simulation.startAllowance -= starts.length;
    simulation.admission?.observe(simulation.machine.state, starts.length < planned.length, epochMs, nowMs);
    if (starts.length > 0) {
        simulation.commandIndex += 1;
        simulation.machine.applyCommand(simulation.commandIndex, { kind: "startRuns", nowMs: epochMs + nowMs, starts });
        starts.forEach(start => startRun(simulation, start, nowMs));
    }
}

/** Submits a job, or lets its caller come back later if it is refused. */
function submitJob(
    simulation: Simulation,
    job: SimulatedJob,
    attempts: Attempt[],
    attempt: number,
    nowMs: number,
): void {
    simulation.jobs.set(job.definition.id, job);
    const retryAfterMs = simulation.admission?.refuse(job, createQueue(job.kind), epochMs, nowMs);
    if (retryAfterMs !== undefined) {
        simulation.tally.countRefusal(job);
        if (attempt < retryLimit) {
            attempts.push({ job, attempt: attempt + 1, atMs: nowMs + retryAfterMs });
        }
        return;
    }
    simulation.commandIndex += 1;
    simulation.machine.applyCommand(simulation.commandIndex, {
        kind: "submitJob",
        nowMs: epochMs + nowMs,
        spec: job.definition,
        hostName: "host",
        path: `/${job.kind.name}/${job.definition.id}`,
    });
}

function submitAndCancelJobs(simulation: Simulation, attempts: Attempt[], nowMs: number): void {
    const due = attempts.filter(({ atMs }) => atMs <= nowMs);
    attempts.splice(0, attempts.length, ...attempts.filter(({ atMs }) => atMs > nowMs));
    due.forEach(({ job, attempt }) => submitJob(simulation, job, attempts, attempt, nowMs));
    for (const job of simulation.jobs.values()) {
        if (job.cancelAtMs !== undefined && job.cancelAtMs <= nowMs && job.cancelAtMs > nowMs - stepMs) {
            simulation.commandIndex += 1;
            simulation.machine.applyCommand(simulation.commandIndex, {
                kind: "cancelJob",
                nowMs: epochMs + nowMs,
                job: job.definition.id,
            });
        }
    }
}

/** Parts of a replay that may differ. */
export interface ReplayOptions {
    /** Whether jobs that would end too late are refused and their callers come back; by default all are accepted. */
    readonly hasAdmission?: boolean;
    /** Runs the calls of the planner; by default it only makes them. */
    readonly runCall?: PlannerCallRunner;
}

/** Replays a load for `lengthMs`, then for `finishMs` without new jobs. The same seed gives the same result. */
export function replayLoad(
    load: Load,
    lengthMs: number,
    finishMs: number,
    seed: number,
    { hasAdmission = false, runCall = (part, call) => call() }: ReplayOptions = {},
): readonly TallyRow[] {
    const simulation = createSimulation(load, seed, { hasAdmission, runCall });
    const attempts = generateJobs(load, lengthMs, simulation.random).map((job): Attempt => ({
        job,
        attempt: 0,
        atMs: job.arrivesAtMs,
    }));
    for (let nowMs = 0; nowMs < warmUpMs + lengthMs + finishMs; nowMs += stepMs) {
        submitAndCancelJobs(simulation, attempts, nowMs);
        for (const [worker, runs] of simulation.runsByWorker) {
            const state = simulation.machine.state.workers.get(worker);
            if (state !== undefined) {
                advanceWorker(state, [...runs.values()], simulation.findDisturbance, nowMs, stepMs);
            }
        }
        endFinishedRuns(simulation, nowMs);
        reportWorkers(simulation, nowMs);
        if (nowMs % paceIntervalMs === 0) {
            runCall("planPaces", () => planWorkerPaces(simulation, nowMs));
        }
        performSchedulingPass(simulation, nowMs);
        simulation.tally.observe(
            simulation.machine.state,
            simulation.jobs,
            simulation.runsByWorker,
            epochMs,
            nowMs,
            nowMs >= warmUpMs && nowMs < warmUpMs + lengthMs,
        );
    }
    return simulation.tally.summarize(simulation.machine.state, simulation.jobs, epochMs);
}
