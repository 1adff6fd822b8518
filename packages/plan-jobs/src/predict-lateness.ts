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

/** Times of an occurrence that change only when one of its steps is done, in milliseconds. */
interface ChainTimes {
    /** Time in which the occurrence should complete. */
    readonly objectiveMs: number;
    /** Number of steps that were not done when `remainingMs` was computed; steps that are done stay so. */
    readonly stepsLeft: number;
    /** Declared run time of the longest chain through the steps that are not done. */
    readonly remainingMs: number;
}

/** Kept because each pass of the planner reads the times of each waiting step. */
const timesByOccurrence = new WeakMap<JobOccurrence, ChainTimes>();

function getChainTimes(job: JobRecord, occurrence: JobOccurrence): ChainTimes {
    let stepsLeft = 0;
    for (const step of occurrence.steps) {
        stepsLeft += step.tasksLeft > 0 ? 1 : 0;
    }
    const known = timesByOccurrence.get(occurrence);
    if (known?.stepsLeft === stepsLeft) {
        return known;
    }
    const objectiveMs = known?.objectiveMs ?? computeObjectiveMs(job);
    const remainingMs = computeChainMs(job, step => (occurrence.steps[step]?.tasksLeft ?? 0) > 0);
    const times = { objectiveMs, stepsLeft, remainingMs };
    timesByOccurrence.set(occurrence, times);
    return times;
}

/** Computes the time in which an occurrence should complete, in milliseconds. */
export function computeObjectiveMs(job: JobRecord): number {
    return computeChainMs(job, () => true) * job.queue.slackFactor + job.queue.targetLatencyMs;
}

/** Finds the longest of any number of times; 0 without any. Passing them as arguments would be limited by the stack. */
function findLongestMs(times: readonly number[]): number {
    return times.reduce((longestMs, timeMs) => Math.max(longestMs, timeMs), 0);
}

/**
 * Computes the longest chain of run times through the steps that `isIncluded` selects, in milliseconds; of the declared
 * ones unless `readRunMs` returns others.
 */
export function computeChainMs(
    job: JobRecord,
    isIncluded: (step: number) => boolean,
    readRunMs = (step: number): number => job.definition.steps[step]?.expectedRunMs ?? 0,
): number {
    const { steps } = job.definition;
    const chains: number[] = [];
    steps.forEach((step, position) => {
        const precedingMs = findLongestMs(step.dependsOn.map(earlier => chains[earlier] ?? 0));
        chains[position] = precedingMs + (isIncluded(position) ? readRunMs(position) : 0);
    });
    return findLongestMs(chains);
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
    return Math.sqrt(work) * getChainTimes(job, occurrence).objectiveMs;
}

/**
 * Predicts when an occurrence completes if its tasks start at `nowMs`, wall-clock time in milliseconds, as a share of its
 * objective.
 */
export function predictCompletion(job: JobRecord, occurrence: JobOccurrence, nowMs: number): number {
    const { objectiveMs, remainingMs } = getChainTimes(job, occurrence);
    return (nowMs + remainingMs - (occurrence.dueAtMs ?? job.acceptedAtMs)) / Math.max(1, objectiveMs);
}

/** Predicts the lateness of an occurrence if its tasks start at `nowMs`, wall-clock time in milliseconds. */
export function predictLateness(job: JobRecord, occurrence: JobOccurrence, nowMs: number): Lateness {
    const { objectiveMs, remainingMs } = getChainTimes(job, occurrence);
    const completionMs = nowMs + remainingMs - (occurrence.dueAtMs ?? job.acceptedAtMs);
    if (completionMs <= objectiveMs * estimateTolerance) {
        return "inTime";
    }
    return completionMs <= objectiveMs * lateFactor ? "late" : "tooLate";
}
