import {
    create,
    type DescMessage,
    fromBinary,
    type MessageInitShape,
    type MessageShape,
    toBinary,
} from "@bufbuild/protobuf";
import { createClusterMachine } from "@chestnutspool/cluster-state";
import { silentLogger } from "@chestnutspool/logger";
import { createMemoryNetwork } from "@chestnutspool/peer-link";
import type { PlacementDecision, Placer } from "@chestnutspool/place-tasks";
import { createMemoryLog } from "@chestnutspool/replicated-log";
import {
    ResourceAmountsSchema,
    type SyncRequest,
    SyncRequestSchema,
    type SyncResponse,
    SyncResponseSchema,
} from "@chestnutspool/schema";
import type {
    ClusterState,
    CommandResult,
    ControlCommand,
    ControlReply,
    ErrorData,
    ProcessSettings,
    ReplicatedLog,
} from "@chestnutspool/types";
import { Effect, type Scope } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { type ControlApi, startControl } from "../index.js";

/** Settings of a control process with the default times. */
export const testSettings: ProcessSettings = {
    process: {
        id: "control-0",
        roles: ["control"],
        host: "host-0",
        region: "cuyo",
        availabilityZone: "a",
        dataFolder: undefined,
        logLevel: "error",
    },
    listen: { rpcHost: "127.0.0.1", rpcPort: 0, peerHost: "127.0.0.1", peerPort: 0 },
    controlPeers: [],
    log: { electionTimeoutMinMs: 600, electionTimeoutMaxMs: 1_200, heartbeatMs: 100, snapshotEveryEntries: 1_000 },
    leases: {
        sessionTtlMs: 3_000,
        sessionRenewMs: 500,
        sessionMarginMs: 250,
        workerLeaseMs: 10_000,
        workerMarginMs: 1_000,
        clockDriftPercent: 1,
        syncHoldMs: 1_000,
        minionSilenceMs: 3_000,
    },
    requests: {
        queueLimit: 256,
        bodyLimitBytes: 1_000_000,
        answerLimitBytes: 1_000_000,
        streamLimitBytes: 1_000_000,
        retryBudgetPercent: 10,
        retryMinPerSecond: 3,
        freeSlotsIntervalMs: 100,
        drainLimitMs: 1_000,
    },
    placement: {
        intervalMs: 50,
        tailLatencyWeight: 1,
        batchThroughputWeight: 1,
        evictionWeight: 1,
        evictionsPerMinute: 1,
        highUsePercent: 90,
    },
};

/** Places each pending task on the first worker; the decisions in `extra` are returned once. */
export function createFirstWorkerPlacer(extra: PlacementDecision[]): Placer {
    return {
        recordReports: () => undefined,
        planPlacements: state => {
            const [worker] = state.workers.values();
            const placements = worker === undefined ? [] : [...state.pendingTasks].map(task => ({
                kind: "placeTask" as const,
                task,
                worker: worker.id,
                previousToken: state.tasks.get(task)?.token ?? 0,
            }));
            return [...extra.splice(0), ...placements];
        },
    };
}

/** A memory log whose leadership and commits a test controls. */
export interface TestLog extends ReplicatedLog<ControlCommand, CommandResult> {
    /** Makes this replica leader of a term, or a follower of another leader. */
    readonly setLeader: (term: number, leader: string) => void;
    /** Whether the other replicas confirm that this one leads; false stands for a leader that is partitioned from them. */
    confirms: boolean;
    /** Runs before a command is committed. */
    beforeCommit: (command: ControlCommand) => Effect.Effect<void>;
}

function createTestLog(memoryLog: ReplicatedLog<ControlCommand, CommandResult>): TestLog {
    let term = 1;
    let leader = "control-0";
    const failUnlessLeader = Effect.suspend(() =>
        leader === "control-0" ? Effect.void : Effect.fail<ErrorData>({ kind: "notLeader", leader })
    );
    const log: TestLog = {
        ...memoryLog,
        setLeader: (newTerm, newLeader) => {
            term = newTerm;
            leader = newLeader;
        },
        confirms: true,
        beforeCommit: () => Effect.void,
        readStatus: () => ({
            ...memoryLog.readStatus(),
            term,
            leader,
            role: leader === "control-0" ? "leader" : "follower",
        }),
        confirmRead: Effect.suspend(() =>
            log.confirms ? failUnlessLeader : Effect.fail<ErrorData>({ kind: "notLeader", leader: undefined })
        ),
        proposeCommand: command =>
            failUnlessLeader.pipe(
                Effect.andThen(Effect.suspend(() => log.beforeCommit(command))),
                Effect.andThen(memoryLog.proposeCommand(command)),
            ),
        transferLeadership: Effect.sync(() => log.setLeader(term + 1, "control-1")),
    };
    return log;
}

/** A control role on a memory log and a memory network. */
export interface TestControl {
    readonly api: ControlApi;
    readonly state: ClusterState;
    readonly log: TestLog;
    readonly network: Effect.Success<typeof createMemoryNetwork>;
    /** Decisions that the next scheduling pass makes. */
    readonly decisions: PlacementDecision[];
    /** Renews the session of an entry host. */
    readonly renew: (entry: string, appliedRevision?: number, incarnation?: string) => Effect.Effect<ControlReply>;
    /** Calls a method of OperatorService. */
    readonly callOperator: <Request extends DescMessage, Reply extends DescMessage>(
        method: string,
        request: Request,
        reply: Reply,
        init: MessageInitShape<Request>,
    ) => Effect.Effect<MessageShape<Reply>, ErrorData>;
    /** Syncs a worker of eight cores. */
    readonly sync: (init: MessageInitShape<typeof SyncRequestSchema>) => Effect.Effect<SyncResponse, ErrorData>;
}

function getForwarded(reply: ControlReply): Effect.Effect<Uint8Array, ErrorData> {
    assert.ok(reply.kind === "forwarded" || reply.kind === "error");
    return reply.kind === "forwarded" ? Effect.succeed(reply.body) : Effect.fail(reply.error);
}

/** Starts a control role for a test. */
export const startTestControl = Effect.gen(function*() {
    const machine = createClusterMachine();
    const log = createTestLog(createMemoryLog("control-0", machine));
    const network = yield* createMemoryNetwork;
    const link = yield* network.createLink("control-0", silentLogger);
    const decisions: PlacementDecision[] = [];
    const placer = createFirstWorkerPlacer(decisions);
    const api = yield* startControl(testSettings, { link, log, machine, placer, logger: silentLogger });
    const control: TestControl = {
        api,
        state: machine.state,
        log,
        network,
        decisions,
        renew: (entry, appliedRevision = 0, incarnation = "first") =>
            api.handleRequest({
                kind: "renewSession",
                session: { entry, incarnation, peerAddress: `memory:${entry}`, availabilityZone: "a", draining: false },
                appliedRevision,
                ownershipVersion: 0,
                released: [],
            }),
        callOperator: (method, request, reply, init) =>
            api.handleRequest({
                kind: "forwardCall",
                service: "operator",
                method,
                body: toBinary(request, create(request, init)),
            }).pipe(Effect.flatMap(getForwarded), Effect.map(body => fromBinary(reply, body))),
        sync: init => {
            const request: SyncRequest = create(SyncRequestSchema, {
                worker: "worker-0",
                incarnation: "first",
                rack: "r",
                capacity: create(ResourceAmountsSchema, { milliCpu: 8_000, memoryMib: 8_000, accelerators: 1 }),
                ...init,
            });
            const body = toBinary(SyncRequestSchema, request);
            return api.handleRequest({ kind: "forwardCall", service: "worker", method: "Sync", body }).pipe(
                Effect.flatMap(getForwarded),
                Effect.map(bytes => fromBinary(SyncResponseSchema, bytes)),
            );
        },
    };
    return control;
});

/** Runs a test under the test clock. */
export function runWithClock(body: Effect.Effect<void, ErrorData, Scope.Scope>): Promise<void> {
    return Effect.runPromise(Effect.provide(Effect.scoped(body), TestClock.layer()));
}
