import { acceptsStarts, formatStepKey, isJobEnded, type JobState } from "@chestnutspool/job-state";
import type { RunStart, TaskKey, WorkerId } from "@chestnutspool/types";
import type { PreemptionMemory, PreemptionReservation } from "./preemption-memory.js";

/**
 * Time for which freed capacity stays reserved, in milliseconds: some passes of the planner. A task that has not started by
 * then cannot, and the capacity goes to others.
 */
const reservedMs = 300;
/**
 * Time beyond the maximum duration of a stop after which the ends of stopped runs are no longer awaited, in milliseconds.
 * Some workers carry out orders late, and the work is lost already.
 */
const lateStopMs = 1_000;
/** The same if no run was stopped, because the runs were expected to end by themselves. */
const lateEndMs = 200;

/** What came of a reservation. */
export type ReservationOutcome =
    /** A task of the step started there. */
    | "started"
    /** The step has no further task that waits: its job was cancelled or it found room elsewhere. */
    | "notNeeded"
    /** The worker is no longer usable. */
    | "workerLost"
    /** No task of the step started in time, or the ends of the stopped runs were not recorded. */
    | "expired";

/** A reservation that is over. */
export interface EndedReservation {
    readonly task: TaskKey;
    readonly queue: string;
    readonly service: string;
    readonly worker: WorkerId;
    /** Number of runs that were stopped for it. */
    readonly stoppedRuns: number;
    readonly outcome: ReservationOutcome;
    /** Time since the decision, in milliseconds. */
    readonly tookMs: number;
    /** Time from the decision until the runs had ended, in milliseconds; undefined if they have not. */
    readonly freedAfterMs: number | undefined;
}

/** What the state of reservations is compared with. */
export interface ReservationInput {
    readonly state: JobState;
    readonly isUsable: (worker: WorkerId) => boolean;
    /** Starts that the pass has planned. */
    readonly starts: readonly RunStart[];
    readonly stopMs: number;
}

function isExpired(reservation: PreemptionReservation, stopMs: number, nowMs: number): boolean {
    const { decidedAtMs, freedAtMs, stoppedRuns } = reservation;
    return freedAtMs === undefined
        ? nowMs - decidedAtMs > stopMs + (stoppedRuns > 0 ? lateStopMs : lateEndMs)
        : nowMs - freedAtMs > reservedMs;
}

function countWaiting(state: JobState, { job: id, occurrence, step }: TaskKey): number {
    const job = state.jobs.get(id);
    return job === undefined || isJobEnded(job)
        ? 0
        : job.occurrences.get(occurrence)?.steps[step]?.waiting.size ?? 0;
}

function canUse({ state, isUsable }: ReservationInput, worker: WorkerId): boolean {
    const known = state.workers.get(worker);
    return known !== undefined && acceptsStarts(state, known) && isUsable(worker);
}

function hasAwaitedRun(state: JobState, { worker, awaitedRuns }: PreemptionReservation): boolean {
    const runs = state.workers.get(worker)?.runs;
    return awaitedRuns.some(key => runs?.has(key));
}

/**
 * Lists the reservations that are in force at `nowMs`, monotonic time, before a pass: without those that have expired or
 * whose step has no task that waits.
 */
export function listReservations(
    { reservations }: PreemptionMemory,
    state: JobState,
    stopMs: number,
    nowMs: number,
): readonly PreemptionReservation[] {
    return reservations.filter(reservation =>
        !isExpired(reservation, stopMs, nowMs) && countWaiting(state, reservation.task) > 0
    );
}

/** Ends the reservations whose step starts a task on their worker in this pass, and those that are no longer in force. */
export function updateReservations(
    memory: PreemptionMemory,
    input: ReservationInput,
    nowMs: number,
): EndedReservation[] {
    const { state, starts, stopMs } = input;
    const ended: EndedReservation[] = [];
    const kept: PreemptionReservation[] = [];
    const waitingByStep = new Map<string, number>();
    const unmatchedStarts = new Set(starts);
    for (const reservation of memory.reservations) {
        const { task, queue, service, worker, stepKey, stoppedRuns, decidedAtMs } = reservation;
        if (reservation.freedAtMs === undefined && !hasAwaitedRun(state, reservation)) {
            reservation.freedAtMs = nowMs;
        }
        let waiting = waitingByStep.get(stepKey);
        if (waiting === undefined) {
            waiting = countWaiting(state, task) - starts.filter(start => formatStepKey(start) === stepKey).length;
        }
        const start = [...unmatchedStarts].find(other => other.worker === worker && formatStepKey(other) === stepKey);
        if (start !== undefined) {
            unmatchedStarts.delete(start);
        }
        const outcome = start !== undefined
            ? "started"
            : waiting <= 0
            ? "notNeeded"
            : !canUse(input, worker)
            ? "workerLost"
            : isExpired(reservation, stopMs, nowMs)
            ? "expired"
            : undefined;
        waitingByStep.set(stepKey, outcome === undefined ? waiting - 1 : waiting);
        if (outcome === undefined) {
            kept.push(reservation);
            continue;
        }
        const { freedAtMs } = reservation;
        const freedAfterMs = freedAtMs === undefined ? undefined : freedAtMs - decidedAtMs;
        const tookMs = nowMs - decidedAtMs;
        ended.push({ task, queue, service, worker, stoppedRuns, outcome, tookMs, freedAfterMs });
    }
    memory.reservations = kept;
    return ended;
}
