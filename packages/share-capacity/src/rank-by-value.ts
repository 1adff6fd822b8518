/** Part of a job's value that does not depend on its work, and largest value, both in terms of the mean of the queue. */
const fixedValue = 0.3;
const largestValue = 4;
/**
 * Expected completion, as a share of the objective, up to which a job is taken to be in time, and from which it is taken to be
 * late: declared run times are far off.
 */
const certainlyInTime = 0.7;
const certainlyLate = 1.4;
/** Share of its value that a job earns when it is late. */
const lateShare = 0.15;

/** Computes the value of a job in terms of its work and the mean work of its queue, both in core-milliseconds. */
export function computeValue(work: number, meanWork: number): number {
    return meanWork === 0 ? 1 : Math.min(largestValue, fixedValue + (1 - fixedValue) * work / meanWork);
}

/** Estimates the share of its value that a job earns if it is expected to complete at `completion`, a share of its objective. */
export function estimateEarnedShare(completion: number): number {
    const lateness = (completion - certainlyInTime) / (certainlyLate - certainlyInTime);
    return 1 - (1 - lateShare) * Math.min(1, Math.max(0, lateness));
}

/** Work that waits in one pass of the planner. Work is declared, in core-milliseconds. */
export interface WaitingWork {
    readonly queue: string;
    /** Identifies the work from one pass to the next. */
    readonly key: string;
    /** All work of the job, done or not. */
    readonly work: number;
    /** Work of the tasks that have not started, also of later steps. */
    readonly workToStart: number;
    /** Earliest expected completion as a share of the objective. */
    readonly completion: number;
}

/**
 * Ranks waiting work by the work to start for each unit of value it is expected to earn; the lowest goes first. Work that has
 * started does not count, so that jobs that have begun are completed before others begin.
 */
export function rankByValue({ work, workToStart, completion }: WaitingWork, meanWork: number): number {
    return workToStart / (computeValue(work, meanWork) * estimateEarnedShare(completion));
}
