import { formatRunKey, formatStepKey, type JobStep, type WorkerRun } from "@chestnutspool/job-state";
import { isAtWork, type RunStatus } from "@chestnutspool/track-workers";
import type { WorkerId } from "@chestnutspool/types";
import { addMove, type PendingMoves, reserveMove } from "./pending-moves.js";
import { listCandidates, type PlanInput } from "./plan-input.js";
import { findObstacle } from "./rate-workers.js";
import { createUnmetRequirements, type UnmetRequirements } from "./unmet-requirements.js";
import { hasCapacity, reserveCapacity, type WorkerCandidate } from "./worker-candidate.js";

/** Time without progress after which a best-effort task may move, in milliseconds; a move costs about half a second. */
const starvedAfterMs = 1_200;
/**
 * Time without progress after which a task with reserved processors counts as stalled, in milliseconds; two to three
 * reports.
 */
const stalledAfterMs = 2_000;
/** Time without progress after which such a task counts as stalled, as a multiple of the time that a percent has taken it. */
const stalledAfterPercents = 3;
/** Progress from which a task without checkpoints is not moved, in percent, because it would lose that progress. */
const keptProgressPercent = 40;
/** Limit of moves per pass. */
const movesPerPass = 20;

/** A run that makes no progress on its worker. */
export interface StalledRun {
    readonly worker: WorkerId;
    readonly runKey: string;
    readonly reason: "standsStill" | "noIdleProcessors";
}

/**
 * Computes the time without progress after which a task with reserved processors counts as stalled, in milliseconds. Progress is
 * reported in whole percents, which take a run of minutes longer than a report.
 */
function computeStalledAfterMs(
    { progressPercent, firstPercent = progressPercent, progressAtMs, orderedAtMs }: RunStatus,
): number {
    const percents = progressPercent - firstPercent;
    const percentMs = percents > 0 ? (progressAtMs - orderedAtMs) / percents : 0;
    return Math.max(stalledAfterMs, stalledAfterPercents * percentMs);
}

/**
 * Whether a task with reserved processors makes no progress although its worker sends reports, so that it may restart
 * on another worker.
 */
function isStalled({ step }: WorkerRun, status: RunStatus, nowMs: number): boolean {
    return !step.spec.usesIdleCpu && !step.spec.longRunning && status.start === "confirmed"
        && status.stopWantedAtMs === undefined && status.readAtMs - status.progressAtMs > computeStalledAfterMs(status)
        && nowMs - status.readAtMs < stalledAfterMs && nowMs - status.orderedAtMs > 2 * step.spec.expectedRunMs;
}

/** Since when a best-effort task makes no progress, in milliseconds. The progress of a long-running one at work does not change. */
function findStandstillMs({ step }: WorkerRun, status: RunStatus): number {
    if (!step.spec.longRunning || !isAtWork(status)) {
        return status.progressAtMs;
    }
    return status.pacePercent === 0 ? status.paceChangedAtMs : Number.POSITIVE_INFINITY;
}

/**
 * Whether a best-effort task has made no progress for some time, because it is slowed down or gets no idle processors.
 */
function isStarved(run: WorkerRun, status: RunStatus, nowMs: number): boolean {
    const { step } = run;
    const mayMove = step.spec.checkpointing || status.progressPercent < keptProgressPercent;
    return step.spec.usesIdleCpu && mayMove && status.start === "confirmed" && status.stopWantedAtMs === undefined
        && nowMs - findStandstillMs(run, status) > starvedAfterMs && nowMs - status.orderedAtMs > starvedAfterMs;
}

/** Counts the tasks of a step that have no run, whose run is being stopped, or that are not at work yet. */
function countAwayTasks({ job, occurrence, step }: WorkerRun, input: PlanInput): number {
    const stepOfRun = { job: job.id, occurrence: occurrence.number, step: step.position };
    return step.tasks.filter(({ position, runs }) =>
        !runs.some(({ run, worker }) => {
            const status = input.findRunStatuses(worker)?.get(formatRunKey({ ...stepOfRun, position, run }));
            return status !== undefined && status.stopWantedAtMs === undefined && isAtWork(status);
        })
    ).length;
}

/** Creates the check whether a task may be interrupted without exceeding the limit of its step; it counts those that it allows. */
function createAwayCheck(input: PlanInput): (run: WorkerRun) => boolean {
    const awayByStep = new Map<JobStep, number>();
    return run => {
        const { step } = run;
        if (!step.spec.longRunning || step.spec.awayLimit === undefined) {
            return true;
        }
        const away = awayByStep.get(step) ?? countAwayTasks(run, input);
        const isAllowed = away < step.spec.awayLimit;
        awayByStep.set(step, isAllowed ? away + 1 : away);
        return isAllowed;
    };
}

/** Finds another worker that could run a best-effort task, and reserves the capacity for it there. */
function findOtherWorker(
    candidates: readonly WorkerCandidate[],
    unmet: UnmetRequirements,
    worker: WorkerId,
    run: WorkerRun,
    input: PlanInput,
): WorkerCandidate | undefined {
    const { job, occurrence, step } = run;
    const { service } = job.queue;
    if (unmet.isUnmet(service, step.spec)) {
        return undefined;
    }
    const stepKey = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
    const isSuitable = (candidate: WorkerCandidate): boolean =>
        candidate.state.info.service === service && hasCapacity(candidate, step.spec, stepKey)
        && findObstacle(candidate, step.spec, input.interference) === undefined;
    const found = candidates.find(candidate => candidate.state.info.id !== worker && isSuitable(candidate));
    if (found !== undefined) {
        reserveCapacity(found, job.id, step.spec, stepKey);
        return found;
    }
    const own = candidates.find(candidate => candidate.state.info.id === worker);
    // Its own worker may still be suitable for a run of another worker.
    if (own === undefined || !isSuitable(own)) {
        unmet.recordUnmet(service, step.spec);
    }
    return undefined;
}

/** Lists the workers with the capacity that moves in progress leave. */
function listFreeCandidates(input: PlanInput, moves: PendingMoves): readonly WorkerCandidate[] {
    const candidates = listCandidates(input);
    moves.forEach(move => reserveMove(move, candidates));
    return candidates;
}

/**
 * Lists runs that are to be stopped and restarted elsewhere: stalled runs with reserved processors, and best-effort
 * runs that make no progress and that another worker could run. A best-effort run makes none if its worker has no idle
 * processors left or if it was slowed down for a serving task. The places of moves in progress are not given to others; new moves are
 * added to them. `nowMs` is monotonic time in milliseconds.
 */
export function listStalledRuns(input: PlanInput, nowMs: number, moves: PendingMoves = new Map()): StalledRun[] {
    const stalled: StalledRun[] = [];
    let candidates: readonly WorkerCandidate[] | undefined;
    const unmet = createUnmetRequirements();
    const mayInterrupt = createAwayCheck(input);
    for (const [worker, { runs }] of input.state.workers) {
        const statuses = input.findRunStatuses(worker);
        for (const [runKey, run] of runs) {
            if (stalled.length >= movesPerPass) {
                return stalled;
            }
            const { longRunning, usesIdleCpu } = run.step.spec;
            // Serving tasks never count as stalled, so that their statuses are not looked up.
            const status = longRunning && !usesIdleCpu ? undefined : statuses?.get(runKey);
            if (status === undefined) {
                continue;
            }
            if (isStalled(run, status, nowMs)) {
                stalled.push({ worker, runKey, reason: "standsStill" });
                continue;
            }
            if (moves.has(run.task) || !isStarved(run, status, nowMs)) {
                continue;
            }
            candidates ??= listFreeCandidates(input, moves);
            const target = findOtherWorker(candidates, unmet, worker, run, input);
            if (target !== undefined && mayInterrupt(run)) {
                addMove(moves, run, target.state.info.id);
                stalled.push({ worker, runKey, reason: "noIdleProcessors" });
            }
        }
    }
    return stalled;
}
