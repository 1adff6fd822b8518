/** Time after which the lowest difference is measured anew, in milliseconds; the clocks differ by 2% at most. */
const windowMs = 5_000;
/** Delay from which a message counts as held up, in milliseconds; above what the clocks drift in two windows. */
const heldUpMs = 500;
/** Number of windows after which the baseline is replaced in any case. */
const longestWindows = 6;

/** Lowest differences between the time of arrival and the time of sending, in milliseconds. */
export interface DelayBaseline {
    readonly windowStartMs: number;
    readonly lowestMs: number;
    /** The lowest difference of the window before. */
    readonly earlierLowestMs: number;
}

/**
 * Estimates how long a message was under way, in milliseconds, beyond the fastest one of the last seconds. The clocks
 * of sender and receiver need not agree.
 */
export function estimateDelay(
    baseline: DelayBaseline | undefined,
    sentAtMs: number,
    nowMs: number,
): { readonly baseline: DelayBaseline; readonly delayMs: number; } {
    const differenceMs = nowMs - sentAtMs;
    if (baseline === undefined) {
        const first = { windowStartMs: nowMs, lowestMs: differenceMs, earlierLowestMs: Infinity };
        return { baseline: first, delayMs: 0 };
    }
    const lowestMs = Math.min(baseline.lowestMs, differenceMs);
    const delayMs = differenceMs - Math.min(lowestMs, baseline.earlierLowestMs);
    const ageMs = nowMs - baseline.windowStartMs;
    // A message that was held up starts no window, or else the ones behind it would seem to be in time. A delay that
    // lasts for many windows is that of the path.
    const isOver = ageMs >= windowMs && (delayMs < heldUpMs || ageMs >= windowMs * longestWindows);
    return isOver
        ? { baseline: { windowStartMs: nowMs, lowestMs: differenceMs, earlierLowestMs: lowestMs }, delayMs }
        : { baseline: { ...baseline, lowestMs }, delayMs };
}
