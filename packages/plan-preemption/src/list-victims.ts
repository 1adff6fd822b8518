import { computeReservation, isJobEnded, type WorkerRun } from "@chestnutspool/job-state";
import type { WorkerCandidate } from "@chestnutspool/plan-jobs";
import { needsTrial, type RunStatus } from "@chestnutspool/track-workers";
import { addResources, type Resources } from "@chestnutspool/types";

/** Times of one pass, in milliseconds. */
export interface PassTimes {
    /** Monotonic time. */
    readonly nowMs: number;
    /** Wall-clock time since the epoch. */
    readonly wallMs: number;
}

/** A run that may be preempted. */
export interface Victim {
    readonly runKey: string;
    readonly queue: string;
    /** Capacity that its end frees. */
    readonly freed: Resources;
    /** Work that its stop loses, in core-milliseconds. */
    readonly lossCoreMs: number;
}

/** Progress from which a run is not preempted, in percent, because it may end as soon as a stop would. */
const nearEndPercent = 80;
/** Time that a stopped run needs to get back to work, in milliseconds; `restoreMs` of the deployment with the longest. */
const restartMs = 250;
const fullPacePercent = 100;
const fullProgressPercent = 100;
const milliCpuPerCore = 1_000;

/** Whether the current run has saved a checkpoint. */
function hasSaved({ task }: WorkerRun, { checkpoint }: RunStatus): boolean {
    return checkpoint !== "" && checkpoint !== task.checkpoint;
}

/**
 * Estimates the work that the stop of a run loses, in core-milliseconds: what it did since its start or its last
 * checkpoint, and the restart. The time of the start is that in the log, so that a new leader knows it too.
 */
export function estimateLoss(run: WorkerRun, status: RunStatus, { nowMs, wallMs }: PassTimes): number {
    const { spec } = run.step;
    const startedMs = nowMs - Math.max(0, wallMs - run.startedAtMs);
    const safeMs = spec.checkpointing && hasSaved(run, status) ? status.checkpointAtMs : startedMs;
    // At pace 0 it adds nothing to what it would lose.
    const isPaused = status.pacePercent === 0;
    const pace = isPaused ? 1 : status.pacePercent / fullPacePercent;
    const lostMs = Math.max(0, (isPaused ? status.paceChangedAtMs : nowMs) - safeMs) * pace;
    return (lostMs + restartMs) * spec.resources.milliCpu / milliCpuPerCore;
}

/**
 * Whether a run may be stopped for a task of a queue with `priority`. A task that has run before may be only once it has
 * saved a checkpoint in this run; this needs no memory of earlier preemptions.
 */
function canPreempt(run: WorkerRun, status: RunStatus, priority: number): boolean {
    const { job, step, task } = run;
    const { longRunning, gang, checkpointing } = step.spec;
    if (job.queue.priority <= priority || longRunning || gang || isJobEnded(job) || task.isDone) {
        return false;
    }
    if (status.start !== "confirmed" || status.stopWantedAtMs !== undefined || run.startedAtMs === 0) {
        return false;
    }
    if (task.runs.length !== 1 || needsTrial(task) || status.progressPercent >= nearEndPercent) {
        return false;
    }
    return run.run === 1 || (checkpointing && hasSaved(run, status));
}

/** Lists the runs on a worker that may be stopped for a task of a queue with `priority`, those that lose least first. */
export function listVictims(
    { state, statuses }: WorkerCandidate,
    { runKeys }: EndingRuns,
    priority: number,
    times: PassTimes,
): Victim[] {
    const victims: Victim[] = [];
    for (const [runKey, run] of state.runs) {
        const status = statuses?.get(runKey);
        if (status !== undefined && !runKeys.includes(runKey) && canPreempt(run, status, priority)) {
            victims.push({
                runKey,
                queue: run.job.queue.name,
                freed: computeReservation(run.step.spec),
                lossCoreMs: estimateLoss(run, status, times),
            });
        }
    }
    return victims.sort((left, right) => left.lossCoreMs - right.lossCoreMs);
}

/** Runs on a worker whose ends are awaited. */
export interface EndingRuns {
    readonly runKeys: readonly string[];
    readonly freed: Resources;
}

/** Least progress by which the end of a run is predicted, in percent. */
const leastProgressPercent = 25;
/** Share of the maximum duration of a stop within which a run is expected to end and need not be stopped. */
const endingSoonShare = 0.75;

/** Time beyond the maximum duration of a stop after which a run is no longer expected to end by it, in milliseconds. */
const lateStopMs = 200;

function isStopping({ stopWantedAtMs }: RunStatus, { nowMs }: PassTimes, stopMs: number): boolean {
    return stopWantedAtMs !== undefined && nowMs - stopWantedAtMs <= stopMs + lateStopMs;
}

/** Whether a run is expected to end by itself about as soon as a stop would end it. */
function isEndingSoon(run: WorkerRun, status: RunStatus, { nowMs, wallMs }: PassTimes, stopMs: number): boolean {
    const { progressPercent, readAtMs, pacePercent } = status;
    // A run that has resumed did not start without progress, so that its speed is not known.
    const hasStart = run.run === 1 && run.startedAtMs > 0 && status.stopWantedAtMs === undefined;
    if (run.step.spec.longRunning || !hasStart || pacePercent === 0) {
        return false;
    }
    const startedMs = nowMs - Math.max(0, wallMs - run.startedAtMs);
    const endsMs = startedMs + (readAtMs - startedMs) * fullProgressPercent / Math.max(1, progressPercent);
    return progressPercent >= leastProgressPercent && Math.abs(endsMs - nowMs) <= stopMs * endingSoonShare;
}

/**
 * Sums the runs on a worker that are being stopped or will end about as soon; they count until their ends are recorded.
 */
export function sumEndingRuns({ state, statuses }: WorkerCandidate, times: PassTimes, stopMs: number): EndingRuns {
    const runKeys: string[] = [];
    let freed: Resources = { milliCpu: 0, memoryMib: 0, accelerators: 0 };
    for (const [runKey, run] of state.runs) {
        const status = statuses?.get(runKey);
        if (
            status !== undefined
            && (isStopping(status, times, stopMs) || isEndingSoon(run, status, times, stopMs))
        ) {
            runKeys.push(runKey);
            freed = addResources(freed, computeReservation(run.step.spec));
        }
    }
    return { runKeys, freed };
}
