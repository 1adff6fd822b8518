/** Predicts margins of serving tasks without keeping anything between two predictions. */

import type { InterferenceModel } from "@chestnutspool/learn-interference";

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

/**
 * Computes the margin that neighbours must leave: the wanted one, or a little less than the task has without
 * neighbours if that is smaller.
 */
export function computeMarginGoal(
    image: string,
    headroom: number,
    wantedMargin: number,
    interference: InterferenceModel,
): number {
    return Math.min(wantedMargin, predictMargin(image, headroom, new Map(), interference) - allowedLoss);
}

/**
 * Predicts a cautious lower bound of the margin (target / tail latency) of a serving task while its neighbours use the
 * given shares of the worker, by image.
 */
export function predictMargin(
    image: string,
    headroom: number,
    shares: ReadonlyMap<string, number>,
    interference: InterferenceModel,
): number {
    let margin = headroom;
    let variance = headroomDeviation ** 2;
    for (const [other, share] of shares) {
        const pair = interference.estimatePair(image, other);
        const disturbance = pair.disturbance * share;
        margin -= disturbance;
        variance += (disturbanceVariation * disturbance) ** 2 + pair.variance * share ** 2;
    }
    return margin - safetyDeviations * Math.sqrt(variance);
}
