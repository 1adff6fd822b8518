import type { ReportOutcome } from "@chestnutspool/track-workers";
import { Effect } from "effect";
import { stopUnprovenRuns } from "./send-orders.js";
import { registerWorker, type Term, wakePlanner, type WorkerSession } from "./term.js";

/** Longest delay of a report while a run was stopped to see whether the worker lists its end, in milliseconds. */
export const provingIntervalMs = 50;

/** Whether a worker has confirmed the stop of a run whose end is not recorded yet. */
export function hasStoppedRun({ runStatuses }: WorkerSession): boolean {
    return [...runStatuses.values()].some(({ stoppedAtMs }) => stoppedAtMs !== undefined);
}

/**
 * Draws from a report whether the worker lists its ends. One that lists an end lists all later ones, because it refuses further
 * acknowledgements to its earlier starts since it has answered this session.
 */
export const checkListedEnds = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    { lastSequence }: ReportOutcome,
    nowMs: number,
) {
    if (session.mayOmitEnds && lastSequence > 0) {
        session.mayOmitEnds = false;
        term.logger.info("worker lists its ends", {
            worker: session.info.id,
            lastSequence,
            sessionAgeMs: Math.round(nowMs - session.openedAtMs),
        });
        yield* registerWorker(term, session);
        wakePlanner(term);
    }
    if (session.mayOmitEnds) {
        yield* stopUnprovenRuns(term, session, nowMs);
    }
});
