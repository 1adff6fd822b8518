import { formatTaskKey } from "@chestnutspool/job-state";
import { type PaceChange, type PaceDetail, planPaces, recordUsage } from "@chestnutspool/plan-jobs";
import { countAffordableRaises, isRationed, recordRaises } from "@chestnutspool/ration-leader-time";
import type { RunStatus } from "@chestnutspool/track-workers";
import { readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { orderPace, type SendPaceOrder } from "./order-pace.js";
import { choosePaceDetail, paceIntervalMs } from "./pace-detail.js";
import { choosePatienceMs } from "./ration-term.js";
import { recordAnswer } from "./send-orders.js";
import { superviseOrder } from "./supervise-loop.js";
import { measurePart } from "./term-load.js";
import { canSendOrders, type Term, type WorkerSession } from "./term.js";

/** Timeout of an order to change a pace, in milliseconds; the next planning of paces repeats one that is lost. */
const paceTimeoutMs = 500;

const sendPace = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    status: RunStatus,
    percent: number,
    before: number,
) {
    const sentAtMs = yield* readMonotonicMs;
    const answer = yield* term.workers.paceRun(
        session.info,
        status.key,
        percent,
        session.fencingToken,
        paceTimeoutMs,
        choosePatienceMs(term, "deferrable"),
    );
    recordAnswer(term, session, answer, sentAtMs, yield* readMonotonicMs);
    // Pace changes are frequent, so that confirmed ones are logged as debug lines; the line "run ended" sums them up.
    const write = answer.kind === "done" ? term.logger.debug : term.logger.info;
    term.load.paces += 1;
    term.metrics.countEvent("paces.ordered", "", session.info.service);
    write("pace of a run changed", {
        job: status.key.job,
        task: formatTaskKey(status.key),
        worker: session.info.id,
        percent,
        before,
        answer: answer.kind,
    });
    return answer;
});

const changePace = Effect.fnUntraced(function*(term: Term, session: WorkerSession, { runKey, percent }: PaceChange) {
    const status = session.runStatuses.get(runKey);
    if (status === undefined) {
        return;
    }
    const mayContinue = (): boolean => !term.isFenced && session.runStatuses.get(runKey) === status;
    const sendOrder: SendPaceOrder = (sent, before) => sendPace(term, session, status, sent, before);
    yield* orderPace(status, percent, sendOrder, mayContinue);
});

/**
 * Number of workers whose paces are planned before other work gets the thread, so that a round over 1,300 workers does
 * not delay leases and answers.
 */
const workersPerTurn = 50;

/**
 * Number of paces that are ordered again in a round because the worker may have another one, so that a new leader, which knows the pace of
 * no run, does not send thousands of orders at once.
 */
const repeatsPerRound = 20;

/** A raised pace that waits for the end of a round. */
interface PendingRaise {
    readonly session: WorkerSession;
    readonly change: PaceChange;
    readonly before: number;
}

function isRepeat({ runStatuses }: WorkerSession, { runKey, percent }: PaceChange): boolean {
    return runStatuses.get(runKey)?.pacePercent === percent;
}

/** Chooses how finely paces are planned from now on. */
function updateDetail({ admission, logger, ration }: Term, before: PaceDetail): PaceDetail {
    const { delayMs } = admission.busyness;
    const detail = isRationed(ration) ? "coarse" : choosePaceDetail(before, delayMs);
    if (detail !== before) {
        logger.info("paces are planned differently", { detail, before, delayMs: Math.round(delayMs) });
    }
    return detail;
}

const startPaceOrder = (term: Term, session: WorkerSession, change: PaceChange) =>
    Effect.forkIn(
        superviseOrder(
            term,
            "pace",
            { term: term.number, worker: session.info.id },
            changePace(term, session, change),
        ),
        term.scope,
    );

/**
 * Sends the raised paces of a round that the ration allows, those of the slowest runs first. The others are planned again in the next round;
 * paces that are lowered for serving tasks do not wait.
 */
const sendRaises = Effect.fnUntraced(function*(term: Term, raises: readonly PendingRaise[]) {
    const affordable = countAffordableRaises(term.ration, yield* readMonotonicMs);
    const chosen = [...raises].sort((left, right) => left.before - right.before).slice(0, affordable);
    recordRaises(term.ration, chosen.length);
    term.load.heldRaises += raises.length - chosen.length;
    for (const { session, change } of chosen) {
        yield* startPaceOrder(term, session, change);
    }
});

/** Plans and sends the paces of best-effort tasks until the term ends, so that serving tasks meet their targets. */
export const runPacing = Effect.fnUntraced(function*(term: Term) {
    let detail: PaceDetail = "fine";
    while (canSendOrders(term, yield* readMonotonicMs)) {
        detail = updateDetail(term, detail);
        let workersInTurn = 0;
        let repeatsLeft = repeatsPerRound;
        const raises: PendingRaise[] = [];
        for (const session of term.sessions.values()) {
            const state = term.machine.state.workers.get(session.info.id);
            if (state === undefined || !session.isResponsive) {
                continue;
            }
            const nowMs = yield* readMonotonicMs;
            const { value: changes } = yield* measurePart(term.load, "paces", () => {
                recordUsage(state, session.runStatuses, session.usage, nowMs);
                return planPaces(state, session.runStatuses, term.interference, detail);
            });
            for (const change of changes) {
                if (isRepeat(session, change)) {
                    if (repeatsLeft === 0) {
                        continue;
                    }
                    repeatsLeft -= 1;
                }
                const before = session.runStatuses.get(change.runKey)?.pacePercent ?? change.percent;
                if (change.percent > before && isRationed(term.ration)) {
                    raises.push({ session, change, before });
                    continue;
                }
                yield* startPaceOrder(term, session, change);
            }
            workersInTurn += 1;
            if (workersInTurn === workersPerTurn) {
                workersInTurn = 0;
                yield* Effect.yieldNow;
            }
        }
        yield* sendRaises(term, raises);
        yield* Effect.sleep(paceIntervalMs[detail]);
    }
});
