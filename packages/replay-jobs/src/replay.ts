import { createRunKey, formatRunKey } from "@chestnutspool/job-state";
import {
    hasUncertainPairs,
    listObsoleteRuns,
    listStalledRuns,
    observeMargins,
    type PlanInput,
    planPaces,
    planStarts,
    recordUsage,
} from "@chestnutspool/plan-jobs";
import { takeEndedWaits } from "@chestnutspool/plan-placement-waits";
import { listReservations, planPreemptions, type PreemptionInput } from "@chestnutspool/plan-preemption";
import { createRunStatus } from "@chestnutspool/track-workers";
import type { RunEnd, RunOutcome, RunStart } from "@chestnutspool/types";
import { generateJobs, type SimulatedJob, warmUpMs } from "./generate-jobs.js";
import type { Load } from "./load.js";
import { drawWorkMs, getRunRandom } from "./simulated-copies.js";
import { createQueue } from "./simulated-pool.js";
import { findDistance, recordRunTime } from "./simulated-racks.js";
import { doubtfulSpeed } from "./simulated-speeds.js";
import { computeResumedMs, formatCheckpoint, isStopped } from "./simulated-stops.js";
import { advanceWorker, type SimulatedRun } from "./simulated-workers.js";
import { createSimulation, epochMs, type ReplayOptions, reportIntervalMs, type Simulation } from "./simulation.js";
import type { TallyRow } from "./tally.js";

/** Length of one simulation step, in milliseconds. */
const stepMs = 20;
/** Report interval of a worker that runs pairs of images with unknown interference or seems slow, in milliseconds. */
const learningReportIntervalMs = 300;
/** Interval at which paces are planned, in milliseconds. */
const paceIntervalMs = 160;
/** Number of times that a refused caller comes back. */
const retryLimit = 4;
const millisecondsPerSecond = 1_000;
/** Share of the runs on idle processors that use only a part of their declared processors. */
const partialUseTaskShare = 0.4;
/** Share of the declared processors that such a run uses. */
const partialUse = 0.68;
/** Largest error of a tail latency reading, as a share of the true value. */
const tailReadingErrorShare = 0.15;

/** A caller's attempt to submit a job. */
interface Attempt {
    readonly job: SimulatedJob;
    readonly attempt: number;
    readonly atMs: number;
}

function endRun(simulation: Simulation, worker: string, run: SimulatedRun, outcome: RunOutcome, nowMs: number): void {
    const key = createRunKey(run.run);
    const end: RunEnd = { ...key, outcome, checkpoint: formatCheckpoint(run, simulation.load) };
    if (outcome === "succeeded") {
        recordRunTime(simulation.placementWaits, run.run, run.distance === "far", nowMs - run.startedAtMs);
        simulation.admission?.recordEnd(run.run.step.spec, nowMs);
    }
    const statuses = simulation.runStatusesByWorker.get(worker);
    simulation.copies?.observeEnd(worker, statuses, end, nowMs);
    simulation.speeds?.observeEnd(simulation.machine.state, worker, run.run, statuses, end, nowMs);
    simulation.runsByWorker.get(worker)?.delete(formatRunKey(key));
    statuses?.delete(formatRunKey(key));
    simulation.commandIndex += 1;
    simulation.machine.applyCommand(simulation.commandIndex, {
        kind: "endRuns",
        nowMs: epochMs + nowMs,
        worker,
        ends: [end],
    });
}

/** Orders the stop of a run, which then takes `stopMs` of the load. */
function stopRun(simulation: Simulation, worker: string, runKey: string, nowMs: number): void {
    const run = simulation.runsByWorker.get(worker)?.get(runKey);
    const status = simulation.runStatusesByWorker.get(worker)?.get(runKey);
    if (run === undefined || status === undefined || status.stopWantedAtMs !== undefined) {
        return;
    }
    status.stopWantedAtMs = nowMs;
    run.stopOrderedAtMs = nowMs;
    if (isStopped(run, simulation.load, nowMs)) {
        endRun(simulation, worker, run, "stopped", nowMs);
    }
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
            else if (isStopped(run, simulation.load, nowMs)) {
                endRun(simulation, worker, run, "stopped", nowMs);
            }
        }
    }
}

function chooseReportIntervalMs(
    { speeds }: Simulation,
    worker: string,
    hasPairsToLearn: boolean,
    nowMs: number,
): number {
    const isDoubtful = speeds !== undefined && speeds.predictSpeed(worker, nowMs) < doubtfulSpeed;
    return hasPairsToLearn || isDoubtful ? learningReportIntervalMs : reportIntervalMs;
}

function reportWorkers(simulation: Simulation, nowMs: number): void {
    for (const [worker, lastMs] of simulation.reportedAtMs) {
        const state = simulation.machine.state.workers.get(worker);
        const statuses = simulation.runStatusesByWorker.get(worker);
        const history = simulation.usageByWorker.get(worker);
        const hasPairsToLearn = state !== undefined && statuses !== undefined
            && hasUncertainPairs(state, statuses, simulation.interference);
        if (
            nowMs - lastMs < chooseReportIntervalMs(simulation, worker, hasPairsToLearn, nowMs) || state === undefined
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
                const checkpoint = formatCheckpoint(run, simulation.load);
                if (checkpoint !== status.checkpoint) {
                    status.checkpoint = checkpoint;
                    status.checkpointAtMs = (status.readAtMs + nowMs) / 2;
                }
                status.readAtMs = nowMs;
            }
        }
        recordUsage(state, statuses, history, nowMs);
        observeMargins(state, statuses, simulation.interference, history, nowMs);
        simulation.speeds?.observeReport(simulation.machine.state, worker, statuses, nowMs);
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
        for (const change of planPaces(state, statuses, simulation.interference, "fine")) {
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
    const { state } = simulation.machine;
    const info = state.workers.get(start.worker)?.info;
    const distance = info === undefined ? "none" : findDistance(run, state, info);
    const random = getRunRandom(simulation.random, simulation.seed, job, run);
    const failingShare = simulation.uneven.findFailingShare(Number(start.worker.slice(1)), nowMs);
    const willFail = random.drawShare() < Math.max(job.kind.failureShare, failingShare);
    simulation.runsByWorker.get(start.worker)?.set(key, {
        run,
        job,
        startedAtMs: nowMs,
        distance,
        workMs: drawWorkMs(random, job, run) * (distance === "far" ? simulation.load.farFactor : 1),
        doneMs: computeResumedMs(run.task.checkpoint, simulation.load),
        stopOrderedAtMs: undefined,
        useShare: random.drawShare() < partialUseTaskShare ? partialUse : 1,
        failsAfterShare: willFail && job.kind.execution.kind !== "serving" ? random.drawShare() : undefined,
        percent: 100,
        disturbancePhase: random.drawShare(),
        milliCpu: 0,
        tailMs: 0,
        isOverTarget: false,
    });
    simulation.runStatusesByWorker.get(start.worker)?.set(key, createRunStatus(createRunKey(run), "confirmed", nowMs));
    simulation.admission?.recordStart(run.step.spec, nowMs);
    simulation.tally.countStart(distance);
}

function preemptRuns(simulation: Simulation, input: PreemptionInput, nowMs: number): void {
    const { preemption, runCall, tally } = simulation;
    if (preemption === undefined) {
        return;
    }
    const { preemptions } = runCall("planPreemptions", () => planPreemptions(input, preemption, nowMs));
    for (const { worker, victims } of preemptions) {
        victims.forEach(({ runKey }) => stopRun(simulation, worker, runKey, nowMs));
        tally.countPreemptions(victims.length);
    }
}

function performSchedulingPass(simulation: Simulation, nowMs: number): void {
    // Before the other runs of their tasks are stopped.
    simulation.copies?.takeOutcomes(nowMs);
    const { speeds } = simulation;
    const { state } = simulation.machine;
    for (const worker of state.workers.values()) {
        listObsoleteRuns(worker).forEach(key => stopRun(simulation, worker.info.id, key, nowMs));
    }
    const { stopMs } = simulation.load.stops ?? { stopMs: 0 };
    const reservations = simulation.preemption === undefined
        ? []
        : listReservations(simulation.preemption, state, stopMs, nowMs);
    const input: PlanInput = {
        state,
        reservations,
        isUsable: () => true,
        findStartLimit: () => undefined,
        findFailedWorker: () => undefined,
        interference: simulation.interference,
        findRunStatuses: (worker: string) => simulation.runStatusesByWorker.get(worker),
        predictSpeed: speeds === undefined
            ? undefined
            : (worker: string) => speeds.predictSpeed(worker, nowMs),
        placementWaits: simulation.placementWaits,
    };
    const { moves } = simulation.planMemory;
    const stalled = simulation.runCall("listStalledRuns", () => listStalledRuns(input, nowMs, moves));
    for (const { worker, runKey } of stalled) {
        stopRun(simulation, worker, runKey, nowMs);
    }
    const { startsPerSecond } = simulation.load;
    simulation.startAllowance = startsPerSecond === undefined
        ? Number.POSITIVE_INFINITY
        : Math.min(1, simulation.startAllowance) + startsPerSecond * stepMs / millisecondsPerSecond;
    const planned = simulation.runCall(
        "planStarts",
        () => planStarts(input, epochMs + nowMs, simulation.planMemory),
    );
    const copies = simulation.runCall("planCopies", () => simulation.copies?.planCopies(input, planned, nowMs) ?? []);
    planned.push(...copies);
    if (simulation.placementWaits !== undefined) {
        simulation.tally.recordWaits(takeEndedWaits(simulation.placementWaits.memory));
    }
    const starts = planned.slice(0, Math.floor(simulation.startAllowance));
    simulation.startAllowance -= starts.length;
    preemptRuns(simulation, { ...input, starts, wallMs: epochMs + nowMs, stopMs }, nowMs);
    simulation.admission?.observe(simulation.machine.state, starts.length < planned.length, epochMs, nowMs);
    if (starts.length > 0) {
        simulation.commandIndex += 1;
        simulation.machine.applyCommand(simulation.commandIndex, { kind: "startRuns", nowMs: epochMs + nowMs, starts });
        starts.forEach(start => startRun(simulation, start, nowMs));
        simulation.copies?.followStarts(starts, nowMs);
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

/** Replays a load for `lengthMs`, then for `finishMs` without new jobs. The same seed gives the same result. */
export function replayLoad(
    load: Load,
    lengthMs: number,
    finishMs: number,
    seed: number,
    {
        hasAdmission = false,
        hasPreemption = true,
        hasWaits = false,
        runCall = (part, call) => call(),
        hasCopies = true,
        observeCopy = () => undefined,
        learnsSpeeds = false,
        observeState = () => undefined,
    }: ReplayOptions = {},
): readonly TallyRow[] {
    const options = {
        hasAdmission,
        hasPreemption,
        hasWaits,
        runCall,
        hasCopies,
        observeCopy,
        learnsSpeeds,
        observeState,
    };
    const simulation = createSimulation(load, seed, options);
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
                const speed = simulation.uneven.findSpeed(Number(worker.slice(1)), nowMs);
                advanceWorker(state, [...runs.values()], simulation.findDisturbance, nowMs, stepMs, speed);
            }
        }
        endFinishedRuns(simulation, nowMs);
        reportWorkers(simulation, nowMs);
        if (nowMs % paceIntervalMs === 0) {
            runCall("planPaces", () => planWorkerPaces(simulation, nowMs));
        }
        performSchedulingPass(simulation, nowMs);
        observeState(simulation.machine.state, nowMs);
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
