import { formatRunKey, type JobTask, type TaskCrashes, type WorkerState } from "@chestnutspool/job-state";
import type { RunKey } from "@chestnutspool/types";
import type { RunStatus, RunStatuses } from "./run-statuses.js";

/** Time for which a run has worked until it is no longer suspected of a crash, in milliseconds. */
const workedMs = 100;
/** The same for a run on trial. */
const trialMs = 400;
/** The same after two crashes that nothing else explains, because some tasks crash their worker only after a while. */
const longTrialMs = 3_000;
/** Crashes under a task in succession from which it is on trial even if others were suspected of them. */
const crashesForTrial = 2;
/** Suspicions from which a task is given up if it is the sole suspect of the last crash. */
const suspicionsToGiveUp = 2;
/** The same if others are suspected as well. */
const sharedSuspicionsToGiveUp = 4;

/** Whether the next runs of a task are on trial: each on a worker that gets no other runs meanwhile. */
export function needsTrial({ crashes }: JobTask): boolean {
    return crashes !== undefined && (crashes.suspicions > 0 || crashes.crashes >= crashesForTrial);
}

/** Whether a task crashes the workers that start it, so that its job is given up. */
export function isDeadly({ crashes }: JobTask): boolean {
    if (crashes === undefined) {
        return false;
    }
    const { suspicions, isSoleSuspect } = crashes;
    return (isSoleSuspect && suspicions >= suspicionsToGiveUp) || suspicions >= sharedSuspicionsToGiveUp;
}

function computeProvingMs(task: JobTask): number {
    if (!needsTrial(task)) {
        return workedMs;
    }
    return (task.crashes?.crashes ?? 0) >= crashesForTrial ? longTrialMs : trialMs;
}

/** Whether the worker has reported a run for so long that the run does not crash it. */
function hasProvedItself(task: JobTask, status: RunStatus | undefined): boolean {
    return status?.start === "confirmed" && status.readAtMs - status.orderedAtMs >= computeProvingMs(task);
}

/** Whether a worker has a run on trial, so that no other run may start on it. */
export function hasTrial({ runs }: WorkerState, statuses: RunStatuses | undefined): boolean {
    for (const [key, { task }] of runs) {
        if (task.crashes !== undefined && needsTrial(task) && !hasProvedItself(task, statuses?.get(key))) {
            return true;
        }
    }
    return false;
}

/** Counts the runs of a worker that have not proved themselves yet. */
export function countUnprovedRuns({ runs }: WorkerState, statuses: RunStatuses | undefined): number {
    let count = 0;
    for (const [key, { task }] of runs) {
        count += hasProvedItself(task, statuses?.get(key)) ? 0 : 1;
    }
    return count;
}

function compareCrashes(left: TaskCrashes | undefined, right: TaskCrashes | undefined): number {
    return (left?.suspicions ?? 0) - (right?.suspicions ?? 0) || (left?.crashes ?? 0) - (right?.crashes ?? 0);
}

/**
 * Lists the runs on a worker that has crashed of which one may be the cause: those on trial, and those that started last
 * and have not proved themselves. Of these only the ones with the most suspicions, so that neighbours are not blamed for
 * a task that has crashed other workers before.
 */
export function listSuspectedRuns(state: WorkerState, statuses: RunStatuses): RunKey[] {
    const runs = [...state.runs.values()];
    const lastStartMs = Math.max(...runs.map(({ startedAtMs }) => startedAtMs));
    let suspects: RunKey[] = [];
    let most: TaskCrashes | undefined;
    for (const { job, occurrence, step, task, run, startedAtMs } of runs) {
        const key = { job: job.id, occurrence: occurrence.number, step: step.position, position: task.position, run };
        const startedLast = needsTrial(task) || startedAtMs >= lastStartMs - workedMs;
        const isCounted = task.crashes?.run === run;
        if (!startedLast || isCounted || hasProvedItself(task, statuses.get(formatRunKey(key)))) {
            continue;
        }
        const order = compareCrashes(task.crashes, most);
        if (order > 0) {
            suspects = [];
        }
        if (order >= 0) {
            suspects.push(key);
            most = task.crashes;
        }
    }
    return suspects;
}
