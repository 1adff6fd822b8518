import type { JobTask, WorkerRun } from "@chestnutspool/job-state";
import type { WorkerId } from "@chestnutspool/types";
import { formatWaitingKey } from "./rack-wants.js";
import { reserveCapacity, type WorkerCandidate } from "./worker-candidate.js";

/**
 * Longest time for which the place of a move is kept, in milliseconds: the run is stopped, and its end is reported, in a small part of it
 * unless its worker falls silent.
 */
const keptMs = 2_000;

/** A run that is stopped so that its task restarts on another worker. */
export interface PendingMove {
    readonly run: WorkerRun;
    /** Worker on which the place is kept. */
    readonly target: WorkerId;
    /** Wall-clock time of the first pass that kept the place, in milliseconds since the epoch. */
    keptSinceMs: number | undefined;
}

/** Moves whose tasks have not started again, by task. */
export type PendingMoves = Map<JobTask, PendingMove>;

/** Adds a move, unless the task is a member of a gang, which does not restart alone. */
export function addMove(moves: PendingMoves, run: WorkerRun, target: WorkerId): void {
    if (!run.step.spec.gang) {
        moves.set(run.task, { run, target, keptSinceMs: undefined });
    }
}

/** Removes the moves that are over at `nowMs`: those that took too long, and those of tasks that are done. */
export function expireMoves(moves: PendingMoves, nowMs: number): void {
    for (const [task, move] of moves) {
        move.keptSinceMs ??= nowMs;
        const isDone = task.runs.length === 0 && !move.run.step.waiting.has(task.position);
        if (isDone || nowMs - move.keptSinceMs > keptMs) {
            moves.delete(task);
        }
    }
}

/** Reserves the place of a move on its worker, so that no other task gets it; a task of its step may. */
export function reserveMove({ run, target }: PendingMove, candidates: readonly WorkerCandidate[]): void {
    const candidate = candidates.find(({ state }) => state.info.id === target);
    if (candidate !== undefined) {
        reserveCapacity(candidate, run.job.id, run.step.spec, formatWaitingKey(run));
    }
}
