import type { Disk, ErrorData } from "@chestnutspool/types";
import { Deferred, Effect, Exit } from "effect";
import { TestClock } from "effect/testing";
import fc from "fast-check";
import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { createMemoryDisk } from "./fakes/memory-disk.js";
import {
    createListMachine,
    getError,
    getLog,
    proposeAll,
    runTest,
    settle,
    startCluster,
    testLogSection,
} from "./fakes/test-cluster.js";
import { openFileDisk } from "./file-disk.js";
import { loadStorage } from "./load-storage.js";
import type { LogEntry } from "./messages.js";
import { decodeLog, encodeRecord, encodeValue, type LogRecord } from "./record.js";
import { openStorage } from "./storage.js";

const seed = 4_096;
const segment = "log-0000000001";

const recordArbitrary: fc.Arbitrary<LogRecord> = fc
    .array(fc.string({ minLength: 1, maxLength: 300 }), { minLength: 1, maxLength: 3 })
    .map(texts => ({
        kind: "entries",
        entries: texts.map((text, index) => ({ kind: "command", index: index + 1, term: 1, data: encodeValue(text) })),
    }));
const recordsArbitrary = fc.array(recordArbitrary, { minLength: 1, maxLength: 5 });

// Guards against lost records before a torn end, and against a torn end that stops a replica.
void test("a file truncated at any byte gives the whole records before that byte", () => {
    fc.assert(
        fc.property(recordsArbitrary, fc.nat(), (records, cut) => {
            const parts = records.map(encodeRecord);
            const bytes = Buffer.concat(parts);
            const length = cut % (bytes.length + 1);
            const decoded = decodeLog(segment, bytes.subarray(0, length), true).unsafeCoerce();
            let whole = 0;
            let end = 0;
            while (whole < parts.length && end + (parts[whole] as Uint8Array).length <= length) {
                end += (parts[whole] as Uint8Array).length;
                whole += 1;
            }
            assert.equal(decoded.records.length, whole);
            assert.equal(decoded.wholeBytes, end);
        }),
        { seed, numRuns: 500 },
    );
});

// Guards against damage that is mistaken for a torn end, which would drop acknowledged entries without an error.
void test("a file with any one byte changed is refused", () => {
    fc.assert(
        fc.property(recordsArbitrary, fc.nat(), fc.integer({ min: 1, max: 255 }), (records, position, change) => {
            const bytes = Buffer.concat(records.map(encodeRecord));
            const offset = position % bytes.length;
            bytes.writeUInt8(bytes.readUInt8(offset) ^ change, offset);
            assert.equal(decodeLog(segment, bytes, true).swap().unsafeCoerce().kind, "corruptRecord");
        }),
        { seed, numRuns: 500 },
    );
});

const startSingleReplica = Effect.fnUntraced(function*(commands: readonly string[]) {
    const cluster = yield* startCluster(1);
    const replica = cluster.getReplica("a");
    yield* proposeAll(replica, commands);
    return { cluster, replica, disk: replica.memoryDisk };
});

void test("a torn last record is cut off, and what is written after it is read again", () =>
    runTest(Effect.gen(function*() {
        const { cluster, replica, disk } = yield* startSingleReplica(["one", "two"]);
        yield* cluster.crashReplica("a", 0);
        const whole = disk.readBytes(segment);
        const data = encodeValue("lost".repeat(500));
        const torn = encodeRecord({ kind: "entries", entries: [{ kind: "command", index: 9, term: 9, data }] });
        const unwrittenSectors = Buffer.from(torn);
        unwrittenSectors.fill(0, 700);
        for (const end of [torn.subarray(0, 20), Buffer.alloc(600), unwrittenSectors]) {
            disk.writeBytes(segment, Buffer.concat([whole, end]));
            yield* cluster.startReplica("a");
            yield* TestClock.adjust(3_000);
            yield* proposeAll(replica, ["three"]);
            yield* cluster.crashReplica("a", 0);
            yield* cluster.startReplica("a");
            yield* TestClock.adjust(3_000);
            assert.deepEqual(replica.machine.listCommands(), ["one", "two", "three"]);
            yield* cluster.crashReplica("a", 0);
        }
    })));

for (const [name, offset] of [[segment, 40], [segment, -1], ["hard-state", 10], ["snapshot", 10]] as const) {
    void test(`a changed byte at ${offset} of ${name} stops the start and names the file`, () =>
        runTest(Effect.gen(function*() {
            const snapshotEveryEntries = name === "snapshot" ? 2 : 1_000;
            const cluster = yield* startCluster(1, { ...testLogSection, snapshotEveryEntries });
            const { memoryDisk } = cluster.getReplica("a");
            yield* cluster.crashReplica("a", 0);
            memoryDisk.flipByte(name, offset);
            const error = getError(yield* Effect.exit(cluster.startReplica("a")));
            assert.ok(error.kind === "corruptRecord" && error.file === name, JSON.stringify(error));
        })));
}

void test("a lost hard state beside a log is refused, because the vote of the term is unknown", () =>
    runTest(Effect.gen(function*() {
        const { cluster, disk } = yield* startSingleReplica(["one"]);
        yield* cluster.crashReplica("a", 0);
        yield* disk.disk.removeFile("hard-state");
        assert.equal(getError(yield* Effect.exit(cluster.startReplica("a"))).kind, "corruptRecord");
    })));

void test("a failing sync stops the replica permanently, also when the disk works again", () =>
    runTest(Effect.gen(function*() {
        const { replica, disk } = yield* startSingleReplica(["one"]);
        disk.failSync(true);
        const syncs = disk.countSyncs() + 1;
        const open = yield* settle(getLog(replica).proposeCommand("two"));
        assert.equal(getError(open).kind, "outcomeUnknown");
        disk.failSync(false);
        const later = yield* settle(getLog(replica).proposeCommand("three"));
        assert.equal(getError(later).kind, "storageFailed");
        assert.equal(getLog(replica).readStatus().role, "stopped");
        assert.equal(disk.countSyncs(), syncs, "a failed sync was repeated");
        assert.deepEqual(replica.machine.listCommands(), ["one"]);
    })));

// Guards against a reply before the sync, and against one sync for each command.
void test("commands are answered after their sync, and concurrent commands share syncs", () =>
    runTest(Effect.gen(function*() {
        const { replica, disk } = yield* startSingleReplica([]);
        disk.setSyncDelay(50);
        const syncs = disk.countSyncs();
        const commands = Array.from({ length: 200 }, (item, index) => `command-${index}`);
        const all = Effect.forEach(commands, getLog(replica).proposeCommand, { concurrency: "unbounded" });
        const started = yield* Effect.forkChild(all);
        yield* TestClock.adjust(40);
        assert.deepEqual(replica.machine.listCommands(), []);
        yield* TestClock.adjust(200);
        assert.ok(started.pollUnsafe() !== undefined);
        assert.deepEqual(replica.machine.listCommands(), commands);
        assert.ok(disk.countSyncs() - syncs <= 3, `${disk.countSyncs() - syncs} syncs`);
    })));

function buildEntries(from: number, to: number, term: number): LogEntry[] {
    return Array.from({ length: to - from + 1 }, (item, step) => ({ kind: "noop", index: from + step, term }));
}

// Guards against the loss of entries that follow a received snapshot when the replaced log was longer.
void test("entries after a snapshot that replaced a longer log are read again", () =>
    runTest(Effect.gen(function*() {
        const { disk } = createMemoryDisk();
        yield* Effect.scoped(Effect.gen(function*() {
            const { storage } = yield* openStorage(disk, "a", () => undefined);
            yield* Effect.forkScoped(Effect.ignore(storage.runWrites));
            yield* Deferred.await(storage.appendEntries(buildEntries(1, 10, 1)));
            const snapshot = { index: 5, term: 2, members: [], data: new Uint8Array(3) };
            yield* Deferred.await(storage.saveSnapshot(snapshot, true));
            yield* Deferred.await(storage.appendEntries(buildEntries(6, 7, 2)));
            assert.equal(storage.syncedIndex(), 7);
        }));
        const { window } = yield* loadStorage(disk, "a");
        assert.deepEqual([window.baseIndex(), window.lastIndex(), window.lastTerm()], [5, 7, 2]);
    })));

// Guards against a second vote in a term whose entries are on disk while the term itself is not.
void test("a term is on disk before the entries of the term, whatever a crash leaves", () =>
    runTest(Effect.gen(function*() {
        for (const crashMs of [10, 60, 110, 160]) {
            const memoryDisk = createMemoryDisk();
            yield* Effect.scoped(Effect.gen(function*() {
                const { loaded, storage } = yield* openStorage(memoryDisk.disk, "a", () => undefined);
                memoryDisk.setSyncDelay(50);
                storage.appendEntries(buildEntries(1, 1, 1));
                storage.saveHardState({ ...loaded.hardState, term: 2 });
                storage.appendEntries(buildEntries(2, 2, 2));
                yield* Effect.forkScoped(Effect.ignore(storage.runWrites));
                yield* TestClock.adjust(crashMs);
            }));
            memoryDisk.crash(0);
            const { window, hardState } = yield* loadStorage(memoryDisk.disk, "a");
            assert.ok(window.lastTerm() <= hardState.term, `entries of term ${window.lastTerm()} without the term`);
            assert.equal(window.lastIndex(), crashMs > 100 ? 2 : 0);
        }
    })));

const runWithFolder = (body: (disk: Disk) => Effect.Effect<void, ErrorData>) =>
    Effect.acquireUseRelease(
        Effect.promise(() => mkdtemp(join(tmpdir(), "replicated-log-"))),
        folder => Effect.flatMap(openFileDisk(join(folder, "data")), body),
        folder => Effect.promise(() => rm(folder, { recursive: true })),
    );

void test("a real folder keeps log, hard state and snapshot over a restart", async () => {
    const machine = createListMachine();
    await Effect.runPromise(runWithFolder(disk =>
        Effect.gen(function*() {
            const identities: string[] = [];
            for (const round of [1, 2, 3]) {
                yield* Effect.scoped(Effect.gen(function*() {
                    const { loaded, storage } = yield* openStorage(disk, "a", () => undefined);
                    identities.push(loaded.hardState.identity);
                    assert.equal(loaded.hardState.term, round - 1);
                    assert.equal(loaded.window.lastIndex(), (round - 1) * 2);
                    yield* Effect.forkScoped(Effect.ignore(storage.runWrites));
                    const last = loaded.window.lastIndex();
                    const entries = [1, 2].map(step => ({ kind: "noop" as const, index: last + step, term: round }));
                    const snapshot = { index: last + 1, term: round, members: [], data: machine.takeSnapshot() };
                    storage.saveHardState({ ...loaded.hardState, term: round });
                    storage.appendEntries(entries);
                    const saved = storage.saveSnapshot(snapshot, false);
                    yield* Deferred.await(saved);
                }));
            }
            assert.equal(new Set(identities).size, 1);
        })
    ));
});

void test("file names that could leave the data folder are refused", async () => {
    await Effect.runPromise(runWithFolder(disk =>
        Effect.gen(function*() {
            for (const name of ["../outside", "/etc/passwd", "a/b", "..", ".", "", "a\0b", "hard-state.tmp"]) {
                for (
                    const use of [disk.readFile(name), disk.replaceFile(name, Buffer.alloc(1)), disk.removeFile(name)]
                ) {
                    assert.equal(getError(yield* Effect.exit<unknown, ErrorData, never>(use)).kind, "invalidArgument");
                }
                const opened = yield* Effect.exit(Effect.scoped(disk.openAppend(name)));
                assert.ok(Exit.isFailure(opened));
            }
        })
    ));
});
