import { formatRunKey } from "@chestnutspool/job-state";
import { createRunStatus, isStartOpen, type RunStatus } from "@chestnutspool/track-workers";
import { type ErrorData, readMonotonicMs, readWallMs, type RunKey, type WorkerInfo } from "@chestnutspool/types";
import { Effect, FiberMap } from "effect";
import { expireWorker, hasAnnouncedEnd } from "./expire-worker.js";
import { requestStop, stopOpenOrders } from "./send-orders.js";
import { superviseLoop } from "./supervise-loop.js";
import { logStepError, type Term, type WorkerSession } from "./term.js";
import { createSession, type ForeignCalls, resumeSession, runSession } from "./worker-session.js";

/** Pause before a restart of a worker that could not be recorded is recorded again, in milliseconds. */
const retryPauseMs = 200;
/** Longest time after which a worker carries out an order that it does not answer, in milliseconds, by the disruptions of the platform. */
const orderDelayLimitMs = 12_000;

/** What is known of the start of a worker when its session opens. */
interface SessionStart {
    /** As in `WorkerSession`. */
    readonly isAnnounced: boolean;
    /** Runs whose start may yet be carried out, by a delayed order to an earlier start. */
    readonly openStarts: readonly RunKey[];
    /** As in `WorkerSession`. */
    readonly foreignCalls: ForeignCalls;
}

/** Runs a session, and records the restart when a report shows that the worker has started again. */
const superviseSession = (
    term: Term,
    session: WorkerSession,
    run: Effect.Effect<WorkerInfo | undefined>,
): Effect.Effect<void> => {
    const runAgain = Effect.andThen(
        Effect.sleep(retryPauseMs),
        Effect.suspend(() => superviseSession(term, session, runSession(term, session))),
    );
    return Effect.flatMap(run, info => {
        if (info === undefined) {
            return Effect.void;
        }
        if (session.isSuperseded) {
            // A heartbeat has told it first; its session interrupts this one.
            return runAgain;
        }
        return Effect.catch(
            Effect.asVoid(restartSession(term, session, info, false)),
            (error: ErrorData) =>
                Effect.andThen(logStepError(term.logger, `restart of worker ${info.id}`, error), runAgain),
        );
    });
};

/** What is known of a start that no session of this term was for. Only a worker that is recorded had calls of an earlier leader. */
function createSessionStart({ openedAtMs, machine }: Term, { id }: WorkerInfo): SessionStart {
    const isRecorded = machine.state.workers.has(id);
    return {
        isAnnounced: true,
        openStarts: [],
        foreignCalls: {
            foreignOrdersUntilMs: openedAtMs,
            foreignAcknowledgementsUntilMs: isRecorded ? openedAtMs + orderDelayLimitMs : Number.NEGATIVE_INFINITY,
            mayOmitEnds: false,
        },
    };
}

/** Opens the session of a worker and starts the fiber that renews its lease, in place of that of an earlier start. */
export const openSession = Effect.fnUntraced(function*(
    term: Term,
    info: WorkerInfo,
    { isAnnounced, openStarts, foreignCalls }: SessionStart = createSessionStart(term, info),
) {
    const nowMs = yield* readMonotonicMs;
    const session = yield* createSession(term, info, foreignCalls, nowMs);
    session.isAnnounced = isAnnounced;
    term.sessions.set(info.id, session);
    for (const key of openStarts) {
        const runKey = formatRunKey(key);
        session.runStatuses.set(runKey, createRunStatus(key, "unanswered", nowMs));
        yield* requestStop(term, session, runKey, "startUnanswered", nowMs);
    }
    yield* stopOpenOrders(term, session);
    const loop = superviseLoop(
        term,
        "session",
        { term: term.number, worker: info.id },
        superviseSession(term, session, runSession(term, session)),
        superviseSession(term, session, resumeSession(term, session)),
    );
    // Last, because it interrupts the loop of the earlier start, which may be the caller.
    yield* FiberMap.run(term.sessionLoops, info.id, loop);
    return session;
});

/**
 * Lists the runs of a worker that may run on its later start: no report of the earlier one has listed them. A confirmation of their
 * start does not tell which of the two gave it.
 */
function listUncertainRuns({ runStatuses }: WorkerSession): RunStatus[] {
    return [...runStatuses.values()].filter(({ firstPercent }) => firstPercent === undefined);
}

/** Computes until when orders to the earlier start of a worker may extend the lease of the later one, in monotonic milliseconds. */
function computeForeignOrdersEnd(term: Term, earlier: WorkerSession, nowMs: number): number {
    // The earlier start may have had orders of an earlier leader, which sent the last ones before this term was opened.
    const lastSentAtMs = Math.max(term.openedAtMs, earlier.leaseOrderSentAtMs);
    return Math.max(nowMs, earlier.foreignOrdersUntilMs, lastSentAtMs + orderDelayLimitMs);
}

/** Computes until when acknowledgements to earlier starts of a worker may arrive, in monotonic milliseconds. */
function computeForeignAcknowledgementsEnd(earlier: WorkerSession): number {
    const { foreignAcknowledgementsUntilMs, unansweredAcknowledgement } = earlier;
    return unansweredAcknowledgement === undefined
        ? foreignAcknowledgementsUntilMs
        : Math.max(foreignAcknowledgementsUntilMs, unansweredAcknowledgement.sentAtMs + orderDelayLimitMs);
}

/** Finds when the later start of a worker was born, in monotonic milliseconds; undefined if it does not say so. */
const findBirthMs = Effect.fnUntraced(function*({ bornAtMs }: WorkerInfo, nowMs: number) {
    return bornAtMs === undefined ? undefined : nowMs - Math.max(0, (yield* readWallMs) - bornAtMs);
});

/**
 * Replaces the session of a worker that has started again under its id. The runs of the earlier start have ended with it, but for
 * those that no report has listed: the later start may have carried out the orders to the earlier one, so that its first
 * report decides. Those whose start has no answer are stopped, because it may yet carry them out.
 */
export const restartSession = Effect.fnUntraced(function*(
    term: Term,
    earlier: WorkerSession,
    info: WorkerInfo,
    isAnnounced: boolean,
) {
    earlier.isSuperseded = true;
    const nowMs = yield* readMonotonicMs;
    const uncertain = listUncertainRuns(earlier);
    const openStarts = uncertain.filter(isStartOpen).map(({ key }) => key);
    const crashedBeforeMs = yield* findBirthMs(info, nowMs);
    const foreignOrdersUntilMs = computeForeignOrdersEnd(term, earlier, nowMs);
    const foreignAcknowledgementsUntilMs = computeForeignAcknowledgementsEnd(earlier);
    const mayOmitEnds = foreignAcknowledgementsUntilMs > nowMs;
    term.logger.warn("worker has started again", {
        worker: info.id,
        bornAtMs: info.bornAtMs,
        bornBeforeMs: earlier.info.bornAtMs,
        acknowledgedSequence: earlier.acknowledgedSequence,
        unansweredSequence: earlier.unansweredAcknowledgement?.sequence ?? 0,
        mayOmitEnds,
        heartbeatSequence: earlier.heartbeatSequence,
        uncertainRuns: uncertain.length,
        openStarts: openStarts.length,
        foreignOrdersMs: Math.round(foreignOrdersUntilMs - nowMs),
    });
    term.workers.closeConnections(earlier.info);
    const end = {
        reason: "the worker has started again",
        // The record of the earlier start shows the next leader that the worker has started again.
        isGone: uncertain.length === 0 && !mayOmitEnds,
        isCrash: !hasAnnouncedEnd(term, earlier),
        hasRestarted: true,
        ...(crashedBeforeMs === undefined ? {} : { crashedBeforeMs }),
    };
    const kept = uncertain.map(({ key }) => key);
    yield* Effect.onError(expireWorker(term, earlier, end, kept), () =>
        Effect.sync(() => {
            earlier.isSuperseded = false;
        }));
    const foreignCalls = { foreignOrdersUntilMs, foreignAcknowledgementsUntilMs, mayOmitEnds };
    return yield* openSession(term, info, { isAnnounced, openStarts, foreignCalls });
});
