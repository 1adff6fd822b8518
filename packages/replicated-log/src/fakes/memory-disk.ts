import type { AppendFile, Disk, ErrorData } from "@chestnutspool/types";
import { Effect } from "effect";

/** A disk in memory whose faults a test chooses. */
export interface MemoryDisk {
    readonly disk: Disk;
    /** Loses all writes that were not synced; keeps the given share (0 to 1) of the bytes of each unsynced end. */
    readonly crash: (keptShare: number) => void;
    /** Ends the process that uses the disk: all writes can be read again, but those that were not synced still may be lost. */
    readonly endProcess: () => void;
    /** Makes removals of files fail after the file is gone, and openings after the file is open, or work again. */
    readonly failFolderSync: (fails: boolean) => void;
    /** Number of append files that are open. */
    readonly countOpen: () => number;
    /** Inverts the bits of one byte, counted from the start or, when negative, from the end. */
    readonly flipByte: (name: string, offset: number) => void;
    /** Makes syncs fail from now on, or work again. */
    readonly failSync: (fails: boolean) => void;
    /** Sets how many bytes may still be written; a write beyond them fails as on a full disk, and an append keeps a part. */
    readonly setFreeBytes: (bytes: number) => void;
    /** Sets the time that each sync takes, in milliseconds. */
    readonly setSyncDelay: (delayMs: number) => void;
    /** Removes all files, like a replaced disk. */
    readonly removeAll: () => void;
    /** Number of syncs of append files since the start. */
    readonly countSyncs: () => number;
    readonly listNames: () => readonly string[];
    readonly readBytes: (name: string) => Uint8Array;
    /** Sets the content of a file, as synced. */
    readonly writeBytes: (name: string, bytes: Uint8Array) => void;
}

interface MemoryFile {
    content: Buffer;
    synced: Buffer;
}

interface Faults {
    syncFails: boolean;
    freeBytes: number;
    syncDelayMs: number;
    syncs: number;
    folderSyncFails: boolean;
    open: number;
}

function fail(file: string, detail: string): Effect.Effect<never, ErrorData> {
    return Effect.fail({ kind: "storageFailed", file, detail });
}

function takeSpace(faults: Faults, name: string, bytes: number): Effect.Effect<void, ErrorData> {
    return Effect.suspend(() => {
        if (bytes > faults.freeBytes) {
            const detail = "no space left on device";
            return Effect.fail<ErrorData>({ kind: "storageFailed", file: name, detail, isFull: true });
        }
        faults.freeBytes -= bytes;
        return Effect.void;
    });
}

function awaitSync(faults: Faults, name: string): Effect.Effect<void, ErrorData> {
    return Effect.andThen(
        Effect.suspend(() => Effect.sleep(faults.syncDelayMs)),
        Effect.suspend(() => faults.syncFails ? fail(name, "sync failed") : Effect.void),
    );
}

function awaitFolderSync(faults: Faults, name: string): Effect.Effect<void, ErrorData> {
    return Effect.suspend(() => faults.folderSyncFails ? fail(name, "sync of the folder failed") : Effect.void);
}

function createAppendFile(faults: Faults, name: string, file: MemoryFile): AppendFile {
    return {
        append: bytes =>
            Effect.suspend(() => {
                // A full disk keeps the part that fits.
                file.content = Buffer.concat([file.content, bytes.subarray(0, faults.freeBytes)]);
                return takeSpace(faults, name, bytes.length);
            }),
        sync: Effect.suspend(() => {
            const written = file.content;
            faults.syncs += 1;
            return Effect.map(awaitSync(faults, name), () => {
                file.synced = written;
            });
        }),
        truncate: length =>
            Effect.sync(() => {
                file.content = file.content.subarray(0, length);
            }),
        lengthBytes: () => file.content.length,
    };
}

/** Creates an empty disk without faults. */
export function createMemoryDisk(): MemoryDisk {
    const files = new Map<string, MemoryFile>();
    const faults: Faults = {
        syncFails: false,
        freeBytes: Number.POSITIVE_INFINITY,
        syncDelayMs: 0,
        syncs: 0,
        folderSyncFails: false,
        open: 0,
    };
    const getFile = (name: string): MemoryFile => {
        const file = files.get(name);
        if (file === undefined) {
            throw new Error(`the disk has no file ${name}`);
        }
        return file;
    };
    const disk: Disk = {
        readFile: name => Effect.sync(() => files.get(name)?.content),
        replaceFile: (name, bytes) =>
            Effect.gen(function*() {
                yield* takeSpace(faults, name, bytes.length);
                yield* awaitSync(faults, name);
                const copy = Buffer.from(bytes);
                files.set(name, { content: copy, synced: copy });
            }),
        openAppend: name =>
            Effect.gen(function*() {
                const file = files.get(name) ?? { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
                files.set(name, file);
                yield* Effect.acquireRelease(
                    Effect.sync(() => {
                        faults.open += 1;
                    }),
                    () =>
                        Effect.sync(() => {
                            faults.open -= 1;
                        }),
                );
                yield* awaitFolderSync(faults, name);
                return createAppendFile(faults, name, file);
            }),
        listFiles: () => Effect.sync(() => [...files.keys()].sort()),
        removeFile: name =>
            Effect.suspend(() => {
                files.delete(name);
                return awaitFolderSync(faults, name);
            }),
    };
    return {
        disk,
        crash: keptShare => {
            for (const [name, file] of files) {
                const unsynced = Math.max(0, file.content.length - file.synced.length);
                const kept = file.synced.length + Math.floor(unsynced * keptShare);
                const content = Buffer.from(
                    unsynced > 0 ? file.content.subarray(0, kept) : file.synced,
                );
                // A new object: an append file that was opened before the crash must not write any more.
                files.set(name, { content, synced: content });
            }
        },
        endProcess: () => {
            for (const [name, { content, synced }] of files) {
                files.set(name, { content, synced });
            }
        },
        failFolderSync: fails => {
            faults.folderSyncFails = fails;
        },
        countOpen: () => faults.open,
        flipByte: (name, offset) => {
            const file = getFile(name);
            const bytes = Buffer.from(file.content);
            const position = offset < 0 ? bytes.length + offset : offset;
            bytes.writeUInt8(bytes.readUInt8(position) ^ 0xff, position);
            files.set(name, { content: bytes, synced: bytes });
        },
        failSync: fails => {
            faults.syncFails = fails;
        },
        setFreeBytes: bytes => {
            faults.freeBytes = bytes;
        },
        setSyncDelay: delayMs => {
            faults.syncDelayMs = delayMs;
        },
        removeAll: () => files.clear(),
        countSyncs: () => faults.syncs,
        listNames: () => [...files.keys()].sort(),
        readBytes: name => getFile(name).content,
        writeBytes: (name, bytes) => {
            const copy = Buffer.from(bytes);
            files.set(name, { content: copy, synced: copy });
        },
    };
}
