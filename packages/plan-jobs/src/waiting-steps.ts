import {
    isJobEnded,
    isStepReady,
    type JobOccurrence,
    type JobRecord,
    type JobState,
    type JobStep,
    listActiveJobs,
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
    /** Whether a long-running task was interrupted, or has waited for too long for its first run. */
    readonly isOverdue: boolean;
}

/** Time after which a long-running task that has not run yet is overdue, in milliseconds. */
const overdueMs = 2_000;

function isStepOverdue(job: JobRecord, occurrence: JobOccurrence, step: JobStep, nowMs: number): boolean {
    if (!step.spec.longRunning) {
        return false;
    }
    if (nowMs - (occurrence.dueAtMs ?? job.acceptedAtMs) >= overdueMs) {
        return true;
    }
    for (const position of step.waiting) {
        if ((step.tasks[position]?.lastRun ?? 0) > 0) {
            return true;
        }
    }
    return false;
}

/**
 * Lists the steps with tasks that may start at `nowMs`, wall-clock time in milliseconds since the epoch; by default those of
 * all jobs.
 */
export function listWaitingSteps(
    state: JobState,
    nowMs: number,
    isIncluded: (job: JobRecord) => boolean = () => true,
): WaitingStep[] {
    const waiting: WaitingStep[] = [];
    for (const job of listActiveJobs(state, nowMs)) {
        if (isJobEnded(job) || !isIncluded(job)) {
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
            waiting.push(...ready.map(step => {
                const isOverdue = isStepOverdue(job, occurrence, step, nowMs);
                return { job, occurrence, step, size, lateness, isOverdue };
            }));
        }
    }
    return waiting;
}

const latenessRanks: Readonly<Record<Lateness, number>> = { inTime: 0, late: 1, tooLate: 2 };

/** Rank of a step among those of the same priority. */
function rankStep({ step, isOverdue }: WaitingStep): number {
    if (!step.spec.longRunning) {
        return 1;
    }
    return isOverdue ? 0 : 2;
}

/**
 * Sorts by the priority of the queue, then by lateness and by size. At the same priority long-running tasks go last,
 * because they hold their resources indefinitely, unless they are overdue: small tasks that come without end would take
 * each place that becomes free.
 */
export function sortWaitingSteps(waiting: readonly WaitingStep[]): WaitingStep[] {
    return [...waiting].sort((left, right) =>
        left.job.queue.priority - right.job.queue.priority
        || rankStep(left) - rankStep(right)
        || latenessRanks[left.lateness] - latenessRanks[right.lateness]
        || left.size - right.size
    );
}
