import { formatRunKey, formatTaskKey, type WorkerState } from "@chestnutspool/job-state";
import { createUsageHistory } from "@chestnutspool/learn-interference";
import { hasUncertainPairs, observeMargins, recordUsage } from "@chestnutspool/plan-jobs";
import {
    applyReport,
    computeLeaseEndMs,
    createWorkerHealth,
    hasTrial,
    listSuspectedRuns,
    recordClock,
    renewLease,
    type ReportOutcome,
} from "@chestnutspool/track-workers";
import { type ErrorData, readMonotonicMs, type RenewAnswer, type RunEnd, type WorkerInfo } from "@chestnutspool/types";
import { Effect, Option, Queue } from "effect";
import { addRecordedRuns } from "./add-recorded-runs.js";
import { giveUpDeadlyJobs } from "./give-up-jobs.js";
import { logEndedJobs, logRunEnded, logWorkerCrash, readPhases } from "./log-decisions.js";
import { rateRunEnd } from "./rate-run-ends.js";
import { sendStop } from "./send-orders.js";
import { superviseOrder } from "./supervise-loop.js";
import {
    canSendOrders,
    logStepError,
    propose,
    registerWorker,
    type RenewalAnswer,
    type Term,
    wakePlanner,
    type WorkerSession,
} from "./term.js";

/**
 * Longest time that a worker delays its answer to a renewal while no run ends, in milliseconds; limits the age of
 * reports.
 */
const reportIntervalMs = 900;
/** Longest such delay while the worker runs tasks whose interference is not known yet, in milliseconds. */
const learningIntervalMs = 300;
/** Longest such delay while a run is on trial, so that others may soon start on the worker, in milliseconds. */
const trialIntervalMs = 200;
/** Time beyond this delay after which a renewal counts as lost, in milliseconds. */
const renewGraceMs = 600;
/**
 * Share of a lease for which the answer of a worker that has missed a renewal is awaited, while further renewals are sent.
 * The work of a worker that only answers slowly must not end with its lease.
 */
const slowAnswerShare = 0.5;
/** Answers of a silent worker that are kept until they are applied; more renewals than this are never in progress. */
const lateAnswerLimit = 8;
/** Pause between two renewals, in milliseconds, so that ends of runs in quick succession share one report. */
const renewPauseMs = 30;
/** Pause after a renewal that was not answered or whose answer could not be applied, in milliseconds. */
const retryPauseMs = 200;
/**
 * Time after a worker announced that it leaves until its runs count as ended, in milliseconds; the worker ends right
 * after the announcement.
 */
const leaveGraceMs = 1_000;
/** Silence after which a worker whose lease has expired is removed, in milliseconds. */
const removeAfterSilenceMs = 15_000;

/** Creates the session of a worker. The first report shows which runs that an earlier leader recorded have started. */
export const createSession = Effect.fnUntraced(function*(term: Term, info: WorkerInfo, nowMs: number) {
    const session: WorkerSession = {
        info,
        lease: undefined,
        runStatuses: new Map(),
        acknowledgedSequence: 0,
        answeredAtMs: undefined,
        isResponsive: false,
        isReconciled: false,
        isRefusing: false,
        lateAnswers: yield* Queue.sliding<RenewalAnswer>(lateAnswerLimit),
        renewalSentAtMs: Number.NEGATIVE_INFINITY,
        heartbeatAtMs: nowMs,
        // A delayed heartbeat from before the last change must not undo it.
        heartbeatSequence: term.machine.state.workers.get(info.id)?.sequence ?? 0,
        leftAtMs: undefined,
        usage: createUsageHistory(),
        health: createWorkerHealth(),
    };
    addRecordedRuns(term, session, "excluded", nowMs);
    return session;
});

function findWorkerState(term: Term, session: WorkerSession): WorkerState | undefined {
    return term.machine.state.workers.get(session.info.id);
}

/** Records the ends of runs in a report, then allows them to be acknowledged. */
const recordEnds = Effect.fnUntraced(function*(term: Term, session: WorkerSession, outcome: ReportOutcome) {
    if (outcome.ends.length > 0) {
        const ends = outcome.ends.map((
            { job, occurrence, step, position, run, outcome: runOutcome, checkpoint },
        ): RunEnd => ({
            job,
            occurrence,
            step,
            position,
            run,
            outcome: runOutcome,
            checkpoint,
        }));
        const nowMs = yield* readMonotonicMs;
        ends.forEach(end => rateRunEnd(term, session, end, nowMs));
        const phases = readPhases(term, ends);
        yield* propose(term, { kind: "endRuns", worker: session.info.id, ends });
        for (const end of ends) {
            logRunEnded(term, session, end);
            session.runStatuses.delete(formatRunKey(end));
        }
        logEndedJobs(term, phases);
        wakePlanner(term);
    }
    session.acknowledgedSequence = Math.max(session.acknowledgedSequence, outcome.lastSequence);
});

const applyRenewAnswer = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    answer: Extract<RenewAnswer, { kind: "report"; }>,
    sentAtMs: number,
) {
    const nowMs = yield* readMonotonicMs;
    const wasUsable = session.isResponsive && session.isReconciled;
    session.lease = recordClock(session.lease, answer.clockMs, nowMs);
    session.answeredAtMs = nowMs;
    if (!session.isResponsive) {
        term.logger.info("worker answers", {
            worker: session.info.id,
            bornAtMs: answer.bornAtMs,
            bornBeforeMs: session.info.bornAtMs,
            acknowledgedSequence: session.acknowledgedSequence,
            lastSequence: answer.ended.at(-1)?.sequence,
            term: term.number,
        });
    }
    session.isResponsive = true;
    session.isRefusing = false;
    yield* Queue.clear(session.lateAnswers);
    if (findWorkerState(term, session) === undefined) {
        // A worker is recorded only once it has answered, so that a false announcement is never recorded.
        yield* registerWorker(term, session);
    }
    const state = findWorkerState(term, session);
    if (state === undefined) {
        return;
    }
    const outcome = applyReport(state, session.runStatuses, answer, sentAtMs, nowMs);
    recordUsage(state, session.runStatuses, session.usage, nowMs);
    observeMargins(state, session.runStatuses, term.interference, session.usage, nowMs);
    yield* recordEnds(term, session, outcome);
    session.isReconciled ||= answer.isComplete;
    for (const orphan of outcome.orphanedRuns) {
        // The next report that lists the run repeats a stop that failed.
        const context = { term: term.number, worker: session.info.id, task: formatTaskKey(orphan) };
        yield* Effect.forkIn(superviseOrder(term, "stop", context, sendStop(term, session, orphan)), term.scope);
    }
    if (!wasUsable) {
        wakePlanner(term);
    }
});

/** Why the runs of a worker have ended with it. */
interface WorkerEnd {
    readonly reason: string;
    /** Whether the worker will not come back under its identity. */
    readonly isGone: boolean;
    /** Whether it has certainly crashed. */
    readonly isCrash: boolean;
}

/** Records the end of all runs of a worker that is gone or whose lease has certainly expired. */
const expireWorker = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    { reason, isGone, isCrash }: WorkerEnd,
) {
    const state = findWorkerState(term, session);
    if (state === undefined || (state.runs.size === 0 && !isGone)) {
        return;
    }
    term.logger.warn("runs of a worker have ended with its lease", {
        worker: session.info.id,
        runs: state.runs.size,
        isGone,
        reason,
    });
    const lapsed = [...session.runStatuses.values()].map(({ key, checkpoint }): RunEnd => ({
        ...key,
        outcome: "lapsed",
        checkpoint,
    }));
    const checkpoints = lapsed.filter(end => end.checkpoint !== "");
    const crash = isCrash && state.runs.size > 0
        ? { suspectedRuns: listSuspectedRuns(state, session.runStatuses) }
        : undefined;
    if (crash !== undefined) {
        logWorkerCrash(term, session, state, crash, yield* readMonotonicMs);
    }
    yield* propose(term, {
        kind: "expireWorker",
        worker: session.info.id,
        isGone,
        checkpoints,
        ...(crash === undefined ? {} : { crash }),
    });
    lapsed.forEach(end => logRunEnded(term, session, end));
    session.runStatuses.clear();
    wakePlanner(term);
    if (crash !== undefined) {
        yield* giveUpDeadlyJobs(term);
    }
});

/**
 * Finds out whether a worker has ended: another one answers at its address, it announced that it leaves, its lease is over, or
 * it has been silent for too long. A worker whose lease is over may come back. It has crashed if it has ended, as the answers
 * show, and neither left nor drained.
 */
function findWorkerEnd(
    term: Term,
    session: WorkerSession,
    answer: RenewAnswer,
    nowMs: number,
): WorkerEnd | undefined {
    const isExpected = session.leftAtMs !== undefined || findWorkerState(term, session)?.isDraining === true;
    if (answer.kind === "refused" && answer.reason === "otherWorker") {
        return { reason: "another worker answers at the address", isGone: true, isCrash: !isExpected };
    }
    if (session.leftAtMs !== undefined && nowMs - session.leftAtMs >= leaveGraceMs) {
        return { reason: "the worker has left", isGone: true, isCrash: false };
    }
    if (nowMs <= computeLeaseEndMs(session.lease, term.openedAtMs, term.limits.longestLeaseMs)) {
        return undefined;
    }
    const lastContactAtMs = Math.max(session.heartbeatAtMs, session.answeredAtMs ?? 0);
    const isGone = nowMs - lastContactAtMs > removeAfterSilenceMs;
    return {
        reason: isGone ? "the worker is silent" : "the lease is over",
        isGone,
        isCrash: session.isRefusing && !isExpected,
    };
}

const applyRenewFailure = Effect.fnUntraced(function*(term: Term, session: WorkerSession, answer: RenewAnswer) {
    const nowMs = yield* readMonotonicMs;
    if (session.isResponsive) {
        session.isResponsive = false;
        term.logger.warn("worker does not answer", {
            worker: session.info.id,
            answer: answer.kind,
            detail: answer.kind === "refused" ? answer.reason : answer.kind === "report" ? "" : answer.detail,
            answerAgeMs: session.answeredAtMs === undefined ? undefined : nowMs - session.answeredAtMs,
        });
        // Not again while it is silent: the renewals that are still in progress would be broken off.
        term.workers.closeConnections(session.info);
    }
    if (answer.kind === "notSent") {
        session.isRefusing = answer.isRefused === true;
    }
    const end = findWorkerEnd(term, session, answer, nowMs);
    if (end !== undefined) {
        yield* expireWorker(term, session, end);
    }
    if (end?.isGone === true) {
        term.sessions.delete(session.info.id);
        return false;
    }
    return true;
});

function chooseWaitMs(term: Term, session: WorkerSession): number {
    const state = findWorkerState(term, session);
    if (state !== undefined && hasTrial(state, session.runStatuses)) {
        return trialIntervalMs;
    }
    const isLearning = state !== undefined && hasUncertainPairs(state, session.runStatuses, term.interference);
    return isLearning ? learningIntervalMs : reportIntervalMs;
}

/** Sends one renewal; the answer carries the time at which it was sent. */
const sendRenewal = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    waitMs: number,
    limitMs: number,
) {
    const sentAtMs = yield* readMonotonicMs;
    session.renewalSentAtMs = sentAtMs;
    // The lease of a worker that does not answer is not extended: orders may arrive while the answers are lost.
    const mayRenew = session.lease !== undefined && session.isResponsive;
    if (session.lease !== undefined && mayRenew) {
        session.lease = renewLease(session.lease, term.limits.longestLeaseMs, sentAtMs);
    }
    const answer = yield* term.workers.renewLease(session.info, {
        leaseUntilMs: mayRenew ? session.lease?.grantedUntilClockMs : undefined,
        fencingToken: term.number,
        acknowledgedSequence: session.acknowledgedSequence,
        waitMs,
    }, limitMs);
    return { answer, sentAtMs } satisfies RenewalAnswer;
});

/**
 * Sends a renewal to a worker that has missed one. It waits no longer for the answer than usual, so that the next renewal
 * finds a worker that is back, but takes the answers to the earlier ones as well.
 */
const renewSilentWorker = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    const renewal = sendRenewal(term, session, 0, term.limits.longestLeaseMs * slowAnswerShare);
    const order = Effect.map(renewal, renewed => {
        const isFailure = renewed.answer.kind === "unknown" || renewed.answer.kind === "notSent";
        const isLatest = renewed.sentAtMs === session.renewalSentAtMs;
        if (!session.isResponsive && (isLatest || !isFailure)) {
            Queue.offerUnsafe(session.lateAnswers, renewed);
        }
    });
    const context = { term: term.number, worker: session.info.id };
    yield* Effect.forkIn(superviseOrder(term, "renewal", context, order), term.scope);
    const answered = yield* Effect.timeoutOption(Queue.take(session.lateAnswers), renewGraceMs);
    return Option.getOrElse(answered, (): RenewalAnswer => ({
        answer: { kind: "unknown", detail: `no answer within ${renewGraceMs} ms` },
        sentAtMs: session.renewalSentAtMs,
    }));
});

/** Renews the lease of a worker once and applies its report; false if the session ends. */
const renewOnce = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    const waitMs = session.isResponsive ? chooseWaitMs(term, session) : 0;
    const { answer, sentAtMs } = session.isResponsive
        ? yield* sendRenewal(term, session, waitMs, waitMs + renewGraceMs)
        : yield* renewSilentWorker(term, session);
    term.load.renewals += 1;
    if (answer.kind === "report") {
        yield* applyRenewAnswer(term, session, answer, sentAtMs);
        yield* Effect.sleep(renewPauseMs);
        return true;
    }
    term.load.failedRenewals += 1;
    const nowMs = yield* readMonotonicMs;
    if (answer.kind === "refused" && answer.reason === "staleToken") {
        term.isFenced = true;
        term.logger.warn("a worker has accepted a later leader; no more orders are sent", {
            worker: session.info.id,
            nowMs,
        });
        return false;
    }
    const isKept = yield* applyRenewFailure(term, session, answer);
    yield* Effect.sleep(retryPauseMs);
    return isKept;
});

/** Renews the lease of one worker until the term ends or the worker is gone. */
export const runSession = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    while (canSendOrders(term, yield* readMonotonicMs)) {
        const isKept = yield* Effect.catch(
            renewOnce(term, session),
            // The log refuses commands while it hands over its leadership, and a worker with an end that is not recorded
            // answers at once.
            (error: ErrorData) =>
                logStepError(term.logger, `worker ${session.info.id}`, error).pipe(
                    Effect.andThen(Effect.sleep(retryPauseMs)),
                    Effect.as(true),
                ),
        );
        if (!isKept) {
            return;
        }
    }
});

/**
 * Continues a session after an exception. The worker counts as silent until its next report is applied, so that its runs
 * end with its lease if none of its reports can be.
 */
export const resumeSession = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    const answer: RenewAnswer = { kind: "unknown", detail: "the last report was not applied" };
    const isKept = yield* Effect.catch(
        applyRenewFailure(term, session, answer),
        (error: ErrorData) => Effect.as(logStepError(term.logger, `worker ${session.info.id}`, error), true),
    );
    if (isKept) {
        yield* runSession(term, session);
    }
});
