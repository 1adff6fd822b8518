import type { ClusterState } from "@chestnutspool/types";

/** What a replay led to. */
export interface PlacementOutcome {
    /** Slowdown of the running tasks of services against the speed alone, sampled each second: 1 is none. */
    readonly slowdownP50: number;
    readonly slowdownP99: number;
    /** Time from the creation or loss of a task of a service to its start, in milliseconds. */
    readonly urgentWaitP99Ms: number;
    /** Tasks of services that waited at the end of the trace. */
    readonly urgentWaiting: number;
    /** Least share of the tasks of any service that ran at one time, from a minute after its start on. */
    readonly leastServiceShare: number;
    /** Tasks of jobs whose deadline lies within the trace, without those cancelled or impossible. */
    readonly dueTasks: number;
    readonly doneByDeadline: number;
    /** All tasks of jobs that succeeded. */
    readonly batchDone: number;
    /** Processor time of batch work that was done and kept, in core seconds. */
    readonly batchCoreSeconds: number;
    /** Processor time of batch work lost by evictions, in core seconds. */
    readonly lostCoreSeconds: number;
    readonly evictions: number;
    /** Most evictions within any 60 s. */
    readonly evictionsPerMinute: number;
    /** Starts on workers that fail every start. */
    readonly wastedStarts: number;
    /** Tasks that were reported as impossible, with the time from creation to the report. */
    readonly impossible: readonly { readonly task: string; readonly reason: string; readonly afterMs: number; }[];
    /** Decisions that the state machine refused. */
    readonly refused: number;
}

/** The value below which the given share of the values lies; 0 without values. */
export function computePercentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Most of the times that lie within one window. */
export function countMostWithin(times: readonly number[], windowMs: number): number {
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

/** Counts of jobs at the end of a replay. */
export function countJobs(state: ClusterState, endMs: number) {
    let dueTasks = 0;
    let doneByDeadline = 0;
    let batchDone = 0;
    for (const task of state.tasks.values()) {
        const spec = state.works.get(task.work)?.spec;
        if (spec?.kind !== "job" || task.phase === "cancelled" || task.phase === "impossible") {
            continue;
        }
        const succeeded = task.phase === "succeeded";
        batchDone += succeeded ? 1 : 0;
        if (spec.deadlineAtMs !== undefined && spec.deadlineAtMs <= endMs) {
            dueTasks += 1;
            doneByDeadline += succeeded && (task.endedAtMs ?? Infinity) <= spec.deadlineAtMs ? 1 : 0;
        }
    }
    return { dueTasks, doneByDeadline, batchDone };
}
