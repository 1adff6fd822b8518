import { formatRunKey, formatTaskKey, type WorkerRun } from "@chestnutspool/job-state";
import { recordClock, renewLease, type RunView } from "@chestnutspool/track-workers";
import { type OrderAnswer, readMonotonicMs, type RunEnd, type RunKey, type RunOutcome } from "@chestnutspool/types";
import { Effect } from "effect";
import { logRunEnded, logRunOrdered } from "./log-decisions.js";
import { canSendOrders, logStepError, propose, type Term, wakePlanner, type WorkerSession } from "./term.js";

/** Timeout of an order, in milliseconds; far above a round trip, so that only a lost answer exceeds it. */
const orderTimeoutMs = 1_000;
/** Pause before a stop order without an answer is sent again, in milliseconds. */
const retryPauseMs = 250;

/** Records the worker's clock from an answer, and fences the term if the worker has accepted a later leader. */
export function recordAnswer(term: Term, session: WorkerSession, answer: OrderAnswer, nowMs: number): void {
    if (answer.kind === "done" || answer.kind === "refused") {
        if (answer.clockMs !== undefined) {
            session.lease = recordClock(session.lease, answer.clockMs, nowMs);
            session.answeredAtMs = nowMs;
        }
        if (answer.kind === "refused" && answer.reason === "staleToken" && !term.isFenced) {
            term.isFenced = true;
            term.logger.warn("a worker has accepted a later leader; no more orders are sent", {
                term: term.number,
                worker: session.info.id,
            });
        }
    }
}

/** Records the end of a run that the worker will not report. */
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

/** Applies the answer to a start order. */
const applyStartAnswer = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    view: RunView,
    answer: OrderAnswer,
    nowMs: number,
) {
    const setStart = (start: RunView["start"]): void => {
        if (view.start === "ordered") {
            view.start = start;
            view.startChangedAtMs = nowMs;
        }
    };
    switch (answer.kind) {
        case "done":
            setStart("confirmed");
            return;
        case "unknown":
            setStart("unanswered");
            return;
        case "notSent":
            yield* recordEnd(term, session, view.key, "neverStarted", "");
            return;
        case "refused":
            setStart("excluded");
            // The next report may list the end of a stale run. No other refusal leaves a record on the worker.
            if (answer.reason !== "staleRun" && answer.reason !== "staleToken" && answer.reason !== "otherWorker") {
                yield* recordEnd(term, session, view.key, "neverStarted", "");
            }
            return;
    }
});

/** Sends the order to start a recorded run, and applies the answer. */
export const sendStart = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    run: WorkerRun,
    view: RunView,
    ticket: string | undefined,
) {
    const sentAtMs = yield* readMonotonicMs;
    if (session.lease === undefined || !canSendOrders(term, sentAtMs)) {
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
    }, orderTimeoutMs);
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

/** Sends the order to stop a run, repeatedly until the worker answers or the run has ended. */
export const sendStop = Effect.fnUntraced(function*(term: Term, session: WorkerSession, run: RunKey) {
    const key = formatRunKey(run);
    const isPending = (): boolean => {
        const view = session.views.get(key);
        return view === undefined || view.stoppedAtMs === undefined;
    };
    while (
        isPending() && canSendOrders(term, yield* readMonotonicMs) && term.sessions.get(session.info.id) === session
    ) {
        const answer = yield* term.workers.stopRun(session.info, run, term.number, orderTimeoutMs);
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
        yield* Effect.sleep(retryPauseMs);
    }
});

/** Requests the stop of a run; further calls for the same run have no effect. */
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
