/** Duration of a pass that leaves the thread to leases, answers and urgent starts soon enough, in milliseconds. */
const wantedPassMs = 25;
/** Least and largest number of ratings in a pass. The least one compares four steps with 1,300 workers. */
const leastRatings = 5_000;
const mostRatings = 20_000;
/** Largest change of the limit from one pass to the next, as a factor, because a pause of the process looks like work. */
const largestChange = 2;

/**
 * Adapts the limit of ratings after a pass that planned for `tookMs`. A long backlog is then compared in several short
 * passes, so that urgent tasks that arrive meanwhile wait for a short one. `hasStepsLeft` tells whether the limit ended
 * the pass.
 */
export function adaptRatings(limit: number, tookMs: number, hasStepsLeft: boolean): number {
    if (tookMs <= wantedPassMs && !hasStepsLeft) {
        return limit;
    }
    const factor = wantedPassMs / Math.max(1, tookMs);
    const bounded = Math.min(largestChange, Math.max(1 / largestChange, factor));
    return Math.round(Math.min(mostRatings, Math.max(leastRatings, limit * bounded)));
}
