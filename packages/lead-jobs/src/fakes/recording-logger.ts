import type { LogFields, Logger } from "@chestnutspool/logger";

/** A log line that was written. */
export interface RecordedLine {
    readonly level: string;
    readonly message: string;
    readonly fields: LogFields;
}

/** A logger that keeps its lines. */
export interface RecordingLogger {
    readonly logger: Logger;
    readonly lines: RecordedLine[];
    /** Throws an exception the next time that a line with this message is written. */
    readonly failOnceAt: (message: string) => void;
}

/** Creates a logger that keeps its lines. */
export function createRecordingLogger(): RecordingLogger {
    const lines: RecordedLine[] = [];
    let failingMessage: string | undefined;
    const createWriter = (level: string) => (message: string, fields: LogFields = {}): void => {
        if (message === failingMessage) {
            failingMessage = undefined;
            throw new Error(`no line "${message}"`);
        }
        lines.push({ level, message, fields });
    };
    const logger: Logger = {
        debug: createWriter("debug"),
        info: createWriter("info"),
        warn: createWriter("warn"),
        error: createWriter("error"),
        forService: () => logger,
    };
    return {
        logger,
        lines,
        failOnceAt: message => {
            failingMessage = message;
        },
    };
}
