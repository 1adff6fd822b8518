import { type Disk, type ErrorData, readMonotonicMs, type StorageStatus } from "@chestnutspool/types";
import { Deferred, Effect, Queue } from "effect";
import { loadStorage, type RepeatWrite } from "./load-storage.js";
import { openLogWriter, type WriteFault } from "./log-writer.js";
import type { HardState, LogEntry, Snapshot } from "./messages.js";

/** Pause before a failed write is repeated, in milliseconds. */
const writeRetryMs = 200;
/**
 * Size of the entries that wait for the disk, in bytes, from which on the replica takes no more; a tenth of the smallest memory
 * limit of a control process.
 */
const waitingLimitBytes = 32 * 1024 * 1024;
/** Size from which on further entries go into another record, in bytes; a disk that was full finds many entries waiting. */
const recordLimitBytes = 1024 * 1024;

/** Completes when a write is synced; fails with `storageFailed`. */
export type SyncCompletion = Deferred.Deferred<void, ErrorData>;

interface EntriesItem {
    readonly kind: "entries";
    readonly entries: readonly LogEntry[];
    /** Index up to which the log is synced after this write; lowered when the entries are replaced meanwhile. */
    syncedIndex: number;
    readonly done: SyncCompletion;
}

interface HardStateItem {
    readonly kind: "hardState";
    readonly state: HardState;
    readonly done: SyncCompletion;
}

interface SnapshotItem {
    readonly kind: "snapshot";
    /** Undefined once a later snapshot takes its place, so that a slow disk does not keep several in memory. */
    snapshot: Snapshot | undefined;
    readonly replacesLog: boolean;
    readonly done: SyncCompletion;
}

type WriteItem = EntriesItem | HardStateItem | SnapshotItem;

/** Requests that are carried out together. */
type WriteStep =
    | { readonly kind: "entries"; readonly items: readonly EntriesItem[]; }
    | { readonly kind: "hardState"; readonly state: HardState; readonly items: readonly HardStateItem[]; }
    | { readonly kind: "snapshot"; readonly items: readonly [SnapshotItem]; };

/** What happens to the writes: the disk stops or starts to take them, or work that can wait is left out. */
export type StorageChange =
    | { readonly kind: "failing"; readonly error: ErrorData; }
    | { readonly kind: "working"; readonly failedForMs: number; }
    | { readonly kind: "skipped"; readonly work: "snapshot" | "removal of log files"; readonly error: ErrorData; };

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
    /** Whether more entries may be requested: little waits for the disk, which may be full, slow or silent. */
    readonly hasRoom: () => boolean;
    /**
     * Performs the requested writes and repeats those that fail, as on a full disk. Ends with the first failed sync of a log
     * file, after which every write fails with the same error.
     */
    readonly runWrites: Effect.Effect<never, ErrorData>;
}

function countEntryBytes(entries: readonly LogEntry[]): number {
    return entries.reduce((sum, entry) => sum + (entry.kind === "command" ? entry.data.length : 0), 0);
}

/**
 * Divides requests into writes. Term and vote go first: entries of a term on disk without the term itself would allow a
 * second vote in it. Consecutive entries share a record.
 */
function* listSteps(batch: readonly WriteItem[]): Generator<WriteStep> {
    const hardStates = batch.filter(item => item.kind === "hardState");
    const lastState = hardStates.at(-1);
    if (lastState !== undefined) {
        yield { kind: "hardState", state: lastState.state, items: hardStates };
    }
    let group: EntriesItem[] = [];
    let groupBytes = 0;
    for (const item of batch) {
        if (item.kind === "hardState") {
            continue;
        }
        if (group.length > 0 && (item.kind === "snapshot" || groupBytes >= recordLimitBytes)) {
            yield { kind: "entries", items: group };
            group = [];
            groupBytes = 0;
        }
        if (item.kind === "snapshot") {
            yield { kind: "snapshot", items: [item] };
        }
        else {
            group.push(item);
            groupBytes += countEntryBytes(item.entries);
        }
    }
    if (group.length > 0) {
        yield { kind: "entries", items: group };
    }
}

/** Performs a write; returns its fault, or undefined when it succeeded. */
function findFault(write: Effect.Effect<void, WriteFault>): Effect.Effect<WriteFault | undefined> {
    return Effect.match(write, { onFailure: fault => fault, onSuccess: () => undefined });
}

/**
 * Repeats the write of a whole file at the start while the disk is full. Other failures, such as a folder without permission,
 * end the start.
 */
const repeatWhileFull = (onChange: (change: StorageChange) => void): RepeatWrite =>
    Effect.fnUntraced(function*(write) {
        let failingSinceMs: number | undefined;
        while (true) {
            const error = yield* Effect.match(write, { onFailure: failed => failed, onSuccess: () => undefined });
            const nowMs = yield* readMonotonicMs;
            if (error === undefined) {
                if (failingSinceMs !== undefined) {
                    onChange({ kind: "working", failedForMs: nowMs - failingSinceMs });
                }
                return;
            }
            if (error.kind !== "storageFailed" || error.isFull !== true) {
                return yield* Effect.fail(error);
            }
            if (failingSinceMs === undefined) {
                failingSinceMs = nowMs;
                onChange({ kind: "failing", error });
            }
            yield* Effect.sleep(writeRetryMs);
        }
    });

/**
 * Loads and opens the storage of a replica. `onSynced` is called after each sync of entries or a snapshot, `onChange` when
 * the disk stops or starts to take writes and when work is left out.
 */
export const openStorage = Effect.fnUntraced(function*(
    disk: Disk,
    self: string,
    onSynced: () => void,
    onChange: (change: StorageChange) => void = () => undefined,
) {
    const loaded = yield* loadStorage(disk, self, repeatWhileFull(onChange));
    const writer = yield* openLogWriter(disk, loaded);
    if (loaded.needsReset) {
        yield* Effect.mapError(writer.writeReset(loaded.snapshot as Snapshot), fault => fault.error);
    }
    const items = yield* Queue.unbounded<WriteItem>();
    const pendingItems = new Set<WriteItem>();
    let pendingBytes = 0;
    let syncedIndex = loaded.window.lastIndex();
    /** When the write that is being repeated failed first, in monotonic milliseconds. */
    let failingSinceMs: number | undefined;
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
        pendingBytes += item.kind === "entries" ? countEntryBytes(item.entries) : 0;
        Queue.offerUnsafe(items, item);
        return item.done;
    };
    const dropAfter = (index: number): void => {
        syncedIndex = Math.min(syncedIndex, index);
        for (const item of pendingItems) {
            if (item.kind === "entries") {
                item.syncedIndex = Math.min(item.syncedIndex, index);
            }
        }
    };

    /** Drops the snapshots of the own state that wait for the disk, in favour of a later one. */
    const dropWaitingSnapshots = (): void => {
        for (const item of pendingItems) {
            if (item.kind === "snapshot" && !item.replacesLog) {
                item.snapshot = undefined;
            }
        }
    };

    const complete = (item: WriteItem): void => {
        if (item.kind === "entries") {
            syncedIndex = Math.max(syncedIndex, item.syncedIndex);
            pendingBytes -= countEntryBytes(item.entries);
        }
        if (item.kind === "snapshot" && item.replacesLog && item.snapshot !== undefined) {
            syncedIndex = Math.max(syncedIndex, item.snapshot.index);
        }
        pendingItems.delete(item);
        Deferred.doneUnsafe(item.done, Effect.void);
    };

    /** Performs a write; repeats it while the disk takes no writes. */
    const repeatWrite = Effect.fnUntraced(function*(write: Effect.Effect<void, WriteFault>) {
        while (true) {
            const fault = yield* findFault(write);
            const nowMs = yield* readMonotonicMs;
            if (fault === undefined) {
                if (failingSinceMs !== undefined) {
                    onChange({ kind: "working", failedForMs: nowMs - failingSinceMs });
                    failingSinceMs = undefined;
                }
                return;
            }
            // After a failed sync the kernel may drop the dirty pages and report success next time.
            if (fault.operation === "sync") {
                return yield* Effect.fail(fault.error);
            }
            if (failingSinceMs === undefined) {
                failingSinceMs = nowMs;
                onChange({ kind: "failing", error: fault.error });
            }
            yield* Effect.sleep(writeRetryMs);
        }
    });

    /** Attempts work that later snapshots make up for; false when it failed. */
    const attemptWork = Effect.fnUntraced(function*(
        work: Extract<StorageChange, { kind: "skipped"; }>["work"],
        write: Effect.Effect<void, WriteFault>,
    ) {
        const fault = yield* findFault(write);
        if (fault !== undefined) {
            onChange({ kind: "skipped", work, error: fault.error });
        }
        return fault === undefined;
    });

    /**
     * Writes a snapshot. One that replaces the log is repeated like entries. One of the replica's own state is left out when it
     * does not fit, because votes and entries wait behind it and the log still has all entries.
     */
    const writeSnapshot = Effect.fnUntraced(function*({ snapshot, replacesLog }: SnapshotItem) {
        if (snapshot === undefined) {
            return;
        }
        const write = writer.writeSnapshot(snapshot);
        if (replacesLog) {
            yield* repeatWrite(write);
            yield* repeatWrite(writer.writeReset(snapshot));
        }
        else if (!(yield* attemptWork("snapshot", write))) {
            return;
        }
        yield* attemptWork("removal of log files", writer.removeCovered(snapshot));
    });

    const writeStep = (step: WriteStep): Effect.Effect<void, ErrorData> => {
        switch (step.kind) {
            case "hardState":
                return repeatWrite(writer.writeHardState(step.state));
            case "entries":
                return repeatWrite(writer.writeEntries(step.items.flatMap(item => item.entries)));
            case "snapshot":
                return writeSnapshot(step.items[0]);
        }
    };

    const runStep = Effect.fnUntraced(function*(step: WriteStep) {
        yield* writeStep(step);
        step.items.forEach(complete);
        if (step.kind !== "hardState") {
            onSynced();
        }
    });

    const stopWrites = (error: ErrorData): void => {
        failure = error;
        for (const item of pendingItems) {
            Deferred.doneUnsafe(item.done, Effect.fail(error));
        }
        pendingItems.clear();
        pendingBytes = 0;
    };

    const readState = (): StorageStatus["state"] => {
        if (failure !== undefined) {
            return "stopped";
        }
        return failingSinceMs === undefined ? "working" : "failing";
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
            else {
                dropWaitingSnapshots();
            }
            return requestWrite({ kind: "snapshot", snapshot, replacesLog, done: Deferred.makeUnsafe() });
        },
        readStatus: () => ({ state: readState(), storedBytes: writer.countBytes() }),
        hasRoom: () => pendingBytes < waitingLimitBytes,
        runWrites: Effect.gen(function*() {
            while (true) {
                for (const step of listSteps(yield* Queue.takeAll(items))) {
                    yield* runStep(step);
                }
            }
        }).pipe(Effect.tapError(error => Effect.sync(() => stopWrites(error)))),
    };
    return { loaded, storage };
});
