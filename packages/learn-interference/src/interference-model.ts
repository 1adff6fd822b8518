/**
 * Model of the interference between tasks on one worker. The tail latency of a serving task grows without bound as its
 * worker saturates, while target / tail latency falls linearly with the load. This quotient is the `margin` of the
 * task: 1 is the target, and more is better.
 *
 *     margin = headroom(job, time) - sum over images of disturbance(serving image, other image) * usage(other image)
 *
 * The headroom falls with the job's own load and is the same for all of its tasks. The usage is processor time as a
 * share of the worker. Headrooms and disturbances are estimated by a Kalman filter that treats pairs of images as
 * independent.
 */

import { type DisturbanceEstimate, dropOldest } from "@chestnutspool/types";

/** Processor time in use by the tasks of one image on a worker, as a share of the worker's processors. */
export interface ImageUsage {
    readonly image: string;
    /** Current usage. */
    readonly share: number;
    /** Usage that tail readings reflect; it follows the current usage with a delay. */
    readonly smoothedShare: number;
}

/** Disturbance of a pair without observations: between that of harmless and of harmful pairs. */
const initialDisturbance = 3;
const initialVariance = 9;
/** Variance above which a pair is uncertain, because a harmless pair cannot be told from a harmful one. */
const uncertainVariance = 2.5;
/** Headroom of a job without observations: a target of a few times the tail latency on an idle worker, at half load. */
const initialHeadroom = 2.4;
const initialHeadroomVariance = 1;
/**
 * Lower bound of a headroom: a job meets its target without neighbours, so that a lower margin is due to its
 * neighbours.
 */
const lowestHeadroom = 1.2;
/** Growth of the variance of a headroom, per second: the load changes within some seconds. */
const headroomDrift = 0.25;
/** Variance of a measured margin due to rounding: readings are whole milliseconds. */
const readingNoise = 0.02;
/** Standard deviation of a reading, as a share of the margin: readings scatter by about a tenth. */
const readingNoiseShare = 0.1;
/** Margin below which a worker is saturated, so that a reading gives only a lower bound of the disturbance. */
const saturatedMargin = 0.15;
/**
 * Share of a correction of the headroom that is added to its trend, per second; a job has several readings a second.
 */
const trendGain = 0.3;
/** Time in which a trend decays by two thirds, in milliseconds; shorter than a period of the load. */
const trendDecayMs = 3_000;
/** Limits of the pairs and jobs that are kept; the oldest are dropped first. */
const pairLimit = 10_000;
const jobLimit = 10_000;

/** Estimated disturbance of a pair of images and the variance of this estimate. */
export type PairEstimate = Pick<DisturbanceEstimate, "disturbance" | "variance">;

/** Estimate of all pairs without observations. */
const unknownPair: PairEstimate = { disturbance: initialDisturbance, variance: initialVariance };

interface MutablePair {
    readonly image: string;
    readonly other: string;
    disturbance: number;
    variance: number;
}

interface HeadroomEstimate {
    headroom: number;
    variance: number;
    readAtMs: number;
    /** Change of the headroom per second. */
    trend: number;
}

/** Estimates of the interference between images. Times are monotonic, in milliseconds. */
export interface InterferenceModel {
    /** Updates the estimates with the margin of a serving task, and with the usage of its worker by other images. */
    readonly observeMargin: (
        job: string,
        image: string,
        margin: number,
        usages: readonly ImageUsage[],
        nowMs: number,
    ) => void;
    /**
     * Estimates how much the margin of a serving image falls for each whole worker that another image uses. The
     * estimate changes with later observations, so that it must not be kept.
     */
    readonly estimatePair: (image: string, other: string) => PairEstimate;
    /** Whether the estimate of a pair is too uncertain to rely on. */
    readonly isUncertain: (image: string, other: string) => boolean;
    /** Estimates the current headroom of a job. */
    readonly estimateHeadroom: (job: string) => number;
    /** Predicts the headroom of a job in `aheadMs`. A falling trend continues; a rising one is ignored. */
    readonly predictHeadroom: (job: string, aheadMs: number) => number;
    /** Forgets a job that has ended. */
    readonly forgetJob: (job: string) => void;
    /** Lists all pairs with observations. */
    readonly listPairs: () => readonly DisturbanceEstimate[];
    /** Adds estimates that an earlier leader recorded. An own estimate with a smaller variance is kept. */
    readonly addPairs: (pairs: readonly DisturbanceEstimate[]) => void;
}

/** Creates a model without observations. */
export function createInterferenceModel(): InterferenceModel {
    const pairs = new Set<MutablePair>();
    /** The pairs by image and other image. They are read so often that no text key is built for it. */
    const pairsByImage = new Map<string, Map<string, MutablePair>>();
    const jobs = new Map<string, HeadroomEstimate>();

    const dropOldestPair = (): void => {
        const [oldest] = pairs;
        if (pairs.size <= pairLimit || oldest === undefined) {
            return;
        }
        pairs.delete(oldest);
        const ofImage = pairsByImage.get(oldest.image);
        ofImage?.delete(oldest.other);
        if (ofImage?.size === 0) {
            pairsByImage.delete(oldest.image);
        }
    };

    const getPair = (image: string, other: string): MutablePair => {
        const known = pairsByImage.get(image)?.get(other);
        if (known !== undefined) {
            return known;
        }
        const pair = { image, other, disturbance: initialDisturbance, variance: initialVariance };
        const ofImage = pairsByImage.get(image) ?? new Map<string, MutablePair>();
        pairsByImage.set(image, ofImage);
        ofImage.set(other, pair);
        pairs.add(pair);
        dropOldestPair();
        return pair;
    };

    const getJob = (job: string, nowMs: number): HeadroomEstimate => {
        const known = jobs.get(job)
            ?? { headroom: initialHeadroom, variance: initialHeadroomVariance, readAtMs: nowMs, trend: 0 };
        jobs.set(job, known);
        dropOldest(jobs, jobLimit);
        return known;
    };

    const advanceJob = (job: string, nowMs: number): HeadroomEstimate => {
        const estimate = getJob(job, nowMs);
        const elapsedMs = Math.max(0, nowMs - estimate.readAtMs);
        estimate.variance = Math.min(initialHeadroomVariance, estimate.variance + headroomDrift * elapsedMs / 1000);
        estimate.headroom = Math.max(lowestHeadroom, estimate.headroom + estimate.trend * elapsedMs / 1000);
        estimate.trend *= Math.exp(-elapsedMs / trendDecayMs);
        estimate.readAtMs = nowMs;
        return estimate;
    };

    return {
        observeMargin: (job, image, margin, usages, nowMs) => {
            const estimate = advanceJob(job, nowMs);
            const neighbours = usages
                .filter(usage => usage.smoothedShare > 0)
                .map(usage => ({ usage, pair: getPair(image, usage.image) }));
            let predicted = estimate.headroom;
            let unsteadyDisturbance = 0;
            let innovationVariance = estimate.variance + readingNoise + (readingNoiseShare * margin) ** 2;
            for (const { usage, pair } of neighbours) {
                predicted -= pair.disturbance * usage.smoothedShare;
                unsteadyDisturbance += pair.disturbance * Math.abs(usage.smoothedShare - usage.share);
                innovationVariance += pair.variance * usage.smoothedShare ** 2;
            }
            // Readings smooth the tail latency and not the margin, so that they are unreliable while the usage changes.
            innovationVariance += unsteadyDisturbance ** 2;
            const innovation = margin - predicted;
            if (margin < saturatedMargin && innovation > 0) {
                return;
            }
            estimate.headroom = Math.max(
                lowestHeadroom,
                estimate.headroom + estimate.variance / innovationVariance * innovation,
            );
            estimate.trend += estimate.variance / innovationVariance * innovation * trendGain;
            estimate.variance *= 1 - estimate.variance / innovationVariance;
            for (const { usage, pair } of neighbours) {
                const gain = pair.variance * usage.smoothedShare / innovationVariance;
                pair.disturbance = Math.max(0, pair.disturbance - gain * innovation);
                pair.variance *= 1 - gain * usage.smoothedShare;
            }
        },
        estimatePair: (image, other) => pairsByImage.get(image)?.get(other) ?? unknownPair,
        isUncertain: (image, other) =>
            (pairsByImage.get(image)?.get(other)?.variance ?? initialVariance) > uncertainVariance,
        estimateHeadroom: job => jobs.get(job)?.headroom ?? initialHeadroom,
        predictHeadroom: (job, aheadMs) => {
            const known = jobs.get(job);
            return known === undefined ? initialHeadroom : known.headroom + Math.min(0, known.trend) * aheadMs / 1000;
        },
        forgetJob: job => {
            jobs.delete(job);
        },
        listPairs: () => [...pairs].filter(pair => pair.variance < initialVariance),
        addPairs: added => {
            for (const { image, other, disturbance, variance } of added) {
                const pair = getPair(image, other);
                if (variance < pair.variance) {
                    pair.disturbance = disturbance;
                    pair.variance = variance;
                }
            }
        },
    };
}
