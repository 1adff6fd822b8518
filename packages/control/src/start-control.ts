import { describeError } from "@chestnutspool/errors";
import type {
    ClusterState,
    ControlNotice,
    ControlReply,
    ControlRequest,
    ErrorData,
    ProcessSettings,
    ReplicaStatus,
} from "@chestnutspool/types";
import { Cause, Effect, type Scope } from "effect";
import { createConditionVariable } from "./condition-variable.js";
import { type ControlContext, type ControlDependencies, notifyChanges } from "./control-context.js";
import { expireLeases } from "./expire-leases.js";
import { handleRequest } from "./handle-request.js";
import { getLeaderMemory, type LeaderMemory } from "./leader-memory.js";
import { pushNotices, updatePeers } from "./push-notices.js";
import { scheduleTasks } from "./schedule-tasks.js";

/** Interval at which leases are checked. */
const expiryIntervalMs = 100;
/** Interval at which the leader checks for state changes to push to entry hosts and to wake waiting calls for. */
const changeIntervalMs = 50;
/** Longest wait of a drain for calls in progress. */
const drainLimitMs = 10_000;
const drainPollMs = 20;
/** Time limit of the transfer of leadership in a drain. */
const transferLimitMs = 5_000;

/** The running control role. */
export interface ControlApi {
    readonly readStatus: () => ReplicaStatus;
    /** The state as this replica has applied it; it may be behind on a follower. */
    readonly state: ClusterState;
    /** Handles a request of this process without a peer link. */
    readonly handleRequest: (request: ControlRequest) => Effect.Effect<ControlReply>;
    /** Transfers leadership and waits until the calls in progress are answered. */
    readonly drain: Effect.Effect<void>;
}

type LeaderStep = (context: ControlContext, memory: LeaderMemory) => Effect.Effect<void, ErrorData>;

/** Runs a step at an interval while this replica leads. A failed step is logged and run again after the interval. */
function repeatStep(context: ControlContext, name: string, intervalMs: number, step: LeaderStep): Effect.Effect<never> {
    const { logger } = context;
    const runOnce = Effect.gen(function*() {
        if (context.log.readStatus().role === "leader") {
            yield* step(context, yield* getLeaderMemory(context));
        }
    }).pipe(
        Effect.catch((error: ErrorData) =>
            Effect.sync(() => logger.warn("control step failed", { step: name, detail: describeError(error) }))
        ),
        Effect.catchCause(cause =>
            Cause.hasInterruptsOnly(cause)
                ? Effect.failCause(cause)
                : Effect.sync(() => logger.error("control step failed", { step: name, detail: Cause.pretty(cause) }))
        ),
    );
    return Effect.forever(Effect.andThen(runOnce, Effect.sleep(intervalMs)));
}

function createContext(settings: ProcessSettings, dependencies: ControlDependencies): ControlContext {
    return {
        settings,
        ...dependencies,
        notices: dependencies.link.openChannel<ControlNotice, never>("notice", {}),
        stateChanged: createConditionVariable(),
        memory: undefined,
        notifiedIndex: -1,
        callsInProgress: 0,
    };
}

const drainControl = Effect.fnUntraced(function*(context: ControlContext) {
    const { log, logger } = context;
    if (log.readStatus().role === "leader") {
        const transfer = log.transferLeadership.pipe(Effect.timeoutOrElse({
            duration: transferLimitMs,
            orElse: () =>
                Effect.fail<ErrorData>({
                    kind: "timeout",
                    operation: "transfer of leadership",
                    limitMs: transferLimitMs,
                }),
        }));
        yield* Effect.catch(
            transfer,
            (error: ErrorData) =>
                Effect.sync(() => logger.warn("leadership was not transferred", { detail: describeError(error) })),
        );
    }
    for (let waitedMs = 0; context.callsInProgress > 0 && waitedMs < drainLimitMs; waitedMs += drainPollMs) {
        yield* Effect.sleep(drainPollMs);
    }
    logger.info("control role drained", { callsInProgress: context.callsInProgress });
});

/** Starts the control role on a replica of the log; its loops end with the scope. */
export const startControl = (
    settings: ProcessSettings,
    dependencies: ControlDependencies,
): Effect.Effect<ControlApi, ErrorData, Scope.Scope> =>
    Effect.gen(function*() {
        const context = createContext(settings, dependencies);
        const linkedAddresses = new Map<string, string>();
        dependencies.link.openChannel<ControlRequest, ControlReply>("control", {
            handleCall: (from, request) => handleRequest(context, request),
        });
        yield* Effect.forkScoped(
            repeatStep(context, "notices", changeIntervalMs, (shared, memory) => {
                notifyChanges(shared);
                updatePeers(shared, linkedAddresses);
                return pushNotices(shared, memory);
            }),
        );
        yield* Effect.forkScoped(repeatStep(context, "expiry", expiryIntervalMs, expireLeases));
        yield* Effect.forkScoped(
            repeatStep(context, "scheduling", settings.placement.intervalMs, scheduleTasks),
        );
        return {
            readStatus: dependencies.log.readStatus,
            state: dependencies.machine.state,
            handleRequest: request => handleRequest(context, request),
            drain: drainControl(context),
        };
    });
