import {
    computeCrashOdds,
    type JobStep,
    type JobTask,
    type TaskCrashes,
    type WorkerRun,
    type WorkerState,
} from "@chestnutspool/job-state";
import type { WorkerCrash } from "@chestnutspool/types";
import { isStartOpen, type RunStatus, type RunStatuses } from "./run-statuses.js";

/** Time for which a run has worked until it is no longer suspected of a crash, in milliseconds. */
const workedMs = 100;
/** The same for a run on trial. */
const trialMs = 400;
/** The same after two crashes that nothing else explains, because some tasks crash their worker only after a while. */
const longTrialMs = 3_000;
/** Crashes under a task in succession from which it is on trial even if others were suspected of them. */
const crashesForTrial = 2;
/**
 * Crashes of a task in succession, and certain ones among them, from which it is given up. A certain crash is one without another suspect;
 * the worker may still have crashed for another reason.
 */
const certainLimits = [{ crashes: 2, certain: 2 }, { crashes: 3, certain: 1 }] as const;
/** Odds that a task is the cause of its crashes from which it is given up after these. */
const certainOdds = 10;
/**
 * Longest time from the end of the time in which a run proves itself until its worker falls silent, in milliseconds; if it takes
 * longer, the leader was held up and the run may have ended before the crash.
 */
const silenceDelayMs = 1_000;

/**
 * Crashes in the life of a task, and odds that it is their cause, from which it is on trial for longer than the runs under which
 * its workers crashed. The odds are low, because many tasks that are always together share one cause.
 */
const lifeTrialLimit = { crashes: 3, odds: 0.03 } as const;
/** Length of such a trial, as a factor on the time until a worker fell silent; 1 s is added, as reports take a while. */
const lifeTrialFactor = 1.25;
/**
 * Crashes in the life of a task, and odds that it is their cause, from which it is given up. It may start twice after three
 * crashes, so that less is asked of the fifth. The fourth is not enough for the odds that a long-running task reaches beside the cause.
 */
const lifeLimits = [{ crashes: 4, odds: 3 }, { crashes: 5, odds: 0.3 }] as const;

function exceedsLifeLimit(
    task: JobTask,
    { crashes, odds }: { readonly crashes: number; readonly odds: number; },
): boolean {
    return task.crashHistory !== undefined && task.crashHistory.crashes >= crashes && computeCrashOdds(task) >= odds;
}

/** Whether the next runs of a task are on trial: each on a worker that gets no other runs meanwhile. */
export function needsTrial(task: JobTask): boolean {
    const { crashes, crashHistory } = task;
    if (crashes === undefined && crashHistory === undefined) {
        return false;
    }
    return (crashes !== undefined && (crashes.suspicions > 0 || crashes.crashes >= crashesForTrial))
        || exceedsLifeLimit(task, lifeTrialLimit);
}

/** Number of crashes in the life of a task from which it shares its trials with no other task. */
const crashesForOwnTrial = 3;

/**
 * Whether a task may be on trial together with others: nothing tells it apart from tasks that shared its crashes, and so few workers have
 * crashed under it that it cannot crash too many before it is alone.
 */
export function canShareTrial({ crashes, crashHistory }: JobTask): boolean {
    return (crashes?.certain ?? 0) === 0
        && Math.max(crashes?.crashes ?? 0, crashHistory?.crashes ?? 0) < crashesForOwnTrial;
}

function hasLatelyCrashed(task: JobTask): boolean {
    const { crashes = 0, certain = 0 } = task.crashes ?? {};
    return certainLimits.some(limit => crashes >= limit.crashes && certain >= limit.certain)
        && computeCrashOdds(task) >= certainOdds;
}

/** Whether a task crashes the workers that start it, so that its job is given up. */
export function isDeadly(task: JobTask): boolean {
    return hasLatelyCrashed(task) || lifeLimits.some(limit => exceedsLifeLimit(task, limit));
}

function computeProvingMs(task: JobTask): number {
    if (!needsTrial(task)) {
        return workedMs;
    }
    const { crashes, crashHistory } = task;
    if (exceedsLifeLimit(task, lifeTrialLimit)) {
        return Math.max(longTrialMs, (crashHistory?.ageMs ?? 0) * lifeTrialFactor + 1_000);
    }
    return (crashes?.crashes ?? 0) >= crashesForTrial ? longTrialMs : trialMs;
}

/** Odds that a task crashes its workers from which it counts as a likely cause. */
const likelyCauseOdds = 0.3;

/**
 * Time for which a run on trial keeps other runs from its worker, in milliseconds. It may stay suspected for longer, because some tasks
 * crash their worker late; most of them are innocent, and a worker for each for all of that time leaves none to others.
 */
function computeAloneMs(task: JobTask): number {
    return Math.min(computeProvingMs(task), longTrialMs);
}

function hasBeenReportedFor(status: RunStatus | undefined, durationMs: number): boolean {
    return status?.start === "confirmed" && status.readAtMs - status.orderedAtMs >= durationMs;
}

/** Whether the worker has reported a run for so long that the run does not crash it. */
function hasProvedItself(task: JobTask, status: RunStatus | undefined): boolean {
    return hasBeenReportedFor(status, computeProvingMs(task));
}

function isOnTrial(task: JobTask, status: RunStatus | undefined): boolean {
    return needsTrial(task) && !hasBeenReportedFor(status, computeAloneMs(task));
}

/** Whether a worker has a run on trial, so that no other run may start on it. */
export function hasTrial({ runs }: WorkerState, statuses: RunStatuses | undefined): boolean {
    for (const [key, { task }] of runs) {
        // Before the status is looked up, because each pass of the planner asks for all runs.
        if (needsTrial(task) && isOnTrial(task, statuses?.get(key))) {
            return true;
        }
    }
    return false;
}

/** Whether a task is so likely to crash its workers that a long-running one shares them only after a longer wait. */
export function isLikelyCause(task: JobTask): boolean {
    return computeCrashOdds(task) >= likelyCauseOdds;
}

/** The runs on a worker that are suspected of the crashes of their tasks and have not proved themselves. */
export interface SuspectedRuns {
    readonly count: number;
    /** Sum of the odds that their tasks crash their workers. */
    readonly odds: number;
    /** Whether all of them are long-running and none is of a gang. */
    readonly areLasting: boolean;
    /** Their steps. */
    readonly steps: ReadonlySet<JobStep>;
}

const noSuspectedRuns: SuspectedRuns = { count: 0, odds: 0, areLasting: true, steps: new Set() };

/** Sums up the suspected runs on a worker. */
export function sumSuspectedRuns({ runs }: WorkerState, statuses: RunStatuses | undefined): SuspectedRuns {
    let sum = noSuspectedRuns;
    for (const [key, { task, step }] of runs) {
        if (needsTrial(task) && !hasProvedItself(task, statuses?.get(key))) {
            sum = addSuspectedRun(sum, step, task);
        }
    }
    return sum;
}

/** Adds a run of a task of a step to the suspected ones on its worker. */
export function addSuspectedRun(
    { count, odds, areLasting, steps }: SuspectedRuns,
    step: JobStep,
    task: JobTask,
): SuspectedRuns {
    return {
        count: count + 1,
        odds: odds + computeCrashOdds(task),
        areLasting: areLasting && step.spec.longRunning && !step.spec.gang,
        steps: new Set([...steps, step]),
    };
}

/** Whether all runs that are on trial on a worker may share it with further ones. The members of a gang share it with each other only. */
export function hasSharedTrial({ runs }: WorkerState, statuses: RunStatuses | undefined): boolean {
    for (const [key, { task, step }] of runs) {
        if (isOnTrial(task, statuses?.get(key)) && (step.spec.gang || !canShareTrial(task))) {
            return false;
        }
    }
    return true;
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

/** Time after which the connection of an order is no longer broken off by a crash that its run has caused, in milliseconds. */
const breakOffMs = 500;

/**
 * Whether the worker gave no sign that it received the order to start a run. It may have been silent before: one that crashes at
 * the start of a run has confirmed the start, or its end breaks the connection off.
 */
function isStartSilent({ start, startChangedAtMs, orderedAtMs }: RunStatus): boolean {
    return start === "ordered" || (start === "unanswered" && startChangedAtMs - orderedAtMs >= breakOffMs);
}

/** Whether two runs are blamed as one: the members of a gang only run together, and are given up together. */
function isSameSuspect(left: WorkerRun, right: WorkerRun): boolean {
    return left === right || (left.step === right.step && left.step.spec.gang);
}

/** Whether the crashes in the lives of two tasks speak less for the first one. */
function isLessLikely(left: WorkerRun, right: WorkerRun): boolean {
    return computeCrashOdds(left.task) < computeCrashOdds(right.task);
}

/** Whether the start of a run was ordered after its worker had crashed. */
function isOrderedAfter(status: RunStatus | undefined, crashedBeforeMs: number): boolean {
    return status !== undefined && status.start !== "excluded" && status.orderedAtMs >= crashedBeforeMs;
}

/**
 * Finds the runs on a worker that has crashed of which one may be the cause: those on trial, and those that started last. Of these
 * only the ones with the most suspicions, so that neighbours are not blamed for a task that has crashed other workers before.
 * The worker fell silent at `silentSinceMs`, and had crashed before `crashedBeforeMs`; both are monotonic, in milliseconds.
 */
export function findCrashSuspects(
    state: WorkerState,
    statuses: RunStatuses,
    silentSinceMs: number,
    crashedBeforeMs = Number.POSITIVE_INFINITY,
): WorkerCrash {
    const runs = [...state.runs].filter(([key]) => !isOrderedAfter(statuses.get(key), crashedBeforeMs));
    const laterRuns = [...statuses.values()].filter(status => isOrderedAfter(status, crashedBeforeMs));
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
    const rivals = runs.flatMap(([, run]) => run.task.crashHistory === undefined ? [] : [run]);
    const [suspect] = suspects;
    return {
        suspectedRuns: suspects.map(({ status }) => status.key),
        isCertain: suspect !== undefined && !suspects.every(({ status }) => isStartSilent(status))
            && [...suspects.map(({ run }) => run), ...openStarts].every(run => isSameSuspect(run, suspect.run))
            && rivals.every(run => isSameSuspect(run, suspect.run) || isLessLikely(run, suspect.run)),
        clearedRuns,
        ...(laterRuns.length === 0 ? {} : { laterRuns: laterRuns.map(({ key }) => key) }),
    };
}
