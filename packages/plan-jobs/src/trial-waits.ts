import type { JobStep } from "@chestnutspool/job-state";

/**
 * Time for which a step waits for a trial of its own until it shares one, in milliseconds; with the pass and the start it stays below
 * the 3 s for which users allow a job to have no run.
 */
const sharedAfterMs = 1_000;
/** Time after which a step that no pass has found waiting begins a new wait, in milliseconds. */
const forgottenAfterMs = 1_000;

/** A step whose next trial waits for others. Times are wall-clock times in milliseconds since the epoch. */
interface TrialWait {
    sinceMs: number;
    foundAtMs: number;
}

/** Steps that wait for a trial. */
export type TrialWaits = WeakMap<JobStep, TrialWait>;

/** Records that a pass at `nowMs` found no trial for a step; returns whether its tasks may share one by now. */
export function observeTrialWait(waits: TrialWaits, step: JobStep, nowMs: number): boolean {
    const wait = waits.get(step) ?? { sinceMs: nowMs, foundAtMs: nowMs };
    waits.set(step, wait);
    if (nowMs - wait.foundAtMs > forgottenAfterMs) {
        wait.sinceMs = nowMs;
    }
    wait.foundAtMs = nowMs;
    return nowMs - wait.sinceMs >= sharedAfterMs;
}
