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
/**
 * Least time between two passes over all tasks while the processor time of the leader is rationed, as a multiple of their duration and in
 * milliseconds; the others are over urgent tasks.
 */
const fullPassPauseFactor = 5;
const leastFullPassPauseMs = 200;
/** Longest such time, in milliseconds, so that a job without a run is noticed well within the 3 s for which users allow that. */
const longestFullPassPauseMs = 300;

/** Least pause between two passes over urgent tasks, in milliseconds; each reads all workers. */
const leastUrgentPassPauseMs = 40;

/** Computes the pause before the next pass over urgent tasks in milliseconds, `sinceEndMs` after the end of one that took `tookMs`. */
export function computeUrgentPassPauseMs(tookMs: number, sinceEndMs: number): number {
    return Math.max(leastUrgentPassPauseMs - sinceEndMs, computePassPauseMs(tookMs, sinceEndMs));
}

/** Computes the pause before the next pass in milliseconds, `sinceEndMs` after the end of a pass that took `tookMs`. */
export function computePassPauseMs(tookMs: number, sinceEndMs: number): number {
    return Math.max(passPauseMs, Math.min(longestPauseMs, tookMs * pauseFactor) - sinceEndMs);
}

/** Computes the least time between two passes over all tasks while the time of the leader is rationed, after one that took `tookMs`. */
export function computeFullPassPauseMs(tookMs: number): number {
    return Math.max(leastFullPassPauseMs, Math.min(longestFullPassPauseMs, tookMs * fullPassPauseFactor));
}
