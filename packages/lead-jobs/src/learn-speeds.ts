import type { WorkerRun, WorkerState } from "@chestnutspool/job-state";
import {
    addEstimate,
    createSpeedModel,
    forgetRun,
    listEstimates,
    observeEnd,
    predictUsefulSpeed,
    recordCold,
    takeSpeedChanges,
} from "@chestnutspool/learn-worker-speed";
import { describeObservedRun, getWorkerPlace, observeSpeeds } from "@chestnutspool/plan-jobs";
import type { RunStatus } from "@chestnutspool/track-workers";
import {
    type ErrorData,
    readMonotonicMs,
    type RunEnd,
    type WorkerHeartbeat,
    type WorkerId,
    type WorkerSpeedEstimate,
} from "@chestnutspool/types";
import { Effect } from "effect";
import { readTermMs } from "./steady-clock.js";
import {
    canSendOrders,
    type LeaderDependencies,
    logStepError,
    propose,
    type SpeedLearning,
    type Term,
    type WorkerSession,
} from "./term.js";

/** Interval at which changed speeds are logged and recorded, in milliseconds. */
const recordIntervalMs = 1_000;
/** Estimates in one record. Each takes about 100 bytes, so that the records stay below 5 KB a second. */
const estimatesPerRecord = 40;
/** Useful speed below which an estimate is worth recording; the planner avoids workers below it. */
const recordedBelow = 0.75;
/** Changes of the logarithm of a speed and of a failure share that are recorded. */
const minSpeedChange = 0.3;
const minFailureChange = 0.15;
/** Age from which the estimate of a slow worker is recorded again, in milliseconds; it is dropped after 5 s. */
const refreshAfterMs = 2_500;
/**
 * Time for which a predicted speed is used, in milliseconds. Predictions for 1,300 workers take about 3 ms, and there are up to
 * 40 passes a second.
 */
const predictionMs = 100;
const percent = 100;

/** Creates the speeds of a term with the estimates that earlier leaders recorded; undefined if none are to be learnt. */
export function createSpeedLearning(
    { limits, machine }: Pick<LeaderDependencies, "limits" | "machine">,
    wallMs: number,
    nowMs: number,
): SpeedLearning | undefined {
    if (limits.learnsWorkerSpeed !== true) {
        return undefined;
    }
    const model = createSpeedModel();
    for (const { estimate, recordedAtMs } of machine.state.workerSpeeds.values()) {
        const info = machine.state.workers.get(estimate.worker)?.info;
        if (info !== undefined) {
            addEstimate(model, getWorkerPlace(info), estimate, wallMs - recordedAtMs, nowMs);
        }
    }
    return { model, sinceMs: wallMs, predicted: new Map(), predictedAtMs: nowMs };
}

/** Observes the progress of the runs that a worker has just reported. */
export function observeReportedRuns({ speeds }: Term, session: WorkerSession, state: WorkerState, nowMs: number): void {
    if (speeds !== undefined) {
        observeSpeeds(state, session.runStatuses, speeds.model, speeds.sinceMs, nowMs);
    }
}

/** Observes how a run has ended. */
export function observeRunEnd(
    { speeds }: Term,
    { info }: WorkerSession,
    runKey: string,
    run: WorkerRun,
    status: RunStatus,
    { outcome }: RunEnd,
    nowMs: number,
): void {
    if (speeds === undefined) {
        return;
    }
    if (outcome === "succeeded" || outcome === "failed") {
        observeEnd(speeds.model, describeObservedRun(info, runKey, run, status, speeds.sinceMs), outcome, nowMs);
    }
    else {
        forgetRun(speeds.model, runKey);
    }
}

/** Records how long a worker says it stays slow after its start. */
export function recordColdWorker({ speeds }: Term, { worker, coldRemainingMs }: WorkerHeartbeat, nowMs: number): void {
    if (speeds !== undefined && coldRemainingMs !== undefined) {
        recordCold(speeds.model, getWorkerPlace(worker), nowMs + coldRemainingMs, nowMs);
    }
}

/** Creates a function that predicts the useful speed of a worker; undefined if speeds are not learnt. */
export function createSpeedReader({ speeds }: Term, nowMs: number): ((worker: WorkerId) => number) | undefined {
    if (speeds === undefined) {
        return undefined;
    }
    const { model, predicted } = speeds;
    if (nowMs - speeds.predictedAtMs >= predictionMs) {
        predicted.clear();
        speeds.predictedAtMs = nowMs;
    }
    return worker => {
        const speed = predicted.get(worker) ?? predictUsefulSpeed(model, worker, nowMs);
        predicted.set(worker, speed);
        return speed;
    };
}

/** Whether runs on a worker tell something about its speed. */
export function hasComparableRuns(state: WorkerState): boolean {
    for (const { step } of state.runs.values()) {
        if (!step.spec.longRunning) {
            return true;
        }
    }
    return false;
}

function logSpeedChanges(term: Term, { model }: SpeedLearning, nowMs: number): void {
    for (const change of takeSpeedChanges(model, nowMs)) {
        const { worker, isSlow, speed, failureShare, speedWeight, failureWeight, ageMs } = change;
        term.metrics.countEvent(isSlow ? "workers.slow" : "workers.normal", "", "leader");
        term.logger.info(isSlow ? "worker is slow" : "worker is normal again", {
            worker,
            speedPercent: Math.round(speed * percent),
            failurePercent: Math.round(failureShare * percent),
            ageMs: ageMs === undefined ? undefined : Math.round(ageMs),
            speedRuns: Math.round(speedWeight * 10) / 10,
            endedRuns: Math.round(failureWeight * 10) / 10,
        });
    }
}

function roundEstimate(estimate: WorkerSpeedEstimate): WorkerSpeedEstimate {
    const round = (value: number): number => Math.round(value * percent) / percent;
    return {
        worker: estimate.worker,
        speed: round(estimate.speed),
        speedWeight: round(estimate.speedWeight),
        failureShare: round(estimate.failureShare),
        failureWeight: round(estimate.failureWeight),
    };
}

/** Lists the estimates that the next leader would miss, the slowest workers first. */
function listChangedEstimates(
    { machine }: Term,
    { model }: SpeedLearning,
    wallMs: number,
    nowMs: number,
): WorkerSpeedEstimate[] {
    const { workerSpeeds, workers } = machine.state;
    const isWorthRecording = (estimate: WorkerSpeedEstimate, usefulSpeed: number): boolean => {
        const known = workerSpeeds.get(estimate.worker);
        const isSlow = usefulSpeed < recordedBelow;
        if (known === undefined || wallMs - known.recordedAtMs > refreshAfterMs) {
            return isSlow;
        }
        const { speed, failureShare } = known.estimate;
        return Math.abs(Math.log(estimate.speed) - Math.log(Math.max(0.01, speed))) > minSpeedChange
            || Math.abs(estimate.failureShare - failureShare) > minFailureChange;
    };
    return listEstimates(model, nowMs)
        .filter(({ worker }) => workers.has(worker))
        .map(estimate => ({ estimate, usefulSpeed: predictUsefulSpeed(model, estimate.worker, nowMs) }))
        .filter(({ estimate, usefulSpeed }) => isWorthRecording(estimate, usefulSpeed))
        .sort((left, right) => left.usefulSpeed - right.usefulSpeed)
        .slice(0, estimatesPerRecord)
        .map(({ estimate }) => roundEstimate(estimate));
}

/**
 * Logs workers that have become slow or normal again, and records the changed estimates, until the term ends, so that the next
 * leader has them. Does nothing if speeds are not learnt.
 */
export const runSpeedRecording = Effect.fnUntraced(function*(term: Term) {
    const { speeds } = term;
    if (speeds === undefined) {
        return;
    }
    while (canSendOrders(term, yield* readMonotonicMs)) {
        yield* Effect.sleep(recordIntervalMs);
        const nowMs = yield* readMonotonicMs;
        logSpeedChanges(term, speeds, nowMs);
        const estimates = listChangedEstimates(term, speeds, yield* readTermMs(term), nowMs);
        if (estimates.length > 0) {
            yield* Effect.catch(
                propose(term, { kind: "recordWorkerSpeeds", estimates }),
                (error: ErrorData) => logStepError(term.logger, "record worker speeds", error),
            );
        }
    }
});
