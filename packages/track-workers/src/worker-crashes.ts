import type { JobTask, TaskCrashes, WorkerRun, WorkerState } from "@chestnutspool/job-state";
import type { WorkerCrash } from "@chestnutspool/types";
import type { RunStatus, RunStatuses } from "./run-statuses.js";

/** Time for which a run has worked until it is no longer suspected of a crash, in milliseconds. */
const workedMs = 100;
/** The same for a run on trial. */
const trialMs = 400;
/** The same after two crashes that nothing else explains, because some tasks crash their worker only after a while. */
const longTrialMs = 3_000;
/** Crashes under a task in succession from which it is on trial even if others were suspected of them. */
const crashesForTrial = 2;
/** Crashes in succession from which a task is given up, by the number of those that are certain. */
const crashesToGiveUp = [4, 3, 2] as const;
/**
 * Longest time from the end of the time in which a run proves itself until its worker falls silent, in milliseconds; if it takes
 * longer, the leader was held up and the run may have ended before the crash.
 */
const silenceDelayMs = 1_000;

/** Whether the next runs of a task are on trial: each on a worker that gets no other runs meanwhile. */
export function needsTrial({ crashes }: JobTask): boolean {
    return crashes !== undefined && (crashes.suspicions > 0 || crashes.crashes >= crashesForTrial);
}

/** Whether a task crashes the workers that start it, so that its job is given up. */
export function isDeadly({ crashes }: JobTask): boolean {
    if (crashes === undefined) {
        return false;
    }
    const [withoutCertain, withOneCertain, withTwoCertain] = crashesToGiveUp;
    const needed = crashes.certain === 0 ? withoutCertain : crashes.certain === 1 ? withOneCertain : withTwoCertain;
    return crashes.crashes >= needed;
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

function isStartOpen({ start }: RunStatus): boolean {
    return start === "ordered" || start === "unanswered";
}

/**
 * Whether a run may have caused the crash of its worker, which fell silent at `silentSinceMs`, monotonic time in milliseconds: this
 * leader knows when it started, that was shortly before, and it has not proved itself.
 */
function canBeCause({ task, run }: WorkerRun, status: RunStatus, silentSinceMs: number): boolean {
    if (status.start === "excluded" || task.crashes?.run === run) {
        return false;
    }
    return !hasProvedItself(task, status)
        && silentSinceMs - status.orderedAtMs <= computeProvingMs(task) + silenceDelayMs;
}

/** Whether two runs are blamed as one: the members of a gang only run together, and are given up together. */
function isSameSuspect(left: WorkerRun, right: WorkerRun): boolean {
    return left === right || (left.step === right.step && left.step.spec.gang);
}

/**
 * Finds the runs on a worker that has crashed of which one may be the cause: those on trial, and those that started last. Of these
 * only the ones with the most suspicions, so that neighbours are not blamed for a task that has crashed other workers before.
 */
export function findCrashSuspects(state: WorkerState, statuses: RunStatuses, silentSinceMs: number): WorkerCrash {
    const runs = [...state.runs];
    const lastStartMs = Math.max(...runs.map(([, { startedAtMs }]) => startedAtMs));
    let suspects: { readonly run: WorkerRun; readonly status: RunStatus; }[] = [];
    let most: TaskCrashes | undefined;
    for (const [key, run] of runs) {
        const status = statuses.get(key);
        const hasStartedLast = needsTrial(run.task) || run.startedAtMs >= lastStartMs - workedMs;
        if (status === undefined || !hasStartedLast || !canBeCause(run, status, silentSinceMs)) {
            continue;
        }
        const order = compareCrashes(run.task.crashes, most);
        if (order > 0) {
            suspects = [];
        }
        if (order >= 0) {
            suspects.push({ run, status });
            most = run.task.crashes;
        }
    }
    const clearedRuns = runs.flatMap(([key, { task }]) => {
        const status = statuses.get(key);
        return status !== undefined && needsTrial(task) && hasProvedItself(task, status) ? [status.key] : [];
    });
    // Of several starts without an answer, the worker may have carried out only the one that crashed it.
    const openStarts = runs.flatMap(([key, run]) => {
        const status = statuses.get(key);
        return status !== undefined && isStartOpen(status) ? [run] : [];
    });
    const [suspect] = suspects;
    return {
        suspectedRuns: suspects.map(({ status }) => status.key),
        isCertain: suspect !== undefined
            && [...suspects.map(({ run }) => run), ...openStarts].every(run => isSameSuspect(run, suspect.run)),
        clearedRuns,
    };
}
