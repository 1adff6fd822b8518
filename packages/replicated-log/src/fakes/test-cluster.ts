import { type Logger, silentLogger } from "@chestnutspool/logger";
import { createMemoryNetwork, type MemoryNetwork } from "@chestnutspool/peer-link";
import type { ControlPeer, ErrorData, LogSection, PeerId, ReplicatedLog, StateMachine } from "@chestnutspool/types";
import { Effect, Exit, Scope } from "effect";
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
    /** Ends a replica at once; its disk loses what was not synced but the given share of the last write. */
    readonly crashReplica: (id: PeerId, keptShare: number) => Effect.Effect<void>;
    readonly findLeader: () => TestReplica | undefined;
}

/** Names of the replicas of a test cluster. */
export const replicaNames = ["a", "b", "c", "d", "e"] as const;

/** Creates a cluster of replicas, none of which runs yet. */
export const createTestCluster = Effect.fnUntraced(function*(
    size: number,
    seed: number,
    section: LogSection = testLogSection,
    logger: Logger = silentLogger,
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
            return yield* openReplicatedLog(options, { link, disk: replica.memoryDisk.disk, logger }, machine);
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
