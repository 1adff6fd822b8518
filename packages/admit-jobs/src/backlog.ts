import {
    isJobEnded,
    type JobOccurrence,
    type JobRecord,
    type JobState,
    listActiveJobs,
} from "@chestnutspool/job-state";
import { computeSize, type Lateness, predictLateness } from "@chestnutspool/plan-jobs";

const milliCpuPerCore = 1_000;

/** Tasks of one occurrence that have not started. */
export interface BacklogEntry {
    readonly service: string;
    readonly priority: number;
    readonly lateness: Lateness;
    /** Result of `computeSize`, by which the planner sorts. */
    readonly size: number;
    readonly tasks: number;
    /** Declared work of these tasks, in core-milliseconds. */
    readonly coreMs: number;
}

/** Work that waits, as it was at one moment and with what was accepted since. */
export type Backlog = BacklogEntry[];

/** Creates the entry of an occurrence, without tasks that run until they are cancelled. */
export function createBacklogEntry(job: JobRecord, occurrence: JobOccurrence, nowMs: number): BacklogEntry {
    let tasks = 0;
    let coreMs = 0;
    for (const { spec, waiting } of occurrence.steps) {
        if (!spec.longRunning) {
            tasks += waiting.size;
            coreMs += waiting.size * spec.expectedRunMs * spec.resources.milliCpu / milliCpuPerCore;
        }
    }
    return {
        service: job.queue.service,
        priority: job.queue.priority,
        lateness: predictLateness(job, occurrence, nowMs),
        size: computeSize(job, occurrence),
        tasks,
        coreMs,
    };
}

/** Lists the work that waits at `nowMs`, wall-clock time in milliseconds. */
export function listBacklog(state: JobState, nowMs: number): Backlog {
    const backlog: Backlog = [];
    for (const job of listActiveJobs(state, nowMs)) {
        if (isJobEnded(job)) {
            continue;
        }
        for (const occurrence of job.occurrences.values()) {
            if (occurrence.dueAtMs === undefined || occurrence.dueAtMs <= nowMs) {
                const entry = createBacklogEntry(job, occurrence, nowMs);
                if (entry.tasks > 0) {
                    backlog.push(entry);
                }
            }
        }
    }
    return backlog;
}

/** Tasks and their declared work, in core-milliseconds. */
export interface WorkSum {
    readonly tasks: number;
    readonly coreMs: number;
}

/** Sums the work of the entries that `isIncluded` selects. */
export function sumWork<Entry extends WorkSum>(
    entries: readonly Entry[],
    isIncluded: (entry: Entry) => boolean,
): WorkSum {
    let tasks = 0;
    let coreMs = 0;
    for (const entry of entries) {
        if (isIncluded(entry)) {
            tasks += entry.tasks;
            coreMs += entry.coreMs;
        }
    }
    return { tasks, coreMs };
}

/** Whether the planner starts waiting work before new work while the new work can still be in time. */
export function isBeforeInTime(entry: BacklogEntry, { priority, size }: BacklogEntry): boolean {
    return entry.priority < priority
        || (entry.priority === priority && entry.lateness === "inTime" && entry.size <= size);
}

/** Whether the planner starts waiting work before new work once the new work is late. */
export function isBeforeLate(entry: BacklogEntry, { priority, size }: BacklogEntry): boolean {
    return entry.priority < priority
        || (entry.priority === priority
            && (entry.lateness === "inTime" || (entry.lateness === "late" && entry.size <= size)));
}

/**
 * Whether waiting work goes before new work in a contended pool. Of jobs that have not begun, those with less work go first in the
 * order by value; those that have begun with the same work left go before them.
 */
export function isBeforeContended(entry: BacklogEntry, { priority, coreMs }: BacklogEntry): boolean {
    return entry.lateness === "inTime"
        && (entry.priority < priority || (entry.priority === priority && entry.coreMs <= coreMs));
}
