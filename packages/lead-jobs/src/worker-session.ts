import { canCompleteLate, formatRunKey, formatTaskKey, type WorkerState } from "@chestnutspool/job-state";
import { createUsageHistory } from "@chestnutspool/learn-interference";
import { observeRunEnd } from "@chestnutspool/plan-copies";
import { findUrgency, hasUncertainPairs, observeMargins, recordUsage } from "@chestnutspool/plan-jobs";
import { isRationed } from "@chestnutspool/ration-leader-time";
import {
    applyReport,
    createStartRejections,
    createWorkerHealth,
    hasTrial,
    recordClock,
    type ReportOutcome,
} from "@chestnutspool/track-workers";
import {
    compareStarts,
    type ErrorData,
    readMonotonicMs,
    type RenewAnswer,
    type RunEnd,
    type RunKey,
    type WorkerInfo,
} from "@chestnutspool/types";
import { Effect, Queue } from "effect";
import { addRecordedRuns } from "./add-recorded-runs.js";
import { expireWorker, findWorkerEnd, findWorkerState, isStartRecorded, leaveGraceMs } from "./expire-worker.js";
import { findEndUrgency, findJobUrgency } from "./job-urgency.js";
import { createSpeedReader, hasComparableRuns, observeReportedRuns } from "./learn-speeds.js";
import { checkListedEnds, hasStoppedRun, provingIntervalMs } from "./listed-ends.js";
import { logEndedJobs, logLateSuccesses, logRunEnded, readPhases } from "./log-decisions.js";
import { rateRunEnd } from "./rate-run-ends.js";
import { rationedPatienceMs } from "./ration-term.js";
import { observeBegunJobs } from "./record-begun-jobs.js";
import { sendStop } from "./send-orders.js";
import { checkRestart, renewGraceMs, renewSilentWorker, sendRenewal } from "./send-renewals.js";
import { readTermMs } from "./steady-clock.js";
import { superviseOrder } from "./supervise-loop.js";
import { measurePart, recordStage } from "./term-load.js";
import {
    canSendOrders,
    fenceTerm,
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
/**
 * The same while the processor time of the leader is rationed, in milliseconds; with the time after which a renewal counts as lost it is a
 * third of the shortest lease that users set.
 */
const rationedIntervalMs = 1_300;
/**
 * Longest such delay while the worker runs tasks whose interference is not known yet, or while it seems slow, in milliseconds.
 */
const learningIntervalMs = 300;
/** Speed below which a worker counts as doubtful, so that its recovery is seen soon. Reports of all workers are not worth their price. */
const doubtfulSpeed = 0.9;
/** Longest such delay while a run is on trial, so that others may soon start on the worker, in milliseconds. */
const trialIntervalMs = 200;
/** Answers of a silent worker that are kept until they are applied; more renewals than this are never in progress. */
const lateAnswerLimit = 8;
/** Time after the opening of a session in which answers of an earlier start of the worker arrive, in milliseconds. */
const delayedAnswerMs = 3_000;
/** Pause between two renewals, in milliseconds, so that ends of runs in quick succession share one report. */
const renewPauseMs = 30;
/**
 * The same while the processor time of the leader is rationed and the worker runs no urgent task that ends by itself, in milliseconds; most
 * of the time that a report takes does not depend on the number of ends in it.
 */
const rationedPauseMs = 250;
/** Pause after a renewal that was not answered or whose answer could not be applied, in milliseconds. */
const retryPauseMs = 200;

/** What calls of earlier leaders, or to earlier starts of a worker, may do to it; the fields are those of its session. */
export type ForeignCalls = Pick<
    WorkerSession,
    "foreignOrdersUntilMs" | "foreignAcknowledgementsUntilMs" | "mayOmitEnds"
>;

/** Creates the session of a worker. The first report shows which runs that an earlier leader recorded have started. */
export const createSession = Effect.fnUntraced(function*(
    term: Term,
    info: WorkerInfo,
    { foreignOrdersUntilMs, foreignAcknowledgementsUntilMs, mayOmitEnds }: ForeignCalls,
    nowMs: number,
) {
    const recorded = term.machine.state.workers.get(info.id);
    const same = recorded !== undefined && compareStarts(info, recorded.info) === "same" ? recorded : undefined;
    const session: WorkerSession = {
        info,
        openedAtMs: nowMs,
        isAnnounced: true,
        isSuperseded: false,
        fencingToken: term.number + term.machine.state.workerRestarts,
        lease: undefined,
        leaseOrderSentAtMs: Number.NEGATIVE_INFINITY,
        foreignOrdersUntilMs,
        fencedAtMs: undefined,
        runStatuses: new Map(),
        acknowledgedSequence: 0,
        confirmedSequence: 0,
        unansweredAcknowledgement: undefined,
        foreignAcknowledgementsUntilMs,
        mayOmitEnds: mayOmitEnds || same?.mayOmitEnds === true,
        answeredAtMs: undefined,
        isResponsive: false,
        isReconciled: false,
        silentSinceMs: undefined,
        isRefusing: false,
        lateAnswers: yield* Queue.sliding<RenewalAnswer>(lateAnswerLimit),
        restartSigns: yield* Queue.sliding<void>(1),
        renewalWakeups: yield* Queue.sliding<void>(1),
        renewalSentAtMs: Number.NEGATIVE_INFINITY,
        heartbeatAtMs: nowMs,
        // A delayed heartbeat from before the last change must not undo it.
        heartbeatSequence: same?.sequence ?? 0,
        leftAtMs: undefined,
        usage: createUsageHistory(),
        health: createWorkerHealth(),
        startRejections: createStartRejections(),
    };
    addRecordedRuns(term, session, "excluded", nowMs);
    return session;
});

/** Records the ends of runs in a report, then allows them to be acknowledged. */
const recordEnds = Effect.fnUntraced(function*(term: Term, session: WorkerSession, outcome: ReportOutcome) {
    const lateSuccesses = outcome.lateSuccesses.filter(key => canCompleteLate(term.machine.state, key))
        .map(({ job, occurrence, step, position, run }): RunKey => ({ job, occurrence, step, position, run }));
    if (outcome.ends.length > 0 || lateSuccesses.length > 0) {
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
        const wallMs = yield* readTermMs(term);
        for (const end of ends) {
            rateRunEnd(term, session, end, nowMs);
            const run = findWorkerState(term, session)?.runs.get(formatRunKey(end));
            const status = session.runStatuses.get(formatRunKey(end));
            observeRunEnd(term.copies, session.info, run, status, end, nowMs, wallMs);
        }
        const phases = readPhases(term, [...ends, ...lateSuccesses]);
        const urgencies = ends.map(({ job }) => findJobUrgency(term, job));
        yield* propose(term, {
            kind: "endRuns",
            worker: session.info.id,
            ends,
            ...(lateSuccesses.length === 0 ? {} : { lateSuccesses }),
        });
        const committedMs = yield* readMonotonicMs;
        urgencies.forEach(urgency => recordStage(term.load, urgency, "reportCommit", committedMs - nowMs));
        for (const end of ends) {
            logRunEnded(term, session, end);
            session.runStatuses.delete(formatRunKey(end));
        }
        logLateSuccesses(term, session, lateSuccesses);
        logEndedJobs(term, phases);
        wakePlanner(term, findEndUrgency(term, [...ends, ...lateSuccesses]));
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
    if (session.info.bornAtMs === undefined && answer.bornAtMs !== undefined) {
        session.info = { ...session.info, bornAtMs: answer.bornAtMs };
    }
    session.lease = recordClock(session.lease, answer.clockMs, nowMs);
    session.answeredAtMs = nowMs;
    session.fencedAtMs ??= nowMs;
    if (!session.isResponsive) {
        term.logger.info("worker answers", {
            worker: session.info.id,
            bornAtMs: answer.bornAtMs,
            acknowledgedSequence: session.acknowledgedSequence,
            lastSequence: answer.ended.at(-1)?.sequence,
            fencingToken: session.fencingToken,
            term: term.number,
        });
    }
    if (session.leftAtMs !== undefined && sentAtMs - session.leftAtMs > leaveGraceMs) {
        session.leftAtMs = undefined;
        term.logger.info("worker has not left", { worker: session.info.id });
    }
    session.isResponsive = true;
    session.silentSinceMs = undefined;
    session.isRefusing = false;
    yield* Queue.clear(session.lateAnswers);
    if (session.isAnnounced && !isStartRecorded(term, session)) {
        // A worker is recorded only once it has answered, so that a false announcement is never recorded.
        yield* registerWorker(term, session);
    }
    const state = findWorkerState(term, session);
    if (state === undefined) {
        return;
    }
    const { value: outcome } = yield* measurePart(term.load, "reports", () => {
        const applied = applyReport(state, session.runStatuses, answer, sentAtMs, nowMs);
        recordUsage(state, session.runStatuses, session.usage, nowMs);
        observeBegunJobs(term, state, session.runStatuses);
        observeMargins(state, session.runStatuses, term.interference, session.usage, nowMs);
        observeReportedRuns(term, session, state, nowMs);
        return applied;
    });
    if (outcome.unlistedRuns.length > 0) {
        term.logger.warn("runs are not listed any more", {
            worker: session.info.id,
            bornAtMs: session.info.bornAtMs,
            tasks: outcome.unlistedRuns.map(formatTaskKey).join(" "),
            acknowledgedSequence: session.acknowledgedSequence,
            confirmedSequence: session.confirmedSequence,
            sessionAgeMs: Math.round(nowMs - session.openedAtMs),
        });
    }
    yield* recordEnds(term, session, outcome);
    yield* checkListedEnds(term, session, outcome, nowMs);
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

const applyRenewFailure = Effect.fnUntraced(function*(term: Term, session: WorkerSession, answer: RenewAnswer) {
    const nowMs = yield* readMonotonicMs;
    if (session.isResponsive) {
        session.isResponsive = false;
        session.silentSinceMs = nowMs;
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

/** Whether a worker seems slow and runs tasks whose progress shows its speed. */
function isSpeedDoubtful(term: Term, state: WorkerState | undefined, nowMs: number): boolean {
    return state !== undefined && hasComparableRuns(state)
        && (createSpeedReader(term, nowMs)?.(state.info.id) ?? 1) < doubtfulSpeed;
}

function chooseWaitMs(term: Term, session: WorkerSession, nowMs: number): number {
    const state = findWorkerState(term, session);
    if (session.mayOmitEnds && hasStoppedRun(session)) {
        return provingIntervalMs;
    }
    if (state !== undefined && hasTrial(state, session.runStatuses)) {
        return trialIntervalMs;
    }
    if (isRationed(term.ration)) {
        return rationedIntervalMs;
    }
    const isLearning = state !== undefined && hasUncertainPairs(state, session.runStatuses, term.interference);
    return isLearning || isSpeedDoubtful(term, state, nowMs) ? learningIntervalMs : reportIntervalMs;
}

/** Whether a worker runs an urgent task that ends by itself, so that its end should be known at once. */
function hasUrgentRun(term: Term, session: WorkerSession): boolean {
    for (const { job, step } of findWorkerState(term, session)?.runs.values() ?? []) {
        if (!step.spec.longRunning && findUrgency(term.machine.state.configuration, job.queue) === "urgent") {
            return true;
        }
    }
    return false;
}

/** Whether the calls of a session are not urgent and the processor time of the leader is rationed. */
function mayDefer(term: Term, session: WorkerSession): boolean {
    return isRationed(term.ration) && !hasUrgentRun(term, session);
}

/** Waits before the next renewal of a worker that has answered one. */
const awaitNextRenewal = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    if (!mayDefer(term, session)) {
        yield* Effect.sleep(renewPauseMs);
        return;
    }
    yield* Queue.clear(session.renewalWakeups);
    yield* Effect.timeoutOption(Queue.take(session.renewalWakeups), rationedPauseMs);
});

/**
 * Renews the lease of a worker once and applies its report. Tells whether the session is kept or has ended, or that the worker has
 * started again.
 */
const renewOnce = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    const waitMs = session.isResponsive ? chooseWaitMs(term, session, yield* readMonotonicMs) : 0;
    const { answer, sentAtMs, acknowledgedSequence } = session.isResponsive
        ? yield* Effect.raceFirst(
            sendRenewal(
                term,
                session,
                waitMs,
                waitMs + renewGraceMs,
                mayDefer(term, session) ? rationedPatienceMs : 0,
            ),
            checkRestart(term, session),
        )
        : yield* renewSilentWorker(term, session);
    term.load.renewals += 1;
    if (answer.kind === "report") {
        const comparison = compareStarts(answer, session.info);
        // An answer of an earlier start may be delayed until after the restart, but not for long: then the wall clock of the
        // worker was set back before it started again.
        if (comparison === "later" || (comparison === "earlier" && sentAtMs - session.openedAtMs > delayedAnswerMs)) {
            return { kind: "startedAgain", bornAtMs: answer.bornAtMs } as const;
        }
        if (comparison === "earlier") {
            yield* Effect.sleep(retryPauseMs);
            return { kind: "kept" } as const;
        }
        session.confirmedSequence = Math.max(session.confirmedSequence, acknowledgedSequence);
        yield* applyRenewAnswer(term, session, answer, sentAtMs);
        yield* awaitNextRenewal(term, session);
        return { kind: "kept" } as const;
    }
    term.load.failedRenewals += 1;
    const nowMs = yield* readMonotonicMs;
    if (answer.kind === "refused" && answer.reason === "staleToken") {
        fenceTerm(term, session, nowMs);
        return { kind: "ended" } as const;
    }
    const isKept = yield* applyRenewFailure(term, session, answer);
    yield* Effect.sleep(retryPauseMs);
    return { kind: isKept ? "kept" : "ended" } as const;
});

/**
 * Renews the lease of one worker until the term ends or the worker is gone. If the worker has started again, returns what is known
 * of it: the earlier start and the time of the later one.
 */
export const runSession = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    while (canSendOrders(term, yield* readMonotonicMs)) {
        if (session.isSuperseded) {
            // Until the next session interrupts this one, or the restart could not be recorded.
            yield* Effect.sleep(retryPauseMs);
            continue;
        }
        const outcome = yield* Effect.catch(
            renewOnce(term, session),
            // The log refuses commands while it hands over its leadership, and a worker with an end that is not recorded
            // answers at once.
            (error: ErrorData) =>
                logStepError(term.logger, `worker ${session.info.id}`, error).pipe(
                    Effect.andThen(Effect.sleep(retryPauseMs)),
                    Effect.as({ kind: "kept" } as const),
                ),
        );
        switch (outcome.kind) {
            case "kept":
                break;
            case "ended":
                return undefined;
            case "startedAgain":
                return { ...session.info, bornAtMs: outcome.bornAtMs } satisfies WorkerInfo;
        }
    }
    return undefined;
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
    return isKept ? yield* runSession(term, session) : undefined;
});
