/** Time after which the lowest difference is measured anew, in milliseconds; the clocks differ by 2% at most. */
const windowMs = 2_000;
/** Delay from which a message counts as held up, in milliseconds; below the shortest limit of a call, 500 ms. */
const heldUpMs = 300;
/**
 * Time without messages after which the sender's messages are measured anew, in milliseconds. Probes come every 100 ms;
 * in a longer time the clocks may have drifted apart, or the sender may have been suspended.
 */
const longestGapMs = 1_000;
/**
 * Time for which messages are held up by the same delay until it counts as that of the path, in milliseconds. Messages
 * that waited for the receiver arrive faster than they were sent, so that their delay falls.
 */
const steadyDelayMs = 1_000;
/** Change of a delay below which it counts as the same, in milliseconds; above the drift of the clocks in a second. */
const steadyRangeMs = 100;
/** Longest time for which messages count as held up, in milliseconds; half of the lease of a worker. */
const longestHeldUpMs = 3_000;

/** Messages that are held up one after the other. */
interface HeldUp {
    readonly sinceMs: number;
    /** Time from which the difference has not changed noticeably. */
    readonly steadySinceMs: number;
    /** Difference at that time. */
    readonly differenceMs: number;
}

/** Lowest differences between the time of arrival and the time of sending, in milliseconds. */
export interface DelayBaseline {
    readonly windowStartMs: number;
    readonly lowestMs: number;
    /** The lowest difference of the window before. */
    readonly earlierLowestMs: number;
    /** Latest time of sending, by the sender's clock. */
    readonly sentAtMs: number;
    readonly heldUp: HeldUp | undefined;
}

function createBaseline(sentAtMs: number, nowMs: number): DelayBaseline {
    return {
        windowStartMs: nowMs,
        lowestMs: nowMs - sentAtMs,
        earlierLowestMs: Infinity,
        sentAtMs,
        heldUp: undefined,
    };
}

function observeHeldUp(heldUp: HeldUp | undefined, differenceMs: number, nowMs: number): HeldUp {
    const isSteady = heldUp !== undefined && Math.abs(differenceMs - heldUp.differenceMs) < steadyRangeMs;
    return isSteady ? heldUp : { sinceMs: heldUp?.sinceMs ?? nowMs, steadySinceMs: nowMs, differenceMs };
}

/**
 * Estimates how long a message was under way, in milliseconds, beyond the fastest one of the last seconds. The clocks
 * of sender and receiver need not agree. A clock that stood still leads to wrong delays for a second, or for
 * `longestHeldUpMs` if the delay changes at the same time.
 */
export function estimateDelay(
    baseline: DelayBaseline | undefined,
    sentAtMs: number,
    nowMs: number,
): { readonly baseline: DelayBaseline; readonly delayMs: number; } {
    if (baseline === undefined || sentAtMs - baseline.sentAtMs >= longestGapMs) {
        return { baseline: createBaseline(sentAtMs, nowMs), delayMs: 0 };
    }
    const differenceMs = nowMs - sentAtMs;
    const lowestMs = Math.min(baseline.lowestMs, differenceMs);
    const delayMs = differenceMs - Math.min(lowestMs, baseline.earlierLowestMs);
    const latestSentAtMs = Math.max(baseline.sentAtMs, sentAtMs);
    if (delayMs >= heldUpMs) {
        // A message that was held up starts no window, or else the ones behind it would seem to be in time.
        const heldUp = observeHeldUp(baseline.heldUp, differenceMs, nowMs);
        const isPath = nowMs - heldUp.steadySinceMs >= steadyDelayMs || nowMs - heldUp.sinceMs >= longestHeldUpMs;
        return {
            baseline: isPath
                ? createBaseline(sentAtMs, nowMs)
                : { ...baseline, lowestMs, sentAtMs: latestSentAtMs, heldUp },
            delayMs,
        };
    }
    const isOver = nowMs - baseline.windowStartMs >= windowMs;
    return {
        baseline: {
            windowStartMs: isOver ? nowMs : baseline.windowStartMs,
            lowestMs: isOver ? differenceMs : lowestMs,
            earlierLowestMs: isOver ? lowestMs : baseline.earlierLowestMs,
            sentAtMs: latestSentAtMs,
            heldUp: undefined,
        },
        delayMs,
    };
}
