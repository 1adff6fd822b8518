import type { Disk } from "@chestnutspool/types";
import { Deferred, Effect, Exit, Fiber } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createMemoryDisk, type MemoryDisk } from "./fakes/memory-disk.js";
import {
    getLog,
    proposeAll,
    runTest,
    settle,
    settleMs,
    splitRoles,
    startCluster,
    type TestCluster,
    type TestReplica,
} from "./fakes/test-cluster.js";
import { loadStorage } from "./load-storage.js";
import { openStorage } from "./storage.js";

const size = 5;
/** Bytes that a full disk still takes, so that the write that fails leaves a part of its record. */
const partOfRecordBytes = 10;

/** Fills the disk of a replica while a command is proposed, and frees it again. */
const fillDiskOnce = Effect.fnUntraced(function*(cluster: TestCluster, replica: TestReplica, command: string) {
    replica.memoryDisk.setFreeBytes(partOfRecordBytes);
    const exit = yield* settle(getLog(splitRoles(cluster).leader).proposeCommand(command));
    replica.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
    yield* TestClock.adjust(3_000);
    return exit;
});

// Guards against a cluster without a leader after disks were full for a while one after the other, never two at once: each
// stopped its replica until the process was restarted.
void test("replicas whose disks were full one after the other take part again", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(size);
        const commands: string[] = [];
        for (const replica of cluster.replicas) {
            const command = `while ${replica.id} is full`;
            const exit = yield* fillDiskOnce(cluster, replica, command);
            assert.ok(Exit.isSuccess(exit), `${command}: ${String(exit)}`);
            commands.push(command);
        }
        yield* proposeAll(splitRoles(cluster).leader, ["last"]);
        for (const replica of cluster.replicas) {
            assert.deepEqual(replica.machine.listCommands(), [...commands, "last"], `replica ${replica.id}`);
        }
    })));

// Guards against a process that ends again and again because its disk, which was replaced, is full at the start.
void test("a replica that starts with an empty folder on a full disk takes part once there is room", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const replica = cluster.getReplica("a");
        yield* cluster.crashReplica("a", 0);
        replica.memoryDisk.removeAll();
        replica.memoryDisk.setFreeBytes(partOfRecordBytes);
        const start = yield* Effect.forkChild(Effect.exit(cluster.startReplica("a")));
        yield* TestClock.adjust(5_000);
        assert.equal(start.pollUnsafe(), undefined);
        replica.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
        yield* TestClock.adjust(1_000);
        assert.ok(Exit.isSuccess(yield* Fiber.join(start)));
        assert.notEqual(getLog(replica).readStatus().role, "stopped");
    })));

// Guards against an answer before the command is on disk, and against a part of a failed write before or behind its record.
void test("a command that met a full disk is answered once it is on disk, and is read again after a crash", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(1);
        const replica = cluster.getReplica("a");
        yield* proposeAll(replica, ["one"]);
        replica.memoryDisk.setFreeBytes(partOfRecordBytes);
        const proposals = yield* Effect.forEach(
            ["two", "three"],
            command => Effect.forkChild(Effect.exit(getLog(replica).proposeCommand(command))),
        );
        yield* TestClock.adjust(3_000);
        assert.deepEqual(proposals.map(proposal => proposal.pollUnsafe()), [undefined, undefined]);
        assert.deepEqual(replica.machine.listCommands(), ["one"]);
        assert.equal(getLog(replica).readStorageStatus().state, "failing");
        replica.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
        yield* TestClock.adjust(1_000);
        for (const proposal of proposals) {
            assert.ok(Exit.isSuccess(yield* Fiber.join(proposal)));
        }
        assert.equal(getLog(replica).readStorageStatus().state, "working");
        yield* cluster.crashReplica("a", 0);
        yield* cluster.startReplica("a");
        yield* TestClock.adjust(3_000);
        assert.deepEqual(replica.machine.listCommands(), ["one", "two", "three"]);
    })));

// Guards against a crash while the disk is full that leaves a data folder which the next start refuses.
void test("a replica that ends while its disk is full starts again without the part of a record", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const replica = splitRoles(cluster).followers[0] as TestReplica;
        replica.memoryDisk.setFreeBytes(partOfRecordBytes);
        yield* proposeAll(splitRoles(cluster).leader, ["one"]);
        yield* cluster.crashReplica(replica.id, 1);
        replica.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
        yield* cluster.startReplica(replica.id);
        yield* TestClock.adjust(3_000);
        assert.deepEqual(replica.machine.listCommands(), ["one"]);
    })));

// Guards against an election, and the work that it costs all workers, for a fault of one disk that the majority can bear.
void test("a leader whose disk is full goes on, and what it acknowledged survives a power loss of all replicas", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader } = splitRoles(cluster);
        const { term } = getLog(leader).readStatus();
        leader.memoryDisk.setFreeBytes(partOfRecordBytes);
        yield* proposeAll(leader, ["one", "two"]);
        yield* TestClock.adjust(5_000);
        assert.equal(splitRoles(cluster).leader, leader);
        assert.equal(getLog(leader).readStatus().term, term);
        for (const replica of cluster.replicas) {
            yield* cluster.crashReplica(replica.id, 0);
        }
        for (const replica of cluster.replicas) {
            replica.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
            yield* cluster.startReplica(replica.id);
        }
        yield* TestClock.adjust(settleMs);
        yield* proposeAll(splitRoles(cluster).leader, ["three"]);
        for (const replica of cluster.replicas) {
            assert.deepEqual(replica.machine.listCommands(), ["one", "two", "three"]);
        }
    })));

// Guards against a vote that is given without being on disk, and against a candidate that waits for its own disk for ever.
void test("a replica whose disk is full gives no vote and does not campaign until the disk takes writes", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader, followers } = splitRoles(cluster);
        const [full, other] = followers as [TestReplica, TestReplica];
        full.memoryDisk.setFreeBytes(0);
        yield* proposeAll(leader, ["zero"]);
        yield* cluster.crashReplica(leader.id, 0);
        for (let passedMs = 0; passedMs < 10_000; passedMs += 100) {
            yield* TestClock.adjust(100);
            assert.equal(cluster.findLeader(), undefined);
            assert.equal(getLog(full).readStatus().role, "follower");
        }
        assert.equal(getLog(other).readStatus().role, "candidate");
        full.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
        yield* TestClock.adjust(settleMs);
        yield* proposeAll(splitRoles(cluster).leader, ["one"]);
    })));

const mebibyte = 1024 * 1024;
/** Commands that together exceed what may wait for a disk. */
const largeCommands = Array.from({ length: 40 }, (item, index) => `${index}`.padEnd(mebibyte, "."));

/** Commits the large commands while the disk of a follower fails; returns how many entries of 1 MiB wait for it. */
const countWaiting = Effect.fnUntraced(function*(cluster: TestCluster, failDisk: (disk: MemoryDisk) => void) {
    const { leader, followers } = splitRoles(cluster);
    const follower = followers[0] as TestReplica;
    failDisk(follower.memoryDisk);
    yield* proposeAll(leader, largeCommands);
    const written = getLog(leader).readStatus().lastIndex - largeCommands.length;
    return { follower, waiting: getLog(follower).readStatus().lastIndex - written };
});

// Guards against memory that grows until the process is ended while a disk stays full.
void test("a follower whose disk stays full takes a bounded number of entries, and catches up afterwards", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { follower, waiting } = yield* countWaiting(cluster, disk => disk.setFreeBytes(0));
        assert.ok(waiting <= 33, `${waiting} MiB wait for the disk`);
        follower.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
        yield* TestClock.adjust(10_000);
        assert.equal(follower.machine.listCommands().length, largeCommands.length);
    })));

// Guards against the same growth on the leader, whose commands do not wait for its own disk.
void test("a leader steps down when too much waits for its disk, and another one leads", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader } = splitRoles(cluster);
        leader.memoryDisk.setFreeBytes(0);
        for (const command of largeCommands) {
            yield* settle(getLog(cluster.findLeader() ?? leader).proposeCommand(command), 2_500);
        }
        assert.notEqual(splitRoles(cluster).leader, leader);
        leader.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
        yield* TestClock.adjust(10_000);
        yield* proposeAll(splitRoles(cluster).leader, ["last"]);
        assert.equal(leader.machine.listCommands().at(-1), "last");
    })));

/** Opens the storage of a replica and syncs its first entry. */
const openWithEntry = Effect.fnUntraced(function*(disk: Disk) {
    const opened = yield* openStorage(disk, "a", () => undefined);
    yield* Effect.forkScoped(Effect.ignore(opened.storage.runWrites));
    yield* Deferred.await(opened.storage.appendEntries([{ kind: "noop", index: 1, term: 1 }]));
    return opened;
});

// Guards against a snapshot that is written only in part, or whose log files are removed without it.
void test("a snapshot that met a full disk is written once the disk takes writes", () =>
    runTest(Effect.gen(function*() {
        const memoryDisk = createMemoryDisk();
        yield* Effect.scoped(Effect.gen(function*() {
            const { storage } = yield* openWithEntry(memoryDisk.disk);
            memoryDisk.setFreeBytes(0);
            const saved = storage.saveSnapshot({ index: 4, term: 2, members: [], data: new Uint8Array(100) }, true);
            const appended = storage.appendEntries([{ kind: "noop", index: 5, term: 2 }]);
            yield* TestClock.adjust(1_000);
            assert.equal(storage.syncedIndex(), 0);
            memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
            yield* TestClock.adjust(1_000);
            yield* Deferred.await(saved);
            yield* Deferred.await(appended);
            assert.equal(storage.syncedIndex(), 5);
        }));
        memoryDisk.crash(0);
        const { snapshot, window } = yield* loadStorage(memoryDisk.disk, "a");
        assert.deepEqual([snapshot?.index, window.lastIndex()], [4, 5]);
    })));

// Guards against votes and entries that wait for ever behind a snapshot for which the disk has no room, although they fit.
void test("a snapshot that does not fit holds up neither votes nor entries", () =>
    runTest(Effect.gen(function*() {
        const memoryDisk = createMemoryDisk();
        const { loaded, storage } = yield* openWithEntry(memoryDisk.disk);
        memoryDisk.setFreeBytes(10_000);
        storage.saveSnapshot({ index: 1, term: 1, members: [], data: new Uint8Array(20_000) }, false);
        const vote = storage.saveHardState({ ...loaded.hardState, term: 2 });
        const entries = storage.appendEntries([{ kind: "noop", index: 2, term: 2 }]);
        yield* TestClock.adjust(1_000);
        assert.ok(Deferred.isDoneUnsafe(vote) && Deferred.isDoneUnsafe(entries));
        assert.equal(storage.syncedIndex(), 2);
    })));

// Guards against a snapshot that is written again and again, with another log file each time, because covered files could
// not be removed.
void test("a failed removal of covered log files holds up nothing and leaves no file open", () =>
    runTest(Effect.gen(function*() {
        const memoryDisk = createMemoryDisk();
        yield* Effect.scoped(Effect.gen(function*() {
            const { storage } = yield* openWithEntry(memoryDisk.disk);
            memoryDisk.failFolderSync(true);
            storage.saveSnapshot({ index: 4, term: 2, members: [], data: new Uint8Array(100) }, true);
            const entries = storage.appendEntries([{ kind: "noop", index: 5, term: 2 }]);
            yield* TestClock.adjust(60_000);
            assert.ok(Deferred.isDoneUnsafe(entries));
            assert.ok(memoryDisk.listNames().filter(name => name.startsWith("log-")).length <= 2);
            assert.equal(memoryDisk.countOpen(), 1);
            memoryDisk.failFolderSync(false);
            yield* Deferred.await(
                storage.saveSnapshot({ index: 5, term: 2, members: [], data: new Uint8Array(100) }, false),
            );
            assert.equal(memoryDisk.listNames().filter(name => name.startsWith("log-")).length, 1);
        }));
        assert.equal(memoryDisk.countOpen(), 0);
        const { snapshot, window } = yield* loadStorage(memoryDisk.disk, "a");
        assert.deepEqual([snapshot?.index, window.lastIndex()], [5, 5]);
    })));

// Guards against an acknowledgement of entries that only the cache of the system holds, which a power loss then takes.
void test("records that a killed process did not sync count as synced after the restart only once they are on disk", () =>
    runTest(Effect.gen(function*() {
        const memoryDisk = createMemoryDisk();
        yield* Effect.scoped(Effect.gen(function*() {
            const { storage } = yield* openStorage(memoryDisk.disk, "a", () => undefined);
            yield* Effect.forkScoped(Effect.ignore(storage.runWrites));
            memoryDisk.setSyncDelay(1_000);
            storage.appendEntries([{ kind: "noop", index: 1, term: 1 }]);
            yield* TestClock.adjust(10);
        }));
        memoryDisk.endProcess();
        memoryDisk.setSyncDelay(0);
        const synced = yield* Effect.scoped(Effect.map(
            openStorage(memoryDisk.disk, "a", () => undefined),
            ({ storage }) => storage.syncedIndex(),
        ));
        memoryDisk.crash(0);
        const { window } = yield* loadStorage(memoryDisk.disk, "a");
        assert.equal(window.lastIndex(), synced);
    })));

// Guards against memory that grows with a disk that answers nothing, which reports no error.
void test("a follower whose disk answers nothing takes a bounded number of entries", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { waiting } = yield* countWaiting(cluster, disk => disk.setSyncDelay(600_000));
        assert.ok(waiting <= 33, `${waiting} MiB wait for the disk`);
    })));

// Guards against a restart that reads from the cache of the system what a failed sync left there, and syncs it with success.
void test("a record whose sync failed is not read again after a restart of the process", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(1);
        const replica = cluster.getReplica("a");
        yield* proposeAll(replica, ["one"]);
        replica.memoryDisk.failSync(true);
        yield* settle(getLog(replica).proposeCommand("two"));
        assert.equal(getLog(replica).readStatus().role, "stopped");
        replica.memoryDisk.failSync(false);
        // With the share 1 the end keeps what was written and not synced, as the end of a process does.
        yield* cluster.crashReplica("a", 1);
        yield* cluster.startReplica("a");
        yield* TestClock.adjust(3_000);
        assert.deepEqual(replica.machine.listCommands(), ["one"]);
    })));
