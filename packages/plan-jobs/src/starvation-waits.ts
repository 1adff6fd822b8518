import type { JobRecord, JobStep, JobTask } from "@chestnutspool/job-state";
import type { RunStart, TaskKey, WorkerId } from "@chestnutspool/types";

/**
 * Least time between two attempts to start a starved step of a job, in milliseconds. A run of a shorter time, such as a start that
 * the worker refuses, does not end the wait of the job.
 */
export const retryMs = 1_000;

/** A job without a run, or a long-running task without one, whether others of its job run or not. */
export interface Waiter {
    readonly job: JobRecord;
    /** The long-running task; undefined for the job. */
    readonly task: JobTask | undefined;
}

/** A job or a long-running task without a start that disturbs no serving task. */
export interface Starvation {
    /** Wall-clock time at which a pass first found it without a run, in milliseconds since the epoch. */
    readonly sinceMs: number;
    /** Wall-clock time of the last start of one of its steps although it disturbs. */
    startedAtMs: number;
    /** Wall-clock time of the last attempt to start a step although it disturbs, by step. */
    readonly triedAtMs: WeakMap<JobStep, number>;
    /** Wall-clock time since which it has had no run, but for short ones. */
    withoutRunSinceMs: number;
    /** Wall-clock time of the last pass that found it without a run. */
    foundAtMs: number;
    /** Workers that have refused its starts since then; a worker that is tried again although it has refused begins a new set. */
    readonly refusedBy: Set<WorkerId>;
}

/** The last starts of a job or a task; workers may refuse all of them. */
interface UnconfirmedStarts {
    readonly atMs: number;
    readonly starts: readonly { readonly start: RunStart; readonly task: JobTask; }[];
    /** The wait that the starts end unless workers refuse all of them. */
    readonly starvation: Starvation;
}

/** Finds the number of the last run of a task that ended without having started; undefined if none is known. */
export type FindUnstartedRun = ((task: TaskKey) => number | undefined) | undefined;

/** Waits of jobs and of long-running tasks without a run. */
export interface StarvationWaits {
    readonly waits: WeakMap<JobRecord | JobTask, Starvation>;
    /** Their last starts. */
    readonly unconfirmed: WeakMap<JobRecord | JobTask, UnconfirmedStarts>;
}

/** Returns what the wait of a job or a task is kept by. */
export function getKey({ job, task }: Waiter): JobRecord | JobTask {
    return task ?? job;
}

/** Whether the job or the task has a run in progress. */
export function hasRun({ job, task }: Waiter): boolean {
    return task === undefined ? job.runsInProgress > 0 : task.runs.length > 0;
}

/**
 * Finds the last starts of a job or a task without a run if all of them have ended and none of them has started: workers have refused
 * them or have not carried them out. A start that was planned and not recorded is none of them. Where no such end is known, no run of a job
 * that has not begun has started; the state does not tell for how long it seemed to run, so that only the starts within `retryMs` before
 * `nowMs` count.
 */
function findRefusedStarts(
    { unconfirmed }: StarvationWaits,
    waiter: Waiter,
    findUnstartedRun: FindUnstartedRun,
    nowMs: number,
): UnconfirmedStarts | undefined {
    const last = hasRun(waiter) ? undefined : unconfirmed.get(getKey(waiter));
    if (last === undefined) {
        return undefined;
    }
    const isShort = !waiter.job.hasBegun && nowMs - last.atMs <= retryMs;
    const isRefused = (start: RunStart): boolean => isShort || findUnstartedRun?.(start) === start.run;
    return last.starts.every(({ task, start }) => task.lastRun === start.run && isRefused(start)) ? last : undefined;
}

/** Records the workers that have refused the last starts of a job or a task without a run; returns its wait, if one is known. */
export function observeWait(
    memory: StarvationWaits,
    waiter: Waiter,
    findUnstartedRun: FindUnstartedRun,
    nowMs: number,
): Starvation | undefined {
    const key = getKey(waiter);
    const refused = findRefusedStarts(memory, waiter, findUnstartedRun, nowMs);
    if (refused === undefined) {
        return memory.waits.get(key);
    }
    const { starts, starvation } = refused;
    memory.unconfirmed.delete(key);
    memory.waits.set(key, starvation);
    // It had no run all the while.
    starvation.foundAtMs = nowMs;
    if (starts.some(({ start }) => starvation.refusedBy.has(start.worker))) {
        starvation.refusedBy.clear();
    }
    starts.forEach(({ start }) => starvation.refusedBy.add(start.worker));
    return starvation;
}

/**
 * Finds or creates what is remembered of a job or a task that a pass at `nowMs` finds without a run. Starts that workers have refused do not end
 * its wait.
 */
export function observeWithoutRun(
    memory: StarvationWaits,
    waiter: Waiter,
    findUnstartedRun: FindUnstartedRun,
    nowMs: number,
): Starvation {
    const known = observeWait(memory, waiter, findUnstartedRun, nowMs);
    if (known === undefined) {
        const starvation = {
            sinceMs: nowMs,
            startedAtMs: Number.NEGATIVE_INFINITY,
            triedAtMs: new WeakMap(),
            withoutRunSinceMs: nowMs,
            foundAtMs: nowMs,
            refusedBy: new Set<WorkerId>(),
        };
        memory.waits.set(getKey(waiter), starvation);
        return starvation;
    }
    if (nowMs - known.foundAtMs > retryMs) {
        known.withoutRunSinceMs = nowMs;
        known.refusedBy.clear();
    }
    known.foundAtMs = nowMs;
    return known;
}

/** Finds the step and the task of a start of a job. */
export function findStarted(job: JobRecord, { occurrence, step: position, position: ofTask }: RunStart) {
    const step = job.occurrences.get(occurrence)?.steps[position];
    const task = step?.tasks[ofTask];
    return step === undefined || task === undefined ? undefined : { step, task };
}

/** Records the starts of a job or a task without a run, so that its wait goes on if workers refuse them. */
export function recordStarts(
    { unconfirmed }: StarvationWaits,
    waiter: Waiter,
    starts: readonly RunStart[],
    starvation: Starvation,
    nowMs: number,
): void {
    const withTasks = starts.flatMap(start => {
        const task = findStarted(waiter.job, start)?.task;
        return task === undefined ? [] : [{ start, task }];
    });
    unconfirmed.set(getKey(waiter), { atMs: nowMs, starts: withTasks, starvation });
}

/** Forgets that a job or a task has waited, unless workers refuse its starts. */
export function endWait(
    memory: StarvationWaits,
    waiter: Waiter,
    starts: readonly RunStart[],
    findUnstartedRun: FindUnstartedRun,
    nowMs: number,
): void {
    recordStarts(memory, waiter, starts, observeWithoutRun(memory, waiter, findUnstartedRun, nowMs), nowMs);
    memory.waits.delete(getKey(waiter));
}
