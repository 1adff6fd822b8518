import { describeError } from "@chestnutspool/errors";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import { createCopyMemory } from "@chestnutspool/plan-copies";
import { createLeaderRation } from "@chestnutspool/ration-leader-time";
import {
    type ErrorData,
    type JobReply,
    type JobRequest,
    readMonotonicMs,
    readWallMs,
    type WorkerId,
} from "@chestnutspool/types";
import { Effect, FiberMap, Queue } from "effect";
import { createAdmission } from "./admission.js";
import { handleInTerm } from "./handle-request.js";
import { createSpeedLearning, runSpeedRecording } from "./learn-speeds.js";
import { openSession } from "./open-session.js";
import { createPlacementWaits } from "./placement-waits.js";
import { runBegunJobRecording } from "./record-begun-jobs.js";
import { runDisturbanceRecording } from "./record-disturbances.js";
import { runLoadReport } from "./report-load.js";
import { runPacing } from "./run-pacing.js";
import { runPlanner } from "./run-planner.js";
import { createSteadyClock } from "./steady-clock.js";
import { runStepDown } from "./step-down.js";
import { superviseLoop } from "./supervise-loop.js";
import { createTermLoad } from "./term-load.js";
import { canSendOrders, isLeaderOfTerm, type LeaderDependencies, type Term } from "./term.js";

/** Pause before a failed opening of a term is retried, and between the checks of a waiting request, in milliseconds. */
const openPauseMs = 20;
/** Time that a request waits for the term of this leader to open, in milliseconds; opening takes about one commit. */
const openWaitMs = 300;

/** Request handler of a control process as leader of the log of jobs. */
export interface Leadership {
    /** Answers a request if this replica leads; replies `notLeader` otherwise. */
    readonly handleRequest: (request: JobRequest) => Effect.Effect<JobReply>;
}

/** Workers whose sessions a new leader opens at once. */
const sessionsPerGroup = 16;
/**
 * Pause between two such groups, in milliseconds. The first report of a worker lists all of its runs; handling those of
 * all workers in one turn of the event loop would delay the heartbeats of the log until another leader is elected.
 */
const sessionGroupPauseMs = 10;

/** Opens the sessions of the recorded workers in groups; a heartbeat may have opened one before. */
const openSessions = Effect.fnUntraced(function*(term: Term) {
    const { workers } = term.machine.state;
    let opened = 0;
    for (const { info } of [...workers.values()]) {
        if (!workers.has(info.id) || term.sessions.has(info.id)) {
            continue;
        }
        yield* openSession(term, info);
        opened += 1;
        if (opened % sessionsPerGroup === 0) {
            yield* Effect.sleep(sessionGroupPauseMs);
        }
    }
    term.logger.info("sessions opened", { term: term.number, workers: opened });
});

/** Opens a term: waits until the state includes all earlier commits. */
const openTerm = Effect.fnUntraced(function*(dependencies: LeaderDependencies, number: number) {
    yield* dependencies.log.confirmRead;
    const scope = yield* Effect.scope;
    const openedAtMs = yield* readMonotonicMs;
    const wallMs = yield* readWallMs;
    const term: Term = {
        ...dependencies,
        number,
        openedAtMs,
        clock: createSteadyClock(openedAtMs, wallMs),
        scope,
        sessions: new Map(),
        sessionLoops: yield* FiberMap.make<WorkerId>(),
        failedWorkerByTask: new Map(),
        unstartedRunByTask: new Map(),
        runTimesByStep: new Map(),
        copies: createCopyMemory(),
        givenUpJobs: new Set(),
        begunJobs: new Set(),
        openOrders: new Map(),
        refusedSteps: new Map(),
        plannerWakeups: yield* Queue.sliding<void>(1),
        interference: createInterferenceModel(),
        speeds: createSpeedLearning(dependencies, wallMs, openedAtMs),
        placementWaits: createPlacementWaits(dependencies.limits),
        load: createTermLoad(),
        admission: createAdmission(),
        ration: createLeaderRation(),
        urgentStepsLeft: 0,
        isFenced: false,
    };
    term.interference.addPairs([...dependencies.machine.state.disturbances.values()]);
    const contactMs = dependencies.log.readLeaderContactMs();
    const withoutTermMs = contactMs === undefined ? undefined : openedAtMs - contactMs;
    if (withoutTermMs !== undefined) {
        dependencies.metrics.recordDuration("withoutTermMs", "", "", withoutTermMs);
    }
    dependencies.logger.info("term opened", {
        term: number,
        withoutTermMs,
        jobs: dependencies.machine.state.openJobs.size,
        workers: dependencies.machine.state.workers.size,
        configuration: dependencies.machine.state.configuration?.version ?? 0,
    });
    return term;
});

/** Watches the status of the log and runs a term whenever this replica leads. */
export const startLeadership = Effect.fnUntraced(function*(dependencies: LeaderDependencies) {
    const statusChanges = yield* Queue.sliding<void>(1);
    const current: { term: Term | undefined; } = { term: undefined };
    const stopWatching = dependencies.log.watchStatus(() => Queue.offerUnsafe(statusChanges, undefined));
    yield* Effect.addFinalizer(() => Effect.sync(stopWatching));

    const awaitEnd = Effect.fnUntraced(function*(number: number) {
        while (isLeaderOfTerm(dependencies.log.readStatus(), number)) {
            yield* Queue.take(statusChanges);
        }
    });

    const leadTerm = (number: number) =>
        Effect.scoped(Effect.gen(function*() {
            const term = yield* openTerm(dependencies, number);
            current.term = term;
            const context = { term: number };
            yield* Effect.forkScoped(superviseLoop(term, "sessions", context, openSessions(term)));
            yield* Effect.forkScoped(superviseLoop(term, "planner", context, runPlanner(term)));
            yield* Effect.forkScoped(superviseLoop(term, "pacing", context, runPacing(term)));
            yield* Effect.forkScoped(superviseLoop(term, "disturbances", context, runDisturbanceRecording(term)));
            yield* Effect.forkScoped(superviseLoop(term, "begunJobs", context, runBegunJobRecording(term)));
            yield* Effect.forkScoped(superviseLoop(term, "speeds", context, runSpeedRecording(term)));
            yield* Effect.forkScoped(superviseLoop(term, "loadReport", context, runLoadReport(term)));
            yield* Effect.forkScoped(superviseLoop(term, "stepDown", context, runStepDown(term)));
            // An exception here must not open the term again, because its orders may still be under way.
            yield* superviseLoop(dependencies, "term", context, awaitEnd(number));
            dependencies.logger.info("term closed", { term: number });
        })).pipe(
            Effect.ensuring(Effect.sync(() => {
                current.term = undefined;
            })),
            Effect.catch((error: ErrorData) =>
                Effect.andThen(
                    Effect.sync(() =>
                        dependencies.logger.warn("term could not be opened", {
                            term: number,
                            detail: describeError(error),
                        })
                    ),
                    Effect.sleep(openPauseMs),
                )
            ),
        );

    const leadTerms = Effect.forever(Effect.gen(function*() {
        const status = dependencies.log.readStatus();
        if (status.role === "leader") {
            yield* leadTerm(status.term);
        }
        else {
            yield* Queue.take(statusChanges);
        }
    }));
    yield* Effect.forkScoped(superviseLoop(dependencies, "leadership", { term: undefined }, leadTerms));

    const handleRequest = Effect.fnUntraced(function*(request: JobRequest) {
        const startedMs = yield* readMonotonicMs;
        while (dependencies.log.readStatus().role === "leader") {
            const { term } = current;
            const nowMs = yield* readMonotonicMs;
            if (term !== undefined && canSendOrders(term, nowMs)) {
                return yield* handleInTerm(term, request);
            }
            if (nowMs - startedMs > openWaitMs) {
                break;
            }
            yield* Effect.sleep(openPauseMs);
        }
        return { kind: "notLeader", leader: undefined } satisfies JobReply;
    });
    const leadership: Leadership = { handleRequest };
    return leadership;
});
