import { generateJobs, type SimulatedJob, warmUpMs } from "./generate-jobs.js";
import type { Load } from "./load.js";
import { planWorkerPaces } from "./simulated-paces.js";
import { isDeferrable, performSchedulingPass, requestPass } from "./simulated-passes.js";
import { createQueue } from "./simulated-pool.js";
import { reportWorkers, sendReports } from "./simulated-reports.js";
import { endFinishedRuns } from "./simulated-runs.js";
import { advanceWorker } from "./simulated-workers.js";
import { createSimulation, epochMs, type ReplayOptions, type Simulation, stepMs } from "./simulation.js";
import type { TallyRow } from "./tally.js";

/** Interval at which paces are planned, in milliseconds. */
const paceIntervalMs = 160;
/** Number of times that a refused caller comes back. */
const retryLimit = 4;

/** A caller's attempt to submit a job. */
interface Attempt {
    readonly job: SimulatedJob;
    readonly attempt: number;
    readonly atMs: number;
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
    if (simulation.leader !== undefined && !isDeferrable(simulation, job.definition.id)) {
        simulation.leader.wake();
    }
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
        leader,
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
        leader,
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
                advanceWorker(
                    state,
                    [...runs.values()].filter(({ hasEnded }) => hasEnded !== true),
                    simulation.findDisturbance,
                    nowMs,
                    stepMs,
                    speed,
                );
            }
        }
        endFinishedRuns(simulation, nowMs);
        if (simulation.leader === undefined) {
            reportWorkers(simulation, nowMs);
        }
        else {
            sendReports(simulation, simulation.leader, nowMs);
        }
        if (nowMs % paceIntervalMs === 0) {
            runCall("planPaces", () => planWorkerPaces(simulation, nowMs));
        }
        if (simulation.leader === undefined) {
            performSchedulingPass(simulation, nowMs);
        }
        else {
            requestPass(simulation, simulation.leader, nowMs);
            simulation.leader.advance(nowMs, stepMs);
        }
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
