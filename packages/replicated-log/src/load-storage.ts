import type { Disk, ErrorData, PeerId } from "@chestnutspool/types";
import { Effect } from "effect";
import { randomUUID } from "node:crypto";
import type { Either } from "purify-ts";
import { createLogWindow, type LogWindow } from "./log-window.js";
import type { HardState, LogEntry, Snapshot } from "./messages.js";
import { decodeFile, decodeLog, encodeFile, type LogRecord } from "./record.js";

export const hardStateFile = "hard-state";
export const snapshotFile = "snapshot";
const segmentPrefix = "log-";
const segmentDigits = 10;

/** A log file. Records are appended to the last file; older files are removed once a snapshot covers them. */
export interface Segment {
    readonly name: string;
    readonly sequence: number;
    /** Highest index in the file; 0 when it has none. */
    lastIndex: number;
    /** Length of its whole records. */
    bytes: number;
}

/** Content of the data folder. */
export interface LoadedStorage {
    readonly hardState: HardState;
    readonly snapshot: Snapshot | undefined;
    readonly window: LogWindow;
    readonly segments: readonly Segment[];
    /** The snapshot replaces the log, but a crash came before the `reset` record was written to the log files. */
    readonly needsReset: boolean;
}

/** Performs a write, again and again if it is to be repeated after a failure. */
export type RepeatWrite = (write: Effect.Effect<void, ErrorData>) => Effect.Effect<void, ErrorData>;

/** Creates the description of an empty log file. */
export function createSegment(sequence: number): Segment {
    return { name: segmentPrefix + String(sequence).padStart(segmentDigits, "0"), sequence, lastIndex: 0, bytes: 0 };
}

/** Converts an `Either` to an effect, which fails with the error of a `Left`. */
export function convertEither<Value>(either: Either<ErrorData, Value>): Effect.Effect<Value, ErrorData> {
    return either.caseOf<Effect.Effect<Value, ErrorData>>({ Left: Effect.fail, Right: Effect.succeed });
}

const failCorruptRecord = (file: string, offset: number, detail: string) =>
    Effect.fail<ErrorData>({ kind: "corruptRecord", file, offset, detail });

function loadFile(disk: Disk, name: string): Effect.Effect<unknown, ErrorData> {
    return Effect.flatMap(
        disk.readFile(name),
        bytes => bytes === undefined ? Effect.undefined : convertEither(decodeFile(name, bytes)),
    );
}

/** Reads the hard state, or writes one with a new identity into an empty folder by `repeatWrite`. */
const loadHardState = Effect.fnUntraced(function*(
    disk: Disk,
    self: PeerId,
    names: readonly string[],
    repeatWrite: RepeatWrite,
) {
    const loaded = (yield* loadFile(disk, hardStateFile)) as HardState | undefined;
    if (loaded !== undefined) {
        return loaded.self === self
            ? loaded
            : yield* failCorruptRecord(
                hardStateFile,
                0,
                `the data folder belongs to replica "${loaded.self}", not "${self}"`,
            );
    }
    const other = names.find(name => name === snapshotFile || name.startsWith(segmentPrefix));
    if (other !== undefined) {
        return yield* failCorruptRecord(hardStateFile, 0, `the file is missing although ${other} exists`);
    }
    const fresh: HardState = { self, identity: randomUUID(), term: 0, votedFor: undefined };
    yield* repeatWrite(disk.replaceFile(hardStateFile, encodeFile(fresh)));
    return fresh;
});

/** Applies a record to the window; returns a description of the fault when the record does not fit. */
function applyRecord(window: LogWindow, record: LogRecord): string | undefined {
    if (record.kind === "reset") {
        window.setBase(record.index, record.term);
        return undefined;
    }
    for (const entry of record.entries) {
        if (window.lastIndex() === 0 && entry.index > 1) {
            // Earlier files were removed after a snapshot. The term of the base is not needed, as the snapshot covers it.
            window.setBase(entry.index - 1, 0);
        }
        if (entry.index <= window.baseIndex() || entry.index > window.lastIndex() + 1) {
            return `entry ${entry.index} does not follow entry ${window.lastIndex()}`;
        }
        window.dropAfter(entry.index - 1);
        window.appendEntry(entry);
    }
    return undefined;
}

function findHighestIndex(record: LogRecord): number {
    return record.kind === "reset" ? record.index : (record.entries.at(-1) as LogEntry).index;
}

/** Truncates the last file after its last whole record, so that later records follow it and not an interrupted write. */
const removeTornEnd = (disk: Disk, name: string, wholeBytes: number) =>
    Effect.scoped(Effect.gen(function*() {
        const file = yield* disk.openAppend(name);
        yield* file.truncate(wholeBytes);
        yield* file.sync;
    }));

const loadSegments = Effect.fnUntraced(function*(disk: Disk, names: readonly string[], window: LogWindow) {
    const segments = names
        .filter(name => name.startsWith(segmentPrefix))
        .map(name => createSegment(Number(name.slice(segmentPrefix.length))))
        .sort((left, right) => left.sequence - right.sequence);
    for (const [position, segment] of segments.entries()) {
        const expected = (segments[0] as Segment).sequence + position;
        if (segment.sequence !== expected) {
            return yield* failCorruptRecord(
                createSegment(expected).name,
                0,
                "the log file is missing although an older and a newer one exist",
            );
        }
        const bytes = (yield* disk.readFile(segment.name)) ?? new Uint8Array(0);
        const isLast = position === segments.length - 1;
        const decoded = yield* convertEither(decodeLog(segment.name, bytes, isLast));
        if (decoded.wholeBytes < bytes.length) {
            yield* removeTornEnd(disk, segment.name, decoded.wholeBytes);
        }
        segment.bytes = decoded.wholeBytes;
        for (const record of decoded.records) {
            const fault = applyRecord(window, record);
            if (fault !== undefined) {
                return yield* failCorruptRecord(segment.name, 0, fault);
            }
            segment.lastIndex = Math.max(segment.lastIndex, findHighestIndex(record));
        }
    }
    return segments;
});

/** Makes the window begin after the snapshot; true when the log does not continue the snapshot and was emptied. */
function applySnapshot(window: LogWindow, snapshot: Snapshot): boolean {
    const term = window.findTerm(snapshot.index);
    const continues = term === snapshot.term || window.baseIndex() === snapshot.index;
    if (!continues) {
        window.setBase(snapshot.index, snapshot.term);
    }
    else if (window.baseIndex() < snapshot.index) {
        window.forgetUntil(snapshot.index);
    }
    else {
        const entries = window.listEntries(snapshot.index + 1, Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY);
        window.setBase(snapshot.index, snapshot.term);
        entries.forEach(window.appendEntry);
    }
    window.setMembers(snapshot.index, snapshot.members);
    return !continues;
}

/**
 * Reads the data folder. Writes a new hard state into an empty folder and truncates an interrupted write. Fails with
 * `corruptRecord` when synced data is damaged, and with `storageFailed` when the folder cannot be read or written.
 */
export const loadStorage = Effect.fnUntraced(function*(
    disk: Disk,
    self: PeerId,
    repeatWrite: RepeatWrite = write => write,
) {
    const names = yield* disk.listFiles();
    const hardState = yield* loadHardState(disk, self, names, repeatWrite);
    const snapshot = (yield* loadFile(disk, snapshotFile)) as Snapshot | undefined;
    const window = createLogWindow();
    const segments = yield* loadSegments(disk, names, window);
    const firstIndex = window.baseIndex() + 1;
    if (firstIndex > (snapshot?.index ?? 0) + 1) {
        return yield* failCorruptRecord(
            snapshotFile,
            0,
            `entries before ${firstIndex} are in neither the log nor a snapshot`,
        );
    }
    const hadEntries = window.lastIndex() > 0;
    const needsReset = snapshot !== undefined && applySnapshot(window, snapshot) && hadEntries;
    const loaded: LoadedStorage = { hardState, snapshot, window, segments, needsReset };
    return loaded;
});
