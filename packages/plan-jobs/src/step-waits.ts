import type { JobStep } from "@chestnutspool/job-state";

/** Time after which a step that no pass has found waiting begins a new wait, in milliseconds. */
export const forgottenAfterMs = 1_000;

/** Times of a wait are wall-clock times in milliseconds since the epoch. */
interface StepWait {
    sinceMs: number;
    foundAtMs: number;
}

/** Steps that wait for the same thing. */
export type StepWaits = WeakMap<JobStep, StepWait>;

/** Records that a pass at `nowMs` found a step waiting; returns for how long it has waited, in milliseconds. */
export function observeStepWait(waits: StepWaits, step: JobStep, nowMs: number): number {
    const wait = waits.get(step) ?? { sinceMs: nowMs, foundAtMs: nowMs };
    waits.set(step, wait);
    if (nowMs - wait.foundAtMs > forgottenAfterMs) {
        wait.sinceMs = nowMs;
    }
    wait.foundAtMs = nowMs;
    return nowMs - wait.sinceMs;
}
