import { formatRunKey, formatStepKey, formatTaskKey, type WorkerRun } from "@chestnutspool/job-state";
import {
    countAllowedStarts,
    countStartsAfterRejection,
    isAtWork,
    recordRunQuality,
    type RunQuality,
    type RunStatus,
} from "@chestnutspool/track-workers";
import { type RunEnd, type RunKey, setLatest, type TaskKey, type WorkerId } from "@chestnutspool/types";
import { observeRunEnd } from "./learn-speeds.js";
import { recordPlacementRun } from "./placement-waits.js";
import type { Term, WorkerSession } from "./term.js";

/**
 * Multiple of the mean run time of a step above which a run with reserved processors counts as slow. Run times of the
 * tasks of a step differ by a third, while declared run times may be off by any factor.
 */
const slowFactor = 2.5;
/** Least number of successful runs of a step before further runs are compared with their mean. */
const minComparedRuns = 3;
/** Time that the start order and the report add to a measured run time, in milliseconds. */
const reportingDelayMs = 200;
/** Limit of the steps whose run times are kept. */
const runTimeStepLimit = 2_000;
/** Limit of the failed tasks whose worker is kept; with free capacity a task waits only seconds for its next run. */
const failedTaskLimit = 10_000;
/** Limit of the tasks whose last run without a start is kept; the planner asks for the last starts of jobs without a run. */
const unstartedTaskLimit = 10_000;
/**
 * Largest share of the workers that may be suspected. Above it the cause is not a single worker, so that all are used.
 */
const maxSuspectedShare = 0.34;

/**
 * Time from its restart in which a worker that may not list its first ends gets one run at a time, in milliseconds. It is limited, because
 * members of a gang that start together on the worker would otherwise never start.
 */
const provingMs = 2_000;

/** Records the run time of a successful run; true if it took far longer than earlier runs of its step. */
function observeRunTime(term: Term, end: RunEnd, tookMs: number): boolean {
    const key = formatStepKey(end);
    const known = term.runTimesByStep.get(key) ?? { runs: 0, totalMs: 0 };
    setLatest(term.runTimesByStep, key, { runs: known.runs + 1, totalMs: known.totalMs + tookMs }, runTimeStepLimit);
    return known.runs >= minComparedRuns && tookMs > slowFactor * known.totalMs / known.runs + reportingDelayMs;
}

function rateRun(
    term: Term,
    { step }: WorkerRun,
    status: RunStatus,
    end: RunEnd,
    nowMs: number,
): RunQuality | undefined {
    switch (end.outcome) {
        case "failed":
            return { kind: "failed" };
        case "succeeded": {
            // The run time of a best-effort task, or of a task far from its data, depends on its placement more than on
            // its worker.
            const isComparable = !step.spec.usesIdleCpu && step.spec.rackOfData === undefined;
            return isComparable && observeRunTime(term, end, nowMs - status.orderedAtMs)
                ? { kind: "slow" }
                : { kind: "good" };
        }
        case "stopped":
        case "lapsed":
        case "gangBroken":
        case "gangIncomplete":
        case "neverStarted":
            return undefined;
    }
}

function recordQuality(term: Term, session: WorkerSession, job: string, quality: RunQuality, nowMs: number): void {
    if (recordRunQuality(session.health, job, quality, nowMs)) {
        const { badRunsInRow: strikes, suspicions, suspectedUntilMs } = session.health;
        term.logger.info(suspectedUntilMs === undefined ? "worker is trusted again" : "worker is suspected", {
            worker: session.info.id,
            last: quality.kind,
            job,
            strikes,
            suspicions,
            pauseMs: suspectedUntilMs === undefined ? undefined : Math.round(suspectedUntilMs - nowMs),
        });
    }
}

/** Records that a run of a task failed or was refused on a worker, so that the task starts there only if no other one is suitable. */
export function recordFailedWorker(term: Term, { info }: WorkerSession, task: TaskKey): void {
    setLatest(term.failedWorkerByTask, formatTaskKey(task), info.id, failedTaskLimit);
}

/** Records that a run of a task has ended without having started. */
export function recordUnstartedRun(term: Term, run: RunKey): void {
    setLatest(term.unstartedRunByTask, formatTaskKey(run), run.run, unstartedTaskLimit);
}

/** Updates the health of a worker by the end of a run. Must be called before the end is recorded. */
export function rateRunEnd(term: Term, session: WorkerSession, end: RunEnd, nowMs: number): void {
    const key = formatRunKey(end);
    const run = term.machine.state.workers.get(session.info.id)?.runs.get(key);
    const status = session.runStatuses.get(key);
    const quality = run === undefined || status === undefined ? undefined : rateRun(term, run, status, end, nowMs);
    if (run !== undefined && status !== undefined) {
        observeRunEnd(term, session, key, run, status, end, nowMs);
    }
    if (end.outcome === "failed") {
        recordFailedWorker(term, session, end);
    }
    if (end.outcome === "neverStarted") {
        recordUnstartedRun(term, end);
    }
    if (run !== undefined && status !== undefined && end.outcome === "succeeded") {
        recordPlacementRun(term, session.info, run, status, nowMs);
    }
    if (quality !== undefined) {
        recordQuality(term, session, end.job, quality, nowMs);
    }
}

/** Updates the health of a worker on which a run has stalled. */
export function recordStalledRun(term: Term, session: WorkerSession, job: string, nowMs: number): void {
    recordQuality(term, session, job, { kind: "stoodStill" }, nowMs);
}

/**
 * Counts the runs that a suspected worker got since its pause ended. A long-running task that is at work does not count,
 * because it does not end.
 */
function countProbationRuns(term: Term, { info, health, runStatuses }: WorkerSession): number {
    const runs = term.machine.state.workers.get(info.id)?.runs;
    const sinceMs = health.suspectedUntilMs ?? Number.POSITIVE_INFINITY;
    let count = 0;
    for (const [key, status] of runStatuses) {
        const isLasting = runs?.get(key)?.step.spec.longRunning === true && isAtWork(status);
        count += status.orderedAtMs >= sinceMs && !isLasting ? 1 : 0;
    }
    return count;
}

/**
 * Lists the number of runs that may start on each suspected worker at `nowMs`, monotonic time in milliseconds. Empty if
 * too many workers are suspected.
 */
function listSuspectedLimits(term: Term, nowMs: number): Map<WorkerId, number> {
    const limits = new Map<WorkerId, number>();
    for (const session of term.sessions.values()) {
        const { info, health } = session;
        if (health.suspectedUntilMs === undefined) {
            continue;
        }
        const limit = countAllowedStarts(health, countProbationRuns(term, session), nowMs);
        if (limit !== undefined) {
            limits.set(info.id, limit);
        }
    }
    return limits.size > term.sessions.size * maxSuspectedShare ? new Map<WorkerId, number>() : limits;
}

function countStartsSince({ runStatuses }: WorkerSession, sinceMs: number): number {
    let count = 0;
    for (const { orderedAtMs } of runStatuses.values()) {
        count += orderedAtMs >= sinceMs ? 1 : 0;
    }
    return count;
}

/**
 * Lists the number of runs that may start at `nowMs`, monotonic time in milliseconds, on each worker that is suspected or has
 * rejected starts. All workers may reject starts at the same time.
 */
export function listStartLimits(term: Term, nowMs: number): ReadonlyMap<WorkerId, number> {
    const limits = listSuspectedLimits(term, nowMs);
    for (const session of term.sessions.values()) {
        const { info, startRejections } = session;
        const limit = countStartsAfterRejection(startRejections, sinceMs => countStartsSince(session, sinceMs), nowMs);
        if (limit !== undefined) {
            limits.set(info.id, Math.min(limit, limits.get(info.id) ?? limit));
        }
        if (session.mayOmitEnds && nowMs - session.openedAtMs < provingMs) {
            const ordered = countStartsSince(session, session.openedAtMs);
            limits.set(info.id, Math.min(Math.max(0, 1 - ordered), limits.get(info.id) ?? 1));
        }
    }
    return limits;
}
