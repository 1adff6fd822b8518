import type { RunStart } from "@chestnutspool/types";
import type { PlanInput } from "./plan-input.js";
import { findUrgency } from "./queue-urgency.js";
import type { PoolUse } from "./starved-steps.js";
import { observeStepWait, type StepWaits } from "./step-waits.js";
import { hasRun } from "./trials.js";
import type { WaitingStep } from "./waiting-steps.js";

/**
 * Time for which a job without a run waits for the ration in a mostly free pool until one of its tasks starts, in milliseconds. With a pass
 * and a report that is a second late it stays below the 3 s for which users allow a job to have no run in such a pool.
 */
const longestWaitMs = 1_500;

/** Starts of deferrable tasks in a pass. */
export interface RationedStarts {
    /** Number of deferrable tasks that may still start. */
    startsLeft: number;
    /** Steps of which a task waits because of the ration. */
    stepsLeftOut: number;
    /** Urgent steps of which a task found no room. */
    urgentStepsLeft: number;
}

/** Creates the record of a pass that has planned no starts. */
export function createRationedStarts({ startRation }: PlanInput): RationedStarts {
    return { startsLeft: startRation?.starts ?? Number.POSITIVE_INFINITY, stepsLeftOut: 0, urgentStepsLeft: 0 };
}

/** Whether a step belongs to a queue below the highest priority of its pool. */
function isDeferrable({ state }: PlanInput, { job }: WaitingStep): boolean {
    return findUrgency(state.configuration, job.queue) === "deferrable";
}

/** What tells how many tasks of a step may start. */
interface RationScope {
    readonly input: PlanInput;
    readonly pools: ReadonlyMap<string, PoolUse>;
    readonly starts: readonly RunStart[];
    readonly rationed: RationedStarts;
    readonly rationWaits: StepWaits;
}

/** Counts the tasks of a deferrable step that may start at `nowMs`, wall-clock time in milliseconds, and records that others wait. */
export function countRationed(
    { input, pools, starts, rationed, rationWaits }: RationScope,
    waiting: WaitingStep,
    nowMs: number,
): number {
    if (input.startRation === undefined || !isDeferrable(input, waiting)) {
        return Number.POSITIVE_INFINITY;
    }
    const left = Math.max(0, rationed.startsLeft);
    if (left < waiting.step.waiting.size) {
        rationed.stepsLeftOut += 1;
    }
    if (left > 0) {
        return left;
    }
    const isMostlyFree = pools.get(waiting.job.queue.service)?.isMostlyFree === true;
    const isOverdue = observeStepWait(rationWaits, waiting.step, nowMs) >= longestWaitMs;
    return isMostlyFree && isOverdue && !hasRun(waiting.job, starts) ? 1 : 0;
}

/** Records the starts that a pass has planned for a step. */
export function recordPlannedStarts(
    { input, rationed }: Pick<RationScope, "input" | "rationed">,
    waiting: WaitingStep,
    starts: number,
): void {
    if (isDeferrable(input, waiting)) {
        rationed.startsLeft -= starts;
    }
    else if (!waiting.step.spec.longRunning && starts < waiting.step.waiting.size) {
        rationed.urgentStepsLeft += 1;
    }
}
