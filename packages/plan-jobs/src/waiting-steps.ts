import {
    isJobEnded,
    isStepReady,
    type JobOccurrence,
    type JobRecord,
    type JobState,
    type JobStep,
} from "@chestnutspool/job-state";
import { computeSize, type Lateness, predictLateness } from "./predict-lateness.js";

/** A step with tasks that may start now. */
export interface WaitingStep {
    readonly job: JobRecord;
    readonly occurrence: JobOccurrence;
    readonly step: JobStep;
    /** Result of `computeSize` for the occurrence. */
    readonly size: number;
    readonly lateness: Lateness;
}

/** Lists the steps with tasks that may start at `nowMs`, wall-clock time in milliseconds since the epoch. */
export function listWaitingSteps(state: JobState, nowMs: number): WaitingStep[] {
    const waiting: WaitingStep[] = [];
    for (const job of state.openJobs.values()) {
        if (isJobEnded(job)) {
            continue;
        }
        for (const occurrence of job.occurrences.values()) {
            if (occurrence.dueAtMs !== undefined && occurrence.dueAtMs > nowMs) {
                continue;
            }
            const ready = occurrence.steps.filter(step => step.waiting.size > 0 && isStepReady(occurrence, step));
            if (ready.length === 0) {
                continue;
            }
            const size = computeSize(job, occurrence);
            const lateness = predictLateness(job, occurrence, nowMs);
            waiting.push(...ready.map(step => ({ job, occurrence, step, size, lateness })));
        }
    }
    return waiting;
}

const latenessRanks: Readonly<Record<Lateness, number>> = { inTime: 0, late: 1, tooLate: 2 };

/**
 * Sorts by the priority of the queue, then by lateness and by size. At the same priority long-running tasks go last,
 * because they hold their resources indefinitely.
 */
export function sortWaitingSteps(waiting: readonly WaitingStep[]): WaitingStep[] {
    return [...waiting].sort((left, right) =>
        left.job.queue.priority - right.job.queue.priority
        || Number(left.step.spec.longRunning) - Number(right.step.spec.longRunning)
        || latenessRanks[left.lateness] - latenessRanks[right.lateness]
        || left.size - right.size
    );
}
