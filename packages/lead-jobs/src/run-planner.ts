import { formatRunKey, formatTaskKey, isJobEnded } from "@chestnutspool/job-state";
import { planCopies } from "@chestnutspool/plan-copies";
import {
    createPlanMemory,
    listObsoleteRuns,
    listStalledRuns,
    type PlanInput,
    type PlanMemory,
    planStarts,
    planUrgentStarts,
    takeStarvationSummary,
    type TrialObstacle,
} from "@chestnutspool/plan-jobs";
import {
    createPreemptionMemory,
    listReservations,
    planPreemptions,
    type PreemptionMemory,
} from "@chestnutspool/plan-preemption";
import { isRationed, readStartRation, recordRationShortage } from "@chestnutspool/ration-leader-time";
import { createRunStatus, isStartTimedOut } from "@chestnutspool/track-workers";
import { type ErrorData, readMonotonicMs, type RunStart, type TaskKey, type WorkerId } from "@chestnutspool/types";
import { Effect, Queue } from "effect";
import { adaptRatings } from "./adapt-ratings.js";
import { addRecordedRuns } from "./add-recorded-runs.js";
import { giveUpDeadlyJobs } from "./give-up-jobs.js";
import { recordCommittedStarts } from "./job-urgency.js";
import { createSpeedReader } from "./learn-speeds.js";
import { logCopies, logCopyOutcomes } from "./log-copies.js";
import { logBlockedTrials, logStarts, logWaitingSteps } from "./log-decisions.js";
import { logGivenTurns } from "./log-shares.js";
import { computeFullPassPauseMs, computePassPauseMs, computeUrgentPassPauseMs } from "./pass-pause.js";
import { computeIdlePauseMs, logEndedWaits } from "./placement-waits.js";
import { carryOutPreemptions } from "./preempt-runs.js";
import { listStartLimits, recordStalledRun } from "./rate-run-ends.js";
import { countStepStarts } from "./refused-steps.js";
import { recordLostStart, requestStop, sendStart } from "./send-orders.js";
import { readTermMs } from "./steady-clock.js";
import { superviseOrder } from "./supervise-loop.js";
import {
    type LoadPart,
    measurePart,
    recordPass,
    recordStalledStop,
    recordStarvation,
    recordUrgentPass,
} from "./term-load.js";
import { canSendOrders, logStepError, propose, type Term, type WorkerSession } from "./term.js";

/** Longest pause between two passes, in milliseconds, because some decisions depend on time alone. */
const idlePauseMs = 100;
/** Pause after a pass that failed, in milliseconds; the log refuses commands while it hands over its leadership. */
const retryPauseMs = 200;
/**
 * Interval at which all runs are scanned for unneeded ones and unanswered starts, in milliseconds. Stalled runs are
 * looked for in each pass, because a replayed load lost 0.03 of its worth when they moved up to 100 ms later.
 */
const scanIntervalMs = 100;
/** Interval at which the reasons why steps wait are checked and logged, in milliseconds. */
const waitCheckIntervalMs = 1_000;
/**
 * Number of starts that are sent before other work gets the thread, so that a burst of 500 does not delay leases and
 * answers.
 */
const startsPerTurn = 50;

function isUsable(term: Term, worker: WorkerId): boolean {
    const session = term.sessions.get(worker);
    return session !== undefined && session.isAnnounced && !session.isSuperseded && session.isResponsive
        && session.isReconciled && session.lease !== undefined && session.leftAtMs === undefined;
}

/** Age of the last answer from which a worker may have crashed, in milliseconds; one that has nothing to tell answers after 0.9 s. */
const quietMs = 500;

function isQuiet(term: Term, worker: WorkerId, nowMs: number): boolean {
    const answeredAtMs = term.sessions.get(worker)?.answeredAtMs;
    return answeredAtMs !== undefined && nowMs - answeredAtMs >= quietMs;
}

/** Creates the statuses of recorded runs at once, so that a report that arrives before an order is sent knows its run. */
function createRunStatuses(term: Term, starts: readonly RunStart[], nowMs: number) {
    return starts.flatMap(start => {
        const session = term.sessions.get(start.worker);
        const run = term.machine.state.workers.get(start.worker)?.runs.get(formatRunKey(start));
        if (session === undefined || run === undefined) {
            return [];
        }
        const { job, occurrence, step, position, run: number } = start;
        const status = createRunStatus({ job, occurrence, step, position, run: number }, "ordered", nowMs);
        session.runStatuses.set(formatRunKey(start), status);
        return [{ session, run, status }];
    });
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
    const recorded = starts.filter((start, position) => !refused.has(position));
    logStarts(term, recorded);
    recordCommittedStarts(term, recorded, yield* readTermMs(term));
    const recordedMs = yield* readMonotonicMs;
    logCopies(term, recorded, recordedMs);
    const ordered = createRunStatuses(term, recorded, recordedMs);
    let startsInTurn = 0;
    for (const { session, run, status } of ordered) {
        // The run or the worker may have gone while other work had the thread.
        const isCurrent = session.runStatuses.get(formatRunKey(status.key)) === status
            && term.sessions.get(session.info.id) === session;
        if (!isCurrent) {
            continue;
        }
        const order = superviseOrder(
            term,
            "start",
            { term: term.number, worker: session.info.id, task: formatTaskKey(status.key) },
            sendStart(term, session, run, status, undefined),
            recordLostStart(status),
        );
        yield* Effect.forkIn(order, term.scope);
        startsInTurn += 1;
        if (startsInTurn === startsPerTurn) {
            startsInTurn = 0;
            yield* Effect.yieldNow;
        }
    }
});

/** Lists the runs on all workers for which `listOfSession` returns the keys. */
function listRuns(term: Term, listOfSession: (session: WorkerSession) => readonly string[]) {
    return [...term.sessions.values()].flatMap(session => listOfSession(session).map(key => ({ session, key })));
}

const stopObsoleteRuns = Effect.fnUntraced(function*(term: Term, planner: PlannerState, nowMs: number) {
    const listed = yield* measureStep(term, planner, "stops", () =>
        listRuns(term, ({ info }) => {
            const state = term.machine.state.workers.get(info.id);
            return state === undefined ? [] : listObsoleteRuns(state);
        }));
    for (const { session, key } of listed) {
        yield* requestStop(term, session, key, "notNeeded", nowMs);
    }
});

const stopUnansweredStarts = Effect.fnUntraced(function*(term: Term, planner: PlannerState, nowMs: number) {
    const listed = yield* measureStep(
        term,
        planner,
        "stops",
        () =>
            listRuns(
                term,
                ({ runStatuses }) =>
                    [...runStatuses].filter(([, status]) => isStartTimedOut(status, nowMs)).map(([key]) => key),
            ),
    );
    for (const { session, key } of listed) {
        yield* requestStop(term, session, key, "startUnanswered", nowMs);
    }
});

const stopStalledRuns = Effect.fnUntraced(function*(
    term: Term,
    planner: PlannerState,
    input: PlanInput,
    nowMs: number,
) {
    for (
        const { worker, runKey, reason } of yield* measureStep(
            term,
            planner,
            "stops",
            () => listStalledRuns(input, nowMs, planner.memory.moves),
        )
    ) {
        const session = term.sessions.get(worker);
        const status = session?.runStatuses.get(runKey);
        if (session !== undefined && status !== undefined) {
            if (reason === "standsStill") {
                recordStalledRun(term, session, status.key.job, nowMs);
            }
            recordStalledStop(term.load, term.machine.state.jobs.get(status.key.job)?.runsInProgress ?? 0);
            yield* requestStop(term, session, runKey, reason, nowMs);
        }
    }
});

function hasEndedOpenJob(term: Term): boolean {
    for (const job of term.machine.state.activeJobs.values()) {
        if (isJobEnded(job)) {
            return true;
        }
    }
    return false;
}

/** Stops runs that are not needed, unanswered or stalled. */
const stopRuns = Effect.fnUntraced(function*(term: Term, planner: PlannerState, input: PlanInput, nowMs: number) {
    const isScanDue = nowMs - planner.scannedAtMs >= scanIntervalMs;
    // The runs of a job that has ended are stopped at once, because others wait for their resources.
    if (isScanDue || hasEndedOpenJob(term)) {
        yield* stopObsoleteRuns(term, planner, nowMs);
    }
    if (isScanDue) {
        planner.scannedAtMs = nowMs;
        yield* stopUnansweredStarts(term, planner, nowMs);
    }
    yield* stopStalledRuns(term, planner, input, nowMs);
});

/** What the planner of a term keeps from one pass to the next. Times are monotonic, in milliseconds. */
interface PlannerState {
    readonly memory: PlanMemory;
    readonly preemption: PreemptionMemory;
    /** Last logged reason why each step waits, by its key. */
    readonly loggedReasons: Map<string, string>;
    /** Last logged rule that keeps each step from its trial, by its key. */
    readonly loggedObstacles: Map<string, TrialObstacle>;
    /** When the reasons were last checked. */
    reasonsCheckedAtMs: number;
    /** When all runs were last scanned for unneeded ones and unanswered starts. */
    scannedAtMs: number;
    /** When the last pass over all tasks ended, and for how long it and the last one over urgent tasks have kept the thread. */
    fullPassEndedAtMs: number;
    fullPassMs: number;
    urgentPassMs: number;
    /** Time for which the current pass has kept the thread until now, in milliseconds. */
    passMs: number;
}

/** Runs a step of a pass without giving up the thread, and adds the time that it took to that of the pass. */
function measureStep<Value>(
    term: Term,
    planner: PlannerState,
    part: LoadPart,
    runStep: () => Value,
): Effect.Effect<Value> {
    return Effect.map(measurePart(term.load, part, runStep), ({ value, tookMs }) => {
        planner.passMs += tookMs;
        return value;
    });
}

function createPlannerState(): PlannerState {
    return {
        memory: createPlanMemory(),
        preemption: createPreemptionMemory(),
        loggedReasons: new Map(),
        loggedObstacles: new Map(),
        reasonsCheckedAtMs: Number.NEGATIVE_INFINITY,
        scannedAtMs: Number.NEGATIVE_INFINITY,
        fullPassEndedAtMs: Number.NEGATIVE_INFINITY,
        fullPassMs: 0,
        urgentPassMs: 0,
        passMs: 0,
    };
}

/** Reads what a pass plans from. */
const readPlanInput = Effect.fnUntraced(function*(term: Term, planner: PlannerState, nowMs: number) {
    const { stopMs } = term.limits;
    const startLimits = yield* measureStep(term, planner, "starts", () => listStartLimits(term, nowMs));
    const input: PlanInput = {
        state: term.machine.state,
        isUsable: (worker: WorkerId) => isUsable(term, worker),
        isQuiet: (worker: WorkerId) => isQuiet(term, worker, nowMs),
        findFailedWorker: (task: TaskKey) => term.failedWorkerByTask.get(formatTaskKey(task)),
        findUnstartedRun: (task: TaskKey) => term.unstartedRunByTask.get(formatTaskKey(task)),
        findStartLimit: (worker: WorkerId) => startLimits.get(worker),
        countStepStarts: term.refusedSteps.size === 0
            ? undefined
            : (stepKey: string) => countStepStarts(term, stepKey, nowMs),
        interference: term.interference,
        findRunStatuses: (worker: WorkerId) => term.sessions.get(worker)?.runStatuses,
        predictSpeed: createSpeedReader(term, nowMs),
        reservations: listReservations(planner.preemption, term.machine.state, stopMs, nowMs),
        placementWaits: term.placementWaits,
        startRation: readStartRation(term.ration, nowMs),
    };
    return input;
});

/** Makes a pass over urgent tasks alone; returns the time in milliseconds for which it planned. */
const runUrgentPass = Effect.fnUntraced(function*(term: Term, planner: PlannerState) {
    const nowMs = yield* readMonotonicMs;
    planner.passMs = 0;
    const input = yield* readPlanInput(term, planner, nowMs);
    const wallMs = yield* readTermMs(term);
    const starts = yield* measureStep(
        term,
        planner,
        "starts",
        () => planUrgentStarts(input, wallMs, planner.memory),
    );
    const tookMs = planner.passMs;
    planner.urgentPassMs = starts.length > 0 ? tookMs : planner.urgentPassMs;
    term.urgentStepsLeft = planner.memory.urgentStepsLeft;
    recordUrgentPass(term.load, tookMs);
    yield* carryOutStarts(term, starts);
    return tookMs;
});

/**
 * Makes one pass over all tasks; returns the time in milliseconds for which it planned. Other fibers that ran in between do not count,
 * so that a busy leader does not plan less often.
 */
const runPass = Effect.fnUntraced(function*(term: Term, planner: PlannerState) {
    const nowMs = yield* readMonotonicMs;
    const { stopMs } = term.limits;
    planner.passMs = 0;
    const input = yield* readPlanInput(term, planner, nowMs);
    yield* stopRuns(term, planner, input, nowMs);
    const wallMs = yield* readTermMs(term);
    const starts = yield* measureStep(term, planner, "starts", () => planStarts(input, wallMs, planner.memory));
    const preemptionPlan = yield* measureStep(
        term,
        planner,
        "preemptions",
        () =>
            term.limits.preemptsRuns === false
                ? { preemptions: [], endedReservations: [] }
                : planPreemptions({ ...input, starts, wallMs, stopMs }, planner.preemption, nowMs),
    );
    logCopyOutcomes(term, nowMs);
    const copies = yield* measureStep(
        term,
        planner,
        "copies",
        () => planCopies({ ...input, starts, wallMs, memory: term.copies }, nowMs),
    );
    const tookMs = planner.passMs;
    term.urgentStepsLeft = planner.memory.urgentStepsLeft;
    if (planner.memory.stepsLeftOut > 0) {
        recordRationShortage(term.ration, nowMs);
    }
    planner.memory.ratingsPerPass = adaptRatings(planner.memory.ratingsPerPass, tookMs, planner.memory.hasStepsLeft);
    recordPass(term.load, tookMs);
    recordStarvation(term.load, takeStarvationSummary(planner.memory.starvation));
    logEndedWaits(term);
    yield* carryOutStarts(term, [...starts, ...copies]);
    // A leader that could not commit its starts has failed before this and stops nothing.
    yield* carryOutPreemptions(term, preemptionPlan, nowMs);
    if (nowMs - planner.reasonsCheckedAtMs >= waitCheckIntervalMs) {
        planner.reasonsCheckedAtMs = nowMs;
        // Those that this or an earlier leader could not give up at once.
        yield* giveUpDeadlyJobs(term);
        logGivenTurns(term, planner.memory.contention);
        logWaitingSteps(term, input, planner.memory, planner.loggedReasons, wallMs);
        logBlockedTrials(term, planner.memory, planner.loggedObstacles, wallMs);
    }
    planner.fullPassMs = tookMs;
    planner.fullPassEndedAtMs = yield* readMonotonicMs;
    return tookMs;
});

/**
 * Whether passes over urgent tasks alone are made between those over all tasks: the processor time of the leader is rationed, and no task
 * waits for a rack, which is decided for all tasks together.
 */
function hasUrgentPasses({ ration, placementWaits }: Term): boolean {
    return isRationed(ration) && (placementWaits?.memory.waits.size ?? 0) === 0;
}

/** Whether the next pass is over urgent tasks alone, because one over all tasks is not due yet. */
function isPassUrgent(term: Term, planner: PlannerState, nowMs: number): boolean {
    return hasUrgentPasses(term) && nowMs - planner.fullPassEndedAtMs < computeFullPassPauseMs(planner.fullPassMs);
}

/**
 * Runs the planner until the term ends: a pass after each change, and at least one per `idlePauseMs`. A pass that left
 * out waiting steps is followed by another one without a change.
 */
export const runPlanner = Effect.fnUntraced(function*(term: Term) {
    const planner = createPlannerState();
    // An exception after a commit leaves recorded runs whose orders were not sent: starts without an answer.
    const startedMs = yield* readMonotonicMs;
    term.sessions.forEach(session => addRecordedRuns(term, session, "unanswered", startedMs));
    while (canSendOrders(term, yield* readMonotonicMs)) {
        const isUrgent = isPassUrgent(term, planner, yield* readMonotonicMs);
        const tookMs = yield* Effect.catch(
            isUrgent ? runUrgentPass(term, planner) : runPass(term, planner),
            (error: ErrorData) => Effect.as(logStepError(term.logger, "plan", error), undefined),
        );
        if (tookMs === undefined) {
            yield* Effect.sleep(retryPauseMs);
            continue;
        }
        const endedMs = yield* readMonotonicMs;
        if (isUrgent || !planner.memory.hasStepsLeft) {
            const pauseMs = computeIdlePauseMs(term, idlePauseMs, yield* readTermMs(term));
            yield* Effect.timeoutOption(Queue.take(term.plannerWakeups), pauseMs);
        }
        // Urgent tasks do not wait for as long as a pass over all tasks would ask for.
        const sinceEndMs = (yield* readMonotonicMs) - endedMs;
        const nextPauseMs = hasUrgentPasses(term)
            ? computeUrgentPassPauseMs(planner.urgentPassMs, sinceEndMs)
            : computePassPauseMs(tookMs, sinceEndMs);
        yield* Effect.sleep(nextPauseMs);
    }
});
