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

/** A log file: records are appended to the last one, older ones go once a snapshot covers them. */
export interface Segment {
    readonly name: string;
    readonly sequence: number;
    /** Highest index in the file; 0 when it has none. */
    lastIndex: number;
}

/** What the data folder holds. */
export interface LoadedStorage {
    readonly hardState: HardState;
    readonly snapshot: Snapshot | undefined;
    readonly window: LogWindow;
    readonly segments: readonly Segment[];
    /** The snapshot replaced the log, but the crash came before the log files said so. */
    readonly needsReset: boolean;
}

/** Creates the name of a log file. */
export function createSegment(sequence: number): Segment {
    return { name: segmentPrefix + String(sequence).padStart(segmentDigits, "0"), sequence, lastIndex: 0 };
}

/** Fails with the error of a `Left`. */
export function convertEither<Value>(either: Either<ErrorData, Value>): Effect.Effect<Value, ErrorData> {
    return either.caseOf<Effect.Effect<Value, ErrorData>>({ Left: Effect.fail, Right: Effect.succeed });
}

const corrupt = (file: string, offset: number, detail: string) =>
    Effect.fail<ErrorData>({ kind: "corruptRecord", file, offset, detail });

function loadFile(disk: Disk, name: string): Effect.Effect<unknown, ErrorData> {
    return Effect.flatMap(
        disk.readFile(name),
        bytes => bytes === undefined ? Effect.undefined : convertEither(decodeFile(name, bytes)),
    );
}

/** Reads the hard state, or writes one with a new identity into an empty folder. */
const loadHardState = Effect.fnUntraced(function*(disk: Disk, self: PeerId, names: readonly string[]) {
    const loaded = (yield* loadFile(disk, hardStateFile)) as HardState | undefined;
    if (loaded !== undefined) {
        return loaded.self === self
            ? loaded
            : yield* corrupt(hardStateFile, 0, `the data folder belongs to replica "${loaded.self}", not "${self}"`);
    }
    const other = names.find(name => name === snapshotFile || name.startsWith(segmentPrefix));
    if (other !== undefined) {
        return yield* corrupt(hardStateFile, 0, `the file is missing although ${other} exists`);
    }
    const fresh: HardState = { self, identity: randomUUID(), term: 0, votedFor: undefined };
    yield* disk.replaceFile(hardStateFile, encodeFile(fresh));
    return fresh;
});

/** Adds a record to the window; returns what is wrong with it. */
function applyRecord(window: LogWindow, record: LogRecord): string | undefined {
    if (record.kind === "reset") {
        window.setBase(record.index, record.term);
        return undefined;
    }
    for (const entry of record.entries) {
        if (window.lastIndex() === 0 && entry.index > 1) {
            // Earlier files went with a snapshot; the term of the base is not needed, because the snapshot covers it.
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

/** Cuts an interrupted write off the last file, so that later records follow the last whole one. */
const cutTornEnd = (disk: Disk, name: string, wholeBytes: number) =>
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
            return yield* corrupt(createSegment(expected).name, 0, "the file is missing between others");
        }
        const bytes = (yield* disk.readFile(segment.name)) ?? new Uint8Array(0);
        const isLast = position === segments.length - 1;
        const decoded = yield* convertEither(decodeLog(segment.name, bytes, isLast));
        if (decoded.wholeBytes < bytes.length) {
            yield* cutTornEnd(disk, segment.name, decoded.wholeBytes);
        }
        for (const record of decoded.records) {
            const fault = applyRecord(window, record);
            if (fault !== undefined) {
                return yield* corrupt(segment.name, 0, fault);
            }
            segment.lastIndex = Math.max(segment.lastIndex, findHighestIndex(record));
        }
    }
    return segments;
});

/** Puts the window behind the snapshot; true when the log does not continue the snapshot and was emptied. */
function joinSnapshot(window: LogWindow, snapshot: Snapshot): boolean {
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

/** Reads the data folder. Fails with `corruptRecord` when synced data is damaged, and with `storageFailed`. */
export const loadStorage = Effect.fnUntraced(function*(disk: Disk, self: PeerId) {
    const names = yield* disk.listFiles();
    const hardState = yield* loadHardState(disk, self, names);
    const snapshot = (yield* loadFile(disk, snapshotFile)) as Snapshot | undefined;
    const window = createLogWindow();
    const segments = yield* loadSegments(disk, names, window);
    const firstIndex = window.baseIndex() + 1;
    if (firstIndex > (snapshot?.index ?? 0) + 1) {
        return yield* corrupt(snapshotFile, 0, `entries before ${firstIndex} are in neither the log nor a snapshot`);
    }
    const hadEntries = window.lastIndex() > 0;
    const needsReset = snapshot !== undefined && joinSnapshot(window, snapshot) && hadEntries;
    const loaded: LoadedStorage = { hardState, snapshot, window, segments, needsReset };
    return loaded;
});
