import {
    addResources,
    findShortage,
    type JobCommand,
    type JobResult,
    type RunEnd,
    type RunKey,
    type RunStart,
    subtractResources,
    type WorkerCrash,
} from "@chestnutspool/types";
import { createCountedRun, subtractRun } from "./counted-runs.js";
import { addRecentCrash, recordCrashHistory } from "./crash-history.js";
import { createEmptyDefinition } from "./create-job.js";
import { noSizes } from "./estimate-sizes.js";
import { findTask } from "./find-task.js";
import { recordCheckpoint, setCheckpoint, unifyCheckpoint } from "./gang-checkpoints.js";
import { createOccurrencesUntil, updateHeldJob } from "./held-jobs.js";
import type {
    JobOccurrence,
    JobRecord,
    JobState,
    JobStep,
    JobTask,
    TaskCrashes,
    WorkerRun,
    WorkerState,
} from "./job-state.js";
import { acceptsStarts, computeReservation, isJobEnded, isStepReady } from "./job-state.js";
import { subtractOutage } from "./outages.js";
import { moveJob } from "./queue-services.js";
import { formatRunKey, formatTaskKey } from "./run-keys.js";

type CommandOf<Kind extends JobCommand["kind"]> = Extract<JobCommand, { readonly kind: Kind; }>;

/** Closes an ended job once it has no run in progress, and drops its tasks. Each change of a job ends with it. */
export function closeEndedJob(state: JobState, job: JobRecord): void {
    if (isJobEnded(job) && job.runsInProgress === 0) {
        job.occurrences.clear();
        job.definition = createEmptyDefinition(job.id);
        job.sizes = noSizes;
        job.checkpointBytes = 0;
        job.createdUntil = 0;
        job.changedUntil = 0;
        state.openJobs.delete(job.id);
        state.closedJobs.add(job.id);
    }
    updateHeldJob(state, job);
}

/**
 * Whether a task with one run in progress may get a second one: only while the job does not fail by the failure of the first
 * one, so that both failures together do not exceed the limit. No build plans any other copy, so that replicas of
 * earlier builds, which do not check this, have the same state.
 */
export function canCopyRun({ queue }: JobRecord, { spec }: JobStep, task: JobTask): boolean {
    return spec.speculative && !spec.gang && !spec.longRunning && task.runs.length === 1
        && task.failures + 1 < queue.maxAttempts;
}

function canStart(job: JobRecord, occurrence: JobOccurrence, step: JobStep, task: JobTask, run: number): boolean {
    const canAddRun = task.runs.length === 0 || canCopyRun(job, step, task);
    return !isJobEnded(job) && !task.isDone && canAddRun && run > task.lastRun && isStepReady(occurrence, step)
        && (step.spec.longRunning || countFailures(step, task) < job.queue.maxAttempts);
}

function startRun(state: JobState, start: RunStart): boolean {
    const job = state.jobs.get(start.job);
    if (job !== undefined) {
        createOccurrencesUntil(state, job, start.occurrence);
    }
    const found = findTask(state, start);
    const worker = state.workers.get(start.worker);
    if (found === undefined || worker === undefined || !acceptsStarts(state, worker)) {
        return false;
    }
    const { occurrence, step, task } = found;
    if (!canStart(found.job, occurrence, step, task, start.run)) {
        return false;
    }
    const used = addResources(worker.used, computeReservation(step.spec));
    if (findShortage(used, worker.info.capacity) !== undefined) {
        return false;
    }
    worker.used = used;
    task.lastRun = start.run;
    unifyCheckpoint(found.job, step, task);
    const startedAtMs = state.clockMs;
    task.runs = [...task.runs, { run: start.run, worker: start.worker, startedAtMs }];
    step.waiting.delete(task.position);
    worker.runs.set(formatRunKey(start), { ...found, run: start.run, startedAtMs });
    found.job.runsInProgress += 1;
    found.job.changedUntil = Math.max(found.job.changedUntil, occurrence.number + 1);
    if (found.job.phase === "queued") {
        found.job.phase = "running";
    }
    updateHeldJob(state, found.job);
    return true;
}

/** Records starts before they are sent to workers. The result lists the positions of starts that no longer apply. */
export function startRuns(state: JobState, command: CommandOf<"startRuns">): JobResult {
    const refused: number[] = [];
    command.starts.forEach((start, position) => {
        if (!startRun(state, start)) {
            refused.push(position);
        }
    });
    return { kind: "started", refused };
}

function completeTask(state: JobState, { job, occurrence, step, task }: WorkerRun): void {
    if (task.isDone || step.spec.longRunning) {
        return;
    }
    task.isDone = true;
    step.waiting.delete(task.position);
    step.tasksLeft -= 1;
    if (step.tasksLeft > 0) {
        return;
    }
    step.doneAtMs = state.clockMs;
    // The last step that no worker of the latest service could run may have been this one.
    moveJob(state, job);
    occurrence.stepsLeft -= 1;
    if (occurrence.stepsLeft === 0) {
        job.occurrences.delete(occurrence.number);
        occurrence.steps.forEach(({ tasks }) => tasks.forEach(done => setCheckpoint(job, done, "")));
    }
    if (job.occurrences.size === 0 && job.createdUntil >= job.definition.occurrences && !isJobEnded(job)) {
        job.phase = "completed";
        job.endedAtMs = state.clockMs;
    }
}

/** Completes the task of a run that succeeded; in a gang, the first success completes all tasks. */
function completeTasks(state: JobState, run: WorkerRun): void {
    if (!run.step.spec.gang) {
        completeTask(state, run);
        return;
    }
    for (const task of run.step.tasks) {
        completeTask(state, { ...run, task });
    }
}

/** Counts the failures to which the attempt limit of a task applies; the members of a gang share one count. */
export function countFailures(step: JobStep, task: JobTask): number {
    return step.spec.gang ? step.gangFailures : task.failures;
}

function recordFailure(state: JobState, { job, occurrence, step, task, run }: WorkerRun): void {
    if (task.isDone && !step.spec.gang) {
        // Another run of the task has succeeded.
        return;
    }
    task.failures += 1;
    if (step.spec.gang && run > step.lastFailedGangRun) {
        step.lastFailedGangRun = run;
        step.gangFailures += 1;
    }
    if (!step.spec.longRunning && !isJobEnded(job) && countFailures(step, task) >= job.queue.maxAttempts) {
        job.phase = "failed";
        job.endedAtMs = state.clockMs;
        job.failure = {
            reason: "attemptsExhausted",
            task: formatTaskKey({
                job: job.id,
                occurrence: occurrence.number,
                step: step.position,
                position: task.position,
            }),
        };
    }
}

/**
 * Age of a run from which the crash of its worker says nothing about it, in milliseconds. Long-running tasks meet a crash now
 * and then.
 */
const suspectedAgeLimitMs = 30_000;

function recordCrash(
    state: JobState,
    { task, run, startedAtMs }: WorkerRun,
    added: Omit<TaskCrashes, "run">,
): void {
    if (task.crashes?.run === run) {
        return;
    }
    if (state.clockMs - startedAtMs >= suspectedAgeLimitMs) {
        task.crashes = undefined;
        return;
    }
    const { crashes, suspicions, certain } = task.crashes ?? { crashes: 0, suspicions: 0, certain: 0 };
    task.crashes = {
        crashes: crashes + added.crashes,
        suspicions: suspicions + added.suspicions,
        certain: certain + added.certain,
        run,
    };
}

/** A run that ends by itself shows that its task does not crash its workers. */
function clearCrashes(task: JobTask): void {
    task.crashes = undefined;
    task.crashHistory = undefined;
}

/** Counts the crash of a worker for the runs that were on it, unless most workers of its zone or rack crash with it. Passed trials do not clear the histories. */
function recordCrashes(
    state: JobState,
    worker: WorkerState,
    crash: WorkerCrash,
): void {
    const { suspectedRuns, isCertain, clearedRuns, laterRuns = [] } = crash;
    const later = new Set(laterRuns.map(formatRunKey));
    const runs = [...worker.runs].filter(([key]) => !later.has(key));
    const before = runs.map(([, { task }]) => ({ crashes: task.crashes, crashHistory: task.crashHistory }));
    const recentCrash = recordCrashHistory(state, worker.info, runs.map(([, run]) => run), crash);
    const suspected = new Set(suspectedRuns.map(formatRunKey));
    const cleared = new Set(clearedRuns.map(formatRunKey));
    for (const [key, run] of runs) {
        if (cleared.has(key)) {
            run.task.crashes = undefined;
        }
        else {
            const isSuspected = suspected.has(key);
            recordCrash(state, run, {
                crashes: 1,
                suspicions: isSuspected ? 1 : 0,
                certain: isSuspected && isCertain ? 1 : 0,
            });
        }
    }
    const countedRuns = runs.map(([, run], position) => createCountedRun(run, before[position] ?? run.task));
    addRecentCrash(state, { ...recentCrash, runs: countedRuns });
    subtractOutage(state);
}

/** Applies the end of a run that is in progress. */
function applyRunEnd(state: JobState, run: WorkerRun, end: RunEnd): void {
    const { job, step, task } = run;
    task.runs = task.runs.filter(placed => placed.run !== run.run);
    job.runsInProgress -= 1;
    recordCheckpoint(job, step, task, end.checkpoint);
    switch (end.outcome) {
        case "succeeded":
            clearCrashes(task);
            completeTasks(state, run);
            break;
        case "failed":
            clearCrashes(task);
            recordFailure(state, run);
            break;
        case "stopped":
        case "lapsed":
        case "gangBroken":
        case "gangIncomplete":
        case "neverStarted":
            break;
    }
    if (!task.isDone && task.runs.length === 0) {
        step.waiting.add(task.position);
    }
    closeEndedJob(state, job);
}

/** Whether the end of a run shows that a worker has listed or confirmed it. */
function showsBegin({ outcome, checkpoint }: RunEnd): boolean {
    switch (outcome) {
        case "succeeded":
        case "failed":
        case "stopped":
        case "gangBroken":
        case "gangIncomplete":
            return true;
        case "lapsed":
            // Also recorded for runs that ended with their worker before any report listed them.
            return checkpoint !== "";
        case "neverStarted":
            return false;
    }
}

/** Records that jobs have begun; jobs that are not known change nothing. */
export function beginJobs(state: JobState, command: CommandOf<"beginJobs">): void {
    for (const id of command.jobs) {
        const job = state.jobs.get(id);
        if (job !== undefined) {
            job.hasBegun = true;
        }
    }
}

function removeRun(worker: WorkerState, key: string, run: WorkerRun): void {
    worker.runs.delete(key);
    worker.used = subtractResources(worker.used, computeReservation(run.step.spec));
}

/** Whether a success of a run that is not recorded any more completes its task. A gang needs all of its members. */
export function canCompleteLate(state: JobState, key: RunKey): boolean {
    const found = findTask(state, key);
    return found !== undefined && !found.task.isDone && !isJobEnded(found.job) && key.run <= found.task.lastRun
        && !found.step.spec.gang && !found.step.spec.longRunning;
}

/** Completes the task of a run that has succeeded though it is not recorded any more. Other runs of the task are not needed then. */
export function completeLateRun(state: JobState, key: RunKey): void {
    const found = findTask(state, key);
    if (found === undefined || !canCompleteLate(state, key)) {
        return;
    }
    found.job.hasBegun = true;
    clearCrashes(found.task);
    completeTasks(state, { ...found, run: key.run, startedAtMs: 0 });
    closeEndedJob(state, found.job);
}

/** Applies the end of a run on a worker; an end of a run that is not in progress there changes nothing. */
export function endRun(state: JobState, workerId: string, end: RunEnd): void {
    if (end.hasNotRun === true) {
        // The answer to its order may arrive after the crash of the worker was counted for it, and its end recorded.
        subtractRun(state, end);
    }
    const worker = state.workers.get(workerId);
    const key = formatRunKey(end);
    const run = worker?.runs.get(key);
    if (worker === undefined || run === undefined) {
        return;
    }
    run.job.hasBegun ||= showsBegin(end);
    removeRun(worker, key, run);
    applyRunEnd(state, run, end);
}

/**
 * Ends all runs of a worker that has crashed or whose lease has expired, and keeps the checkpoints that it reported last.
 */
export function expireRuns(state: JobState, command: CommandOf<"expireWorker">): void {
    const worker = state.workers.get(command.worker);
    if (worker === undefined) {
        return;
    }
    if (command.crash !== undefined) {
        recordCrashes(state, worker, command.crash);
    }
    for (const end of command.checkpoints) {
        endRun(state, command.worker, end);
    }
    const kept = new Set((command.kept ?? []).map(formatRunKey));
    for (const [key, run] of [...worker.runs].filter(([runKey]) => !kept.has(runKey))) {
        removeRun(worker, key, run);
        applyRunEnd(state, run, {
            job: run.job.id,
            occurrence: run.occurrence.number,
            step: run.step.position,
            position: run.task.position,
            run: run.run,
            outcome: "lapsed",
            checkpoint: "",
        });
    }
}
