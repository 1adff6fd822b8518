/** Shortest pause between two passes, in milliseconds, so that changes in quick succession share one pass. */
const passPauseMs = 5;
/**
 * Longest pause between two passes, in milliseconds, so that a host that was frozen during a pass starts and stops tasks
 * again within a second.
 */
const longestPauseMs = 800;
/**
 * Least time from the end of a pass to the next one, as a multiple of its duration, so that planning takes at most a
 * third of the thread, which also renews leases and answers callers.
 */
const pauseFactor = 2;

/** Computes the pause before the next pass in milliseconds, `sinceEndMs` after the end of a pass that took `tookMs`. */
export function computePassPauseMs(tookMs: number, sinceEndMs: number): number {
    return Math.max(passPauseMs, Math.min(longestPauseMs, tookMs * pauseFactor) - sinceEndMs);
}
