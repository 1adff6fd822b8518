import type { ErrorData } from "@chestnutspool/types";
import { Packr, Unpackr } from "msgpackr";
import { crc32 } from "node:zlib";
import { type Either, Left, Right } from "purify-ts";
import type { LogEntry, Snapshot } from "./messages.js";

/**
 * A record of the log, written with one sync. An entry replaces all earlier written entries from its index on. A
 * `reset` empties the log, which continues after the snapshot at `index`.
 */
export type LogRecord =
    | { readonly kind: "entries"; readonly entries: readonly LogEntry[]; }
    | { readonly kind: "reset"; readonly index: number; readonly term: number; };

/** Records of one log file and the length of the file up to the end of its last whole record. */
export interface DecodedLog {
    readonly records: readonly LogRecord[];
    readonly wholeBytes: number;
}

const recordMagic = Buffer.from("CSL1", "latin1");
const headerBytes = 16;
/** Sector size of disks; a torn write leaves whole sectors unwritten, and those read as zeros in a new part of a file. */
const sectorBytes = 512;
const checksumBytes = 4;
const noData = Buffer.alloc(0);
/** First byte of MessagePack bytes with a 32-bit length (`bin 32`), the size of its header, and that of empty bytes (`bin 8`). */
const binaryHeader = 0xc6;
const binaryHeaderBytes = 5;
const emptyBinaryBytes = 2;
/** Shortest run of zeros that counts as an unwritten sector; shorter runs occur in intact data. */
const unwrittenMinBytes = 8;

/** Objects of the same shape share the names of their fields within a value; values without shared names are read too. */
const packr = new Packr({ useRecords: true, moreTypes: false, encodeUndefinedAsNil: false });
const unpackr = new Unpackr({ mapsAsObjects: true });

/** Encodes a value as MessagePack, with the options of the peer link. */
export function encodeValue(value: unknown): Uint8Array {
    // A copy, because the encoder returns a part of a buffer of up to four times the size, which would stay in memory as a whole.
    return Buffer.from(packr.pack(value));
}

/** Decodes MessagePack; throws on bytes that are not MessagePack. */
export function decodeValue(bytes: Uint8Array): unknown {
    return unpackr.unpack(bytes);
}

/** Encodes a record: magic, length, CRC-32 of the payload, CRC-32 of the header, payload. */
export function encodeRecord(record: LogRecord): Uint8Array {
    const payload = packr.pack(record);
    const bytes = Buffer.alloc(headerBytes + payload.length);
    recordMagic.copy(bytes, 0);
    bytes.writeUInt32LE(payload.length, 4);
    bytes.writeUInt32LE(crc32(payload), 8);
    bytes.writeUInt32LE(crc32(bytes.subarray(0, 12)), 12);
    bytes.set(payload, headerBytes);
    return bytes;
}

type RecordState =
    | { readonly kind: "whole"; readonly record: LogRecord; readonly endBytes: number; }
    | { readonly kind: "badHeader"; }
    | { readonly kind: "short"; }
    | { readonly kind: "badPayload"; readonly endBytes: number; };

function readRecord(bytes: Buffer, offset: number): RecordState {
    const header = bytes.subarray(offset, offset + headerBytes);
    if (header.length < headerBytes) {
        return { kind: "short" };
    }
    if (!header.subarray(0, 4).equals(recordMagic) || crc32(header.subarray(0, 12)) !== header.readUInt32LE(12)) {
        return { kind: "badHeader" };
    }
    const endBytes = offset + headerBytes + header.readUInt32LE(4);
    if (endBytes > bytes.length) {
        return { kind: "short" };
    }
    const payload = bytes.subarray(offset + headerBytes, endBytes);
    if (crc32(payload) !== header.readUInt32LE(8)) {
        return { kind: "badPayload", endBytes };
    }
    return { kind: "whole", record: decodeValue(payload) as LogRecord, endBytes };
}

function hasUnwrittenSector(bytes: Buffer, start: number, end: number): boolean {
    let position = start;
    while (position < end) {
        const sectorEnd = Math.min(end, (Math.floor(position / sectorBytes) + 1) * sectorBytes);
        const part = bytes.subarray(position, sectorEnd);
        if (part.length >= unwrittenMinBytes && part.every(byte => byte === 0)) {
            return true;
        }
        position = sectorEnd;
    }
    return false;
}

function hasWholeRecordAfter(bytes: Buffer, offset: number): boolean {
    let candidate = bytes.indexOf(recordMagic, offset);
    while (candidate >= 0) {
        if (readRecord(bytes, candidate).kind === "whole") {
            return true;
        }
        candidate = bytes.indexOf(recordMagic, candidate + 1);
    }
    return false;
}

/**
 * Whether the unreadable end of a file is an interrupted write. A record is written only after the previous one is synced,
 * so a whole record after the unreadable one proves damage. When no bytes are missing, unwritten sectors tell an interrupted
 * write from damage; without them a synced record was changed, and its removal could lose a committed entry.
 */
function isTornEnd(bytes: Buffer, offset: number, state: RecordState): boolean {
    switch (state.kind) {
        case "whole":
            return false;
        case "short":
            return true;
        case "badHeader":
            return !hasWholeRecordAfter(bytes, offset + 1) && hasUnwrittenSector(bytes, offset, bytes.length);
        case "badPayload":
            return state.endBytes === bytes.length && hasUnwrittenSector(bytes, offset, bytes.length);
    }
}

/** Decodes a log file. Only the last file may end in an interrupted write. Fails with `corruptRecord`. */
export function decodeLog(file: string, source: Uint8Array, isLastFile: boolean): Either<ErrorData, DecodedLog> {
    const bytes = Buffer.from(source.buffer, source.byteOffset, source.byteLength);
    const records: LogRecord[] = [];
    let offset = 0;
    while (offset < bytes.length) {
        const state = readRecord(bytes, offset);
        if (state.kind !== "whole") {
            if (isLastFile && isTornEnd(bytes, offset, state)) {
                break;
            }
            const detail = `a synced record does not match its CRC-32 (${state.kind})`;
            return Left({ kind: "corruptRecord", file, offset, detail });
        }
        records.push(state.record);
        offset = state.endBytes;
    }
    return Right({ records, wholeBytes: offset });
}

/** Encodes a value that fills a whole file, with its CRC-32 in front. */
export function encodeFile(value: unknown): Uint8Array {
    const payload = packr.pack(value);
    const bytes = Buffer.alloc(checksumBytes + payload.length);
    bytes.set(payload, checksumBytes);
    bytes.writeUInt32LE(crc32(payload), 0);
    return bytes;
}

/**
 * Encodes a snapshot like `encodeFile`, without further copies of its data: the encoder would take a buffer of four times the size.
 */
export function encodeSnapshotFile({ data, ...header }: Snapshot): Uint8Array {
    // The data is the last field, so that its bytes follow its length at the end of the payload.
    const withoutData = packr.pack({ ...header, data: noData });
    const prefix = withoutData.subarray(0, withoutData.length - emptyBinaryBytes);
    const dataOffset = checksumBytes + prefix.length + binaryHeaderBytes;
    const bytes = Buffer.alloc(dataOffset + data.length);
    bytes.set(prefix, checksumBytes);
    bytes.writeUInt8(binaryHeader, checksumBytes + prefix.length);
    bytes.writeUInt32BE(data.length, dataOffset - 4);
    bytes.set(data, dataOffset);
    bytes.writeUInt32LE(crc32(bytes.subarray(checksumBytes)), 0);
    return bytes;
}

/** Decodes a file that `encodeFile` encoded. Fails with `corruptRecord`. */
export function decodeFile(file: string, source: Uint8Array): Either<ErrorData, unknown> {
    const bytes = Buffer.from(source.buffer, source.byteOffset, source.byteLength);
    if (bytes.length < checksumBytes || crc32(bytes.subarray(checksumBytes)) !== bytes.readUInt32LE(0)) {
        return Left({ kind: "corruptRecord", file, offset: 0, detail: "the file does not match its CRC-32" });
    }
    return Right(decodeValue(bytes.subarray(checksumBytes)));
}
