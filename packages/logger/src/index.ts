import loglevel from "loglevel";
import type { LogLevel } from "./log-level.js";

export {
    createDescriptorWriter,
    createLineSink,
    type LineSink,
    type LineSinkLimits,
    type WriteBytes,
} from "./line-sink.js";
export type { LogLevel } from "./log-level.js";

/** Ids and values of a log line; never a payload. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines of one service. */
export interface Logger {
    readonly debug: (message: string, fields?: LogFields) => void;
    readonly info: (message: string, fields?: LogFields) => void;
    readonly warn: (message: string, fields?: LogFields) => void;
    readonly error: (message: string, fields?: LogFields) => void;
    /** The same logger under the name of another service. */
    readonly forService: (service: string) => Logger;
}

/** Fields of each line of a process. */
export interface ProcessFields {
    readonly host: string;
    readonly availabilityZone: string;
}

/** Writes a log line; to standard error by default, so that standard output stays free for results. */
export type LineWriter = (line: string, level: LogLevel, nowMs: number) => void;

function writeToStandardError(line: string): void {
    process.stderr.write(line + "\n");
}

function convertLevel(name: string): LogLevel {
    switch (name) {
        case "warn":
        case "error":
        case "info":
            return name;
        default:
            return "debug";
    }
}

/** Creates a logger that writes a JSON object per line: time, level, service, host, availability zone, message, fields. */
export function createLogger(
    service: string,
    processFields: ProcessFields,
    level: LogLevel,
    writeLine: LineWriter = writeToStandardError,
): Logger {
    const target = loglevel.getLogger(Symbol(service));
    target.methodFactory = methodName => (message: string, fields?: LogFields) => {
        const now = new Date();
        const line = { time: now.toISOString(), level: methodName, service, ...processFields, message, ...fields };
        writeLine(JSON.stringify(line), convertLevel(methodName), now.getTime());
    };
    target.setLevel(level, false);
    return {
        debug: (message, fields) => target.debug(message, fields),
        info: (message, fields) => target.info(message, fields),
        warn: (message, fields) => target.warn(message, fields),
        error: (message, fields) => target.error(message, fields),
        forService: other => createLogger(other, processFields, level, writeLine),
    };
}

/** A logger that drops every line, for tests. */
export const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
    forService: () => silentLogger,
};
