import { formatRunKey, formatTaskKey, type WorkerRun } from "@chestnutspool/job-state";
import { recordClock, renewLease, type RunView } from "@chestnutspool/track-workers";
import { type OrderAnswer, readMonotonicMs, type RunEnd, type RunKey, type RunOutcome } from "@chestnutspool/types";
import { Effect } from "effect";
import { logRunEnded, logRunOrdered } from "./log-decisions.js";
import { canGiveOrders, logStepError, propose, type Term, wakePlanner, type WorkerSession } from "./term.js";

/** Time allowed for an order, in milliseconds; far above a round trip, so that only a lost answer exceeds it. */
const orderLimitMs = 1_000;
/** Pause before an order without an answer is given again, in milliseconds. */
const repeatPauseMs = 250;

/** Notes that a worker has answered, and when it has obeyed a later leader. */
export function recordAnswer(term: Term, session: WorkerSession, answer: OrderAnswer, nowMs: number): void {
    if (answer.kind === "done" || answer.kind === "refused") {
        if (answer.clockMs !== undefined) {
            session.lease = recordClock(session.lease, answer.clockMs, nowMs);
            session.answeredAtMs = nowMs;
        }
        if (answer.kind === "refused" && answer.reason === "staleToken" && !term.isFenced) {
            term.isFenced = true;
            term.logger.warn("a worker has obeyed a later leader, orders end", {
                term: term.number,
                worker: session.info.id,
            });
        }
    }
}

/** Records the end of a run of which the worker keeps no record. */
export const recordEnd = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    run: RunKey,
    outcome: RunOutcome,
    checkpoint: string,
) {
    const { job, occurrence, step, position, run: number } = run;
    const end: RunEnd = { job, occurrence, step, position, run: number, outcome, checkpoint };
    yield* propose(term, { kind: "endRuns", worker: session.info.id, ends: [end] });
    logRunEnded(term, session, end);
    session.views.delete(formatRunKey(run));
    wakePlanner(term);
});

/** Takes the answer to a start. */
const applyStartAnswer = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    view: RunView,
    answer: OrderAnswer,
    nowMs: number,
) {
    const change = (start: RunView["start"]): void => {
        if (view.start === "ordered") {
            view.start = start;
            view.startChangedAtMs = nowMs;
        }
    };
    switch (answer.kind) {
        case "done":
            change("confirmed");
            return;
        case "unknown":
            change("unanswered");
            return;
        case "notSent":
            yield* recordEnd(term, session, view.key, "neverStarted", "");
            return;
        case "refused":
            change("excluded");
            // A stale run may have left an end that the next report lists; every other refusal leaves nothing behind.
            if (answer.reason !== "staleRun" && answer.reason !== "staleToken" && answer.reason !== "otherWorker") {
                yield* recordEnd(term, session, view.key, "neverStarted", "");
            }
            return;
    }
});

/** Gives the order to start a run that is recorded. */
export const sendStart = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    run: WorkerRun,
    view: RunView,
    ticket: string | undefined,
) {
    const sentAtMs = yield* readMonotonicMs;
    if (session.lease === undefined || !canGiveOrders(term, sentAtMs)) {
        return;
    }
    session.lease = renewLease(session.lease, term.limits.longestLeaseMs, sentAtMs);
    logRunOrdered(term, session, run, view.key, sentAtMs);
    const answer = yield* term.workers.startRun(session.info, {
        ...view.key,
        payload: run.job.definition.payload,
        checkpoint: run.task.checkpoint,
        leaseUntilMs: session.lease.grantedUntilClockMs,
        fencingToken: term.number,
        ticket,
    }, orderLimitMs);
    const nowMs = yield* readMonotonicMs;
    recordAnswer(term, session, answer, nowMs);
    term.metrics.recordDuration("startOrderMs", run.job.queue.name, run.job.queue.service, nowMs - sentAtMs);
    if (answer.kind !== "done") {
        term.logger.info("start was not confirmed", {
            job: view.key.job,
            task: formatTaskKey(view.key),
            run: view.key.run,
            worker: session.info.id,
            answer: answer.kind,
            reason: answer.kind === "refused" ? answer.reason : answer.detail,
        });
    }
    yield* Effect.catch(
        applyStartAnswer(term, session, view, answer, nowMs),
        error => logStepError(term.logger, "record start", error),
    );
});

/** Gives the order to stop a run until the worker answers or the run has ended. */
export const sendStop = Effect.fnUntraced(function*(term: Term, session: WorkerSession, run: RunKey) {
    const key = formatRunKey(run);
    const isPending = (): boolean => {
        const view = session.views.get(key);
        return view === undefined || view.stoppedAtMs === undefined;
    };
    while (
        isPending() && canGiveOrders(term, yield* readMonotonicMs) && term.sessions.get(session.info.id) === session
    ) {
        const answer = yield* term.workers.stopRun(session.info, run, term.number, orderLimitMs);
        const nowMs = yield* readMonotonicMs;
        recordAnswer(term, session, answer, nowMs);
        if (answer.kind === "done" || (answer.kind === "refused" && answer.reason === "staleRun")) {
            const view = session.views.get(key);
            if (view !== undefined) {
                view.stoppedAtMs = nowMs;
            }
            return;
        }
        if (!session.views.has(key)) {
            return;
        }
        yield* Effect.sleep(repeatPauseMs);
    }
});

/** Asks for the end of a run once; repeated calls change nothing. */
export function requestStop(term: Term, session: WorkerSession, key: string, reason: string, nowMs: number) {
    const view = session.views.get(key);
    if (view === undefined || view.stopWantedAtMs !== undefined) {
        return Effect.void;
    }
    view.stopWantedAtMs = nowMs;
    term.logger.info("run is stopped", {
        job: view.key.job,
        task: formatTaskKey(view.key),
        run: view.key.run,
        worker: session.info.id,
        reason,
        progressPercent: view.progressPercent,
        progressAgeMs: nowMs - view.readAtMs,
    });
    return Effect.forkIn(sendStop(term, session, view.key), term.scope);
}
