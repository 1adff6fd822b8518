import type { JobOccurrence, JobRecord } from "@chestnutspool/job-state";

/**
 * Whether waiting work can still meet its objective. Work is sorted by it because of overloads that last some seconds:
 * earliest deadline first would then end every job a little late, because jobs that are already late go first.
 */
export type Lateness = "inTime" | "late" | "tooLate";

/** A result loses value after its objective and has none after this multiple of it, according to the users' terms. */
export const lateFactor = 3;
/** A job counts as in time up to this multiple of its objective, because declared run times are often far off. */
const estimateTolerance = 1.4;
const milliCpuPerCore = 1000;

/** Computes the time in which an occurrence should complete, in milliseconds. */
export function computeObjectiveMs(job: JobRecord): number {
    return computeChainMs(job, () => true) * job.queue.slackFactor + job.queue.targetLatencyMs;
}

/** Computes the longest chain of declared run times through the steps that `isIncluded` selects, in milliseconds. */
export function computeChainMs(job: JobRecord, isIncluded: (step: number) => boolean): number {
    const { steps } = job.definition;
    const chains: number[] = [];
    steps.forEach((step, position) => {
        const precedingMs = Math.max(0, ...step.dependsOn.map(earlier => chains[earlier] ?? 0));
        chains[position] = precedingMs + (isIncluded(position) ? step.expectedRunMs : 0);
    });
    return Math.max(0, ...chains);
}

/**
 * Computes the size by which occurrences of the same lateness are sorted: small and short ones go first, so that more
 * of them end in time. It is the square root of the remaining work in core-milliseconds, multiplied by the objective.
 */
export function computeSize(job: JobRecord, occurrence: JobOccurrence): number {
    let work = 0;
    for (const { spec, tasksLeft } of occurrence.steps) {
        work += tasksLeft * spec.expectedRunMs * spec.resources.milliCpu / milliCpuPerCore;
    }
    return Math.sqrt(work) * computeObjectiveMs(job);
}

/** Predicts the lateness of an occurrence if its tasks start at `nowMs`, wall-clock time in milliseconds. */
export function predictLateness(job: JobRecord, occurrence: JobOccurrence, nowMs: number): Lateness {
    const remainingMs = computeChainMs(job, step => (occurrence.steps[step]?.tasksLeft ?? 0) > 0);
    const objectiveMs = computeObjectiveMs(job);
    const completionMs = nowMs + remainingMs - (occurrence.dueAtMs ?? job.acceptedAtMs);
    if (completionMs <= objectiveMs * estimateTolerance) {
        return "inTime";
    }
    return completionMs <= objectiveMs * lateFactor ? "late" : "tooLate";
}
