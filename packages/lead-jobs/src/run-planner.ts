import { formatRunKey, formatTaskKey } from "@chestnutspool/job-state";
import { listObsoleteRuns, listStalledRuns, planStarts } from "@chestnutspool/plan-jobs";
import { createRunView, isStartTimedOut } from "@chestnutspool/track-workers";
import {
    type ErrorData,
    readMonotonicMs,
    readWallMs,
    type RunStart,
    type TaskKey,
    type WorkerId,
} from "@chestnutspool/types";
import { Effect, Queue } from "effect";
import { requestStop, sendStart } from "./give-orders.js";
import { logWaitingSteps } from "./log-decisions.js";
import { listStartLimits, recordStalledRun } from "./rate-ends.js";
import { canGiveOrders, logStepError, propose, type Term } from "./term.js";

/** Longest pause between two passes in milliseconds, for what depends on time alone. */
const idlePassMs = 100;
/** Shortest pause between two passes in milliseconds, so that changes that come close together share one. */
const passPauseMs = 5;
/** Interval at which the reasons of waiting steps are looked at, in milliseconds. */
const noticeIntervalMs = 1_000;

function isUsable(term: Term, worker: WorkerId): boolean {
    const session = term.sessions.get(worker);
    return session !== undefined && session.isResponsive && session.isReconciled && session.lease !== undefined
        && session.leftAtMs === undefined;
}

/** Records the starts, then gives the orders; a start that is not recorded is not ordered. */
const carryOutStarts = Effect.fnUntraced(function*(term: Term, starts: readonly RunStart[]) {
    if (starts.length === 0) {
        return;
    }
    const result = yield* propose(term, { kind: "startRuns", starts });
    const refused = new Set(result.kind === "started" ? result.refused : []);
    const nowMs = yield* readMonotonicMs;
    for (const [position, start] of starts.entries()) {
        const key = formatRunKey(start);
        const session = term.sessions.get(start.worker);
        const run = term.machine.state.workers.get(start.worker)?.runs.get(key);
        if (refused.has(position) || session === undefined || run === undefined) {
            continue;
        }
        const { job, occurrence, step, position: taskPosition, run: number } = start;
        const view = createRunView({ job, occurrence, step, position: taskPosition, run: number }, "ordered", nowMs);
        session.views.set(key, view);
        yield* Effect.forkIn(sendStart(term, session, run, view, undefined), term.scope);
    }
});

const stopUnwanted = Effect.fnUntraced(function*(term: Term) {
    const nowMs = yield* readMonotonicMs;
    for (const session of term.sessions.values()) {
        const state = term.machine.state.workers.get(session.info.id);
        for (const key of state === undefined ? [] : listObsoleteRuns(state)) {
            yield* requestStop(term, session, key, "notNeeded", nowMs);
        }
        for (const [key, view] of session.views) {
            if (isStartTimedOut(view, nowMs)) {
                yield* requestStop(term, session, key, "startUnanswered", nowMs);
            }
        }
    }
});

/** Reasons that were logged for steps that wait. */
interface WaitNotices {
    readonly reasons: Map<string, string>;
    lastAtMs: number;
}

const runPass = Effect.fnUntraced(function*(term: Term, notices: WaitNotices) {
    yield* stopUnwanted(term);
    const nowMs = yield* readMonotonicMs;
    const startLimits = listStartLimits(term, nowMs);
    const input = {
        model: term.machine.state,
        isUsable: (worker: WorkerId) => isUsable(term, worker),
        findFailedWorker: (task: TaskKey) => term.failedOn.get(formatTaskKey(task)),
        findStartLimit: (worker: WorkerId) => startLimits.get(worker),
        interference: term.interference,
        findViews: (worker: WorkerId) => term.sessions.get(worker)?.views,
    };
    for (const { worker, runKey, reason } of listStalledRuns(input, nowMs)) {
        const session = term.sessions.get(worker);
        const view = session?.views.get(runKey);
        if (session !== undefined && view !== undefined) {
            if (reason === "standsStill") {
                recordStalledRun(term, session, view.key.job, nowMs);
            }
            yield* requestStop(term, session, runKey, reason, nowMs);
        }
    }
    const wallMs = yield* readWallMs;
    yield* carryOutStarts(term, planStarts(input, wallMs));
    if (nowMs - notices.lastAtMs >= noticeIntervalMs) {
        notices.lastAtMs = nowMs;
        logWaitingSteps(term, input, notices.reasons, wallMs);
    }
});

/** The fiber of the planner: a pass after each change and at least at an interval. */
export const runPlanner = Effect.fnUntraced(function*(term: Term) {
    const notices: WaitNotices = { reasons: new Map(), lastAtMs: 0 };
    while (canGiveOrders(term, yield* readMonotonicMs)) {
        yield* Effect.catch(runPass(term, notices), (error: ErrorData) => logStepError(term.logger, "plan", error));
        yield* Effect.timeoutOption(Queue.take(term.planWake), idlePassMs);
        yield* Effect.sleep(passPauseMs);
    }
});
