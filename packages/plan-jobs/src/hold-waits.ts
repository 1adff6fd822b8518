import type { JobStep } from "@chestnutspool/job-state";

/**
 * Time for which a step waits for room on a held worker until it may take it, in milliseconds. With a report that is a second late and a
 * pass it stays below the 3 s for which users allow a job to have no run in a mostly free pool.
 */
const longestHeldWaitMs = 1_500;
/** Time after which a step that no pass has found waiting begins a new wait, in milliseconds. */
const forgottenAfterMs = 1_000;

/** A step that finds no room while workers are held. Times are wall-clock times in milliseconds since the epoch. */
interface HoldWait {
    sinceMs: number;
    foundAtMs: number;
}

/** Steps that find no room while workers are held for long-running tasks. */
export type HoldWaits = WeakMap<JobStep, HoldWait>;

/** Records that a pass at `nowMs` found no room for a step while workers are held; returns whether it has waited for too long by now. */
export function observeHoldWait(waits: HoldWaits, step: JobStep, nowMs: number): boolean {
    const wait = waits.get(step) ?? { sinceMs: nowMs, foundAtMs: nowMs };
    waits.set(step, wait);
    if (nowMs - wait.foundAtMs > forgottenAfterMs) {
        wait.sinceMs = nowMs;
    }
    wait.foundAtMs = nowMs;
    return nowMs - wait.sinceMs >= longestHeldWaitMs;
}
