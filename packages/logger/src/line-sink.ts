import { write } from "node:fs";
import type { LogLevel } from "./log-level.js";

/** Limits of a line sink. */
export interface LineSinkLimits {
    /** Lines of level `debug` and `info` that may be written in a second on average. */
    readonly linesPerSecond: number;
    /** Lines that may be written at once after a quiet time. */
    readonly burstLines: number;
    /** Bytes that may wait for the reader; further lines are dropped. */
    readonly waitingBytes: number;
}

/** Writes bytes to where lines go and calls back with an error or undefined; never blocks the event loop. */
export type WriteBytes = (bytes: Buffer, callback: (error: Error | undefined, written: number) => void) => void;

/** Takes log lines without ever blocking, drops what exceeds its limits and says how many lines it dropped. */
export interface LineSink {
    /** Takes a line without its newline; `nowMs` is wall-clock time in milliseconds. */
    readonly writeLine: (line: string, level: LogLevel, nowMs: number) => void;
    /** Lines dropped since the start of the process. */
    readonly countDropped: () => number;
    /** Waits until all lines are written, at most `limitMs`. */
    readonly flushLines: (limitMs: number) => Promise<void>;
}

/** Pause before bytes are offered again to a reader that takes none, in milliseconds. */
const retryPauseMs = 20;
/** Share of the waiting bytes that only warnings and errors may use. */
const reservedShare = 0.25;
/** Shortest interval between two lines about dropped ones, in milliseconds. */
const reportIntervalMs = 1_000;
const millisecondsPerSecond = 1000;

/** Writes to a file descriptor by a thread of the pool, because Node.js writes to a pipe of standard output synchronously. */
export function createDescriptorWriter(descriptor: number): WriteBytes {
    return (bytes, callback) => write(descriptor, bytes, (error, written) => callback(error ?? undefined, written));
}

function isTemporary(error: Error): boolean {
    return "code" in error && (error.code === "EAGAIN" || error.code === "EINTR");
}

/** Creates a sink in front of `writeBytes`. */
export function createLineSink(writeBytes: WriteBytes, limits: LineSinkLimits): LineSink {
    let waiting: string[] = [];
    let waitingBytes = 0;
    let inFlight: Buffer | undefined;
    let allowance = limits.burstLines;
    let allowanceAtMs: number | undefined;
    let dropped = 0;
    let reported = 0;
    let reportedAtMs = Number.NEGATIVE_INFINITY;
    let isClosed = false;

    const sendNext = (): void => {
        if (inFlight === undefined) {
            if (waiting.length === 0) {
                return;
            }
            inFlight = Buffer.from(waiting.join(""), "utf8");
            waiting = [];
            waitingBytes = 0;
        }
        writeBytes(inFlight, (error, written) => {
            if (error !== undefined && !isTemporary(error)) {
                // Nobody can be told when the output itself is gone; the count of dropped lines still shows it.
                isClosed = true;
                inFlight = undefined;
                waiting = [];
                return;
            }
            inFlight = inFlight?.subarray(error === undefined ? written : 0);
            if (inFlight?.length === 0) {
                inFlight = undefined;
            }
            if (error !== undefined) {
                setTimeout(sendNext, retryPauseMs).unref();
                return;
            }
            sendNext();
        });
    };

    const takeAllowance = (level: LogLevel, nowMs: number): boolean => {
        const elapsedMs = Math.max(0, nowMs - (allowanceAtMs ?? nowMs));
        allowanceAtMs = nowMs;
        const gained = elapsedMs * limits.linesPerSecond / millisecondsPerSecond;
        allowance = Math.min(limits.burstLines, allowance + gained);
        const isUrgent = level === "warn" || level === "error";
        if (allowance < 1 && !isUrgent) {
            return false;
        }
        allowance = Math.max(0, allowance - 1);
        return true;
    };

    const hasSpace = (bytes: number, level: LogLevel): boolean => {
        const isUrgent = level === "warn" || level === "error";
        const limit = isUrgent ? limits.waitingBytes : limits.waitingBytes * (1 - reservedShare);
        return waitingBytes + (inFlight?.length ?? 0) + bytes <= limit;
    };

    const append = (line: string): void => {
        waiting.push(line + "\n");
        waitingBytes += line.length + 1;
        if (inFlight === undefined && waiting.length === 1) {
            // Lines of one turn of the event loop share a write.
            setImmediate(sendNext);
        }
    };

    return {
        writeLine: (line, level, nowMs) => {
            if (isClosed || !hasSpace(line.length + 1, level) || !takeAllowance(level, nowMs)) {
                dropped += 1;
                return;
            }
            if (dropped > reported && nowMs - reportedAtMs >= reportIntervalMs) {
                append(JSON.stringify({
                    time: new Date(nowMs).toISOString(),
                    level: "warn",
                    service: "log",
                    message: "log lines were dropped",
                    lines: dropped - reported,
                    since: reported,
                }));
                reported = dropped;
                reportedAtMs = nowMs;
            }
            append(line);
        },
        countDropped: () => dropped,
        flushLines: async limitMs => {
            const endMs = performance.now() + limitMs;
            while (!isClosed && (waiting.length > 0 || inFlight !== undefined) && performance.now() < endMs) {
                await new Promise(resolve => setTimeout(resolve, 2));
            }
        },
    };
}
