import type { AppendFile, Disk, ErrorData } from "@chestnutspool/types";
import { Effect, Exit, Scope } from "effect";
import { createSegment, hardStateFile, type LoadedStorage, type Segment, snapshotFile } from "./load-storage.js";
import type { HardState, LogEntry, Snapshot } from "./messages.js";
import { encodeFile, encodeRecord, encodeSnapshotFile, type LogRecord } from "./record.js";

/** Why a write failed. A failed `write` can be repeated; after a failed `sync` of a log file nothing is known of its content. */
export interface WriteFault {
    readonly operation: "write" | "sync";
    readonly error: ErrorData;
}

/** Writes the files of one replica. A write that failed may be repeated: it then replaces what the failed one left. */
export interface LogWriter {
    readonly writeHardState: (state: HardState) => Effect.Effect<void, WriteFault>;
    /** Writes entries as one record with one sync. */
    readonly writeEntries: (entries: readonly LogEntry[]) => Effect.Effect<void, WriteFault>;
    readonly writeSnapshot: (snapshot: Snapshot) => Effect.Effect<void, WriteFault>;
    /** Writes the record that empties the log, which continues after the snapshot. */
    readonly writeReset: (snapshot: Snapshot) => Effect.Effect<void, WriteFault>;
    /** Starts a new log file and removes the files whose entries the snapshot covers. */
    readonly removeCovered: (snapshot: Snapshot) => Effect.Effect<void, WriteFault>;
    /** Size of the log files and the snapshot in bytes. */
    readonly countBytes: () => number;
}

interface Files {
    readonly disk: Disk;
    segments: Segment[];
    current: Segment;
    file: AppendFile;
    fileScope: Scope.Closeable;
    snapshotBytes: number;
    /** Whether a failed write may have left a part of a record at the end of the current file. */
    hasPartialRecord: boolean;
}

function failAs(operation: WriteFault["operation"]) {
    return <Value>(effect: Effect.Effect<Value, ErrorData>): Effect.Effect<Value, WriteFault> =>
        Effect.mapError(effect, error => ({ operation, error }));
}

const openSegment = Effect.fnUntraced(function*(disk: Disk, segment: Segment) {
    const fileScope = yield* Scope.make();
    const opened = yield* Effect.exit(Scope.provide(disk.openAppend(segment.name), fileScope));
    if (Exit.isFailure(opened)) {
        yield* Scope.close(fileScope, Exit.void);
        return yield* Effect.failCause(opened.cause);
    }
    return { file: opened.value, fileScope };
});

const openFiles = Effect.fnUntraced(function*(disk: Disk, loaded: LoadedStorage) {
    const current = loaded.segments.at(-1) ?? createSegment(1);
    const opened = yield* openSegment(disk, current);
    const segments = loaded.segments.length > 0 ? [...loaded.segments] : [current];
    const snapshotBytes = loaded.snapshot?.data.length ?? 0;
    const files: Files = { disk, segments, current, ...opened, snapshotBytes, hasPartialRecord: false };
    return files;
});

const writeRecord = Effect.fnUntraced(function*(files: Files, record: LogRecord, highestIndex: number) {
    const { file, current } = files;
    if (files.hasPartialRecord) {
        yield* failAs("write")(file.truncate(current.bytes));
    }
    files.hasPartialRecord = true;
    yield* failAs("write")(file.append(encodeRecord(record)));
    files.hasPartialRecord = false;
    // After a failed sync the cache of the system may hold what the disk does not, and a restart would read it.
    yield* failAs("sync")(Effect.onError(file.sync, () => Effect.ignore(file.truncate(current.bytes))));
    current.lastIndex = Math.max(current.lastIndex, highestIndex);
    current.bytes = file.lengthBytes();
});

const writeReset = (files: Files, { index, term }: Snapshot) =>
    writeRecord(files, { kind: "reset", index, term }, index);

const rollSegment = Effect.fnUntraced(function*(files: Files, coveredIndex: number) {
    if (files.current.lastIndex > 0) {
        const next = createSegment(files.current.sequence + 1);
        const opened = yield* openSegment(files.disk, next);
        yield* Scope.close(files.fileScope, Exit.void);
        Object.assign(files, opened);
        files.current = next;
        files.segments.push(next);
    }
    // The oldest file is removed first, so that a crash in between leaves no gap.
    for (const segment of [...files.segments]) {
        if (segment === files.current || segment.lastIndex > coveredIndex) {
            break;
        }
        yield* files.disk.removeFile(segment.name);
        files.segments = files.segments.filter(kept => kept !== segment);
    }
});

const writeSnapshot = Effect.fnUntraced(function*(files: Files, snapshot: Snapshot) {
    const bytes = encodeSnapshotFile(snapshot);
    yield* failAs("write")(files.disk.replaceFile(snapshotFile, bytes));
    files.snapshotBytes = bytes.length;
});

/** Opens the writer of a data folder that was loaded; its files are closed with the scope. */
export const openLogWriter = Effect.fnUntraced(function*(disk: Disk, loaded: LoadedStorage) {
    const files = yield* openFiles(disk, loaded);
    // A process that was killed may have left records that only the cache of the system holds.
    yield* files.file.sync;
    yield* Effect.addFinalizer(() => Scope.close(files.fileScope, Exit.void));
    const writer: LogWriter = {
        writeHardState: state => failAs("write")(disk.replaceFile(hardStateFile, encodeFile(state))),
        writeEntries: entries => {
            const highestIndex = entries.reduce((highest, entry) => Math.max(highest, entry.index), 0);
            return writeRecord(files, { kind: "entries", entries }, highestIndex);
        },
        writeSnapshot: snapshot => writeSnapshot(files, snapshot),
        writeReset: snapshot => writeReset(files, snapshot),
        removeCovered: snapshot => failAs("write")(rollSegment(files, snapshot.index)),
        countBytes: () => files.segments.reduce((sum, segment) => sum + segment.bytes, files.snapshotBytes),
    };
    return writer;
});
