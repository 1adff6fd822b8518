import {
    isJobEnded,
    isStepReady,
    type JobModel,
    type JobOccurrence,
    type JobRecord,
    type JobStep,
} from "@chestnutspool/job-state";

/** A step with tasks that may start now. */
export interface WaitingStep {
    readonly job: JobRecord;
    readonly occurrence: JobOccurrence;
    readonly step: JobStep;
    /** Wall-clock time by which the job should be complete, in milliseconds since the epoch. */
    readonly wantedAtMs: number;
}

/** Longest chain of declared run times from a step of an occurrence to its end, in milliseconds. */
function computeChainMs(job: JobRecord): number {
    const { steps } = job.definition;
    const chains: number[] = [];
    steps.forEach((step, position) => {
        const before = Math.max(0, ...step.dependsOn.map(earlier => chains[earlier] ?? 0));
        chains[position] = before + step.expectedRunMs;
    });
    return Math.max(0, ...chains);
}

function computeWantedAt(job: JobRecord, occurrence: JobOccurrence): number {
    const { slackFactor, targetLatencyMs } = job.queue;
    return (occurrence.dueAtMs ?? job.acceptedAtMs) + computeChainMs(job) * slackFactor + targetLatencyMs;
}

/** The steps that have tasks to start at `nowMs`, wall-clock time in milliseconds since the epoch. */
export function listWaitingSteps(model: JobModel, nowMs: number): WaitingStep[] {
    const waiting: WaitingStep[] = [];
    for (const job of model.openJobs.values()) {
        if (isJobEnded(job)) {
            continue;
        }
        for (const occurrence of job.occurrences.values()) {
            if (occurrence.dueAtMs !== undefined && occurrence.dueAtMs > nowMs) {
                continue;
            }
            for (const step of occurrence.steps) {
                if (step.waiting.size > 0 && isStepReady(occurrence, step)) {
                    waiting.push({ job, occurrence, step, wantedAtMs: computeWantedAt(job, occurrence) });
                }
            }
        }
    }
    return waiting;
}

/**
 * Sorts by priority of the queue, then tasks that end before long-running ones, because these take up their room for good,
 * then by the time at which the job should be complete.
 */
export function sortWaitingSteps(waiting: readonly WaitingStep[]): WaitingStep[] {
    return [...waiting].sort((left, right) =>
        left.job.queue.priority - right.job.queue.priority
        || Number(left.step.spec.longRunning) - Number(right.step.spec.longRunning)
        || left.wantedAtMs - right.wantedAtMs
    );
}
