import { formatStepKey } from "@chestnutspool/job-state";
import {
    createStartRejections,
    recordConfirmedStart,
    recordStartRejection,
    type RunStatus,
    type StartRejections,
} from "@chestnutspool/track-workers";
import { setLatest } from "@chestnutspool/types";
import type { Term } from "./term.js";

/** Steps of which workers refuse the starts whatever worker it is, by step key. Soft state: a new leader begins anew. */
export type RefusedSteps = Map<string, StartRejections>;

/** Limit of the steps whose refusals are kept. */
const refusedStepLimit = 1_000;

/** Records that a worker has refused a start for a reason that concerns its task, so that the next starts of its step are delayed. */
export function recordRefusedStep(term: Term, { key, orderedAtMs }: RunStatus, reason: string, nowMs: number): void {
    const stepKey = formatStepKey(key);
    const rejections = term.refusedSteps.get(stepKey) ?? createStartRejections();
    const { inRow } = rejections;
    recordStartRejection(rejections, orderedAtMs, nowMs);
    setLatest(term.refusedSteps, stepKey, rejections, refusedStepLimit);
    if (rejections.inRow > inRow) {
        term.logger.info("starts of a step are refused", {
            job: key.job,
            occurrence: key.occurrence,
            step: key.step,
            reason,
            inRow: rejections.inRow,
            delayMs: Math.round(rejections.pausedUntilMs - nowMs),
        });
    }
}

/** Records that a worker has confirmed a start of a step, which ends the delay of the others. */
export function recordConfirmedStep({ refusedSteps }: Term, { key, orderedAtMs }: RunStatus): void {
    const rejections = refusedSteps.size === 0 ? undefined : refusedSteps.get(formatStepKey(key));
    if (rejections !== undefined && recordConfirmedStart(rejections, orderedAtMs)) {
        refusedSteps.delete(formatStepKey(key));
    }
}

/**
 * Counts the tasks of a step that may start at `nowMs`, monotonic time in milliseconds: none during a delay, then one at a time until a
 * worker confirms a start; undefined if none was refused.
 */
export function countStepStarts({ refusedSteps }: Term, stepKey: string, nowMs: number): number | undefined {
    const rejections = refusedSteps.get(stepKey);
    return rejections === undefined ? undefined : nowMs < rejections.pausedUntilMs ? 0 : 1;
}
