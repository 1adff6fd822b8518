import { write } from "node:fs";
import type { LogLevel } from "./log-level.js";

/** Limits of a line sink. */
export interface LineSinkLimits {
    /** Lines of level `debug` and `info` that may be written in a second on average. */
    readonly linesPerSecond: number;
    /** Lines that may be written in a burst after an idle period. */
    readonly burstLines: number;
    /** Bytes that may be buffered until the reader takes them; further lines are dropped. */
    readonly bufferLimitBytes: number;
}

/** Writes bytes to the output and calls back with an error or undefined; never blocks the event loop. */
export type WriteBytes = (bytes: Buffer, callback: (error: Error | undefined, written: number) => void) => void;

/** Writes log lines without blocking the event loop, drops lines beyond its limits and logs how many it dropped. */
export interface LineSink {
    /** Takes a line without its newline; `nowMs` is wall-clock time in milliseconds. */
    readonly writeLine: (line: string, level: LogLevel, nowMs: number) => void;
    /** Lines dropped since the start of the process. */
    readonly countDropped: () => number;
    /** Waits until all lines are written, at most `limitMs`. */
    readonly flushLines: (limitMs: number) => Promise<void>;
}

/** Pause before the next write attempt when the output accepts no bytes, in milliseconds. */
const retryPauseMs = 20;
/** Pause before writing is tried again after a write has failed, as on a full disk, in milliseconds. */
const failurePauseMs = 200;
const newline = 0x0a;
/** Share of the buffer that only warnings and errors may use. */
const reservedShare = 0.25;
/** Shortest interval between two reports of dropped lines, in milliseconds. */
const reportIntervalMs = 1_000;
const millisecondsPerSecond = 1000;

/** Writes to a file descriptor in the thread pool, because Node.js writes standard output to a pipe synchronously. */
export function createDescriptorWriter(descriptor: number): WriteBytes {
    return (bytes, callback) => write(descriptor, bytes, (error, written) => callback(error ?? undefined, written));
}

/** What a write error means: the same bytes can be written soon, other bytes can be written later, or none ever. */
type WriteFault = "busy" | "failing" | "closed";

function findWriteFault(error: Error): WriteFault {
    switch ("code" in error ? error.code : undefined) {
        case "EAGAIN":
        case "EINTR":
            return "busy";
        case "EPIPE":
        case "EBADF":
            return "closed";
        default:
            return "failing";
    }
}

function countNewlines(bytes: Buffer): number {
    let count = 0;
    for (let at = bytes.indexOf(newline); at >= 0; at = bytes.indexOf(newline, at + 1)) {
        count += 1;
    }
    return count;
}

/** Creates a sink in front of `writeBytes`. */
export function createLineSink(writeBytes: WriteBytes, limits: LineSinkLimits): LineSink {
    let buffered: string[] = [];
    let bufferedBytes = 0;
    let inFlight: Buffer | undefined;
    let tokens = limits.burstLines;
    let refilledAtMs: number | undefined;
    let dropped = 0;
    let reportedDropped = 0;
    let reportedAtMs = Number.NEGATIVE_INFINITY;
    /** Value of `reportedDropped` that the written reports have reached. */
    let writtenReportedDropped = 0;
    let inFlightReportedDropped = 0;
    let isClosed = false;
    let isPaused = false;
    /** The output ends with a part of a line whose rest was dropped. */
    let endsWithin = false;
    /** The bytes in flight begin with the newline after such a part. */
    let beginsWithNewline = false;

    /** Drops the bytes in flight, and counts their lines. */
    const dropInFlight = (bytes: Buffer): void => {
        dropped += countNewlines(bytes) - (beginsWithNewline ? 1 : 0);
        // A report of dropped lines that was lost is made again.
        reportedDropped = writtenReportedDropped;
        inFlight = undefined;
    };

    const resume = (): void => {
        isPaused = false;
        sendNext();
    };

    const sendNext = (): void => {
        if (inFlight === undefined) {
            if (buffered.length === 0) {
                return;
            }
            beginsWithNewline = endsWithin;
            inFlight = Buffer.from((endsWithin ? "\n" : "") + buffered.join(""), "utf8");
            inFlightReportedDropped = reportedDropped;
            buffered = [];
            bufferedBytes = 0;
        }
        const bytes = inFlight;
        writeBytes(bytes, (error, written) => {
            if (error !== undefined) {
                handleFault(findWriteFault(error), bytes);
                return;
            }
            if (written > 0) {
                beginsWithNewline = false;
                endsWithin = bytes[written - 1] !== newline;
            }
            if (written < bytes.length) {
                inFlight = bytes.subarray(written);
            }
            else {
                inFlight = undefined;
                writtenReportedDropped = inFlightReportedDropped;
            }
            sendNext();
        });
    };

    const handleFault = (fault: WriteFault, bytes: Buffer): void => {
        switch (fault) {
            case "busy":
                setTimeout(sendNext, retryPauseMs).unref();
                return;
            case "failing":
                dropInFlight(bytes);
                isPaused = true;
                setTimeout(resume, failurePauseMs).unref();
                return;
            case "closed":
                // A closed output cannot be logged; the count of dropped lines still shows it.
                isClosed = true;
                inFlight = undefined;
                buffered = [];
                return;
        }
    };

    const takeToken = (level: LogLevel, nowMs: number): boolean => {
        const elapsedMs = Math.max(0, nowMs - (refilledAtMs ?? nowMs));
        refilledAtMs = nowMs;
        const addedTokens = elapsedMs * limits.linesPerSecond / millisecondsPerSecond;
        tokens = Math.min(limits.burstLines, tokens + addedTokens);
        const isWarningOrError = level === "warn" || level === "error";
        if (tokens < 1 && !isWarningOrError) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    };

    const hasSpace = (bytes: number, level: LogLevel): boolean => {
        const isWarningOrError = level === "warn" || level === "error";
        const limit = isWarningOrError ? limits.bufferLimitBytes : limits.bufferLimitBytes * (1 - reservedShare);
        return bufferedBytes + (inFlight?.length ?? 0) + bytes <= limit;
    };

    const append = (line: string): void => {
        buffered.push(line + "\n");
        bufferedBytes += line.length + 1;
        if (inFlight === undefined && !isPaused && buffered.length === 1) {
            // Lines from one turn of the event loop are written together.
            setImmediate(sendNext);
        }
    };

    return {
        writeLine: (line, level, nowMs) => {
            if (isClosed || !hasSpace(line.length + 1, level) || !takeToken(level, nowMs)) {
                dropped += 1;
                return;
            }
            if (dropped > reportedDropped && nowMs - reportedAtMs >= reportIntervalMs) {
                append(JSON.stringify({
                    time: new Date(nowMs).toISOString(),
                    level: "warn",
                    service: "log",
                    message: "log lines were dropped",
                    lines: dropped - reportedDropped,
                    since: reportedDropped,
                }));
                reportedDropped = dropped;
                reportedAtMs = nowMs;
            }
            append(line);
        },
        countDropped: () => dropped,
        flushLines: async limitMs => {
            const endMs = performance.now() + limitMs;
            while (!isClosed && (buffered.length > 0 || inFlight !== undefined) && performance.now() < endMs) {
                await new Promise(resolve => setTimeout(resolve, 2));
            }
        },
    };
}
