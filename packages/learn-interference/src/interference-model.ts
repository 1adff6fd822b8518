/**
 * Model of disturbance. The tail of a serving task grows without bound as its worker saturates: target divided by tail falls
 * in a straight line with the load. Its `margin` is target / tail, so that 1 is the target and more is better:
 *
 *     margin = headroom(job, time) - sum over images of disturbance(serving image, other image) * use(other image)
 *
 * The headroom falls with the job's own load and is common to its tasks. The use is processor time as a share of the worker.
 * Both are estimated by a Kalman filter whose pairs are treated as independent.
 */

import type { DisturbanceEstimate } from "@chestnutspool/types";

/** Processor time in use by the tasks of one image on a worker, as a share of the worker's processors. */
export interface ImageUsage {
    readonly image: string;
    /** Use now. */
    readonly share: number;
    /** Use that a tail reading shows, which follows with a delay. */
    readonly smoothedShare: number;
}

/** Disturbance of a pair that was never seen together: between that of harmless and of harmful pairs. */
const unknownDisturbance = 3;
const unknownVariance = 9;
/** Variance from which on a pair is not relied on: a harmless pair cannot be told from a harmful one. */
const unsureVariance = 2.5;
/** Headroom of a job that was never seen: a target of a few times the tail of an idle worker, at half load. */
const unknownHeadroom = 2.4;
const unknownHeadroomVariance = 1;
/** A job keeps its target by itself, so that a lower margin comes from its neighbours. */
const lowestHeadroom = 1.2;
/** Growth of the headroom's variance, per second: load swings within some seconds. */
const headroomDrift = 0.25;
/** Variance of a margin that is read: readings are whole milliseconds and scatter by about a tenth. */
const readingNoise = 0.02;
const readingNoiseShare = 0.1;
/** Below this margin the worker is saturated, and the tail tells only that the disturbance is at least so large. */
const saturatedMargin = 0.15;
/** Share of a surprise that changes the trend of the headroom, per second; readings of one job come several times a second. */
const trendGain = 0.3;
/** Time after which a trend has faded by two thirds, in milliseconds; shorter than a swing of the load. */
const trendFadeMs = 3_000;
/** Pairs and jobs kept at most; the oldest go first. */
const pairLimit = 10_000;
const jobLimit = 10_000;

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

/** What has been learnt of disturbance. Times are monotonic, in milliseconds. */
export interface InterferenceModel {
    /** Takes the margin of a serving task beside what else used the worker at that time. */
    readonly observeMargin: (
        job: string,
        image: string,
        margin: number,
        uses: readonly ImageUsage[],
        nowMs: number,
    ) => void;
    /** How much the margin of a serving image falls for each whole worker that another image uses. */
    readonly estimatePair: (image: string, other: string) => DisturbanceEstimate;
    /** Whether too little is known of a pair to rely on it. */
    readonly isUncertain: (image: string, other: string) => boolean;
    /** Present headroom of a job. */
    readonly estimateHeadroom: (job: string) => number;
    /** Headroom that a job is expected to have in `aheadMs`; it is not expected to rise. */
    readonly predictHeadroom: (job: string, aheadMs: number) => number;
    /** Forgets a job that has ended. */
    readonly forgetJob: (job: string) => void;
    /** All pairs that were seen together. */
    readonly listPairs: () => readonly DisturbanceEstimate[];
    /** Takes pairs that an earlier leader has learnt; a pair that is known better here stays. */
    readonly addPairs: (pairs: readonly DisturbanceEstimate[]) => void;
}

function formatPair(image: string, other: string): string {
    return `${image} ${other}`;
}

function dropOldest(map: Map<string, unknown>, limit: number): void {
    const oldest = map.keys().next();
    if (map.size > limit && oldest.done !== true) {
        map.delete(oldest.value);
    }
}

/** Creates a model that has seen nothing. */
export function createInterferenceModel(): InterferenceModel {
    const pairs = new Map<string, MutablePair>();
    const jobs = new Map<string, HeadroomEstimate>();

    const getPair = (image: string, other: string): MutablePair => {
        const key = formatPair(image, other);
        const known = pairs.get(key)
            ?? { image, other, disturbance: unknownDisturbance, variance: unknownVariance };
        pairs.set(key, known);
        dropOldest(pairs, pairLimit);
        return known;
    };

    const getJob = (job: string, nowMs: number): HeadroomEstimate => {
        const known = jobs.get(job)
            ?? { headroom: unknownHeadroom, variance: unknownHeadroomVariance, readAtMs: nowMs, trend: 0 };
        jobs.set(job, known);
        dropOldest(jobs, jobLimit);
        return known;
    };

    const advanceJob = (job: string, nowMs: number): HeadroomEstimate => {
        const own = getJob(job, nowMs);
        const passedMs = Math.max(0, nowMs - own.readAtMs);
        own.variance = Math.min(unknownHeadroomVariance, own.variance + headroomDrift * passedMs / 1000);
        own.headroom = Math.max(lowestHeadroom, own.headroom + own.trend * passedMs / 1000);
        own.trend *= Math.exp(-passedMs / trendFadeMs);
        own.readAtMs = nowMs;
        return own;
    };

    return {
        observeMargin: (job, image, margin, uses, nowMs) => {
            const own = advanceJob(job, nowMs);
            const beside = uses
                .filter(use => use.smoothedShare > 0)
                .map(use => ({ use, pair: getPair(image, use.image) }));
            let predicted = own.headroom;
            let unsettled = 0;
            let spread = own.variance + readingNoise + (readingNoiseShare * margin) ** 2;
            for (const { use, pair } of beside) {
                predicted -= pair.disturbance * use.smoothedShare;
                unsettled += pair.disturbance * Math.abs(use.smoothedShare - use.share);
                spread += pair.variance * use.smoothedShare ** 2;
            }
            // The tail is smoothed and not the margin, so that a reading says little while the use changes.
            spread += unsettled ** 2;
            const surprise = margin - predicted;
            if (margin < saturatedMargin && surprise > 0) {
                return;
            }
            own.headroom = Math.max(lowestHeadroom, own.headroom + own.variance / spread * surprise);
            own.trend += own.variance / spread * surprise * trendGain;
            own.variance *= 1 - own.variance / spread;
            for (const { use, pair } of beside) {
                const gain = pair.variance * use.smoothedShare / spread;
                pair.disturbance = Math.max(0, pair.disturbance - gain * surprise);
                pair.variance *= 1 - gain * use.smoothedShare;
            }
        },
        estimatePair: (image, other) =>
            pairs.get(formatPair(image, other))
                ?? { image, other, disturbance: unknownDisturbance, variance: unknownVariance },
        isUncertain: (image, other) =>
            (pairs.get(formatPair(image, other))?.variance ?? unknownVariance) > unsureVariance,
        estimateHeadroom: job => jobs.get(job)?.headroom ?? unknownHeadroom,
        predictHeadroom: (job, aheadMs) => {
            const known = jobs.get(job);
            return known === undefined ? unknownHeadroom : known.headroom + Math.min(0, known.trend) * aheadMs / 1000;
        },
        forgetJob: job => {
            jobs.delete(job);
        },
        listPairs: () => [...pairs.values()].filter(pair => pair.variance < unknownVariance),
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
