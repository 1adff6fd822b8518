import { findRack } from "@chestnutspool/job-state";
import type { InterferenceModel, PairEstimate } from "@chestnutspool/learn-interference";
import type { StepSpec } from "@chestnutspool/types";
import { type AddedShare, computeMarginGoal, predictExpectedMargin, predictMarginWithShare } from "./predict-margin.js";
import type { JoinedTrial, ServingMargin, WorkerCandidate } from "./worker-candidate.js";

/** Margin (target / tail latency) that each serving task must keep when a task starts on its worker. */
const leastMargin = 1;
/** How far ahead the headroom of serving tasks is predicted when a task starts on their worker, in milliseconds. */
const lookAheadMs = 1_500;
/** Headroom that serving tasks are expected to have at their highest load. */
const lowestHeadroom = 1.4;
/** Rating added for a worker in the rack of the data or of the other tasks; larger than all other parts of a rating. */
const rackBonus = 100;
/**
 * Rating added for each serving task of the same image on a worker, and subtracted for each of another image: tasks of
 * one image tolerate the same neighbours.
 */
const sameImageBonus = 1;
/**
 * Rating subtracted for a long-running task on a worker that may have crashed, where a tenth of its processors is as much: the task would
 * lose time, but large tasks need workers with room.
 */
const quietPenalty = 0.1;
/**
 * Least share of its declared processors that must be idle for a best-effort task to start; with less it progresses too
 * slowly.
 */
const leastIdleShare = 0.5;

/**
 * Factor on the run time away from the rack of the data that is worth `rackBonus`, so that a worker that is slower than
 * this is avoided even if it is in the rack.
 */
const farFactor = 3;

/** Computes by how much the rating of a worker with a speed below 1 falls. */
function computeSpeedPenalty(speed: number): number {
    return rackBonus * Math.log(1 / speed) / Math.log(farFactor);
}

/** Inputs of a rating besides the worker and the step. */
export interface RatingContext {
    readonly interference: InterferenceModel;
    /** Number of tasks of the step that this pass has placed, by rack. */
    readonly tasksByRack: ReadonlyMap<string, number>;
    /** Whether a best-effort task may start although it disturbs serving tasks or finds few idle processors. */
    readonly acceptsDisturbance: boolean;
    /** Trials of other tasks that a task which needs one joins. */
    readonly joins: JoinedTrial;
}

/** Pairs of one serving image, as estimated when a rating of the worker first needed them. */
function getPair(
    { pairs }: WorkerCandidate,
    image: string,
    other: string,
    interference: InterferenceModel,
): PairEstimate {
    let ofImage = pairs.get(image);
    if (ofImage === undefined) {
        ofImage = new Map();
        pairs.set(image, ofImage);
    }
    let pair = ofImage.get(other);
    if (pair === undefined) {
        pair = interference.estimatePair(image, other);
        ofImage.set(other, pair);
    }
    return pair;
}

function getServingMargins(candidate: WorkerCandidate, interference: InterferenceModel): readonly ServingMargin[] {
    candidate.servingMargins ??= candidate.servingGroups.filter(({ count }) => count > 0).map(({ job, image }) => {
        const headroom = Math.max(lowestHeadroom, interference.predictHeadroom(job, lookAheadMs));
        const predicted = predictExpectedMargin(
            headroom,
            candidate.bestEffortShares,
            other => getPair(candidate, image, other, interference),
        );
        return { image, goal: computeMarginGoal(headroom, leastMargin), ...predicted };
    });
    return candidate.servingMargins;
}

/**
 * Predicts by how much the margins of the serving tasks on a worker exceed their goals if tasks use a further share of
 * its processors. Returns the smallest difference; undefined if one is below `leastExcess`.
 */
function predictSpareMargin(
    candidate: WorkerCandidate,
    added: AddedShare,
    interference: InterferenceModel,
    leastExcess: number,
): number | undefined {
    const usedShare = candidate.bestEffortShares.get(added.image) ?? 0;
    let smallestExcess = Number.POSITIVE_INFINITY;
    for (const serving of getServingMargins(candidate, interference)) {
        const pair = getPair(candidate, serving.image, added.image, interference);
        const excess = predictMarginWithShare(serving, pair, usedShare, added.share) - serving.goal;
        if (excess < leastExcess) {
            return undefined;
        }
        smallestExcess = Math.min(smallestExcess, excess);
    }
    return smallestExcess;
}

function computeIdleShare({ idleMilliCpu }: WorkerCandidate, { resources }: StepSpec): number {
    return resources.milliCpu === 0 ? 1 : Math.min(1, idleMilliCpu / resources.milliCpu);
}

function getAddedShare({ state }: WorkerCandidate, { image, resources }: StepSpec): AddedShare {
    return { image: image ?? "", share: resources.milliCpu / Math.max(1, state.info.capacity.milliCpu) };
}

/**
 * Why a best-effort task does not start on a worker with room: the tasks there get less processor time than they could
 * use, it would find too few idle processors, or a serving task would miss its target.
 */
export type Obstacle = "contended" | "noIdleProcessors" | "disturbs";

/** Finds what keeps a task of a step from starting on a worker with room; undefined if nothing does. */
export function findObstacle(
    candidate: WorkerCandidate,
    spec: StepSpec,
    interference: InterferenceModel,
): Obstacle | undefined {
    if (!spec.usesIdleCpu) {
        return undefined;
    }
    if (candidate.isContended) {
        return "contended";
    }
    if (computeIdleShare(candidate, spec) < leastIdleShare) {
        return "noIdleProcessors";
    }
    return predictSpareMargin(candidate, getAddedShare(candidate, spec), interference, 0) === undefined
        ? "disturbs"
        : undefined;
}

/**
 * Prefers workers with many idle processors on which the task disturbs no serving task. Undefined if the task must not
 * start on this worker. If it accepts disturbance it may start on each, and runs at the pace that serving tasks allow.
 */
function rateForBestEffortTask(
    candidate: WorkerCandidate,
    spec: StepSpec,
    { interference, acceptsDisturbance }: RatingContext,
): number | undefined {
    const idleShare = computeIdleShare(candidate, spec);
    if (!acceptsDisturbance && (candidate.isContended || idleShare < leastIdleShare)) {
        return undefined;
    }
    const leastExcess = acceptsDisturbance ? Number.NEGATIVE_INFINITY : 0;
    const margin = predictSpareMargin(candidate, getAddedShare(candidate, spec), interference, leastExcess);
    if (margin === undefined) {
        return undefined;
    }
    return idleShare + Math.min(margin, 1) / 2
        + candidate.idleMilliCpu / Math.max(1, candidate.state.info.capacity.milliCpu);
}

/** Prefers workers with serving tasks of the same image, and without tasks that disturb this one. */
function rateForServingTask(candidate: WorkerCandidate, spec: StepSpec, context: RatingContext): number {
    let sameImageBalance = 0;
    for (const group of candidate.servingGroups) {
        sameImageBalance += group.image === (spec.image ?? "") ? group.count : -group.count;
    }
    let disturbance = 0;
    for (const [other, share] of candidate.bestEffortShares) {
        disturbance += context.interference.estimatePair(spec.image ?? "", other).disturbance * share;
    }
    return sameImageBalance * sameImageBonus - disturbance
        - candidate.free.milliCpu / Math.max(1, candidate.state.info.capacity.milliCpu);
}

/**
 * Rates how well a worker with enough capacity suits a task of the step. The highest rating wins; a worker whose rating
 * is undefined is not chosen.
 */
export function rateWorker(candidate: WorkerCandidate, spec: StepSpec, context: RatingContext): number | undefined {
    const rack = findRack(candidate.state.info);
    let rating = spec.rackOfData !== undefined && spec.rackOfData === rack ? rackBonus : 0;
    rating -= candidate.speed < 1 ? computeSpeedPenalty(candidate.speed) : 0;
    rating -= spec.longRunning && candidate.isQuiet ? quietPenalty : 0;
    rating += spec.prefersOneRack ? (context.tasksByRack.get(rack) ?? 0) * rackBonus : 0;
    if (spec.usesIdleCpu) {
        const bestEffortRating = rateForBestEffortTask(candidate, spec, context);
        return bestEffortRating === undefined ? undefined : rating + bestEffortRating;
    }
    if (spec.tailTargetMs !== undefined) {
        return rating + rateForServingTask(candidate, spec, context);
    }
    // Prefers the fullest worker, so that others keep enough capacity for large tasks.
    return rating - candidate.free.milliCpu / Math.max(1, candidate.state.info.capacity.milliCpu);
}
