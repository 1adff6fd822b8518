import type { Logger } from "@chestnutspool/logger";
import type { Metrics } from "@chestnutspool/record-metrics";
import {
    keepRunning,
    type OrderAnswer,
    type PeerLink,
    type RelayedAnswer,
    type RenewAnswer,
    type ReplicaStatus,
    type RunKey,
    type WorkerCall,
    type WorkerCallMessage,
    type WorkerInfo,
    type WorkerPort,
    type WorkerRef,
} from "@chestnutspool/types";
import { Clock, Effect } from "effect";
import { randomUUID } from "node:crypto";
import { probeIntervalMs } from "./relay-health.js";
import { type CallTimes, createRelayPool, type RelayAddress, type RelayPool } from "./relay-pool.js";
import { serveWorkerCalls } from "./serve-worker-calls.js";

const nanosecondsPerMillisecond = 1e6;

function convertToRunKey({ job, occurrence, step, position, run }: RunKey): RunKey {
    return { job, occurrence, step, position, run };
}

function convertOrderAnswer(answer: RelayedAnswer["answer"]): OrderAnswer {
    return answer.kind === "report" ? { kind: "unknown", detail: "the relay answered with a report" } : answer;
}

function convertRenewAnswer(answer: RelayedAnswer["answer"]): RenewAnswer {
    return answer.kind === "done" ? { kind: "unknown", detail: "the relay answered without a report" } : answer;
}

/** Creates a port that hands calls to the relays of a pool; `local` carries out calls while no relay is usable. */
export function createRelayedWorkerPort(pool: RelayPool, local: WorkerPort<WorkerRef>, metrics: Metrics): WorkerPort {
    const relayCall = <Answer>(
        worker: WorkerInfo,
        call: WorkerCall,
        { limitMs, patienceMs }: CallTimes,
        convert: (answer: RelayedAnswer["answer"]) => Answer,
        callLocally: () => Effect.Effect<Answer>,
    ): Effect.Effect<Answer> =>
        Effect.suspend(() => {
            const relay = pool.findRelay(worker);
            if (relay === undefined) {
                metrics.countEvent("workerCalls.local", "", "");
                return callLocally();
            }
            return Effect.callback<Answer>(resume => {
                const cancel = pool.startCall(relay, worker, call, { limitMs, patienceMs }, answer =>
                    resume(Effect.succeed(convert(answer))));
                return Effect.sync(cancel);
            });
        });
    return {
        startRun: (worker, order, limitMs, patienceMs = 0) =>
            relayCall(
                worker,
                { kind: "startRun", order },
                { limitMs, patienceMs },
                convertOrderAnswer,
                () => local.startRun(worker, order, limitMs),
            ),
        stopRun: (worker, run, fencingToken, limitMs) =>
            relayCall(
                worker,
                { kind: "stopRun", run: convertToRunKey(run), fencingToken },
                { limitMs, patienceMs: 0 },
                convertOrderAnswer,
                () => local.stopRun(worker, run, fencingToken, limitMs),
            ),
        paceRun: (worker, run, percent, fencingToken, limitMs, patienceMs = 0) =>
            relayCall(
                worker,
                { kind: "paceRun", run: convertToRunKey(run), percent, fencingToken },
                { limitMs, patienceMs },
                convertOrderAnswer,
                () => local.paceRun(worker, run, percent, fencingToken, limitMs),
            ),
        renewLease: (worker, order, limitMs, patienceMs = 0) =>
            relayCall(
                worker,
                { kind: "renewLease", order },
                { limitMs, patienceMs },
                convertRenewAnswer,
                () => local.renewLease(worker, order, limitMs),
            ),
        closeConnections: worker => {
            pool.closeConnections(worker);
            local.closeConnections(worker);
        },
    };
}

/**
 * Lists the control processes that may carry out calls for this one; undefined unless it leads or is a candidate. A
 * candidate probes them already, so that the calls of a new leader find relays.
 */
function listRelays({ self, role, members }: ReplicaStatus): readonly RelayAddress[] | undefined {
    return role === "leader" || role === "candidate" ? members.filter(member => member.id !== self) : undefined;
}

/** The part of the replicated log that tells who the control processes are. */
export interface MemberSource {
    readonly readStatus: () => ReplicaStatus;
    readonly watchStatus: (listener: (status: ReplicaStatus) => void) => () => void;
}

/** Dependencies of the calls to workers. */
export interface WorkerCallDependencies {
    readonly link: PeerLink;
    readonly log: MemberSource;
    /** Port through which this process calls workers itself. */
    readonly workers: WorkerPort<WorkerRef>;
    readonly availabilityZone: string;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Calls to workers through relays. */
export interface RelayedWorkerCalls {
    readonly port: WorkerPort;
    /** Number of relays that can be used. */
    readonly countRelays: () => number;
    /** Announces to the leader that this process leaves, and waits for the calls that it carries out. */
    readonly drain: Effect.Effect<void>;
}

/**
 * Opens channel `workers`: carries out the calls of other control processes, and hands those of this process to them
 * while it leads.
 */
export const openWorkerCalls = Effect.fnUntraced(function*(dependencies: WorkerCallDependencies) {
    const { link, log, workers, availabilityZone, logger, metrics } = dependencies;
    const clock = yield* Clock.Clock;
    const readNowMs = (): number => Number(clock.monotonicTimeNanosUnsafe()) / nanosecondsPerMillisecond;
    const scheduleFlush = (flush: () => void, delayMs: number): void => {
        if (delayMs === 0) {
            setImmediate(flush);
        }
        else {
            setTimeout(flush, delayMs);
        }
    };
    const sendMessage = (to: string, message: WorkerCallMessage): boolean => channel.sendMessage(to, message);
    const relay = yield* serveWorkerCalls({ workers, availabilityZone, sendMessage, scheduleFlush, logger });
    const pool = createRelayPool({
        incarnation: randomUUID(),
        sendMessage,
        isConnected: link.isConnected,
        readNowMs,
        scheduleFlush,
        logger,
        metrics,
    });
    const channel = link.openChannel<WorkerCallMessage, never>("workers", {
        handleMessage: (from, message) => {
            switch (message.kind) {
                case "calls":
                    return relay.handleCalls(from, message, readNowMs());
                case "answers":
                    return Effect.sync(() => pool.handleAnswers(from, message));
            }
        },
    });
    const advance = (status: ReplicaStatus, nowMs: number): void => {
        const relays = listRelays(status);
        // The log keeps its links to members that were removed, so that no link is closed here.
        relays?.forEach(({ id, address }) => link.setPeer(id, address));
        pool.advance(relays, nowMs);
    };
    yield* Effect.acquireRelease(
        Effect.sync(() => log.watchStatus(status => advance(status, readNowMs()))),
        stopWatching => Effect.sync(stopWatching),
    );
    const advanceOnce = Effect.sync(() => advance(log.readStatus(), readNowMs()));
    const probing = Effect.forever(Effect.andThen(advanceOnce, Effect.sleep(probeIntervalMs)));
    yield* Effect.forkScoped(
        keepRunning(
            probing,
            detail => logger.error("loop failed; it is started again", { loop: "relayProbing", detail }),
        ),
    );
    const calls: RelayedWorkerCalls = {
        port: createRelayedWorkerPort(pool, workers, metrics),
        countRelays: pool.countUsable,
        drain: relay.drain,
    };
    return calls;
});
