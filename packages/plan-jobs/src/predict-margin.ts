import type { InterferenceModel } from "@chestnutspool/learn-interference";

/** Part of a disturbance by which it changes within seconds, as a standard deviation. */
const disturbanceSwing = 0.4;
/** Standard deviation of what is known of a headroom. */
const headroomSpread = 0.15;
/**
 * Standard deviations that are kept between the expected margin and the target. A task over its target costs several times
 * what a task that waits costs, so that one in fifteen may be wrong.
 */
const caution = 1.5;

/** Part of the margin without neighbours that these may always take; a job whose own load is too high gains nothing from less. */
const allowedLoss = 0.15;

/** The margin that neighbours must leave: the wanted one, or a little less than the task has without any. */
export function computeMarginGoal(
    image: string,
    headroom: number,
    wantedMargin: number,
    interference: InterferenceModel,
): number {
    return Math.min(wantedMargin, predictMargin(image, headroom, new Map(), interference) - allowedLoss);
}

/**
 * The margin (target / tail) that a serving task keeps with some certainty beside tasks that use the given shares of the
 * worker, by image.
 */
export function predictMargin(
    image: string,
    headroom: number,
    shares: ReadonlyMap<string, number>,
    interference: InterferenceModel,
): number {
    let margin = headroom;
    let variance = headroomSpread ** 2;
    for (const [other, share] of shares) {
        const pair = interference.estimatePair(image, other);
        const disturbance = pair.disturbance * share;
        margin -= disturbance;
        variance += (disturbanceSwing * disturbance) ** 2 + pair.variance * share ** 2;
    }
    return margin - caution * Math.sqrt(variance);
}
