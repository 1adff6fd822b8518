import type { JobStep } from "@chestnutspool/job-state";

/**
 * Time for which a step waits for a trial of its own until it shares one, in milliseconds; with the pass and the start it stays below
 * the 3 s for which users allow a job to have no run.
 */
const sharedAfterMs = 1_000;
/**
 * Time after which a long-running task that is a likely cause of crashes is on trial beside others, in milliseconds; with the trials before
 * it, it stays below the 6 s for which users allow such a task to have no run.
 */
const likelyCauseAfterMs = 3_000;
/** Time after which a step that no pass has found waiting begins a new wait, in milliseconds. */
const forgottenAfterMs = 1_000;

/** A step whose next trial waits for others. Times are wall-clock times in milliseconds since the epoch. */
interface TrialWait {
    sinceMs: number;
    foundAtMs: number;
}

/** Steps that wait for a trial. */
export type TrialWaits = WeakMap<JobStep, TrialWait>;

/** How long a step has waited for a trial: so briefly that it goes on, so long that its tasks share one, or that likely causes do too. */
export type TrialPatience = "waits" | "shares" | "sharesAll";

/** Records that a pass at `nowMs` found no trial for a step; returns how long it has waited. */
export function observeTrialWait(waits: TrialWaits, step: JobStep, nowMs: number): TrialPatience {
    const wait = waits.get(step) ?? { sinceMs: nowMs, foundAtMs: nowMs };
    waits.set(step, wait);
    if (nowMs - wait.foundAtMs > forgottenAfterMs) {
        wait.sinceMs = nowMs;
    }
    wait.foundAtMs = nowMs;
    const waitedMs = nowMs - wait.sinceMs;
    return waitedMs >= likelyCauseAfterMs ? "sharesAll" : waitedMs >= sharedAfterMs ? "shares" : "waits";
}
