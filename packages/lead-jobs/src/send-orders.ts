import { formatRunKey, formatTaskKey, type WorkerRun } from "@chestnutspool/job-state";
import {
    isOfOtherStart,
    recordClock,
    recordConfirmedStart,
    recordStartRejection,
    renewLease,
    type RunStatus,
} from "@chestnutspool/track-workers";
import {
    type OrderAnswer,
    type OrderRefusal,
    readMonotonicMs,
    type RunEnd,
    type RunKey,
    type RunOutcome,
    type StepSpec,
} from "@chestnutspool/types";
import { Effect, Queue } from "effect";
import { findJobUrgency } from "./job-urgency.js";
import { logRunEnded, logRunOrdered } from "./log-decisions.js";
import { listOpenOrders, recordOpenOrder } from "./open-orders.js";
import { recordFailedWorker, recordUnstartedRun } from "./rate-run-ends.js";
import { choosePatienceMs } from "./ration-term.js";
import { observeBegunJob } from "./record-begun-jobs.js";
import { recordConfirmedStep, recordRefusedStep } from "./refused-steps.js";
import { superviseLoop, superviseOrder } from "./supervise-loop.js";
import { recordStage } from "./term-load.js";
import { canSendOrders, fenceTerm, logStepError, propose, type Term, wakePlanner, type WorkerSession } from "./term.js";

/** Timeout of an order, in milliseconds; far above a round trip, so that only a lost answer exceeds it. */
const orderTimeoutMs = 1_000;
/** Pause before a stop order without an answer is sent again, in milliseconds. */
const retryPauseMs = 250;

/**
 * Records the worker's clock from an answer, and fences the term if the worker has accepted a later leader. Returns whether another start
 * of the worker than that of the session has answered.
 */
export function recordAnswer(
    term: Term,
    session: WorkerSession,
    answer: OrderAnswer,
    sentAtMs: number,
    nowMs: number,
): boolean {
    let isFromOther = false;
    if (answer.kind === "done" || answer.kind === "refused") {
        if (answer.clockMs !== undefined) {
            isFromOther = isOfOtherStart(session.lease, answer.clockMs, sentAtMs);
            if (isFromOther) {
                Queue.offerUnsafe(session.restartSigns, undefined);
            }
            session.lease = recordClock(session.lease, answer.clockMs, nowMs);
            session.answeredAtMs = nowMs;
        }
        if (answer.kind === "refused" && answer.reason === "staleToken") {
            fenceTerm(term, session, nowMs);
        }
    }
    return isFromOther;
}

/** Records the end of a run that the worker will not report. */
export const recordEnd = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    run: RunKey,
    outcome: RunOutcome,
    checkpoint: string,
    hasNotRun?: boolean,
) {
    const { job, occurrence, step, position, run: number } = run;
    const end: RunEnd = {
        job,
        occurrence,
        step,
        position,
        run: number,
        outcome,
        checkpoint,
        ...(hasNotRun === true ? { hasNotRun } : {}),
    };
    if (outcome === "neverStarted") {
        // Before the end is applied, so that no pass takes the run for one that was stopped.
        recordUnstartedRun(term, run);
    }
    yield* propose(term, { kind: "endRuns", worker: session.info.id, ends: [end] });
    logRunEnded(term, session, end);
    session.runStatuses.delete(formatRunKey(run));
    // The worker may have started again meanwhile.
    term.sessions.get(session.info.id)?.runStatuses.delete(formatRunKey(run));
    wakePlanner(term);
});

function setStart(status: RunStatus, start: RunStatus["start"], nowMs: number): void {
    if (status.start === "ordered") {
        status.start = start;
        status.startChangedAtMs = nowMs;
    }
}

/** Records that the order to start a run ended without an answer; the worker may have carried it out. */
export function recordLostStart(status: RunStatus): Effect.Effect<void> {
    return Effect.map(readMonotonicMs, nowMs => setStart(status, "unanswered", nowMs));
}

/**
 * What a refusal of a start concerns: the worker, which takes no starts now whatever the task is, the task wherever it starts, or only
 * this order.
 */
function rateRefusal(reason: OrderRefusal): "worker" | "task" | "order" {
    switch (reason) {
        case "unhealthy":
        case "noRoom":
        case "leaseOver":
            return "worker";
        case "ticketInvalid":
        case "invalid":
            return "task";
        case "staleToken":
        case "staleRun":
        case "otherWorker":
            return "order";
    }
}

/** Records whether a worker takes starts, or those of a step, so that the planner delays further ones if it does not. */
function observeStartAnswer(
    term: Term,
    session: WorkerSession,
    status: RunStatus,
    answer: OrderAnswer,
    nowMs: number,
): void {
    const { info, startRejections } = session;
    if (answer.kind === "done") {
        recordConfirmedStep(term, status);
        if (recordConfirmedStart(startRejections, status.orderedAtMs)) {
            term.logger.info("worker takes starts again", { worker: info.id });
            wakePlanner(term);
        }
        return;
    }
    if (answer.kind !== "refused") {
        return;
    }
    const concern = rateRefusal(answer.reason);
    if (concern === "task") {
        recordRefusedStep(term, status, answer.reason, nowMs);
        recordFailedWorker(term, session, status.key);
    }
    if (concern === "worker") {
        const { inRow } = startRejections;
        recordStartRejection(startRejections, status.orderedAtMs, nowMs);
        if (startRejections.inRow > inRow) {
            term.logger.info("worker rejects starts", {
                worker: info.id,
                reason: answer.reason,
                inRow: startRejections.inRow,
                delayMs: Math.round(startRejections.pausedUntilMs - nowMs),
            });
        }
    }
}

/** Applies the answer to a start order. */
const applyStartAnswer = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    status: RunStatus,
    answer: OrderAnswer,
    nowMs: number,
) {
    switch (answer.kind) {
        case "done":
            setStart(status, "confirmed", nowMs);
            return;
        case "unknown":
            setStart(status, "unanswered", nowMs);
            return;
        case "notSent":
            // If the log refuses the end, the next report that does not list the run leads to it.
            yield* Effect.onError(
                recordEnd(term, session, status.key, "neverStarted", "", true),
                () => Effect.sync(() => setStart(status, "excluded", nowMs)),
            );
            return;
        case "refused":
            setStart(status, "excluded", nowMs);
            // The next report may list the end of a stale run. No other refusal leaves a record on the worker.
            if (answer.reason !== "staleRun" && answer.reason !== "staleToken") {
                yield* recordEnd(term, session, status.key, "neverStarted", "", true);
            }
            return;
    }
});

/** Sends the order to start a recorded run, and applies the answer. */
export const sendStart = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    run: WorkerRun,
    status: RunStatus,
    ticket: string | undefined,
) {
    const sentAtMs = yield* readMonotonicMs;
    const isEvacuated = term.machine.state.evacuatedZones.has(session.info.availabilityZone);
    if (session.lease === undefined || session.isSuperseded || isEvacuated || !canSendOrders(term, sentAtMs)) {
        // Never sent: the next report that does not list the run ends it.
        setStart(status, "excluded", sentAtMs);
        return;
    }
    if (!session.isResponsive || session.leftAtMs !== undefined) {
        // The worker fell silent or left while the start was committed, and may give no report for long.
        const detail = session.leftAtMs === undefined ? "the worker does not answer" : "the worker has left";
        term.logger.info("start is not sent", {
            job: status.key.job,
            task: formatTaskKey(status.key),
            run: status.key.run,
            worker: session.info.id,
            reason: detail,
        });
        yield* Effect.catch(
            applyStartAnswer(term, session, status, { kind: "notSent", detail }, sentAtMs),
            error => logStepError(term.logger, "record start", error),
        );
        return;
    }
    session.lease = renewLease(session.lease, term.limits.longestLeaseMs, sentAtMs);
    session.leaseOrderSentAtMs = sentAtMs;
    logRunOrdered(term, session, run, status.key, sentAtMs);
    const urgency = findJobUrgency(term, run.job.id);
    if (urgency === "urgent" && !run.step.spec.longRunning) {
        Queue.offerUnsafe(session.renewalWakeups, undefined);
    }
    const answer = yield* term.workers.startRun(
        session.info,
        {
            ...status.key,
            payload: run.job.definition.payload,
            checkpoint: run.task.checkpoint,
            leaseUntilMs: session.lease.grantedUntilClockMs,
            fencingToken: session.fencingToken,
            ticket,
        },
        orderTimeoutMs,
        choosePatienceMs(term, urgency),
    );
    const nowMs = yield* readMonotonicMs;
    if (recordAnswer(term, session, answer, sentAtMs, nowMs)) {
        // The crash of the earlier start does not count for a run that has begun on the later one.
        status.orderedAtMs = nowMs;
    }
    term.metrics.recordDuration("startOrderMs", run.job.queue.name, run.job.queue.service, nowMs - sentAtMs);
    recordStage(term.load, urgency, "startOrder", nowMs - sentAtMs);
    observeStartAnswer(term, session, status, answer, nowMs);
    if (answer.kind === "done") {
        observeBegunJob(term, run.job);
    }
    else {
        term.load.unconfirmedStarts += 1;
        term.logger.info("start was not confirmed", {
            job: status.key.job,
            task: formatTaskKey(status.key),
            run: status.key.run,
            worker: session.info.id,
            answer: answer.kind,
            reason: answer.kind === "refused" ? answer.reason : answer.detail,
        });
    }
    yield* Effect.catch(
        applyStartAnswer(term, session, status, answer, nowMs),
        error => logStepError(term.logger, "record start", error),
    );
    if (session.mayOmitEnds && !session.isSuperseded) {
        yield* stopUnprovenRuns(term, session, nowMs);
    }
});

/** Sends the order to stop a run, repeatedly until the worker answers or the run has ended. */
export const sendStop = Effect.fnUntraced(function*(term: Term, session: WorkerSession, run: RunKey) {
    const key = formatRunKey(run);
    const isPending = (): boolean => {
        const status = session.runStatuses.get(key);
        return status === undefined || status.stoppedAtMs === undefined;
    };
    while (
        isPending() && canSendOrders(term, yield* readMonotonicMs) && term.sessions.get(session.info.id) === session
    ) {
        const sentAtMs = yield* readMonotonicMs;
        const answer = yield* term.workers.stopRun(session.info, run, session.fencingToken, orderTimeoutMs);
        const nowMs = yield* readMonotonicMs;
        recordAnswer(term, session, answer, sentAtMs, nowMs);
        if (answer.kind === "done" || (answer.kind === "refused" && answer.reason === "staleRun")) {
            const status = session.runStatuses.get(key);
            if (status !== undefined) {
                recordOpenOrder(term.openOrders, session.info.id, status, nowMs);
                status.stoppedAtMs = nowMs;
            }
            return;
        }
        if (!session.runStatuses.has(key)) {
            return;
        }
        yield* Effect.sleep(retryPauseMs);
    }
});

/** Requests the stop of a run; further calls for the same run have no effect. */
export function requestStop(term: Term, session: WorkerSession, key: string, reason: string, nowMs: number) {
    const status = session.runStatuses.get(key);
    if (status === undefined || status.stopWantedAtMs !== undefined) {
        return Effect.void;
    }
    status.stopWantedAtMs = nowMs;
    term.logger.info("run is stopped", {
        job: status.key.job,
        task: formatTaskKey(status.key),
        run: status.key.run,
        worker: session.info.id,
        reason,
        progressPercent: status.progressPercent,
        progressAgeMs: nowMs - status.readAtMs,
    });
    const context = { term: term.number, worker: session.info.id, task: formatTaskKey(status.key) };
    return Effect.forkIn(superviseLoop(term, "stop", context, sendStop(term, session, status.key)), term.scope);
}

/** Whether a run of a step may be followed by another one after it has succeeded. */
function canRepeat({ longRunning, speculative }: StepSpec): boolean {
    return longRunning || speculative;
}

/**
 * Stops the runs of a worker that may not list its first ends, right after they have started: an end that it lists shows that it lists
 * all, and one that it omits is known to be no success.
 */
export const stopUnprovenRuns = Effect.fnUntraced(function*(term: Term, session: WorkerSession, nowMs: number) {
    for (const [key, { step }] of term.machine.state.workers.get(session.info.id)?.runs ?? []) {
        if (session.runStatuses.get(key)?.start === "confirmed" && !canRepeat(step.spec)) {
            yield* requestStop(term, session, key, "endNotListed", nowMs);
        }
    }
});

const stopOpenOrder = Effect.fnUntraced(function*(term: Term, session: WorkerSession, run: RunKey) {
    while (canSendOrders(term, yield* readMonotonicMs) && term.sessions.get(session.info.id) === session) {
        const sentAtMs = yield* readMonotonicMs;
        const answer = yield* term.workers.stopRun(session.info, run, session.fencingToken, orderTimeoutMs);
        recordAnswer(term, session, answer, sentAtMs, yield* readMonotonicMs);
        if (answer.kind === "done" || (answer.kind === "refused" && answer.reason === "staleRun")) {
            return;
        }
        yield* Effect.sleep(retryPauseMs);
    }
});

/**
 * Stops the runs of an earlier start of a worker whose orders may yet arrive, so that the later start rejects them. The runs are
 * not recorded any more; recorded ones are stopped by `requestStop`.
 */
export const stopOpenOrders = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    const worker = session.info.id;
    for (const key of listOpenOrders(term.openOrders, worker, yield* readMonotonicMs)) {
        if (!session.runStatuses.has(formatRunKey(key))) {
            const context = { term: term.number, worker, task: formatTaskKey(key) };
            const order = superviseOrder(term, "stop", context, stopOpenOrder(term, session, key));
            yield* Effect.forkIn(order, term.scope);
        }
    }
});
