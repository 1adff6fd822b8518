import { type Logger, silentLogger } from "@chestnutspool/logger";
import { createMemoryNetwork, type MemoryNetwork } from "@chestnutspool/peer-link";
import type {
    ControlPeer,
    ErrorData,
    LogSection,
    PeerId,
    PeerLink,
    ReplicatedLog,
    StateMachine,
} from "@chestnutspool/types";
import { Effect, Exit, Fiber, Scope } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { openReplicatedLog } from "../open-log.js";
import { decodeValue, encodeValue } from "../record.js";
import { createMemoryDisk, type MemoryDisk } from "./memory-disk.js";

/** Settings of the replicas in tests. */
export const testLogSection: LogSection = {
    electionTimeoutMinMs: 600,
    electionTimeoutMaxMs: 1_200,
    heartbeatMs: 100,
    snapshotEveryEntries: 1_000,
};

/** A state machine that keeps the commands it applied. */
export interface ListMachine extends StateMachine<string, number> {
    readonly listCommands: () => readonly string[];
}

/** Creates a machine whose state is the list of applied commands; a result is the length of the list. */
export function createListMachine(): ListMachine {
    let commands: string[] = [];
    return {
        applyCommand: (index, command) => commands.push(command),
        takeSnapshot: () => encodeValue(commands),
        restoreSnapshot: bytes => {
            commands = decodeValue(bytes) as string[];
        },
        listCommands: () => commands,
    };
}

/** One replica of a test cluster; `log` is undefined while it does not run. */
export interface TestReplica {
    readonly id: PeerId;
    readonly memoryDisk: MemoryDisk;
    machine: ListMachine;
    log: ReplicatedLog<string, number> | undefined;
    scope: Scope.Closeable | undefined;
}

/** Replicas on an in-memory network and memory disks. */
export interface TestCluster {
    readonly network: MemoryNetwork;
    readonly replicas: readonly TestReplica[];
    readonly getReplica: (id: PeerId) => TestReplica;
    /** Adds a replica that is not an initial member; it does not run yet. */
    readonly addReplica: (id: PeerId) => TestReplica;
    readonly startReplica: (id: PeerId) => Effect.Effect<void, ErrorData>;
    /** Ends a replica at once; its disk keeps the synced bytes and the given share (0 to 1) of the others. */
    readonly crashReplica: (id: PeerId, keptShare: number) => Effect.Effect<void>;
    readonly findLeader: () => TestReplica | undefined;
}

/** Starts what runs beside the log in the process of a replica; it ends with the scope, like the replica. */
export type StartServices = (
    link: PeerLink,
    log: ReplicatedLog<string, number>,
) => Effect.Effect<unknown, ErrorData, Scope.Scope>;

/** Names of the replicas of a test cluster. */
export const replicaNames = ["a", "b", "c", "d", "e"] as const;

/** Creates a cluster of replicas, none of which runs yet. */
export const createTestCluster = Effect.fnUntraced(function*(
    size: number,
    seed: number,
    section: LogSection = testLogSection,
    logger: Logger = silentLogger,
    startServices: StartServices = () => Effect.void,
) {
    const network = yield* createMemoryNetwork;
    const names: readonly PeerId[] = replicaNames.slice(0, size);
    const initialMembers: readonly ControlPeer[] = names.map(id => ({ id, address: `memory:${id}` }));
    const replicas: TestReplica[] = [];
    let starts = 0;
    const addReplica = (id: PeerId): TestReplica => {
        const memoryDisk = createMemoryDisk();
        const replica: TestReplica = { id, memoryDisk, machine: createListMachine(), log: undefined, scope: undefined };
        replicas.push(replica);
        return replica;
    };
    names.forEach(addReplica);
    const getReplica = (id: PeerId): TestReplica => {
        const found = replicas.find(replica => replica.id === id);
        if (found === undefined) {
            throw new Error(`no replica ${id}`);
        }
        return found;
    };
    const startReplica = Effect.fnUntraced(function*(id: PeerId) {
        const replica = getReplica(id);
        const scope = yield* Scope.make();
        const machine = createListMachine();
        starts += 1;
        const open = Effect.gen(function*() {
            const link = yield* network.createLink(id, logger);
            const options = { self: id, initialMembers, log: section, seed: seed + starts };
            const log = yield* openReplicatedLog(options, { link, disk: replica.memoryDisk.disk, logger }, machine);
            yield* startServices(link, log);
            return log;
        });
        const exit = yield* Effect.exit(Scope.provide(open, scope));
        if (Exit.isFailure(exit)) {
            yield* Scope.close(scope, Exit.void);
            return yield* Effect.failCause(exit.cause);
        }
        replica.machine = machine;
        replica.scope = scope;
        replica.log = exit.value;
    });
    const crashReplica = Effect.fnUntraced(function*(id: PeerId, keptShare: number) {
        const replica = getReplica(id);
        if (replica.scope !== undefined) {
            yield* Scope.close(replica.scope, Exit.void);
        }
        replica.scope = undefined;
        replica.log = undefined;
        replica.memoryDisk.crash(keptShare);
    });
    yield* Effect.addFinalizer(() =>
        Effect.forEach(replicas, replica => crashReplica(replica.id, 1), { discard: true })
    );
    const cluster: TestCluster = {
        network,
        replicas,
        getReplica,
        addReplica,
        startReplica,
        crashReplica,
        findLeader: () =>
            replicas
                .filter(replica => replica.log?.readStatus().role === "leader")
                .sort((left, right) => (right.log?.readStatus().term ?? 0) - (left.log?.readStatus().term ?? 0))[0],
    };
    return cluster;
});

/** Time that suffices for an election with a repeated vote, in milliseconds. */
export const settleMs = 6_000;

/** Number of 1 ms steps by which `runReady` advances the clock; a call over the memory network takes fewer. */
const readySteps = 20;

/**
 * Advances the clock by 20 ms in short steps. `adjust` waits for the fibers that it wakes, not for those that were ready
 * before; short steps let these run first.
 */
export const runReady = Effect.gen(function*() {
    for (let step = 0; step < readySteps; step += 1) {
        yield* TestClock.adjust(1);
    }
});

/** Runs a test body under the test clock. */
export function runTest(body: Effect.Effect<void, ErrorData, Scope.Scope>): Promise<void> {
    return Effect.runPromise(Effect.provide(Effect.scoped(body), TestClock.layer()));
}

/** Creates a cluster, starts its replicas and waits for a leader. */
export const startCluster = Effect.fnUntraced(function*(
    size: number,
    section: LogSection = testLogSection,
    logger: Logger = silentLogger,
) {
    const cluster = yield* createTestCluster(size, 1, section, logger);
    for (const replica of cluster.replicas) {
        yield* cluster.startReplica(replica.id);
    }
    yield* TestClock.adjust(settleMs);
    return cluster;
});

/** The leader, which must exist, and the other replicas. */
export function splitRoles(cluster: TestCluster): { leader: TestReplica; followers: readonly TestReplica[]; } {
    const leader = cluster.findLeader();
    assert.ok(leader !== undefined, "no leader");
    return { leader, followers: cluster.replicas.filter(replica => replica !== leader) };
}

/** The log of a replica that runs. */
export function getLog(replica: TestReplica): ReplicatedLog<string, number> {
    assert.ok(replica.log !== undefined, `replica ${replica.id} does not run`);
    return replica.log;
}

/** Runs an effect while the clock advances, and returns its exit. */
export const settle = Effect.fnUntraced(
    function*<Value>(effect: Effect.Effect<Value, ErrorData>, durationMs: number = settleMs) {
        const fiber = yield* Effect.forkChild(Effect.exit(effect));
        yield* runReady;
        yield* TestClock.adjust(durationMs - readySteps);
        const exit = fiber.pollUnsafe();
        assert.ok(exit !== undefined, "the effect did not end in time");
        return yield* Fiber.join(fiber);
    },
);

/** The typed error of a failed exit. */
export function getError<Value>(exit: Exit.Exit<Value, ErrorData>): ErrorData {
    assert.ok(Exit.isFailure(exit), "expected a failure");
    const reason = exit.cause.reasons[0];
    assert.ok(reason?._tag === "Fail", String(exit.cause));
    return reason.error;
}

/** Proposes commands one after the other; each must succeed. */
export const proposeAll = Effect.fnUntraced(function*(replica: TestReplica, commands: readonly string[]) {
    for (const command of commands) {
        const exit = yield* settle(getLog(replica).proposeCommand(command), 300);
        assert.ok(Exit.isSuccess(exit), `${command}: ${String(exit)}`);
    }
    // Followers receive the commit index with the next heartbeat.
    yield* TestClock.adjust(testLogSection.heartbeatMs * 2);
});
