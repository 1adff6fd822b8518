import type { QueueConfiguration } from "@chestnutspool/types";
import { addNextOccurrence, computeDueMs } from "./create-job.js";
import { closedJobBytes, estimateConfigurationBytes, runBytes } from "./estimate-sizes.js";
import { isJobEnded, type JobRecord, type JobState } from "./job-state.js";

/** Share of the memory up to which occurrences are created of jobs that have an earlier one that is not complete. */
const furtherOccurrencesShare = 0.5;
/** Largest number of occurrences that are created at once, so that they do not block the process. */
const createdAtOnce = 1_000;

function hasMoreOccurrences({ createdUntil, definition }: JobRecord): boolean {
    return createdUntil < definition.occurrences;
}

function computeHeldBytes(state: JobState, job: JobRecord): number {
    if (!state.openJobs.has(job.id)) {
        return state.jobs.has(job.id) ? closedJobBytes : 0;
    }
    const { definitionBytes, occurrenceBytes } = job.sizes;
    // The next occurrence of a schedule is counted before it is created, so that there is room for it when it is due.
    const reserved = job.occurrences.size === 0 && hasMoreOccurrences(job) ? 1 : 0;
    return definitionBytes + occurrenceBytes * (job.occurrences.size + reserved) + runBytes * job.runsInProgress
        + job.checkpointBytes;
}

/** Updates what the state derives of a job after a change of it: the lists that contain it, and its memory. */
export function updateHeldJob(state: JobState, job: JobRecord): void {
    const isOpen = state.openJobs.has(job.id);
    if (isOpen && (job.occurrences.size > 0 || job.runsInProgress > 0)) {
        state.activeJobs.set(job.id, job);
    }
    else {
        state.activeJobs.delete(job.id);
    }
    if (isOpen && !isJobEnded(job) && hasMoreOccurrences(job)) {
        state.scheduledJobs.set(job.id, job);
        state.nextDueMs = Math.min(state.nextDueMs, findNextDueMs(job));
    }
    else {
        state.scheduledJobs.delete(job.id);
    }
    const heldBytes = computeHeldBytes(state, job);
    state.heldBytes += heldBytes - job.heldBytes;
    job.heldBytes = heldBytes;
}

/** Updates the memory of the configuration that replaces another one. */
export function updateHeldConfiguration(
    state: JobState,
    before: QueueConfiguration | undefined,
    after: QueueConfiguration | undefined,
): void {
    state.heldBytes -= before === undefined ? 0 : estimateConfigurationBytes(before);
    state.heldBytes += after === undefined ? 0 : estimateConfigurationBytes(after);
}

/** When the next occurrence that is not created is due, in milliseconds since the epoch; infinite if there is none. */
function findNextDueMs(job: JobRecord): number {
    return hasMoreOccurrences(job)
        ? computeDueMs(job.definition, job.createdUntil) ?? Number.NEGATIVE_INFINITY
        : Number.POSITIVE_INFINITY;
}

function hasRoom(state: JobState, { occurrences, sizes }: JobRecord): boolean {
    return occurrences.size === 0
        || state.heldBytes + sizes.occurrenceBytes <= state.budgetBytes * furtherOccurrencesShare;
}

/**
 * Creates the occurrences that are due at `nowMs`, wall-clock time in milliseconds since the epoch. While the memory is short, a job
 * whose earlier occurrence is not complete waits with the next one. An occurrence that no command has changed is not part of
 * the replicated state, so that each replica may create it when it needs it.
 */
export function createDueOccurrences(state: JobState, nowMs: number): void {
    if (nowMs < state.nextDueMs) {
        return;
    }
    let left = createdAtOnce;
    for (const job of [...state.scheduledJobs.values()]) {
        while (left > 0 && findNextDueMs(job) <= nowMs && hasRoom(state, job)) {
            addNextOccurrence(job);
            updateHeldJob(state, job);
            left -= 1;
        }
    }
    state.nextDueMs = Number.POSITIVE_INFINITY;
    for (const job of state.scheduledJobs.values()) {
        state.nextDueMs = Math.min(state.nextDueMs, findNextDueMs(job));
    }
}

/** Counts the scheduled jobs with an occurrence that is due at `nowMs` and waits until there is memory for it. */
export function countDelayedSchedules(state: JobState, nowMs: number): number {
    let count = 0;
    for (const job of nowMs < state.nextDueMs ? [] : state.scheduledJobs.values()) {
        count += findNextDueMs(job) <= nowMs ? 1 : 0;
    }
    return count;
}

/** Lists the jobs that may have work at `nowMs`, wall-clock time in milliseconds, with the occurrences that are due by then. */
export function listActiveJobs(state: JobState, nowMs: number): Iterable<JobRecord> {
    createDueOccurrences(state, nowMs);
    return state.activeJobs.values();
}

/** Creates the occurrences of a job up to the one that a command names, because the leader has created them when they were due. */
export function createOccurrencesUntil(state: JobState, job: JobRecord, number: number): void {
    if (number < job.createdUntil || number >= job.definition.occurrences) {
        return;
    }
    while (job.createdUntil <= number) {
        addNextOccurrence(job);
    }
    updateHeldJob(state, job);
}
