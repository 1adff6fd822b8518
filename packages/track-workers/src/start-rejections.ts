/**
 * Starts that a worker has rejected since it last confirmed one. It gets no starts for a while, so that they go to other
 * workers first and the log is not filled with starts that do not happen. Times are monotonic, in milliseconds.
 */
export interface StartRejections {
    /** Rejections in a row; those of starts that were ordered together count once. */
    inRow: number;
    /** When the last start was rejected; undefined if the worker rejects none. */
    rejectedAtMs: number | undefined;
    /** When the next start may be tried. */
    pausedUntilMs: number;
}

/** First delay after a rejection, in milliseconds; two commits each 500 ms at most. It doubles with each further rejection. */
const firstDelayMs = 500;
/** Longest delay, in milliseconds. With `trialMs` it stays below the 3 s after which a job without a run counts as lost. */
const longestDelayMs = 2_000;
/**
 * Time after the delay in which one start at a time is tried, in milliseconds. It is limited, because members of a gang that start
 * together on the worker would otherwise never start.
 */
const trialMs = 500;

/** Creates the record of a worker that rejects no starts. */
export function createStartRejections(): StartRejections {
    return { inRow: 0, rejectedAtMs: undefined, pausedUntilMs: Number.NEGATIVE_INFINITY };
}

/** Records that a worker has rejected a start that was ordered at `orderedAtMs`. */
export function recordStartRejection(rejections: StartRejections, orderedAtMs: number, nowMs: number): void {
    const isOrderedTogether = rejections.rejectedAtMs !== undefined && orderedAtMs < rejections.pausedUntilMs;
    rejections.rejectedAtMs = nowMs;
    if (!isOrderedTogether) {
        rejections.pausedUntilMs = nowMs + Math.min(longestDelayMs, firstDelayMs * 2 ** rejections.inRow);
        rejections.inRow += 1;
    }
}

/** Records that a worker has confirmed a start; true if this ends a delay. A start from before the last rejection shows nothing. */
export function recordConfirmedStart(rejections: StartRejections, orderedAtMs: number): boolean {
    if (rejections.rejectedAtMs === undefined || orderedAtMs <= rejections.rejectedAtMs) {
        return false;
    }
    Object.assign(rejections, createStartRejections());
    return true;
}

/**
 * Counts the starts that a worker may get now; undefined if its rejections do not limit them. `startsSince` returns the number
 * of runs that were ordered there since a time.
 */
export function countStartsAfterRejection(
    { rejectedAtMs, pausedUntilMs }: StartRejections,
    startsSince: (sinceMs: number) => number,
    nowMs: number,
): number | undefined {
    if (rejectedAtMs === undefined || nowMs >= pausedUntilMs + trialMs) {
        return undefined;
    }
    return nowMs < pausedUntilMs ? 0 : Math.max(0, 1 - startsSince(pausedUntilMs));
}
