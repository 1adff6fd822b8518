// Measures the replicated log on three replicas in one process, over WebSocket on loopback and with real syncs.
// Usage: node packages/replicated-log/dist/measure/measure-log.js FOLDER [seconds for each load] [failover trials]
// FOLDER is created when it is absent, and is removed with all its contents at the end.
import { silentLogger } from "@chestnutspool/logger";
import { openWebSocketLink } from "@chestnutspool/peer-link";
import type { ControlPeer, ErrorData, LogSection, ReplicatedLog, StateMachine } from "@chestnutspool/types";
import { Deferred, Effect, Exit, Scope } from "effect";
import { mkdir, rm } from "node:fs/promises";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { openFileDisk } from "../file-disk.js";
import { loadStorage } from "../load-storage.js";
import type { LogEntry } from "../messages.js";
import { openReplicatedLog } from "../open-log.js";
import { encodeValue } from "../record.js";
import { openStorage } from "../storage.js";

const listenHost = "127.0.0.1";
const replicaIds = ["a", "b", "c"];
const proposerCounts = [1, 16, 256];
const restartEntryCounts = [1_000, 10_000, 100_000];
/** Size of a command, in characters; near that of a `placeTask` command. */
const commandLength = 200;
/** Pause between attempts to find the next leader, in milliseconds. */
const retryIntervalMs = 2;
const settleMs = 2_000;

const logSection: LogSection = {
    electionTimeoutMinMs: 600,
    electionTimeoutMaxMs: 1_200,
    heartbeatMs: 100,
    snapshotEveryEntries: 10_000,
};

interface Replica {
    readonly id: string;
    readonly log: ReplicatedLog<string, number>;
    readonly scope: Scope.Closeable;
}

function createCountMachine(): StateMachine<string, number> {
    let count = 0;
    return {
        applyCommand: () => {
            count += 1;
            return count;
        },
        takeSnapshot: () => encodeValue(count),
        restoreSnapshot: () => undefined,
    };
}

function printResult(result: Readonly<Record<string, string | number>>): void {
    process.stdout.write(JSON.stringify(result) + "\n");
}

function computePercentile(sorted: readonly number[], share: number): number {
    return Number((sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0).toFixed(2));
}

/** Finds a free port; the members of a log need fixed addresses over restarts. */
const findPort = Effect.callback<number>(resume => {
    const server = createServer();
    server.listen(0, listenHost, () => {
        const { port } = server.address() as AddressInfo;
        server.close(() => resume(Effect.succeed(port)));
    });
});

const startReplica = Effect.fnUntraced(function*(folder: string, members: readonly ControlPeer[], id: string) {
    const scope = yield* Scope.make();
    const port = Number(members.find(member => member.id === id)?.address.split(":")[1]);
    const open = Effect.gen(function*() {
        const link = yield* openWebSocketLink({ self: id, listenHost, listenPort: port }, silentLogger);
        const disk = yield* openFileDisk(join(folder, id));
        const options = { self: id, initialMembers: members, log: logSection };
        return yield* openReplicatedLog(options, { link, disk, logger: silentLogger }, createCountMachine());
    });
    const log = yield* Scope.provide(open, scope);
    return { id, log, scope } satisfies Replica;
});

const startAll = Effect.fnUntraced(function*(folder: string) {
    const members: ControlPeer[] = [];
    for (const id of replicaIds) {
        members.push({ id, address: `${listenHost}:${yield* findPort}` });
    }
    const replicas: Replica[] = [];
    for (const id of replicaIds) {
        replicas.push(yield* startReplica(folder, members, id));
    }
    return { members, replicas };
});

/** Proposes until one replica commits the command; returns that replica. */
const commitOnLeader = Effect.fnUntraced(function*(replicas: readonly Replica[]) {
    while (true) {
        for (const replica of replicas) {
            if (replica.log.readStatus().role === "leader") {
                const exit = yield* Effect.exit(replica.log.proposeCommand("next"));
                if (Exit.isSuccess(exit)) {
                    return replica;
                }
            }
        }
        yield* Effect.sleep(retryIntervalMs);
    }
});

const measureLoad = Effect.fnUntraced(function*(leader: Replica, proposers: number, durationMs: number) {
    const command = "x".repeat(commandLength);
    const latencies: number[] = [];
    const startMs = performance.now();
    const propose = Effect.gen(function*() {
        while (performance.now() - startMs < durationMs) {
            const beforeMs = performance.now();
            yield* leader.log.proposeCommand(command);
            latencies.push(performance.now() - beforeMs);
        }
    });
    yield* Effect.all(Array.from({ length: proposers }, () => propose), { concurrency: "unbounded" });
    const elapsedMs = performance.now() - startMs;
    latencies.sort((left, right) => left - right);
    printResult({
        measure: "load",
        proposers,
        commitsPerSecond: Math.round(latencies.length / elapsedMs * 1_000),
        p50Ms: computePercentile(latencies, 0.5),
        p99Ms: computePercentile(latencies, 0.99),
        maxMs: computePercentile(latencies, 1),
    });
});

const measureFailover = Effect.fnUntraced(function*(folder: string, trials: number) {
    const started = yield* startAll(folder);
    let replicas = started.replicas;
    const durations: number[] = [];
    for (let trial = 0; trial < trials; trial += 1) {
        const leader = yield* commitOnLeader(replicas);
        yield* Effect.sleep(settleMs);
        const startMs = performance.now();
        yield* Scope.close(leader.scope, Exit.void);
        const others = replicas.filter(replica => replica !== leader);
        yield* commitOnLeader(others);
        durations.push(performance.now() - startMs);
        replicas = [...others, yield* startReplica(folder, started.members, leader.id)];
        yield* Effect.sleep(settleMs);
    }
    durations.sort((left, right) => left - right);
    printResult({
        measure: "failover",
        trials,
        minMs: computePercentile(durations, 0),
        p50Ms: computePercentile(durations, 0.5),
        p90Ms: computePercentile(durations, 0.9),
        maxMs: computePercentile(durations, 1),
    });
    yield* Effect.forEach(replicas, replica => Scope.close(replica.scope, Exit.void), { discard: true });
});

const measureRestart = Effect.fnUntraced(function*(folder: string, length: number) {
    const disk = yield* openFileDisk(folder);
    const data = encodeValue("x".repeat(commandLength));
    yield* Effect.scoped(Effect.gen(function*() {
        const { storage } = yield* openStorage(disk, "a", () => undefined);
        yield* Effect.forkScoped(Effect.ignore(storage.runWrites));
        for (let index = 1; index <= length; index += 100) {
            const entries = Array.from({ length: 100 }, (item, step): LogEntry => ({
                kind: "command",
                index: index + step,
                term: 1,
                data,
            }));
            yield* Deferred.await(storage.appendEntries(entries));
        }
    }));
    const startMs = performance.now();
    const loaded = yield* loadStorage(disk, "a");
    const loadMs = Number((performance.now() - startMs).toFixed(1));
    printResult({ measure: "restart", entries: loaded.window.lastIndex(), loadMs });
});

const measureAll = Effect.fnUntraced(function*(folder: string, seconds: number, trials: number) {
    const { replicas } = yield* startAll(join(folder, "load"));
    const leader = yield* commitOnLeader(replicas);
    for (const proposers of proposerCounts) {
        yield* measureLoad(leader, proposers, seconds * 1_000);
    }
    yield* Effect.forEach(replicas, replica => Scope.close(replica.scope, Exit.void), { discard: true });
    for (const length of restartEntryCounts) {
        yield* measureRestart(join(folder, `restart-${length}`), length);
    }
    yield* measureFailover(join(folder, "failover"), trials);
});

const [folder, seconds = "10", trials = "30"] = process.argv.slice(2);
if (folder === undefined) {
    throw new Error("the first argument is missing: give a folder for the data files");
}
await mkdir(folder, { recursive: true });
const program: Effect.Effect<void, ErrorData> = measureAll(folder, Number(seconds), Number(trials));
await Effect.runPromise(program);
await rm(folder, { recursive: true });
