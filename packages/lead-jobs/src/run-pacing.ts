import { formatTaskKey } from "@chestnutspool/job-state";
import { type PaceChange, planPaces, recordUsage } from "@chestnutspool/plan-jobs";
import { readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { recordAnswer } from "./send-orders.js";
import { canSendOrders, type Term, type WorkerSession } from "./term.js";

/** Timeout of an order to change a pace, in milliseconds; the next planning of paces repeats one that is lost. */
const paceTimeoutMs = 500;
/** Pace of a run that is not slowed down, in percent. */
const fullPacePercent = 100;

const sendPace = Effect.fnUntraced(function*(term: Term, session: WorkerSession, change: PaceChange) {
    const status = session.runStatuses.get(change.runKey);
    if (status === undefined) {
        return;
    }
    const before = status.pacePercent;
    const nowMs = yield* readMonotonicMs;
    if (before < fullPacePercent) {
        status.slowedMs += nowMs - status.paceChangedAtMs;
    }
    status.lowestPacePercent = Math.min(status.lowestPacePercent, change.percent);
    status.pacePercent = change.percent;
    status.paceChangedAtMs = nowMs;
    const answer = yield* term.workers.paceRun(session.info, status.key, change.percent, term.number, paceTimeoutMs);
    recordAnswer(term, session, answer, yield* readMonotonicMs);
    if (answer.kind !== "done") {
        status.pacePercent = before;
    }
    // Pace changes are frequent, so that confirmed ones are logged as debug lines; the line "run ended" sums them up.
    const write = answer.kind === "done" ? term.logger.debug : term.logger.info;
    term.load.paces += 1;
    term.metrics.countEvent("paces.ordered", "", session.info.service);
    write("pace of a run changed", {
        job: status.key.job,
        task: formatTaskKey(status.key),
        worker: session.info.id,
        percent: change.percent,
        before,
        answer: answer.kind,
    });
});

/** Interval at which paces are planned, in milliseconds; the load of a serving job changes within seconds. */
const paceIntervalMs = 150;

/**
 * Number of workers whose paces are planned before other work gets the thread, so that a round over 1,300 workers does
 * not delay leases and answers.
 */
const workersPerTurn = 50;

/** Plans and sends the paces of best-effort tasks until the term ends, so that serving tasks meet their targets. */
export const runPacing = Effect.fnUntraced(function*(term: Term) {
    while (canSendOrders(term, yield* readMonotonicMs)) {
        let workersInTurn = 0;
        for (const session of term.sessions.values()) {
            const state = term.machine.state.workers.get(session.info.id);
            if (state === undefined || !session.isResponsive) {
                continue;
            }
            recordUsage(state, session.runStatuses, session.usage, yield* readMonotonicMs);
            for (const change of planPaces(state, session.runStatuses, term.interference)) {
                yield* Effect.forkIn(sendPace(term, session, change), term.scope);
            }
            workersInTurn += 1;
            if (workersInTurn === workersPerTurn) {
                workersInTurn = 0;
                yield* Effect.yieldNow;
            }
        }
        yield* Effect.sleep(paceIntervalMs);
    }
});
