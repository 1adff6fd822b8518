import type { JobStep } from "@chestnutspool/job-state";
import { observeStepWait, type StepWaits } from "./step-waits.js";

/**
 * Time for which a step waits for room on a held worker until it may take it, in milliseconds. With a report that is a second late and a
 * pass it stays below the 3 s for which users allow a job to have no run in a mostly free pool.
 */
const longestHeldWaitMs = 1_500;

/** Records that a pass at `nowMs` found no room for a step while workers are held; returns whether it has waited for too long by now. */
export function observeHoldWait(waits: StepWaits, step: JobStep, nowMs: number): boolean {
    return observeStepWait(waits, step, nowMs) >= longestHeldWaitMs;
}
