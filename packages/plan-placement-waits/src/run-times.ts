import { setLatest } from "@chestnutspool/types";

/** Identifies the runs whose times resemble each other: the tasks of one step, and those of one queue. */
export interface RunTimeKey {
    readonly queue: string;
    /** Result of `formatStepKey`. */
    readonly step: string;
    /** Declared run time in milliseconds; wrong by up to a factor of ten. */
    readonly declaredMs: number;
}

/** Run times of the tasks of one queue. All means and variances are of natural logarithms. */
interface QueueRunTimes {
    runs: number;
    /** Run time in milliseconds. */
    mean: number;
    variance: number;
    /** Run time divided by the declared one. */
    errorMean: number;
    errorVariance: number;
}

/** Run times that were learned from the ends of runs in the rack that they prefer, or scaled to it. */
export interface RunTimeModel {
    readonly queues: Map<string, QueueRunTimes>;
    /** Successful runs by step; only the latest steps are kept. */
    readonly steps: Map<string, { readonly runs: number; readonly totalMs: number; }>;
}

/** Steps whose run times are kept. */
const stepLimit = 1_000;
/** Runs of a queue below which the declared run time counts alone. */
const leastQueueRuns = 8;
/** Runs over which the means of a queue are taken. */
const queueRunsAveraged = 200;
/** Weight of the estimate without siblings, as a number of runs of the step. */
const priorRuns = 0.5;
const leastRunMs = 1;

/** Creates a model that knows no run. */
export function createRunTimeModel(): RunTimeModel {
    return { queues: new Map(), steps: new Map() };
}

function observeValue(mean: number, variance: number, value: number, share: number): readonly [number, number] {
    const difference = value - mean;
    const nextMean = mean + difference * share;
    return [nextMean, (1 - share) * (variance + share * difference * difference)];
}

/** Records that a run succeeded after `tookMs` milliseconds, or would have in the rack that it prefers. */
export function observeRunTime(model: RunTimeModel, { queue, step, declaredMs }: RunTimeKey, tookMs: number): void {
    const known = model.steps.get(step) ?? { runs: 0, totalMs: 0 };
    setLatest(model.steps, step, { runs: known.runs + 1, totalMs: known.totalMs + tookMs }, stepLimit);
    const value = Math.log(Math.max(leastRunMs, tookMs));
    const error = value - Math.log(Math.max(leastRunMs, declaredMs));
    const ofQueue = model.queues.get(queue)
        ?? { runs: 0, mean: value, variance: 0, errorMean: error, errorVariance: 0 };
    ofQueue.runs += 1;
    const share = 1 / Math.min(ofQueue.runs, queueRunsAveraged);
    [ofQueue.mean, ofQueue.variance] = observeValue(ofQueue.mean, ofQueue.variance, value, share);
    [ofQueue.errorMean, ofQueue.errorVariance] = observeValue(
        ofQueue.errorMean,
        ofQueue.errorVariance,
        error,
        share,
    );
    model.queues.set(queue, ofQueue);
}

/** Blends the declared run time with the usual one of the queue; the one that was closer to the truth counts more. */
function estimateWithoutSiblings({ queues }: RunTimeModel, queue: string, declaredMs: number): number {
    const ofQueue = queues.get(queue);
    if (ofQueue === undefined || ofQueue.runs < leastQueueRuns) {
        return declaredMs;
    }
    const variances = ofQueue.variance + ofQueue.errorVariance;
    const declaredShare = variances === 0 ? 1 : ofQueue.variance / variances;
    const byDeclared = Math.log(Math.max(leastRunMs, declaredMs)) + ofQueue.errorMean;
    return Math.exp(declaredShare * byDeclared + (1 - declaredShare) * ofQueue.mean);
}

/** Estimates the run time of a task in the rack that it prefers, in milliseconds. */
export function estimateRunMs(model: RunTimeModel, { queue, step, declaredMs }: RunTimeKey): number {
    const priorMs = estimateWithoutSiblings(model, queue, declaredMs);
    const { runs, totalMs } = model.steps.get(step) ?? { runs: 0, totalMs: 0 };
    return Math.max(leastRunMs, (priorMs * priorRuns + totalMs) / (priorRuns + runs));
}

/** Progress from which a run's end is predicted from it, as a share of the work. */
const leastProgress = 0.1;
/** Time that an overdue run is expected to take longer, as a share of its age: the longer it has run, the longer it may. */
const overdueShare = 0.3;
/** Least time until a run is expected to end, in milliseconds; its end has to be reported and recorded. */
const leastRemainingMs = 20;

/** Reading of the progress of a run. */
export interface RunReading {
    /** Time from the order until the reading, in milliseconds. */
    readonly ageMs: number;
    /** Share of the work that was done. */
    readonly progress: number;
}

/**
 * Predicts when a run ends that has run for `ageMs` at `nowMs` and usually takes `usualMs`. Its own progress goes before
 * the usual time.
 */
export function predictRunEndMs(
    usualMs: number,
    ageMs: number,
    reading: RunReading | undefined,
    nowMs: number,
): number {
    const totalMs = reading !== undefined && reading.progress >= leastProgress
        ? reading.ageMs / reading.progress
        : usualMs;
    const remainingMs = ageMs < totalMs ? totalMs - ageMs : ageMs * overdueShare;
    return nowMs + Math.max(leastRemainingMs, remainingMs);
}
