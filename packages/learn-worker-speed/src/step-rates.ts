import { setLatest, type WorkerId } from "@chestnutspool/types";

/** Rate of a run and how much a comparison with it says about a worker. */
export interface TypicalRate {
    /** Natural logarithm of the rate in percent per millisecond. */
    readonly logRate: number;
    /** Share of full evidence. */
    readonly confidence: number;
}

/** Rates at which the runs of each step progress. */
export interface StepRates {
    /** Records the latest rate of a run. */
    readonly recordRate: (step: string, queue: string, run: string, worker: WorkerId, logRate: number) => void;
    /** Finds the typical rate of the siblings on other workers; undefined if too little is known. */
    readonly findTypical: (step: string, queue: string, worker: WorkerId) => TypicalRate | undefined;
    /** Records how a run ended. */
    readonly recordEnd: (step: string, worker: WorkerId, isFailed: boolean) => void;
    /** Computes the share of the runs of a step that failed on other workers; 0 if too few have ended. */
    readonly computeFailureShareElsewhere: (step: string, worker: WorkerId) => number;
}

/** Limits of the steps and queues that are kept; the oldest are dropped first. */
const stepLimit = 2_000;
const queueLimit = 200;
/** Runs of a step whose rates are kept; the oldest are dropped first. The median of 24 is stable enough. */
const ratesPerStep = 24;
/**
 * Evidence of a comparison with one, two, or more siblings on other workers. With fewer than three, one long task decides.
 */
const siblingConfidences = [0.3, 0.6, 1] as const;
/** Least number of rates of a queue before its mean stands in for that of siblings. */
const minQueueRates = 20;
/**
 * Evidence of a comparison with the mean of the queue. The runs of one step on a worker all differ from this mean by the same
 * factor, and eight of them must not outweigh one comparison with siblings.
 */
const queueConfidence = 0.15;
const highestQueueConfidence = 0.4;
/** Largest difference from the mean that counts in the variance, so that the runs on slow workers do not decide it. */
const countedDifference = 1;
/**
 * Variance of the logarithm of the rates in a queue with which its mean has this confidence; the steps then differ by a
 * factor of 1.6. With a larger variance it has less, with a smaller one more.
 */
const usualVariance = 0.25;
/** Share by which a rate moves the mean of its queue. */
const queueGain = 0.02;
/** Least number of ends on other workers from which a step counts as one that fails everywhere. */
const minEndsElsewhere = 3;
/** Workers whose ends are kept for each step. */
const endWorkersPerStep = 24;

interface StepRecord {
    readonly rates: Map<string, { readonly worker: WorkerId; readonly logRate: number; }>;
    readonly endsByWorker: Map<WorkerId, { ends: number; failures: number; }>;
}

interface QueueRecord {
    meanLogRate: number;
    variance: number;
    rates: number;
}

function computeMedian(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = Math.floor(sorted.length / 2);
    const upper = sorted[middle] ?? 0;
    return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? upper) + upper) / 2;
}

/** Creates rates without observations. */
export function createStepRates(): StepRates {
    const steps = new Map<string, StepRecord>();
    const queues = new Map<string, QueueRecord>();

    const getStep = (step: string): StepRecord => {
        const known = steps.get(step) ?? { rates: new Map(), endsByWorker: new Map() };
        setLatest(steps, step, known, stepLimit);
        return known;
    };

    return {
        recordRate: (step, queue, run, worker, logRate) => {
            setLatest(getStep(step).rates, run, { worker, logRate }, ratesPerStep);
            const ofQueue = queues.get(queue) ?? { meanLogRate: logRate, variance: 0, rates: 0 };
            ofQueue.rates += 1;
            const gain = Math.max(queueGain, 1 / ofQueue.rates);
            const difference = logRate - ofQueue.meanLogRate;
            ofQueue.meanLogRate += difference * gain;
            ofQueue.variance += (Math.min(Math.abs(difference), countedDifference) ** 2 - ofQueue.variance) * gain;
            setLatest(queues, queue, ofQueue, queueLimit);
        },
        findTypical: (step, queue, worker) => {
            const siblings: number[] = [];
            for (const rate of steps.get(step)?.rates.values() ?? []) {
                if (rate.worker !== worker) {
                    siblings.push(rate.logRate);
                }
            }
            const confidence = siblingConfidences[Math.min(siblings.length, siblingConfidences.length) - 1];
            if (confidence !== undefined) {
                return { logRate: computeMedian(siblings), confidence };
            }
            const ofQueue = queues.get(queue);
            if (ofQueue === undefined || ofQueue.rates < minQueueRates) {
                return undefined;
            }
            const ofVariance = queueConfidence * usualVariance / Math.max(0.001, ofQueue.variance);
            return { logRate: ofQueue.meanLogRate, confidence: Math.min(highestQueueConfidence, ofVariance) };
        },
        recordEnd: (step, worker, isFailed) => {
            const { endsByWorker } = getStep(step);
            const known = endsByWorker.get(worker) ?? { ends: 0, failures: 0 };
            known.ends += 1;
            known.failures += isFailed ? 1 : 0;
            setLatest(endsByWorker, worker, known, endWorkersPerStep);
        },
        computeFailureShareElsewhere: (step, worker) => {
            let ends = 0;
            let failures = 0;
            for (const [other, known] of steps.get(step)?.endsByWorker ?? []) {
                if (other !== worker) {
                    ends += known.ends;
                    failures += known.failures;
                }
            }
            return ends < minEndsElsewhere ? 0 : failures / ends;
        },
    };
}
