/**
 * Model of how fast each worker is, and of the share of its runs that fail. A run progresses at a rate in percent per
 * millisecond; the rate of its siblings on other workers is the measure, because declared run times are wrong by up to a
 * factor of ten. The logarithm of the quotient is one observation of the worker's speed:
 *
 *     log speed(worker) = mean of log(rate of a run / typical rate of its siblings)
 *
 * A run that is observed all the time has the weight of one observation, however often reports arrive. The evidence
 * halves within less than a second, so that a worker that has recovered is trusted again.
 */

import { setLatest, type WorkerId, type WorkerSpeedEstimate } from "@chestnutspool/types";
import { computeRemainingShare } from "./decaying-sums.js";
import { createGroupedSums, type GroupedSums, type WorkerPlace } from "./grouped-sums.js";
import { createStepRates, type StepRates } from "./step-rates.js";

/** A run whose progress or end is observed. */
export interface ObservedRun extends WorkerPlace {
    /** Keys of the run and of its step, and the name of its queue. */
    readonly run: string;
    readonly step: string;
    readonly queue: string;
    /** How much the run says about its worker, from 0 to 1. */
    readonly confidence: number;
    /** Monotonic time of its start in milliseconds; undefined if it is unknown or the run resumed from a checkpoint. */
    readonly startedAtMs: number | undefined;
}

/** Half-life of the evidence about speed, in milliseconds; a worker is to be recognised and trusted in about 1.5 s. */
const speedHalfLifeMs = 500;
/** Half-life of the evidence about failures, in milliseconds; a worker ends some runs per second. */
const failureHalfLifeMs = 4_000;
/** Least time between two observations of a run, in milliseconds; progress is reported in whole percent. */
const minWindowMs = 200;
/**
 * Bounds of one observation. A task with ten times the work of its siblings must not outweigh several normal ones on its
 * worker, and a short task no slow ones.
 */
const lowestLogSpeed = Math.log(1 / 8);
const highestLogSpeed = Math.log(1.5);
/**
 * Speed from which an observation counts as normal, and its weight compared with one of a slow run. One task in 30 takes
 * seven times as long as its siblings on a normal worker, while hardly any looks normal on a slow one.
 */
const normalLogSpeed = Math.log(0.6);
const normalWeight = 2;
/** Interval at which the slowdown that most workers share is computed, in milliseconds. */
const commonIntervalMs = 250;
/** Quantile of the workers' means that counts as common; above one half, because one worker in six may be slow. */
const commonQuantile = 0.6;
/** Least weight of evidence with which a worker counts there, and least number of such workers. */
const commonLeastWeight = 0.5;
const commonLeastWorkers = 5;
/** Lowest speed that is predicted. */
const lowestSpeed = 0.1;
/** Speed of a worker that says it is cold. */
const coldSpeed = 0.3;
/** Share of the runs that fail on any worker, and the weight of this prior, in ends. */
const usualFailureShare = 0.05;
const usualFailureWeight = 20;
/** Weight of the mean of its rack in the estimate of a worker's speed, in observations. */
const workerPriorWeight = 0.6;
/** Limits of the runs and workers that are kept; the oldest are dropped first. */
const runLimit = 30_000;
const workerLimit = 5_000;
/** Speed below which a worker counts as slow, and above which it counts as normal again. */
const slowBelow = 0.5;
const normalAbove = 0.7;
/** Age from which an estimate of an earlier leader is dropped, in milliseconds; most slowdowns end within 6.5 s. */
const staleAfterMs = 5_000;
/**
 * Half-life of such an estimate, in milliseconds. It is longer than that of own evidence, because a new leader has none for
 * about a second.
 */
const handoverHalfLifeMs = 2_000;
/** Weights below this number of observations are not listed. */
const negligibleWeight = 0.05;

interface RunRecord {
    progressPercent: number;
    atMs: number;
}

interface WorkerRecord {
    place: WorkerPlace;
    /** When the worker was last observed, in monotonic milliseconds. */
    observedAtMs: number;
    /** Monotonic time in milliseconds until which the worker says it is slow. */
    coldUntilMs: number;
    isSlow: boolean;
    /** Estimate of the speed by an earlier leader. */
    handover: { readonly logSpeed: number; readonly weight: number; readonly recordedAtMs: number; } | undefined;
}

/** Speeds and failure shares of workers. Times are monotonic, in milliseconds. */
export interface SpeedModel {
    readonly runs: Map<string, RunRecord>;
    readonly workers: Map<WorkerId, WorkerRecord>;
    readonly rates: StepRates;
    readonly speeds: GroupedSums;
    readonly failures: GroupedSums;
    /** Typical value of the workers' mean logarithm of the speed, at most 0; and when it was computed. */
    readonly common: { logSpeed: number; atMs: number; };
}

/** What the model says of one worker. */
export interface SpeedEstimate {
    /** Speed as `predictSpeed` returns it. */
    readonly speed: number;
    /** Share of its runs that fail. */
    readonly failureShare: number;
    /** Weight of the evidence about the speed and about failures, in observations. */
    readonly speedWeight: number;
    readonly failureWeight: number;
    /** Time since the last observation in milliseconds; undefined without one. */
    readonly ageMs: number | undefined;
}

/** A worker that has become slow or normal again. */
export interface SpeedChange extends SpeedEstimate {
    readonly worker: WorkerId;
    readonly isSlow: boolean;
}

/** Creates a model without observations, in which all workers are normal. */
export function createSpeedModel(): SpeedModel {
    return {
        runs: new Map(),
        workers: new Map(),
        rates: createStepRates(),
        speeds: createGroupedSums({
            halfLifeMs: speedHalfLifeMs,
            workerPriorWeight,
            rackPriorWeight: 12,
            zonePriorWeight: 60,
        }),
        failures: createGroupedSums({
            halfLifeMs: failureHalfLifeMs,
            workerPriorWeight: 6,
            rackPriorWeight: 12,
            zonePriorWeight: 24,
        }),
        common: { logSpeed: 0, atMs: Number.NEGATIVE_INFINITY },
    };
}

/** Forgets a worker that is gone. */
export function forgetWorker(model: SpeedModel, worker: WorkerId, nowMs: number): void {
    const known = model.workers.get(worker);
    if (known !== undefined) {
        model.speeds.removeWorker(known.place, nowMs);
        model.failures.removeWorker(known.place, nowMs);
        model.workers.delete(worker);
    }
}

function getWorker(model: SpeedModel, place: WorkerPlace, nowMs: number): WorkerRecord {
    const known = model.workers.get(place.worker);
    if (known !== undefined) {
        if (known.place.rack === place.rack && known.place.availabilityZone === place.availabilityZone) {
            return known;
        }
        // The worker has started again elsewhere.
        forgetWorker(model, place.worker, nowMs);
    }
    const { worker, rack, availabilityZone } = place;
    const created: WorkerRecord = {
        place: { worker, rack, availabilityZone },
        observedAtMs: nowMs,
        coldUntilMs: Number.NEGATIVE_INFINITY,
        isSlow: false,
        handover: undefined,
    };
    model.workers.set(worker, created);
    const [oldest] = model.workers.keys();
    if (model.workers.size > workerLimit && oldest !== undefined) {
        forgetWorker(model, oldest, nowMs);
    }
    return created;
}

/** Adds what the progress of a run since its last observation says about its worker. */
function addWindow(model: SpeedModel, run: ObservedRun, percent: number, windowMs: number, nowMs: number): void {
    // Half a percent stands for a progress that rounds to nothing.
    const logRate = Math.log(Math.max(0.5, percent) / windowMs);
    const typical = model.rates.findTypical(run.step, run.queue, run.worker);
    model.rates.recordRate(run.step, run.queue, run.run, run.worker, logRate);
    if (typical === undefined) {
        return;
    }
    const logSpeed = Math.min(highestLogSpeed, Math.max(lowestLogSpeed, logRate - typical.logRate));
    const weight = run.confidence * typical.confidence * (logSpeed >= normalLogSpeed ? normalWeight : 1)
        * (1 - computeRemainingShare(windowMs, speedHalfLifeMs));
    model.speeds.addEvidence(run, { weight, sum: weight * logSpeed }, nowMs);
    getWorker(model, run, nowMs).observedAtMs = nowMs;
}

/** Whether a run was not observed for long enough that its progress tells something. */
export function isProgressDue(
    model: SpeedModel,
    { run, startedAtMs }: Pick<ObservedRun, "run" | "startedAtMs">,
    nowMs: number,
): boolean {
    const observedAtMs = model.runs.get(run)?.atMs ?? startedAtMs;
    return observedAtMs === undefined || nowMs - observedAtMs >= minWindowMs;
}

/** Observes the progress of a run that a report lists. */
export function observeProgress(model: SpeedModel, run: ObservedRun, progressPercent: number, nowMs: number): void {
    if (run.confidence <= 0 || !isProgressDue(model, run, nowMs)) {
        return;
    }
    const known = model.runs.get(run.run)
        ?? (run.startedAtMs === undefined ? undefined : { progressPercent: 0, atMs: run.startedAtMs });
    if (known !== undefined && progressPercent >= known.progressPercent) {
        addWindow(model, run, progressPercent - known.progressPercent, nowMs - known.atMs, nowMs);
    }
    setLatest(model.runs, run.run, { progressPercent, atMs: nowMs }, runLimit);
}

/** Forgets a run that was stopped or lost; its end says nothing about its worker. */
export function forgetRun(model: SpeedModel, run: string): void {
    model.runs.delete(run);
}

/** Observes that a run succeeded or failed. */
export function observeEnd(
    model: SpeedModel,
    run: ObservedRun,
    outcome: "succeeded" | "failed",
    nowMs: number,
): void {
    const known = model.runs.get(run.run)
        ?? (run.startedAtMs === undefined ? undefined : { progressPercent: 0, atMs: run.startedAtMs });
    model.runs.delete(run.run);
    const windowMs = known === undefined ? 0 : nowMs - known.atMs;
    if (outcome === "succeeded" && run.confidence > 0 && known !== undefined && windowMs >= minWindowMs) {
        addWindow(model, run, 100 - known.progressPercent, windowMs, nowMs);
    }
    const isFailed = outcome === "failed";
    // A job that fails on every worker is no sign of a bad worker.
    const shareElsewhere = isFailed ? model.rates.computeFailureShareElsewhere(run.step, run.worker) : 0;
    model.rates.recordEnd(run.step, run.worker, isFailed);
    model.failures.addEvidence(run, { weight: 1, sum: isFailed ? 1 - shareElsewhere : 0 }, nowMs);
    getWorker(model, run, nowMs).observedAtMs = nowMs;
}

/** Records that a worker stays slow until `untilMs` because it has just started; a past time ends this at once. */
export function recordCold(model: SpeedModel, place: WorkerPlace, untilMs: number, nowMs: number): void {
    if (untilMs <= nowMs && !model.workers.has(place.worker)) {
        return;
    }
    getWorker(model, place, nowMs).coldUntilMs = untilMs;
}

/**
 * Computes the slowdown that most workers share. Runs that ended before it are among the siblings of those that go on, so that
 * all workers would look slow after it.
 */
function computeCommonLogSpeed({ speeds, workers, common }: SpeedModel, nowMs: number): number {
    if (nowMs - common.atMs >= commonIntervalMs) {
        const means: number[] = [];
        for (const worker of workers.keys()) {
            const { weight, sum } = speeds.readWorker(worker, nowMs);
            if (weight >= commonLeastWeight) {
                means.push(sum / (weight + workerPriorWeight));
            }
        }
        means.sort((left, right) => left - right);
        common.atMs = nowMs;
        const typical = means.length < commonLeastWorkers ? 0 : means[Math.floor(means.length * commonQuantile)] ?? 0;
        common.logSpeed = Math.min(0, typical);
    }
    return common.logSpeed;
}

/** Estimates the logarithm of a worker's speed from the observations of this leader and of the one before. */
function estimateLogSpeed(model: SpeedModel, { place, handover }: WorkerRecord, nowMs: number): number {
    const mean = model.speeds.estimateMean(place, 0, nowMs) - computeCommonLogSpeed(model, nowMs);
    if (handover === undefined || nowMs - handover.recordedAtMs > staleAfterMs) {
        return mean;
    }
    const weight = model.speeds.readWorker(place.worker, nowMs).weight + workerPriorWeight;
    const handoverWeight = handover.weight * computeRemainingShare(nowMs - handover.recordedAtMs, handoverHalfLifeMs);
    return (mean * weight + handover.logSpeed * handoverWeight) / (weight + handoverWeight);
}

/**
 * Predicts the speed of a worker: 1 for a normal worker or one without observations, 0.2 for one on which runs take five
 * times as long as their siblings.
 */
export function predictSpeed(model: SpeedModel, worker: WorkerId, nowMs: number): number {
    const known = model.workers.get(worker);
    if (known === undefined) {
        return 1;
    }
    const speed = Math.min(1, Math.max(lowestSpeed, Math.exp(estimateLogSpeed(model, known, nowMs))));
    return nowMs < known.coldUntilMs ? Math.min(speed, coldSpeed) : speed;
}

/** Predicts the share of the runs on a worker that fail in excess of those in other zones. */
export function predictFailureShare(model: SpeedModel, worker: WorkerId, nowMs: number): number {
    const known = model.workers.get(worker);
    if (known === undefined) {
        return 0;
    }
    const outside = model.failures.readOutside(known.place.availabilityZone, nowMs);
    const usual = (outside.sum + usualFailureShare * usualFailureWeight) / (outside.weight + usualFailureWeight);
    const share = model.failures.estimateMean(known.place, usual, nowMs);
    return usual >= 1 ? 0 : Math.min(1, Math.max(0, (share - usual) / (1 - usual)));
}

/**
 * Predicts the successful work of a worker per unit of time, compared with a normal one: its speed times the share of its
 * runs that do not fail.
 */
export function predictUsefulSpeed(model: SpeedModel, worker: WorkerId, nowMs: number): number {
    return model.workers.has(worker)
        ? predictSpeed(model, worker, nowMs) * (1 - predictFailureShare(model, worker, nowMs))
        : 1;
}

/** Estimates what is known of a worker. */
export function estimateWorker(model: SpeedModel, worker: WorkerId, nowMs: number): SpeedEstimate {
    const known = model.workers.get(worker);
    return {
        speed: predictSpeed(model, worker, nowMs),
        failureShare: predictFailureShare(model, worker, nowMs),
        speedWeight: model.speeds.readWorker(worker, nowMs).weight,
        failureWeight: model.failures.readWorker(worker, nowMs).weight,
        ageMs: known === undefined ? undefined : nowMs - known.observedAtMs,
    };
}

/** Lists the workers that have become slow or normal again since the last call. */
export function takeSpeedChanges(model: SpeedModel, nowMs: number): readonly SpeedChange[] {
    const changes: SpeedChange[] = [];
    for (const [worker, known] of model.workers) {
        const useful = predictUsefulSpeed(model, worker, nowMs);
        const isSlow = known.isSlow ? useful < normalAbove : useful < slowBelow;
        if (isSlow !== known.isSlow) {
            known.isSlow = isSlow;
            changes.push({ worker, isSlow, ...estimateWorker(model, worker, nowMs) });
        }
    }
    return changes;
}

/** Counts the workers that were slow at the last call of `takeSpeedChanges`. */
export function countSlowWorkers(model: SpeedModel): number {
    let count = 0;
    for (const { isSlow } of model.workers.values()) {
        count += isSlow ? 1 : 0;
    }
    return count;
}

/** Lists the workers with their own evidence, so that the next leader can take it over. */
export function listEstimates(model: SpeedModel, nowMs: number): readonly WorkerSpeedEstimate[] {
    const estimates: WorkerSpeedEstimate[] = [];
    for (const worker of model.workers.keys()) {
        const speed = model.speeds.readWorker(worker, nowMs);
        const failure = model.failures.readWorker(worker, nowMs);
        if (speed.weight >= negligibleWeight || failure.weight >= negligibleWeight) {
            estimates.push({
                worker,
                speed: speed.weight < negligibleWeight ? 1 : Math.exp(speed.sum / speed.weight),
                speedWeight: speed.weight,
                failureShare: failure.weight < negligibleWeight ? 0 : failure.sum / failure.weight,
                failureWeight: failure.weight,
            });
        }
    }
    return estimates;
}

/** Adds an estimate that an earlier leader recorded `ageMs` ago; an old one is dropped, a younger one counts less by its age. */
export function addEstimate(
    model: SpeedModel,
    place: WorkerPlace,
    estimate: WorkerSpeedEstimate,
    ageMs: number,
    nowMs: number,
): void {
    if (ageMs > staleAfterMs) {
        return;
    }
    const recordedAtMs = nowMs - Math.max(0, ageMs);
    const known = getWorker(model, place, nowMs);
    known.observedAtMs = recordedAtMs;
    const logSpeed = Math.log(Math.max(lowestSpeed, estimate.speed));
    known.handover = { logSpeed, weight: estimate.speedWeight, recordedAtMs };
    const failureWeight = estimate.failureWeight * computeRemainingShare(ageMs, failureHalfLifeMs);
    const failures = failureWeight * estimate.failureShare;
    model.failures.addEvidence(place, { weight: failureWeight, sum: failures }, nowMs);
}
