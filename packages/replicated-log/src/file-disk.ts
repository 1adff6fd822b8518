import type { AppendFile, Disk, ErrorData } from "@chestnutspool/types";
import { Effect } from "effect";
import { type FileHandle, mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import { dirname, join } from "node:path";

const temporarySuffix = ".tmp";
/** Names that cannot refer to a file outside the folder on any system. */
const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;

function isMissing(cause: unknown): boolean {
    return cause instanceof Error && "code" in cause && cause.code === "ENOENT";
}

/** Errors of writes that succeed once there is room: full disk, used quota, limit of the file size. */
const fullCodes = new Set<unknown>(["ENOSPC", "EDQUOT", "EFBIG"]);

function isFull(cause: unknown): boolean {
    return cause instanceof Error && "code" in cause && fullCodes.has(cause.code);
}

function attempt<Value>(file: string, run: () => Promise<Value>): Effect.Effect<Value, ErrorData> {
    return Effect.tryPromise({
        try: run,
        catch: (cause): ErrorData => ({
            kind: "storageFailed",
            file,
            detail: cause instanceof Error ? cause.message : String(cause),
            ...(isFull(cause) ? { isFull: true } : {}),
        }),
    });
}

function checkName(name: string): Effect.Effect<void, ErrorData> {
    if (namePattern.test(name) && !name.endsWith(temporarySuffix)) {
        return Effect.void;
    }
    const allowed = `letters, digits, ".", "_" and "-", not ending in ${temporarySuffix}`;
    return Effect.fail({ kind: "invalidArgument", field: "file name", seen: JSON.stringify(name), allowed });
}

async function syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

/** Writes all bytes; one call of `write` may write fewer. */
async function writeAll(handle: FileHandle, bytes: Uint8Array): Promise<void> {
    let written = 0;
    while (written < bytes.length) {
        written += (await handle.write(bytes, written)).bytesWritten;
    }
}

async function replaceInFolder(folder: string, name: string, bytes: Uint8Array): Promise<void> {
    const temporary = join(folder, name + temporarySuffix);
    const handle = await open(temporary, "w");
    try {
        await writeAll(handle, bytes);
        await handle.sync();
    }
    catch (cause) {
        // On a full disk, other files need the space.
        await handle.truncate(0).catch(() => undefined);
        throw cause;
    }
    finally {
        await handle.close();
    }
    await rename(temporary, join(folder, name));
    await syncFolder(folder);
}

function openAppend(folder: string, name: string) {
    return Effect.gen(function*() {
        yield* checkName(name);
        const handle = yield* Effect.acquireRelease(
            attempt(name, () => open(join(folder, name), "a")),
            opened => Effect.ignore(attempt(name, () => opened.close())),
        );
        yield* attempt(name, () => syncFolder(folder));
        let lengthBytes = (yield* attempt(name, () => handle.stat())).size;
        const file: AppendFile = {
            append: bytes =>
                Effect.map(attempt(name, () => writeAll(handle, bytes)), () => {
                    lengthBytes += bytes.length;
                }),
            sync: attempt(name, () => handle.datasync()),
            truncate: length =>
                Effect.map(attempt(name, () => handle.truncate(length)), () => {
                    lengthBytes = length;
                }),
            lengthBytes: () => lengthBytes,
        };
        return file;
    });
}

/**
 * Opens the data folder, creating it when absent. Names with a path separator or of a temporary file are refused with
 * `invalidArgument`; errors of the file system are `storageFailed`.
 */
export function openFileDisk(folder: string): Effect.Effect<Disk, ErrorData> {
    const disk: Disk = {
        readFile: name =>
            Effect.andThen(
                checkName(name),
                attempt(name, () =>
                    readFile(join(folder, name)).catch((cause: unknown) => {
                        if (isMissing(cause)) {
                            return undefined;
                        }
                        throw cause;
                    })),
            ),
        replaceFile: (name, bytes) =>
            Effect.andThen(checkName(name), attempt(name, () => replaceInFolder(folder, name, bytes))),
        openAppend: name => openAppend(folder, name),
        listFiles: () =>
            attempt(folder, async () =>
                (await readdir(folder, { withFileTypes: true }))
                    .filter(item => item.isFile() && !item.name.endsWith(temporarySuffix))
                    .map(item => item.name)
                    .sort()),
        removeFile: name =>
            Effect.andThen(
                checkName(name),
                attempt(name, async () => {
                    // A removal whose sync failed is repeated, and then finds no file.
                    await rm(join(folder, name), { force: true });
                    await syncFolder(folder);
                }),
            ),
    };
    const createFolder = attempt(folder, async () => {
        if (await mkdir(folder, { recursive: true }) !== undefined) {
            await syncFolder(dirname(folder));
        }
    });
    return Effect.as(createFolder, disk);
}
