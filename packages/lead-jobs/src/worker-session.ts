import { formatRunKey, type WorkerState } from "@chestnutspool/job-state";
import { createUsageHistory } from "@chestnutspool/learn-interference";
import { hasUnknownPairs, observeMargins, recordUsage } from "@chestnutspool/plan-jobs";
import {
    applyReport,
    computeLeaseEnd,
    createRunView,
    createWorkerHealth,
    recordClock,
    renewLease,
    type ReportOutcome,
} from "@chestnutspool/track-workers";
import { type ErrorData, readMonotonicMs, type RenewAnswer, type RunEnd, type WorkerInfo } from "@chestnutspool/types";
import { Effect } from "effect";
import { sendStop } from "./give-orders.js";
import { logEndedJobs, logRunEnded, readPhases } from "./log-decisions.js";
import { rateRunEnd } from "./rate-ends.js";
import { canGiveOrders, logStepError, propose, type Term, wakePlanner, type WorkerSession } from "./term.js";

/** Time that a worker may hold a renewal while nothing ends, in milliseconds; the age of what is known of its runs. */
const reportIntervalMs = 900;
/** The same while tasks are beside each other whose disturbance is not known yet. */
const learningIntervalMs = 300;
/** Time beyond the hold after which a renewal counts as lost, in milliseconds. */
const renewGraceMs = 600;
/** Pause between two renewals, in milliseconds, so that ends that come close together share one. */
const renewPauseMs = 30;
/** Pause after a renewal that was not answered, in milliseconds. */
const retryPauseMs = 200;
/** Time after a worker's farewell until its runs count as ended, in milliseconds; it ends right after it. */
const farewellMs = 1_000;
/** Silence of a worker, after its lease has ended, until it is forgotten, in milliseconds. */
const forgetAfterMs = 15_000;

/** Creates the session of a worker; runs that an earlier leader recorded are settled by the first report. */
export function createSession(term: Term, info: WorkerInfo, nowMs: number): WorkerSession {
    const session: WorkerSession = {
        info,
        lease: undefined,
        views: new Map(),
        acknowledgedSequence: 0,
        answeredAtMs: undefined,
        isResponsive: false,
        isReconciled: false,
        heardAtMs: nowMs,
        heartbeatSequence: 0,
        leftAtMs: undefined,
        uses: createUsageHistory(),
        health: createWorkerHealth(),
    };
    for (const [key, run] of term.machine.state.workers.get(info.id)?.runs ?? []) {
        const { job, occurrence, step, task } = run;
        const runKey = {
            job: job.id,
            occurrence: occurrence.number,
            step: step.position,
            position: task.position,
            run: run.run,
        };
        session.views.set(key, createRunView(runKey, "excluded", nowMs));
    }
    return session;
}

function findState(term: Term, session: WorkerSession): WorkerState | undefined {
    return term.machine.state.workers.get(session.info.id);
}

/** Records ends before they are acknowledged. */
const recordEnds = Effect.fnUntraced(function*(term: Term, session: WorkerSession, outcome: ReportOutcome) {
    if (outcome.ends.length > 0) {
        const ends = outcome.ends.map(({ job, occurrence, step, position, run, outcome: how, checkpoint }): RunEnd => ({
            job,
            occurrence,
            step,
            position,
            run,
            outcome: how,
            checkpoint,
        }));
        const nowMs = yield* readMonotonicMs;
        ends.forEach(end => rateRunEnd(term, session, end, nowMs));
        const phases = readPhases(term, ends);
        yield* propose(term, { kind: "endRuns", worker: session.info.id, ends });
        for (const end of ends) {
            logRunEnded(term, session, end);
            session.views.delete(formatRunKey(end));
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
        term.logger.info("worker answers", { worker: session.info.id, term: term.number });
    }
    session.isResponsive = true;
    if (findState(term, session) === undefined) {
        // A worker is recorded once it has answered, so that a false announcement leaves no trace.
        yield* propose(term, { kind: "registerWorker", worker: session.info });
    }
    const state = findState(term, session);
    if (state === undefined) {
        return;
    }
    const outcome = applyReport(state, session.views, answer, sentAtMs, nowMs);
    recordUsage(state, session.views, session.uses, nowMs);
    observeMargins(state, session.views, term.interference, session.uses, nowMs);
    yield* recordEnds(term, session, outcome);
    session.isReconciled ||= answer.isComplete;
    for (const stray of outcome.orphanedRuns) {
        yield* Effect.forkIn(sendStop(term, session, stray), term.scope);
    }
    if (!wasUsable) {
        wakePlanner(term);
    }
});

/** Ends all runs of a worker that is gone or whose lease has certainly ended. */
const expireWorker = Effect.fnUntraced(function*(term: Term, session: WorkerSession, isGone: boolean, reason: string) {
    const state = findState(term, session);
    if (state === undefined || (state.runs.size === 0 && !isGone)) {
        return;
    }
    term.logger.warn("runs of a worker have ended with its lease", {
        worker: session.info.id,
        runs: state.runs.size,
        isGone,
        reason,
    });
    const lapsed = [...session.views.values()].map(({ key, checkpoint }): RunEnd => ({
        ...key,
        outcome: "lapsed",
        checkpoint,
    }));
    const checkpoints = lapsed.filter(end => end.checkpoint !== "");
    yield* propose(term, { kind: "expireWorker", worker: session.info.id, isGone, checkpoints });
    lapsed.forEach(end => logRunEnded(term, session, end));
    session.views.clear();
    wakePlanner(term);
});

/** Whether the worker has ended for good: another one answers at its address, it said farewell, or it is silent for long. */
function findEndReason(session: WorkerSession, answer: RenewAnswer, leaseEndMs: number, nowMs: number) {
    if (answer.kind === "refused" && answer.reason === "otherWorker") {
        return "another worker answers at its address";
    }
    if (session.leftAtMs !== undefined && nowMs - session.leftAtMs >= farewellMs) {
        return "it has left";
    }
    const lastSignAtMs = Math.max(session.heardAtMs, session.answeredAtMs ?? 0);
    return nowMs > leaseEndMs && nowMs - lastSignAtMs > forgetAfterMs ? "it is silent" : undefined;
}

const applyFailure = Effect.fnUntraced(function*(term: Term, session: WorkerSession, answer: RenewAnswer) {
    const nowMs = yield* readMonotonicMs;
    if (session.isResponsive) {
        session.isResponsive = false;
        term.logger.warn("worker does not answer", {
            worker: session.info.id,
            answer: answer.kind,
            detail: answer.kind === "refused" ? answer.reason : answer.kind === "report" ? "" : answer.detail,
            answerAgeMs: session.answeredAtMs === undefined ? undefined : nowMs - session.answeredAtMs,
        });
    }
    term.workers.closeConnections(session.info);
    const leaseEndMs = computeLeaseEnd(session.lease, term.openedAtMs, term.limits.longestLeaseMs);
    const endReason = findEndReason(session, answer, leaseEndMs, nowMs);
    if (endReason !== undefined) {
        yield* expireWorker(term, session, true, endReason);
        term.sessions.delete(session.info.id);
        return false;
    }
    if (nowMs > leaseEndMs) {
        yield* expireWorker(term, session, false, "its lease is over");
    }
    return true;
});

function chooseWait(term: Term, session: WorkerSession): number {
    const state = findState(term, session);
    const learns = state !== undefined && hasUnknownPairs(state, session.views, term.interference);
    return learns ? learningIntervalMs : reportIntervalMs;
}

/** Renews the lease of one worker and reads its runs; false when the worker is gone. */
const runOnce = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    const sentAtMs = yield* readMonotonicMs;
    // A worker that does not answer gets no more time: its answers may be lost while the orders arrive.
    const mayRenew = session.lease !== undefined && session.isResponsive;
    if (session.lease !== undefined && mayRenew) {
        session.lease = renewLease(session.lease, term.limits.longestLeaseMs, sentAtMs);
    }
    const waitMs = session.isResponsive ? chooseWait(term, session) : 0;
    const answer = yield* term.workers.renewLease(session.info, {
        leaseUntilMs: mayRenew ? session.lease?.grantedUntilClockMs : undefined,
        fencingToken: term.number,
        acknowledgedSequence: session.acknowledgedSequence,
        waitMs,
    }, waitMs + renewGraceMs);
    if (answer.kind === "report") {
        yield* applyRenewAnswer(term, session, answer, sentAtMs);
        yield* Effect.sleep(renewPauseMs);
        return true;
    }
    const nowMs = yield* readMonotonicMs;
    if (answer.kind === "refused" && answer.reason === "staleToken") {
        term.isFenced = true;
        term.logger.warn("a worker has obeyed a later leader, orders end", { worker: session.info.id, nowMs });
        return false;
    }
    const isKept = yield* applyFailure(term, session, answer);
    yield* Effect.sleep(retryPauseMs);
    return isKept;
});

/** The fiber of one worker: renews its lease as long as this replica leads. */
export const runSession = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    while (canGiveOrders(term, yield* readMonotonicMs)) {
        const isKept = yield* Effect.catch(
            runOnce(term, session),
            (error: ErrorData) => Effect.as(logStepError(term.logger, `worker ${session.info.id}`, error), true),
        );
        if (!isKept) {
            return;
        }
    }
});
