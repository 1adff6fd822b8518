import { findRack, formatStepKey, type WorkerRun, type WorkerState } from "@chestnutspool/job-state";
import {
    isProgressDue,
    type ObservedRun,
    observeProgress,
    type SpeedModel,
    type WorkerPlace,
} from "@chestnutspool/learn-worker-speed";
import type { RunStatus, RunStatuses } from "@chestnutspool/track-workers";
import type { WorkerInfo } from "@chestnutspool/types";

/**
 * Evidence of a best-effort task at full pace. The processors that others leave idle decide about its progress at least as
 * much as the speed of the worker.
 */
const bestEffortConfidence = 0.3;
/** Least share of its declared processors that such a task must use to count at all; undisturbed ones use two thirds. */
const leastUsedShare = 0.6;
const fullPacePercent = 100;

/** Returns the place of a worker. */
export function getWorkerPlace(info: WorkerInfo): WorkerPlace {
    return { worker: info.id, rack: findRack(info), availabilityZone: info.availabilityZone };
}

/** Computes how much the progress of a run says about its worker, from 0 to 1. */
function computeConfidence(info: WorkerInfo, { step }: WorkerRun, status: RunStatus): number {
    const { spec } = step;
    const isFar = spec.rackOfData !== undefined && spec.rackOfData !== findRack(info);
    if (spec.longRunning || spec.gang || isFar || status.stopWantedAtMs !== undefined) {
        return 0;
    }
    if (!spec.usesIdleCpu) {
        return 1;
    }
    const isUndisturbed = status.lowestPacePercent >= fullPacePercent && status.lastReading !== undefined
        && status.lastReading >= spec.resources.milliCpu * leastUsedShare;
    return isUndisturbed ? bestEffortConfidence : 0;
}

/**
 * Describes a run to the model of speeds. `sinceMs` is the time of the log, in milliseconds since the epoch, from which on the
 * statuses hold the starts of runs; a run that an earlier leader started, or that resumed from a checkpoint, is observed from
 * its first report on.
 */
export function describeObservedRun(
    info: WorkerInfo,
    runKey: string,
    run: WorkerRun,
    status: RunStatus,
    sinceMs: number,
): ObservedRun {
    return createObservedRun(info, runKey, run, computeConfidence(info, run, status), findStart(run, status, sinceMs));
}

/** Monotonic time of the start of a run in milliseconds; undefined if its progress counts from its first report only. */
function findStart({ task, startedAtMs }: WorkerRun, { orderedAtMs }: RunStatus, sinceMs: number): number | undefined {
    return task.checkpoint === "" && startedAtMs >= sinceMs ? orderedAtMs : undefined;
}

function createObservedRun(
    info: WorkerInfo,
    runKey: string,
    { job, occurrence, step }: WorkerRun,
    confidence: number,
    startedAtMs: number | undefined,
): ObservedRun {
    return {
        worker: info.id,
        rack: findRack(info),
        availabilityZone: info.availabilityZone,
        run: runKey,
        step: formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position }),
        queue: job.queue.name,
        confidence,
        startedAtMs,
    };
}

/** Updates the model with the progress of the runs that the last report of a worker listed. */
export function observeSpeeds(
    state: WorkerState,
    statuses: RunStatuses,
    model: SpeedModel,
    sinceMs: number,
    nowMs: number,
): void {
    for (const [key, run] of state.runs) {
        const status = statuses.get(key);
        if (status === undefined || status.start !== "confirmed" || status.readAtMs !== nowMs) {
            continue;
        }
        // Most runs of a report say nothing, so that they are not described.
        const confidence = computeConfidence(state.info, run, status);
        const startedAtMs = findStart(run, status, sinceMs);
        if (confidence > 0 && isProgressDue(model, { run: key, startedAtMs }, nowMs)) {
            const observed = createObservedRun(state.info, key, run, confidence, startedAtMs);
            observeProgress(model, observed, status.progressPercent, nowMs);
        }
    }
}
