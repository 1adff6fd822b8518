import { describeError } from "@chestnutspool/errors";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import {
    type ErrorData,
    type JobReply,
    type JobRequest,
    readMonotonicMs,
    type ReplicaStatus,
    type WorkerId,
} from "@chestnutspool/types";
import { Effect, FiberMap, Queue } from "effect";
import { handleInTerm } from "./handle-request.js";
import { runPacing } from "./limit-disturbance.js";
import { runDisturbanceRecording } from "./record-disturbances.js";
import { openSession } from "./record-heartbeat.js";
import { runPlanner } from "./run-planner.js";
import { canGiveOrders, type LeaderParts, type Term } from "./term.js";

/** Pause before a term that could not be opened is tried again, in milliseconds. */
const openPauseMs = 20;
/** Time for which a request waits for this leader's term to open, in milliseconds; it opens after one commit. */
const openWaitMs = 300;

/** The leader's side of a control process. */
export interface Leadership {
    /** Answers a request when this replica leads; `notLeader` otherwise. */
    readonly handleRequest: (request: JobRequest) => Effect.Effect<JobReply>;
}

/** Opens a term: the state holds all that was committed before, and each recorded worker gets a session. */
const openTerm = Effect.fnUntraced(function*(parts: LeaderParts, number: number) {
    yield* parts.log.confirmRead;
    const scope = yield* Effect.scope;
    const term: Term = {
        ...parts,
        number,
        openedAtMs: yield* readMonotonicMs,
        scope,
        sessions: new Map(),
        sessionLoops: yield* FiberMap.make<WorkerId>(),
        failedOn: new Map(),
        runTimes: new Map(),
        planWake: yield* Queue.sliding<void>(1),
        interference: createInterferenceModel(),
        isFenced: false,
    };
    term.interference.addPairs([...parts.machine.state.disturbances.values()]);
    for (const { info } of parts.machine.state.workers.values()) {
        yield* openSession(term, info);
    }
    parts.logger.info("term opened", {
        term: number,
        jobs: parts.machine.state.openJobs.size,
        workers: parts.machine.state.workers.size,
        configuration: parts.machine.state.configuration?.version ?? 0,
    });
    return term;
});

/** Follows the status of the log and runs a term whenever this replica leads. */
export const startLeadership = Effect.fnUntraced(function*(parts: LeaderParts) {
    const changes = yield* Queue.sliding<void>(1);
    const holder: { term: Term | undefined; } = { term: undefined };
    const stopWatching = parts.log.watchStatus(() => Queue.offerUnsafe(changes, undefined));
    yield* Effect.addFinalizer(() => Effect.sync(stopWatching));

    const isLeader = (status: ReplicaStatus, number: number): boolean =>
        status.role === "leader" && status.term === number;

    const leadTerm = (number: number) =>
        Effect.scoped(Effect.gen(function*() {
            const term = yield* openTerm(parts, number);
            holder.term = term;
            yield* Effect.forkScoped(runPlanner(term));
            yield* Effect.forkScoped(runPacing(term));
            yield* Effect.forkScoped(runDisturbanceRecording(term));
            while (isLeader(parts.log.readStatus(), number)) {
                yield* Queue.take(changes);
            }
            parts.logger.info("term closed", { term: number });
        })).pipe(
            Effect.ensuring(Effect.sync(() => {
                holder.term = undefined;
            })),
            Effect.catch((error: ErrorData) =>
                Effect.andThen(
                    Effect.sync(() =>
                        parts.logger.warn("term was not opened", { term: number, detail: describeError(error) })
                    ),
                    Effect.sleep(openPauseMs),
                )
            ),
        );

    yield* Effect.forkScoped(Effect.forever(Effect.gen(function*() {
        const status = parts.log.readStatus();
        if (status.role === "leader") {
            yield* leadTerm(status.term);
        }
        else {
            yield* Queue.take(changes);
        }
    })));

    const handleRequest = Effect.fnUntraced(function*(request: JobRequest) {
        const startedMs = yield* readMonotonicMs;
        while (parts.log.readStatus().role === "leader") {
            const { term } = holder;
            const nowMs = yield* readMonotonicMs;
            if (term !== undefined && canGiveOrders(term, nowMs)) {
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
