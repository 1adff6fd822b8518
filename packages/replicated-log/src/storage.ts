import type { AppendFile, Disk, ErrorData, StorageStatus } from "@chestnutspool/types";
import { Deferred, Effect, Exit, Queue, Scope } from "effect";
import {
    createSegment,
    hardStateFile,
    type LoadedStorage,
    loadStorage,
    type Segment,
    snapshotFile,
} from "./load-storage.js";
import type { HardState, LogEntry, Snapshot } from "./messages.js";
import { encodeFile, encodeRecord, type LogRecord } from "./record.js";

/** Completes when a write is synced; fails with `storageFailed`. */
export type SyncCompletion = Deferred.Deferred<void, ErrorData>;

interface EntriesItem {
    readonly kind: "entries";
    readonly entries: readonly LogEntry[];
    /** Index up to which the log is synced after this write; lowered when the entries are replaced meanwhile. */
    syncedIndex: number;
    readonly done: SyncCompletion;
}

type WriteItem =
    | EntriesItem
    | { readonly kind: "hardState"; readonly state: HardState; readonly done: SyncCompletion; }
    | {
        readonly kind: "snapshot";
        readonly snapshot: Snapshot;
        readonly replacesLog: boolean;
        readonly done: SyncCompletion;
    };

/** Storage of one replica. One fiber performs the writes in the order of the requests; only term and vote go first. */
export interface LogStorage {
    /** Index up to which the log in memory is synced. */
    readonly syncedIndex: () => number;
    /** Requests the write of entries that are already in memory. */
    readonly appendEntries: (entries: readonly LogEntry[]) => SyncCompletion;
    /** Records that the entries after an index were removed from memory. */
    readonly dropAfter: (index: number) => void;
    /** Completes when all entries and snapshots requested so far are synced. */
    readonly findLastWrite: () => SyncCompletion;
    readonly saveHardState: (state: HardState) => SyncCompletion;
    /** Writes a snapshot and removes the log files that it covers; with `replacesLog` it replaces all entries. */
    readonly saveSnapshot: (snapshot: Snapshot, replacesLog: boolean) => SyncCompletion;
    readonly readStatus: () => StorageStatus;
    /** Performs the requested writes; ends with the first error, after which every write fails with the same error. */
    readonly runWrites: Effect.Effect<never, ErrorData>;
}

interface Writer {
    readonly disk: Disk;
    segments: Segment[];
    current: Segment;
    file: AppendFile;
    fileScope: Scope.Closeable;
    snapshotBytes: number;
}

const openSegment = Effect.fnUntraced(function*(disk: Disk, segment: Segment) {
    const fileScope = yield* Scope.make();
    const file = yield* Scope.provide(disk.openAppend(segment.name), fileScope);
    return { file, fileScope };
});

const openWriter = Effect.fnUntraced(function*(disk: Disk, loaded: LoadedStorage) {
    const current = loaded.segments.at(-1) ?? createSegment(1);
    const opened = yield* openSegment(disk, current);
    const segments = loaded.segments.length > 0 ? [...loaded.segments] : [current];
    const snapshotBytes = loaded.snapshot?.data.length ?? 0;
    const writer: Writer = { disk, segments, current, ...opened, snapshotBytes };
    return writer;
});

const writeRecord = Effect.fnUntraced(function*(writer: Writer, record: LogRecord, highestIndex: number) {
    yield* writer.file.append(encodeRecord(record));
    yield* writer.file.sync;
    writer.current.lastIndex = Math.max(writer.current.lastIndex, highestIndex);
    writer.current.bytes = writer.file.lengthBytes();
});

/** Starts a new log file and removes the files whose entries the snapshot covers. */
const rollSegment = Effect.fnUntraced(function*(writer: Writer, coveredIndex: number) {
    if (writer.current.lastIndex > 0) {
        const next = createSegment(writer.current.sequence + 1);
        const opened = yield* openSegment(writer.disk, next);
        yield* Scope.close(writer.fileScope, Exit.void);
        Object.assign(writer, opened);
        writer.current = next;
        writer.segments.push(next);
    }
    // The oldest file is removed first, so that a crash in between leaves no gap.
    for (const segment of [...writer.segments]) {
        if (segment === writer.current || segment.lastIndex > coveredIndex) {
            break;
        }
        yield* writer.disk.removeFile(segment.name);
        writer.segments = writer.segments.filter(kept => kept !== segment);
    }
});

/** Writes the entries of consecutive items as one record with one sync. */
const writeEntries = Effect.fnUntraced(function*(writer: Writer, items: readonly EntriesItem[]) {
    const entries = items.flatMap(item => item.entries);
    const highestIndex = entries.reduce((highest, entry) => Math.max(highest, entry.index), 0);
    yield* writeRecord(writer, { kind: "entries", entries }, highestIndex);
});

const writeSnapshot = Effect.fnUntraced(function*(writer: Writer, snapshot: Snapshot, replacesLog: boolean) {
    const bytes = encodeFile(snapshot);
    yield* writer.disk.replaceFile(snapshotFile, bytes);
    writer.snapshotBytes = bytes.length;
    if (replacesLog) {
        const { index, term } = snapshot;
        yield* writeRecord(writer, { kind: "reset", index, term }, index);
    }
    yield* rollSegment(writer, snapshot.index);
});

/** Loads and opens the storage of a replica. `onSynced` is called after each sync of entries or a snapshot. */
export const openStorage = Effect.fnUntraced(function*(disk: Disk, self: string, onSynced: () => void) {
    const loaded = yield* loadStorage(disk, self);
    const writer = yield* openWriter(disk, loaded);
    yield* Effect.addFinalizer(() => Scope.close(writer.fileScope, Exit.void));
    if (loaded.needsReset) {
        const { index, term } = loaded.snapshot as Snapshot;
        yield* writeRecord(writer, { kind: "reset", index, term }, index);
    }
    const items = yield* Queue.unbounded<WriteItem>();
    const pendingItems = new Set<WriteItem>();
    let syncedIndex = loaded.window.lastIndex();
    let failure: ErrorData | undefined;
    let lastWrite: SyncCompletion = Deferred.makeUnsafe();
    Deferred.doneUnsafe(lastWrite, Effect.void);

    const requestWrite = (item: WriteItem): SyncCompletion => {
        lastWrite = item.kind === "hardState" ? lastWrite : item.done;
        if (failure !== undefined) {
            Deferred.doneUnsafe(item.done, Effect.fail(failure));
            return item.done;
        }
        pendingItems.add(item);
        Queue.offerUnsafe(items, item);
        return item.done;
    };
    const complete = (item: WriteItem): void => {
        pendingItems.delete(item);
        Deferred.doneUnsafe(item.done, Effect.void);
    };
    const dropAfter = (index: number): void => {
        syncedIndex = Math.min(syncedIndex, index);
        for (const item of pendingItems) {
            if (item.kind === "entries") {
                item.syncedIndex = Math.min(item.syncedIndex, index);
            }
        }
    };
    const completeEntries = (done: readonly EntriesItem[]): void => {
        for (const item of done) {
            syncedIndex = Math.max(syncedIndex, item.syncedIndex);
            complete(item);
        }
        onSynced();
    };

    const writeBatch = Effect.fnUntraced(function*(batch: readonly WriteItem[]) {
        // Term and vote go first: entries of a term on disk without the term itself would allow a second vote in it.
        const hardStates = batch.filter(item => item.kind === "hardState");
        const lastState = hardStates.at(-1);
        if (lastState !== undefined) {
            yield* disk.replaceFile(hardStateFile, encodeFile(lastState.state));
            hardStates.forEach(complete);
        }
        let group: EntriesItem[] = [];
        for (const item of batch) {
            if (item.kind === "entries") {
                group.push(item);
            }
            else if (item.kind === "snapshot") {
                if (group.length > 0) {
                    yield* writeEntries(writer, group);
                    completeEntries(group);
                    group = [];
                }
                yield* writeSnapshot(writer, item.snapshot, item.replacesLog);
                syncedIndex = item.replacesLog ? Math.max(syncedIndex, item.snapshot.index) : syncedIndex;
                complete(item);
                onSynced();
            }
        }
        if (group.length > 0) {
            yield* writeEntries(writer, group);
            completeEntries(group);
        }
    });

    // After a failed sync the kernel may drop the dirty pages and report success next time, so nothing is retried.
    const stopWrites = (error: ErrorData): void => {
        failure = error;
        for (const item of pendingItems) {
            Deferred.doneUnsafe(item.done, Effect.fail(error));
        }
        pendingItems.clear();
    };

    const storage: LogStorage = {
        syncedIndex: () => syncedIndex,
        appendEntries: entries => {
            const last = (entries.at(-1) as LogEntry).index;
            return requestWrite({ kind: "entries", entries, syncedIndex: last, done: Deferred.makeUnsafe() });
        },
        dropAfter,
        findLastWrite: () => lastWrite,
        saveHardState: state => requestWrite({ kind: "hardState", state, done: Deferred.makeUnsafe() }),
        saveSnapshot: (snapshot, replacesLog) => {
            if (replacesLog) {
                dropAfter(0);
            }
            return requestWrite({ kind: "snapshot", snapshot, replacesLog, done: Deferred.makeUnsafe() });
        },
        readStatus: () => ({
            state: failure === undefined ? "working" : "stopped",
            storedBytes: writer.segments.reduce((sum, segment) => sum + segment.bytes, writer.snapshotBytes),
        }),
        runWrites: Effect.gen(function*() {
            while (true) {
                yield* writeBatch(yield* Queue.takeAll(items));
            }
        }).pipe(Effect.tapError(error => Effect.sync(() => stopWrites(error)))),
    };
    return { loaded, storage };
});
