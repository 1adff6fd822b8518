import { renewLease } from "@chestnutspool/track-workers";
import { compareStarts, readMonotonicMs, type RenewAnswer } from "@chestnutspool/types";
import { Effect, Option, Queue } from "effect";
import { superviseOrder } from "./supervise-loop.js";
import type { RenewalAnswer, Term, WorkerSession } from "./term.js";

/** Time beyond this delay after which a renewal counts as lost, in milliseconds. */
export const renewGraceMs = 600;
/**
 * Share of a lease for which the answer of a worker that has missed a renewal is awaited, while further renewals are sent.
 * The work of a worker that only answers slowly must not end with its lease.
 */
const slowAnswerShare = 0.5;

/**
 * Finds the sequence number that the next renewal acknowledges; 0 for none. The worker may have started again, and would forget
 * its first ends, so that nothing is acknowledged to one that has missed a renewal, and nothing twice.
 */
function findSequenceToAcknowledge(
    { isResponsive, acknowledgedSequence, confirmedSequence }: WorkerSession,
): number {
    return isResponsive && acknowledgedSequence > confirmedSequence ? acknowledgedSequence : 0;
}

/** Whether an answer shows that a renewal has arrived at the start that a session is for, or will never arrive. */
function isAnsweredBy({ info }: WorkerSession, answer: RenewAnswer): boolean {
    switch (answer.kind) {
        case "report":
            return compareStarts(answer, info) === "same";
        case "refused":
        case "notSent":
            return true;
        case "unknown":
            return false;
    }
}

/** Sends one renewal; the answer carries the time at which it was sent and what it acknowledged. */
export const sendRenewal = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    waitMs: number,
    limitMs: number,
    patienceMs: number,
) {
    const sentAtMs = yield* readMonotonicMs;
    session.renewalSentAtMs = sentAtMs;
    // The lease of a worker that does not answer is not extended: orders may arrive while the answers are lost.
    const mayRenew = session.lease !== undefined && session.isResponsive;
    if (session.lease !== undefined && mayRenew) {
        session.lease = renewLease(session.lease, term.limits.longestLeaseMs, sentAtMs);
        session.leaseOrderSentAtMs = sentAtMs;
    }
    const acknowledgedSequence = findSequenceToAcknowledge(session);
    const unansweredBefore = session.unansweredAcknowledgement;
    if (acknowledgedSequence > 0) {
        session.unansweredAcknowledgement = { sequence: acknowledgedSequence, sentAtMs };
    }
    const answer = yield* term.workers.renewLease(
        session.info,
        {
            leaseUntilMs: mayRenew ? session.lease?.grantedUntilClockMs : undefined,
            fencingToken: session.fencingToken,
            acknowledgedSequence,
            waitMs,
        },
        limitMs,
        patienceMs,
    );
    if (acknowledgedSequence > 0 && isAnsweredBy(session, answer)) {
        session.unansweredAcknowledgement = unansweredBefore;
    }
    return { answer, sentAtMs, acknowledgedSequence } satisfies RenewalAnswer;
});

/** Sends a renewal that changes nothing as soon as another start of the worker seems to have answered an order. */
export const checkRestart = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    yield* Queue.take(session.restartSigns);
    const sentAtMs = yield* readMonotonicMs;
    term.logger.info("another start of a worker seems to answer", {
        worker: session.info.id,
        bornAtMs: session.info.bornAtMs,
    });
    const answer = yield* term.workers.renewLease(session.info, {
        leaseUntilMs: undefined,
        fencingToken: session.fencingToken,
        acknowledgedSequence: 0,
        waitMs: 0,
    }, renewGraceMs);
    return { answer, sentAtMs, acknowledgedSequence: 0 } satisfies RenewalAnswer;
});

/**
 * Sends a renewal to a worker that has missed one. It waits no longer for the answer than usual, so that the next renewal
 * finds a worker that is back, but takes the answers to the earlier ones as well.
 */
export const renewSilentWorker = Effect.fnUntraced(function*(term: Term, session: WorkerSession) {
    const renewal = sendRenewal(term, session, 0, term.limits.longestLeaseMs * slowAnswerShare, 0);
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
        acknowledgedSequence: 0,
    }));
});
