import { formatRunKey, formatTaskKey } from "@chestnutspool/job-state";
import { listObsoleteRuns, listStalledRuns, planStarts } from "@chestnutspool/plan-jobs";
import { createRunStatus, isStartTimedOut } from "@chestnutspool/track-workers";
import {
    type ErrorData,
    readMonotonicMs,
    readWallMs,
    type RunStart,
    type TaskKey,
    type WorkerId,
} from "@chestnutspool/types";
import { Effect, Queue } from "effect";
import { logStarts, logWaitingSteps } from "./log-decisions.js";
import { listStartLimits, recordStalledRun } from "./rate-run-ends.js";
import { requestStop, sendStart } from "./send-orders.js";
import { recordPass } from "./term-load.js";
import { canSendOrders, logStepError, propose, type Term } from "./term.js";

/** Longest pause between two passes, in milliseconds, because some decisions depend on time alone. */
const idlePauseMs = 100;
/** Shortest pause between two passes, in milliseconds, so that changes in quick succession share one pass. */
const passPauseMs = 5;
/** Interval at which the reasons why steps wait are checked and logged, in milliseconds. */
const waitCheckIntervalMs = 1_000;

function isUsable(term: Term, worker: WorkerId): boolean {
    const session = term.sessions.get(worker);
    return session !== undefined && session.isResponsive && session.isReconciled && session.lease !== undefined
        && session.leftAtMs === undefined;
}

/** Commits the starts to the log, then sends the orders. No order is sent for a start that is not recorded. */
const carryOutStarts = Effect.fnUntraced(function*(term: Term, starts: readonly RunStart[]) {
    if (starts.length === 0) {
        return;
    }
    const result = yield* propose(term, { kind: "startRuns", starts });
    const refused = new Set(result.kind === "started" ? result.refused : []);
    term.load.starts += starts.length;
    term.load.refusedStarts += refused.size;
    logStarts(term, starts.filter((start, position) => !refused.has(position)));
    const nowMs = yield* readMonotonicMs;
    for (const [position, start] of starts.entries()) {
        const key = formatRunKey(start);
        const session = term.sessions.get(start.worker);
        const run = term.machine.state.workers.get(start.worker)?.runs.get(key);
        if (refused.has(position) || session === undefined || run === undefined) {
            continue;
        }
        const { job, occurrence, step, position: taskPosition, run: number } = start;
        const status = createRunStatus(
            { job, occurrence, step, position: taskPosition, run: number },
            "ordered",
            nowMs,
        );
        session.runStatuses.set(key, status);
        yield* Effect.forkIn(sendStart(term, session, run, status, undefined), term.scope);
    }
});

const stopObsoleteRuns = Effect.fnUntraced(function*(term: Term) {
    const nowMs = yield* readMonotonicMs;
    for (const session of term.sessions.values()) {
        const state = term.machine.state.workers.get(session.info.id);
        for (const key of state === undefined ? [] : listObsoleteRuns(state)) {
            yield* requestStop(term, session, key, "notNeeded", nowMs);
        }
        for (const [key, status] of session.runStatuses) {
            if (isStartTimedOut(status, nowMs)) {
                yield* requestStop(term, session, key, "startUnanswered", nowMs);
            }
        }
    }
});

/** What was logged about waiting steps. */
interface LoggedWaits {
    /** Last logged reason of each step, by its key. */
    readonly reasons: Map<string, string>;
    /** When the reasons were last checked, in monotonic milliseconds. */
    checkedAtMs: number;
}

const runPass = Effect.fnUntraced(function*(term: Term, loggedWaits: LoggedWaits) {
    yield* stopObsoleteRuns(term);
    const nowMs = yield* readMonotonicMs;
    const startLimits = listStartLimits(term, nowMs);
    const input = {
        state: term.machine.state,
        isUsable: (worker: WorkerId) => isUsable(term, worker),
        findFailedWorker: (task: TaskKey) => term.failedWorkerByTask.get(formatTaskKey(task)),
        findStartLimit: (worker: WorkerId) => startLimits.get(worker),
        interference: term.interference,
        findRunStatuses: (worker: WorkerId) => term.sessions.get(worker)?.runStatuses,
    };
    for (const { worker, runKey, reason } of listStalledRuns(input, nowMs)) {
        const session = term.sessions.get(worker);
        const status = session?.runStatuses.get(runKey);
        if (session !== undefined && status !== undefined) {
            if (reason === "standsStill") {
                recordStalledRun(term, session, status.key.job, nowMs);
            }
            yield* requestStop(term, session, runKey, reason, nowMs);
        }
    }
    const wallMs = yield* readWallMs;
    const starts = planStarts(input, wallMs);
    recordPass(term.load, (yield* readMonotonicMs) - nowMs);
    yield* carryOutStarts(term, starts);
    if (nowMs - loggedWaits.checkedAtMs >= waitCheckIntervalMs) {
        loggedWaits.checkedAtMs = nowMs;
        logWaitingSteps(term, input, loggedWaits.reasons, wallMs);
    }
});

/** Runs the planner until the term ends: a pass after each change, and at least one per `idlePauseMs`. */
export const runPlanner = Effect.fnUntraced(function*(term: Term) {
    const loggedWaits: LoggedWaits = { reasons: new Map(), checkedAtMs: 0 };
    while (canSendOrders(term, yield* readMonotonicMs)) {
        yield* Effect.catch(runPass(term, loggedWaits), (error: ErrorData) => logStepError(term.logger, "plan", error));
        yield* Effect.timeoutOption(Queue.take(term.plannerWakeups), idlePauseMs);
        yield* Effect.sleep(passPauseMs);
    }
});
