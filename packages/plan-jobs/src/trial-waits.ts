import type { JobStep } from "@chestnutspool/job-state";
import { observeStepWait, type StepWaits } from "./step-waits.js";

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
/** How long a step has waited for a trial: so briefly that it goes on, so long that its tasks share one, or that likely causes do too. */
export type TrialPatience = "waits" | "shares" | "sharesAll";

/** Records that a pass at `nowMs` found no trial for a step; returns how long it has waited. */
export function observeTrialWait(waits: StepWaits, step: JobStep, nowMs: number): TrialPatience {
    const waitedMs = observeStepWait(waits, step, nowMs);
    return waitedMs >= likelyCauseAfterMs ? "sharesAll" : waitedMs >= sharedAfterMs ? "shares" : "waits";
}
