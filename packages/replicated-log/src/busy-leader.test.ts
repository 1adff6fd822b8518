import { silentLogger } from "@chestnutspool/logger";
import { openWebSocketLink } from "@chestnutspool/peer-link";
import { readMonotonicMs, type ReplicatedLog } from "@chestnutspool/types";
import { Effect, Exit } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { createMemoryDisk } from "./fakes/memory-disk.js";
import {
    createListMachine,
    getLog,
    proposeAll,
    runTest,
    splitRoles,
    startCluster,
    testLogSection,
    type TestReplica,
} from "./fakes/test-cluster.js";
import { openReplicatedLog } from "./open-log.js";

/** A replica in a thread of its own, which answers while the thread of the leader is busy. */
const replicaThread = `
const { workerData, parentPort } = require("node:worker_threads");
Promise.all([
    import("effect"),
    import("@chestnutspool/logger"),
    import("@chestnutspool/peer-link"),
    import(workerData.openLog),
    import(workerData.cluster),
    import(workerData.disk),
]).then(([{ Effect }, { silentLogger }, { openWebSocketLink }, { openReplicatedLog }, { createListMachine }, { createMemoryDisk }]) =>
    Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const { self, log } = workerData;
        const pauses = new Int32Array(workerData.pauses);
        let tickMs = performance.now();
        setInterval(() => {
            const nowMs = performance.now();
            Atomics.store(pauses, 0, Math.max(Atomics.load(pauses, 0), nowMs - tickMs));
            Atomics.add(pauses, 1, 1);
            tickMs = nowMs;
        }, 5);
        const link = yield* openWebSocketLink({ self, listenHost: "127.0.0.1", listenPort: 0 }, silentLogger);
        parentPort.postMessage(link.address);
        const initialMembers = yield* Effect.promise(() => new Promise(resolve => parentPort.once("message", resolve)));
        const ports = { link, disk: createMemoryDisk().disk, logger: silentLogger };
        yield* openReplicatedLog({ self, initialMembers, log, seed: 1 }, ports, createListMachine());
        yield* Effect.never;
    }))));
`;

/** Long times, so that other work on the machine does not make the leader exceed them. */
const busyLogSection = {
    ...testLogSection,
    electionTimeoutMinMs: 1_800,
    electionTimeoutMaxMs: 3_600,
    heartbeatMs: 300,
};

/** Time allowed for a proposal after the block; far below `heartbeatMs`, after which the leader would send it again. */
const completionMs = 150;
/**
 * Longest time for which the machine may hold up a thread in a round. With it, the longest block and the completion of the
 * proposal stay below the election timeout; a leader that is held up for longer may step down.
 */
const heldUpLimitMs = 100;
const maxRuns = 5;

function block(durationMs: number): void {
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
        // Keeps the thread busy, as a snapshot does.
    }
}

function awaitMessage(thread: Worker): Promise<string> {
    return new Promise(resolve => thread.once("message", (message: string) => resolve(message)));
}

/** A thread with a replica. */
interface ReplicaThread {
    readonly worker: Worker;
    /** Longest pause of the thread in milliseconds, and the number of times at which it has measured it. */
    readonly pauses: Int32Array;
}

/** Reads the longest pause since the last call, the current one included, because it waits until the thread runs. */
const readLongestPause = Effect.fnUntraced(function*({ pauses }: ReplicaThread) {
    const ticks = Atomics.load(pauses, 1);
    while (Atomics.load(pauses, 1) === ticks) {
        yield* Effect.sleep(1);
    }
    return Atomics.exchange(pauses, 0, 0);
});

/** Starts a replica in a thread; the thread ends with the scope. */
const startThread = (self: string) =>
    Effect.acquireRelease(
        Effect.sync((): ReplicaThread => {
            const pauses = new SharedArrayBuffer(2 * Int32Array.BYTES_PER_ELEMENT);
            const workerData = {
                self,
                pauses,
                // A long timeout, so that only the replica of the test becomes the leader.
                log: { ...busyLogSection, electionTimeoutMinMs: 6_000, electionTimeoutMaxMs: 12_000 },
                openLog: new URL("open-log.js", import.meta.url).href,
                cluster: new URL("fakes/test-cluster.js", import.meta.url).href,
                disk: new URL("fakes/memory-disk.js", import.meta.url).href,
            };
            return { worker: new Worker(replicaThread, { eval: true, workerData }), pauses: new Int32Array(pauses) };
        }),
        thread => Effect.promise(() => thread.worker.terminate()),
    );

/** What a round has shown. */
interface Round {
    readonly completed: boolean;
    readonly role: string;
    readonly term: number;
    /** Longest time for which the machine held up one of the threads. */
    readonly heldUpMs: number;
}

/** Blocks the thread of the leader once, with a proposal on its way, and returns how the proposal and the leader fared. */
const runRound = Effect.fnUntraced(function*(
    log: ReplicatedLog<string, number>,
    threads: readonly ReplicaThread[],
    busyMs: number,
) {
    yield* Effect.sleep(1_000);
    yield* Effect.forEach(threads, readLongestPause);
    const startedMs = yield* readMonotonicMs;
    // Replicates to both followers at the moment when the thread becomes busy.
    const proposal = yield* Effect.forkChild(Effect.exit(log.proposeCommand(`${busyMs}`)), { startImmediately: true });
    yield* Effect.promise(() => new Promise(resolve => setImmediate(resolve)));
    block(busyMs);
    yield* Effect.sleep(completionMs);
    const exit = proposal.pollUnsafe();
    const { role, term } = log.readStatus();
    const leaderPauseMs = (yield* readMonotonicMs) - startedMs - busyMs - completionMs;
    const followerPauses = yield* Effect.forEach(threads, readLongestPause);
    return {
        completed: exit !== undefined && Exit.isSuccess(exit) && Exit.isSuccess(exit.value),
        role,
        term,
        heldUpMs: Math.max(leaderPauseMs, ...followerPauses),
    } satisfies Round;
});

/** Runs a round for each block on a new cluster; the failed round, or undefined when the leader kept leading. */
const findFailedRound = Effect.scoped(Effect.gen(function*() {
    const threads = [yield* startThread("b"), yield* startThread("c")];
    const addresses = yield* Effect.promise(() => Promise.all(threads.map(({ worker }) => awaitMessage(worker))));
    const link = yield* openWebSocketLink({ self: "a", listenHost: "127.0.0.1", listenPort: 0 }, silentLogger);
    const initialMembers = [link.address, ...addresses].map((address, place) => ({ id: "abc".charAt(place), address }));
    threads.forEach(({ worker }) => worker.postMessage(initialMembers));
    const ports = { link, disk: createMemoryDisk().disk, logger: silentLogger };
    const options = { self: "a", initialMembers, log: busyLogSection, seed: 1 };
    const log = yield* openReplicatedLog(options, ports, createListMachine());
    const startedMs = yield* readMonotonicMs;
    while (log.readStatus().role !== "leader" && (yield* readMonotonicMs) - startedMs < 20_000) {
        yield* Effect.sleep(10);
    }
    const { role, term } = log.readStatus();
    assert.equal(role, "leader");
    for (const busyMs of [1_000, 1_250, 1_500]) {
        const round = yield* runRound(log, threads, busyMs);
        if (!round.completed || round.role !== "leader" || round.term !== term) {
            return { ...round, busyMs, ledTerm: term };
        }
    }
    return undefined;
}));

// Guards against a leader that is deposed by its own work although all its followers answered it in time.
void test("a leader whose thread was busy for longer than a call may take, but not for an election timeout, keeps leading", async () => {
    let failed = await Effect.runPromise(findFailedRound);
    // A failed round in which the machine held up a thread for too long shows nothing, and all rounds are repeated.
    for (let runs = 1; runs < maxRuns && failed !== undefined && failed.heldUpMs > heldUpLimitMs; runs += 1) {
        failed = await Effect.runPromise(findFailedRound);
    }
    assert.equal(failed, undefined, JSON.stringify(failed));
});

// Guards against a leader that is deposed although a follower answered, only later than a call may take.
void test("an answer that comes after its call has expired counts as contact at the sending time of the call", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader, followers } = splitRoles(cluster);
        const [follower, other] = followers as [TestReplica, TestReplica];
        yield* proposeAll(leader, ["one"]);
        const { term } = getLog(leader).readStatus();
        yield* cluster.crashReplica(other.id, 1);
        yield* TestClock.adjust(500);
        // The answer to the next request comes after 480 ms, that to the one 400 ms later after another 170 ms.
        cluster.network.setDelay(follower.id, leader.id, 480);
        const framesBefore = cluster.network.countFrames();
        while (cluster.network.countFrames() === framesBefore) {
            yield* TestClock.adjust(1);
        }
        yield* TestClock.adjust(1);
        cluster.network.setDelay(follower.id, leader.id, 170);
        for (let step = 0; step < 590; step += 1) {
            yield* TestClock.adjust(1);
        }
        cluster.network.setDelay(follower.id, leader.id, 0);
        yield* TestClock.adjust(1_000);
        const status = getLog(leader).readStatus();
        assert.deepEqual([status.role, status.term], ["leader", term]);
    })));

// Guards against a contact that is dated by the time at which a late answer is read: another leader may exist by then.
void test("a leader steps down when each answer comes so late that its request was sent too long ago", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader, followers } = splitRoles(cluster);
        yield* proposeAll(leader, ["one"]);
        followers.forEach(({ id }) => cluster.network.setDelay(id, leader.id, 450));
        let steppedDownMs: number | undefined;
        for (let passedMs = 0; passedMs < 1_000 && steppedDownMs === undefined; passedMs += 10) {
            yield* TestClock.adjust(10);
            steppedDownMs = getLog(leader).readStatus().role === "leader" ? undefined : passedMs + 10;
        }
        // An election timeout after the last request that was answered, and one heartbeat interval of the timer.
        assert.ok(steppedDownMs !== undefined && steppedDownMs <= 800, `stepped down after ${steppedDownMs} ms`);
    })));
