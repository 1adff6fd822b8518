import { createRunKey, formatRunKey } from "@chestnutspool/job-state";
import type { RunEnd, RunStart } from "@chestnutspool/types";
import { drawWorkMs, getRunRandom } from "./simulated-copies.js";
import { findDistance, recordRunTime } from "./simulated-racks.js";
import { computeResumedMs, formatCheckpoint, isStopped } from "./simulated-stops.js";
import { type EndedRun, epochMs, type Simulation } from "./simulation.js";

/** Share of the runs on idle processors that use only a part of their declared processors. */
const partialUseTaskShare = 0.4;
/** Share of the declared processors that such a run uses. */
const partialUse = 0.68;

/** Applies the end of a run. */
export function endRun(simulation: Simulation, worker: string, { run, outcome }: EndedRun, nowMs: number): void {
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
export function stopRun(simulation: Simulation, worker: string, runKey: string, nowMs: number): void {
    const run = simulation.runsByWorker.get(worker)?.get(runKey);
    const status = simulation.runStatusesByWorker.get(worker)?.get(runKey);
    if (run === undefined || status === undefined || status.stopWantedAtMs !== undefined) {
        return;
    }
    status.stopWantedAtMs = nowMs;
    sendOrder(simulation, nowMs, arrivesAtMs => {
        run.stopOrderedAtMs = arrivesAtMs;
        if (run.hasEnded !== true && isStopped(run, simulation.load, arrivesAtMs)) {
            finishRun(simulation, worker, { run, outcome: "stopped" }, arrivesAtMs);
        }
    });
}

/** Sends an order to a worker: at once, or when a leader whose work takes time gets to it. */
export function sendOrder({ leader }: Simulation, nowMs: number, perform: (nowMs: number) => void): void {
    if (leader === undefined) {
        perform(nowMs);
    }
    else {
        leader.addWork(leader.processor.prices.orderMs, perform);
    }
}

/** Ends a run on its worker; a leader whose work takes time learns it by the next report. */
function finishRun(simulation: Simulation, worker: string, endedRun: EndedRun, nowMs: number): void {
    if (simulation.leader === undefined) {
        endRun(simulation, worker, endedRun, nowMs);
        return;
    }
    endedRun.run.hasEnded = true;
    const ended = simulation.endedRuns.get(worker) ?? [];
    ended.push(endedRun);
    simulation.endedRuns.set(worker, ended);
}

/** Ends the runs that have done their work, fail or were stopped. */
export function endFinishedRuns(simulation: Simulation, nowMs: number): void {
    for (const [worker, runs] of simulation.runsByWorker) {
        for (const run of [...runs.values()].filter(({ hasEnded }) => hasEnded !== true)) {
            const isServing = run.job.kind.execution.kind === "serving";
            if (run.failsAfterShare !== undefined && run.doneMs >= run.workMs * run.failsAfterShare) {
                finishRun(simulation, worker, { run, outcome: "failed" }, nowMs);
            }
            else if (!isServing && run.doneMs >= run.workMs) {
                finishRun(simulation, worker, { run, outcome: "succeeded" }, nowMs);
            }
            else if (isStopped(run, simulation.load, nowMs)) {
                finishRun(simulation, worker, { run, outcome: "stopped" }, nowMs);
            }
        }
    }
}

/** Starts a recorded run on its worker. */
export function startRun(simulation: Simulation, start: RunStart, nowMs: number): void {
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
    simulation.admission?.recordStart(run.step.spec, nowMs);
    simulation.tally.countStart(distance);
}
