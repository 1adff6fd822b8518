import { readCredit } from "./credit.js";
import { hasQueuedWork, type LeaderRation } from "./leader-ration.js";

/** Raised paces for each deferrable start; a change of pace takes less time than a start, and ends no run. */
const raisesPerStart = 0.5;
/** Least rate of raised paces, in changes a second, so that no run stands still. */
const leastRaisesPerSecond = 20;

/** Share of the affordable starts that are made while work is queued, so that urgent work does not wait behind all of them. */
const queuedShare = 0.5;

/** Counts the deferrable tasks that may start at `nowMs`, in monotonic milliseconds. */
export function countAffordableStarts(ration: LeaderRation, nowMs: number): number {
    const { limits } = ration;
    if (limits === undefined) {
        return Number.POSITIVE_INFINITY;
    }
    const affordable = readCredit(limits.starts, limits.startsPerSecond, nowMs);
    return hasQueuedWork(ration) ? Math.floor(affordable * queuedShare) : affordable;
}

/** Limit of the starts of deferrable tasks. */
export interface StartRation {
    /** Number of these tasks that may start now. */
    readonly starts: number;
    /** How many of them may start in a second from now on. */
    readonly startsPerSecond: number;
}

/** Reads how many deferrable tasks may start at `nowMs`, in monotonic milliseconds; undefined while nothing is rationed. */
export function readStartRation(ration: LeaderRation, nowMs: number): StartRation | undefined {
    return ration.limits === undefined
        ? undefined
        : { starts: countAffordableStarts(ration, nowMs), startsPerSecond: ration.limits.startsPerSecond };
}

/** Counts the deferrable runs whose pace may be raised at `nowMs`, in monotonic milliseconds. */
export function countAffordableRaises({ limits }: LeaderRation, nowMs: number): number {
    return limits === undefined
        ? Number.POSITIVE_INFINITY
        : readCredit(limits.raises, Math.max(leastRaisesPerSecond, limits.startsPerSecond * raisesPerStart), nowMs);
}

/** Records paces that were raised. */
export function recordRaises({ limits }: LeaderRation, raises: number): void {
    if (limits !== undefined) {
        limits.raises.units -= raises;
    }
}
