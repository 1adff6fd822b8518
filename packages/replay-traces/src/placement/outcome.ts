import type { ClusterState } from "@chestnutspool/types";

/** Results of one replay. */
export interface PlacementOutcome {
    /** Slowdown of running service tasks relative to running alone, sampled each second; 1 is no slowdown. */
    readonly slowdownP50: number;
    readonly slowdownP99: number;
    /** Time for which service tasks waited, from when they could be placed until they were placed, in milliseconds. */
    readonly urgentWaitP99Ms: number;
    /** Service tasks that still waited for placement at the end of the trace. */
    readonly urgentWaiting: number;
    /** Smallest share of a service's tasks that ran at one time, from one minute after the service was created. */
    readonly leastServiceShare: number;
    /** Job tasks with a deadline within the trace, except cancelled and impossible ones. */
    readonly dueTasks: number;
    readonly doneByDeadline: number;
    /** Job tasks that succeeded, with or without a deadline. */
    readonly batchDone: number;
    /** Processor time of the job tasks that succeeded, in core seconds. */
    readonly batchCoreSeconds: number;
    /** Processor time of batch work lost when tasks were evicted or cancelled, in core seconds. */
    readonly lostCoreSeconds: number;
    readonly evictions: number;
    /** Largest number of evictions within any 60 s. */
    readonly evictionsPerMinute: number;
    /** Starts on workers that fail every start. */
    readonly wastedStarts: number;
    /** Tasks that were reported as impossible, with the time from creation to the report in milliseconds. */
    readonly impossible: readonly { readonly task: string; readonly reason: string; readonly afterMs: number; }[];
    /** Decisions that the state machine refused. */
    readonly refused: number;
}

/** The value below which the given share of the values lies; 0 without values. */
export function computePercentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Largest number of times within one window; the times are in ascending order. */
export function countMaxInWindow(times: readonly number[], windowMs: number): number {
    let most = 0;
    let first = 0;
    times.forEach((atMs, index) => {
        while ((times[first] ?? atMs) <= atMs - windowMs) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
}

/** Counts the job tasks of `PlacementOutcome` at the end of a replay. */
export function countJobTasks(state: ClusterState, endMs: number) {
    let dueTasks = 0;
    let doneByDeadline = 0;
    let batchDone = 0;
    for (const task of state.tasks.values()) {
        const spec = state.works.get(task.work)?.spec;
        if (spec?.kind !== "job" || task.phase === "cancelled" || task.phase === "impossible") {
            continue;
        }
        const hasSucceeded = task.phase === "succeeded";
        batchDone += hasSucceeded ? 1 : 0;
        if (spec.deadlineAtMs !== undefined && spec.deadlineAtMs <= endMs) {
            dueTasks += 1;
            doneByDeadline += hasSucceeded && (task.endedAtMs ?? Infinity) <= spec.deadlineAtMs ? 1 : 0;
        }
    }
    return { dueTasks, doneByDeadline, batchDone };
}
