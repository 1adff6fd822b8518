/** What is known of a step when it is decided whether its tasks wait for places in the rack that it prefers. */
export interface WaitOffer {
    /** When the last of its tasks is expected to get a place; in milliseconds since the epoch, as all moments here. */
    readonly placeAtMs: number;
    /** Expected run time of a task in the rack, in milliseconds. */
    readonly runMs: number;
    /** How many times longer it runs elsewhere; above 1. */
    readonly farFactor: number;
    /** When the step could first start, as the recorded state has it, so that a new leader does not begin from zero. */
    readonly readyAtMs: number;
    /** When the job should be complete. */
    readonly objectiveAtMs: number;
    /** Expected run time of the longest chain of the steps that follow, in milliseconds. */
    readonly laterMs: number;
    /** Share of the processors of the service that is in use. */
    readonly loadShare: number;
    /** Whether its job has a run. */
    readonly hasRun: boolean;
    /** Share of the latest waits whose places came in time. */
    readonly metShare: number;
    /** Latest waits divided by their predictions. */
    readonly waitFactor: number;
}

/** What ends a wait that has brought no place. */
export type WaitLimit =
    /** The place was predicted to come by then. */
    | "prediction"
    /** A longer wait can't pay off. */
    | "breakEven"
    /** The objective is near. */
    | "objective"
    /** The job has had no run for as long as users allow in a pool of which most is free. */
    | "withoutRun";

/** Decision about the tasks of a step that find no place in the rack that it prefers. */
export type WaitDecision =
    /** They start elsewhere at once. */
    | { readonly kind: "start"; }
    | {
        readonly kind: "wait";
        /** When the wait ends without a place. */
        readonly untilMs: number;
        readonly limit: WaitLimit;
        /** Time by which the step is expected to end earlier than elsewhere, in milliseconds. */
        readonly gainMs: number;
    };

/** Load of a service from which a core-second more for one task delays others; at full load it costs them as much. */
const freeLoadShare = 0.7;
/** How far a place may come later than predicted, as a share of the predicted wait. */
export const latenessShare = 0.25;
/** The same in milliseconds: the time of a pass and of the commit of a start. */
export const latenessMs = 60;

/** Load of a service below which most of it is free. */
const mostlyFreeShare = 0.5;
/**
 * Longest wait of a job without a run while most of its service is free, in milliseconds; the start follows within the 3 s that users
 * allow.
 */
const longestWithoutRunMs = 2_500;

/**
 * Finds when a job has to get a run whatever a place in the rack saves, in milliseconds since the epoch: users take an accepted job
 * for lost that has none although most of the service is free.
 */
export function findRunLimitMs(
    { readyAtMs, hasRun, loadShare }: Pick<WaitOffer, "readyAtMs" | "hasRun" | "loadShare">,
): number {
    return hasRun || loadShare >= mostlyFreeShare ? Number.POSITIVE_INFINITY : readyAtMs + longestWithoutRunMs;
}

/** Computes how much of a core-second more is taken from other tasks at a load, from 0 to 1. */
function computeOthersShare(loadShare: number): number {
    return Math.min(1, Math.max(0, (loadShare - freeLoadShare) / (1 - freeLoadShare)));
}

/**
 * Finds when a wait has to end for the objective: while a run elsewhere could still be in time, before that is too late;
 * then, before a run in the rack is too late. Undefined if neither can be in time.
 */
function findObjectiveLimitMs({ runMs, farFactor, objectiveAtMs, laterMs }: WaitOffer, nowMs: number) {
    const lastFarStartMs = objectiveAtMs - laterMs - runMs * farFactor;
    const lastNearStartMs = objectiveAtMs - laterMs - runMs;
    return [lastFarStartMs, lastNearStartMs].find(limitMs => limitMs >= nowMs);
}

/**
 * Decides whether tasks wait for the rack that they prefer, by their expected ends there and elsewhere and by the
 * processor time that runs elsewhere would take from other tasks. `nowMs` is wall-clock time in milliseconds.
 */
export function decidePlacementWait(offer: WaitOffer, nowMs: number): WaitDecision {
    const { placeAtMs, runMs, farFactor, readyAtMs, loadShare, metShare, waitFactor } = offer;
    const predictedMs = Math.max(0, placeAtMs - nowMs) * waitFactor;
    const savedMs = runMs * (farFactor - 1);
    // A run elsewhere takes `savedMs` more of its processors, which delays others by as much once all are in use.
    const breakEvenMs = savedMs * (1 + computeOthersShare(loadShare));
    const limits: readonly { readonly limit: WaitLimit; readonly atMs: number | undefined; }[] = [
        { limit: "prediction", atMs: nowMs + predictedMs * (1 + latenessShare) + latenessMs },
        { limit: "breakEven", atMs: readyAtMs + breakEvenMs * metShare },
        { limit: "objective", atMs: findObjectiveLimitMs(offer, nowMs) },
        { limit: "withoutRun", atMs: findRunLimitMs(offer) },
    ];
    let untilMs = Number.POSITIVE_INFINITY;
    let earliest: WaitLimit = "prediction";
    for (const { limit, atMs } of limits) {
        if (atMs === undefined) {
            return { kind: "start" };
        }
        if (atMs < untilMs) {
            untilMs = atMs;
            earliest = limit;
        }
    }
    const isExpected = nowMs + predictedMs <= untilMs && untilMs > nowMs;
    return isExpected
        ? { kind: "wait", untilMs, limit: earliest, gainMs: savedMs - predictedMs }
        : { kind: "start" };
}
