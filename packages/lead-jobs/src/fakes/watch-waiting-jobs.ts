import { computeReservation, isJobEnded, isStepReady, type JobRecord, type JobState } from "@chestnutspool/job-state";
import { readMonotonicMs, type StepSpec } from "@chestnutspool/types";
import { Effect } from "effect";
import type { TestSystem } from "./test-system.js";

/** Interval at which jobs are looked at, in milliseconds. */
const watchMs = 50;

/** A job of which nothing ran although there was room. */
export interface WaitingJob {
    readonly job: string;
    /** Longest time without a run, in milliseconds. */
    waitedMs: number;
    /** Monotonic time in milliseconds at which this wait began. */
    sinceMs: number;
}

/** Whether less than half of the processors of a pool is reserved. */
function hasHalfFree({ workers }: JobState): boolean {
    let used = 0;
    let capacity = 0;
    for (const worker of workers.values()) {
        used += worker.used.milliCpu;
        capacity += worker.info.capacity.milliCpu;
    }
    return used < capacity / 2;
}

/** Whether a worker has room twice over for a task of a step. */
function hasRoomTwice({ workers }: JobState, spec: StepSpec): boolean {
    const { milliCpu, memoryMib } = computeReservation(spec);
    return [...workers.values()].some(({ info, used }) =>
        info.capacity.milliCpu - used.milliCpu >= 2 * milliCpu
        && info.capacity.memoryMib - used.memoryMib >= 2 * memoryMib
    );
}

/** Whether a step of a job whose turn has come has tasks to do and room. */
function canRun(state: JobState, job: JobRecord): boolean {
    return !isJobEnded(job)
        && [...job.occurrences.values()].some(occurrence =>
            occurrence.steps.some(step =>
                step.tasksLeft > 0 && isStepReady(occurrence, step) && hasRoomTwice(state, step.spec)
            )
        );
}

/**
 * Lets time pass and finds the longest time for which nothing of each job ran on any worker although there was room twice
 * over and less than half of the processors were reserved.
 */
export const watchWaitingJobs = Effect.fnUntraced(function*(system: TestSystem, durationMs: number) {
    const { state } = system.machine;
    const waits = new Map<string, WaitingJob>();
    const sinceByJob = new Map<string, number>();
    for (let passedMs = 0; passedMs < durationMs; passedMs += watchMs) {
        yield* system.pass(watchMs);
        const nowMs = yield* readMonotonicMs;
        const running = new Set(
            (yield* system.readStartedRuns).filter(({ endedAtMs }) => endedAtMs === undefined).map(({ task }) =>
                task.slice(0, task.indexOf("."))
            ),
        );
        for (const job of state.jobs.values()) {
            if (running.has(job.id) || !hasHalfFree(state) || !canRun(state, job)) {
                sinceByJob.delete(job.id);
                continue;
            }
            const sinceMs = sinceByJob.get(job.id) ?? nowMs;
            sinceByJob.set(job.id, sinceMs);
            const wait = waits.get(job.id);
            if (wait === undefined || wait.waitedMs < nowMs - sinceMs) {
                waits.set(job.id, { job: job.id, waitedMs: nowMs - sinceMs, sinceMs });
            }
        }
    }
    return [...waits.values()].sort((left, right) => right.waitedMs - left.waitedMs);
});
