import { type Logger, silentLogger } from "@chestnutspool/logger";
import {
    createTestCluster,
    getLog,
    settleMs,
    splitRoles,
    type TestCluster,
    testLogSection,
    type TestReplica,
} from "@chestnutspool/replicated-log/fakes";
import type { ControlAddress, LogMember } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { serveDirectory } from "../serve-directory.js";

/** Small, so that a process that was away for some commands needs a snapshot. */
const snapshotEveryEntries = 20;

/** Creates a cluster of control processes, each with a replica of the log and a directory; none of them runs yet. */
export function createDirectoryCluster(size: number, seed: number, logger: Logger = silentLogger) {
    const seeds: ControlAddress[] = [];
    const section = { ...testLogSection, snapshotEveryEntries };
    const create = createTestCluster(
        size,
        seed,
        section,
        logger,
        (link, log) => serveDirectory({ link, log, seeds, logger }),
    );
    return Effect.tap(create, cluster =>
        Effect.sync(() => {
            seeds.push(...cluster.replicas.map(({ id }) => ({ id, address: `memory:${id}` })));
        }));
}

/** Creates a cluster of control processes, starts them and waits for a leader. */
export const startDirectoryCluster = Effect.fnUntraced(function*(size: number, seed: number = 1, logger?: Logger) {
    const cluster = yield* createDirectoryCluster(size, seed, logger);
    for (const { id } of cluster.replicas) {
        yield* cluster.startReplica(id);
    }
    yield* TestClock.adjust(settleMs);
    return cluster;
});

/** Cuts a process off from all others in both directions, as when it is frozen, or ends that. */
export function setIsolated(cluster: TestCluster, replica: TestReplica, isolated: boolean): void {
    for (const other of cluster.replicas.filter(each => each !== replica)) {
        cluster.network.setCut(replica.id, other.id, isolated);
        cluster.network.setCut(other.id, replica.id, isolated);
    }
}

/** Ends a process and removes all files of its disk. */
export const loseDisk = Effect.fnUntraced(function*(cluster: TestCluster, replica: TestReplica) {
    yield* cluster.crashReplica(replica.id, 0);
    replica.memoryDisk.removeAll();
});

/** Ends a process with its disk, and starts it again with an empty one. */
export const replaceDisk = Effect.fnUntraced(function*(cluster: TestCluster, replica: TestReplica) {
    yield* loseDisk(cluster, replica);
    yield* TestClock.adjust(1_000);
    yield* cluster.startReplica(replica.id);
});

/** The member list of the leader. */
export function listLeaderMembers(cluster: TestCluster): readonly LogMember[] {
    return getLog(splitRoles(cluster).leader).readStatus().members;
}

/** Ids of the processes with a vote under their present identity, as the leader knows them. */
export function listVoterIds(cluster: TestCluster): readonly string[] {
    return listLeaderMembers(cluster)
        .filter(({ id, replicaIdentity, votes }) =>
            votes && cluster.getReplica(id).log?.readStatus().identity === replicaIdentity
        )
        .map(({ id }) => id)
        .sort();
}
