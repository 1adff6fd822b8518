import type { PairEstimate } from "@chestnutspool/learn-interference";

/** Standard deviation of a disturbance within seconds, as a share of the disturbance. */
const disturbanceVariation = 0.4;
/** Standard deviation of the estimate of a headroom. */
const headroomDeviation = 0.15;
/**
 * Standard deviations that are subtracted from an expected margin, so that one prediction in fifteen may be too high. A
 * task over its target costs several times as much as a task that waits.
 */
const safetyDeviations = 1.5;

/**
 * Margin that neighbours may always take from a task. Slowing neighbours down further does not help a job whose own
 * load is too high.
 */
const allowedLoss = 0.15;

/** Expected share of a worker that tasks of one image use in addition to the given shares. */
export interface AddedShare {
    readonly image: string;
    readonly share: number;
}

/**
 * Computes the margin that neighbours must leave: the wanted one, or a little less than the task has without
 * neighbours if that is smaller.
 */
export function computeMarginGoal(headroom: number, wantedMargin: number): number {
    return Math.min(wantedMargin, headroom - safetyDeviations * headroomDeviation - allowedLoss);
}

/** A margin and how uncertain it is. */
export interface ExpectedMargin {
    readonly expected: number;
    readonly variance: number;
}

function computePairVariance({ disturbance, variance }: PairEstimate, share: number): number {
    return (disturbanceVariation * disturbance * share) ** 2 + variance * share ** 2;
}

/**
 * Predicts the margin (target / tail latency) of a serving task while its neighbours use the given shares of the worker,
 * by image. `findPair` returns the pair of the serving image with another one.
 */
export function predictExpectedMargin(
    headroom: number,
    shares: ReadonlyMap<string, number>,
    findPair: (other: string) => PairEstimate,
): ExpectedMargin {
    let expected = headroom;
    let variance = headroomDeviation ** 2;
    for (const [other, share] of shares) {
        const pair = findPair(other);
        expected -= pair.disturbance * share;
        variance += computePairVariance(pair, share);
    }
    return { expected, variance };
}

/**
 * Predicts a cautious lower bound of a margin when the image of a pair, which uses `usedShare` of the worker, uses
 * `addedShare` more.
 */
export function predictMarginWithShare(
    { expected, variance }: ExpectedMargin,
    pair: PairEstimate,
    usedShare: number,
    addedShare: number,
): number {
    const margin = expected - pair.disturbance * addedShare;
    const addedVariance = computePairVariance(pair, usedShare + addedShare) - computePairVariance(pair, usedShare);
    return margin - safetyDeviations * Math.sqrt(variance + addedVariance);
}

/** Predicts the same bound from the pairs of the serving image with its neighbours and their shares, by position. */
export function predictMarginOfPairs(
    headroom: number,
    pairs: readonly PairEstimate[],
    shares: readonly number[],
): number {
    let margin = headroom;
    let variance = headroomDeviation ** 2;
    for (let position = 0; position < pairs.length; position += 1) {
        const pair = pairs[position] as PairEstimate;
        const share = shares[position] ?? 0;
        const disturbance = pair.disturbance * share;
        margin -= disturbance;
        variance += (disturbanceVariation * disturbance) ** 2 + pair.variance * share ** 2;
    }
    return margin - safetyDeviations * Math.sqrt(variance);
}
