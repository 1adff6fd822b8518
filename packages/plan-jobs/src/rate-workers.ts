import type { InterferenceModel } from "@chestnutspool/learn-interference";
import type { StepSpec } from "@chestnutspool/types";
import { computeMarginGoal, predictMargin } from "./predict-margin.js";
import { findRack, type WorkerCandidate } from "./worker-candidate.js";

/** Margin (target / tail) that each serving task has to keep when a task starts beside it. */
const leastMargin = 1;
/** How far ahead the load of serving tasks is looked at when a task starts beside them, in milliseconds. */
const lookAheadMs = 1_500;
/** Headroom that serving tasks are expected to keep at their highest load. */
const lowestHeadroom = 1.4;
/** Gain of a worker in the rack of the data, or in the rack of the other tasks; larger than all other differences. */
const rackGain = 100;
/** Gain for each serving task of the same image, and loss for each of another: alike tasks bear the same neighbours. */
const sameImageGain = 1;
/** Share of its processors that a task without reservation needs at least to start, so that it does not crawl. */
const leastIdleShare = 0.5;

/** What the rating of a worker depends on beside the worker and the step. */
export interface RatingContext {
    readonly interference: InterferenceModel;
    /** Tasks of the step that the pass has placed, by rack. */
    readonly tasksByRack: ReadonlyMap<string, number>;
}

/**
 * What the serving tasks on a worker keep above the margin that they need, if a task of the image used another `share` of its
 * processors.
 */
function predictSpareMargin(
    candidate: WorkerCandidate,
    image: string,
    share: number,
    interference: InterferenceModel,
): number {
    const shares = new Map(candidate.fillingShares);
    shares.set(image, (shares.get(image) ?? 0) + share);
    let least = Number.POSITIVE_INFINITY;
    for (const group of candidate.serving.values()) {
        if (group.count > 0) {
            const headroom = Math.max(lowestHeadroom, interference.predictHeadroom(group.job, lookAheadMs));
            const goal = computeMarginGoal(group.image, headroom, leastMargin, interference);
            least = Math.min(least, predictMargin(group.image, headroom, shares, interference) - goal);
        }
    }
    return least;
}

/** A task that uses idle processors goes where it gets most of them and disturbs nobody; undefined: not here. */
function rateFilling(candidate: WorkerCandidate, spec: StepSpec, context: RatingContext): number | undefined {
    const { milliCpu } = spec.resources;
    const capacity = Math.max(1, candidate.state.info.capacity.milliCpu);
    const idleShare = milliCpu === 0 ? 1 : Math.min(1, candidate.idleMilliCpu / milliCpu);
    if (candidate.isContended || idleShare < leastIdleShare) {
        return undefined;
    }
    const margin = predictSpareMargin(candidate, spec.image ?? "", milliCpu / capacity, context.interference);
    if (margin < 0) {
        return undefined;
    }
    return idleShare + Math.min(margin, 1) / 2 + candidate.idleMilliCpu / capacity;
}

/** A serving task goes beside tasks of its image and away from tasks that disturb it. */
function rateServing(candidate: WorkerCandidate, spec: StepSpec, context: RatingContext): number {
    let alike = 0;
    for (const group of candidate.serving.values()) {
        alike += group.image === (spec.image ?? "") ? group.count : -group.count;
    }
    let disturbance = 0;
    for (const [other, share] of candidate.fillingShares) {
        disturbance += context.interference.estimatePair(spec.image ?? "", other).disturbance * share;
    }
    return alike * sameImageGain - disturbance
        - candidate.free.milliCpu / Math.max(1, candidate.state.info.capacity.milliCpu);
}

/** How well a worker with room suits a task of the step; the highest is chosen, and none where it is undefined. */
export function rateWorker(candidate: WorkerCandidate, spec: StepSpec, context: RatingContext): number | undefined {
    const rack = findRack(candidate.state.info);
    let rating = spec.rackOfData !== undefined && spec.rackOfData === rack ? rackGain : 0;
    rating += spec.prefersOneRack ? (context.tasksByRack.get(rack) ?? 0) * rackGain : 0;
    if (spec.usesIdleCpu) {
        const filling = rateFilling(candidate, spec, context);
        return filling === undefined ? undefined : rating + filling;
    }
    if (spec.tailTargetMs !== undefined) {
        return rating + rateServing(candidate, spec, context);
    }
    // The fullest worker, so that large tasks find room elsewhere.
    return rating - candidate.free.milliCpu / Math.max(1, candidate.state.info.capacity.milliCpu);
}
