import { Effect } from "effect";
import { randomUUID } from "node:crypto";
import type { CommandInput, CommandOption } from "./command.js";
import { type CliFailure, createUsageFailure } from "./failure.js";

/** Options of each command that calls an entry host. */
export const callOptions: readonly CommandOption[] = [
    ["--entry <address>", "RPC address of an entry host as HOST:PORT; repeat for fail-over (CHESTNUTSPOOL_ENTRY)"],
    ["--output <format>", "table or json (table)"],
    ["--timeout-ms <time>", "time for the whole command, with all resends (10000)"],
];

/** Options of each command that changes the cluster state. */
export const changeOptions: readonly CommandOption[] = [
    ["--operator-request-id <id>", "id of the change; give the one of an earlier try to resend it (a new one)"],
    ...callOptions,
];

/** Format of the results. */
export type OutputFormat = "table" | "json";

/** Entry hosts, output format and timeout of a command. */
export interface CallSettings {
    readonly entries: readonly string[];
    readonly output: OutputFormat;
    readonly timeoutMs: number;
}

const addressPattern = /^(\[[0-9a-fA-F:.]+\]|[^\s:/]+):\d{1,5}$/;
const defaultTimeoutMs = 10_000;
const maxTimeoutMs = 3_600_000;

/** Reads the last value of an option; undefined when it is not given. */
export function readOption(input: CommandInput, option: string): string | undefined {
    return input.listOptionTexts(option).at(-1);
}

/** Reads a whole number from an option; fails with a usage failure on another text or a number above `max`. */
export function readWholeNumber(
    input: CommandInput,
    option: string,
    defaultValue: number,
    max: number = Number.MAX_SAFE_INTEGER,
): Effect.Effect<number, CliFailure> {
    const text = readOption(input, option);
    if (text === undefined) {
        return Effect.succeed(defaultValue);
    }
    return /^\d{1,15}$/.test(text) && Number(text) <= max
        ? Effect.succeed(Number(text))
        : Effect.fail(
            createUsageFailure(`--${option} is "${text}"; allowed is a whole number up to ${max}`, "correct the value"),
        );
}

/** Reads the options of a call; fails with a usage failure when no entry host is given or a value is malformed. */
export const readCallSettings = Effect.fnUntraced(function*(input: CommandInput) {
    const optionEntries = input.listOptionTexts("entry");
    const environmentEntries = (input.io.environment["CHESTNUTSPOOL_ENTRY"] ?? "").split(",").map(part => part.trim());
    const entries = optionEntries.length > 0 ? optionEntries : environmentEntries.filter(part => part !== "");
    if (entries.length === 0) {
        return yield* Effect.fail(
            createUsageFailure("no entry host is named", "give --entry HOST:PORT or set CHESTNUTSPOOL_ENTRY"),
        );
    }
    const malformedEntry = entries.find(entry => !addressPattern.test(entry));
    if (malformedEntry !== undefined) {
        return yield* Effect.fail(
            createUsageFailure(`--entry is "${malformedEntry}"; allowed is HOST:PORT`, "correct the address"),
        );
    }
    const output = readOption(input, "output") ?? "table";
    if (output !== "table" && output !== "json") {
        return yield* Effect.fail(
            createUsageFailure(`--output is "${output}"; allowed is table or json`, "correct the format"),
        );
    }
    const timeoutMs = yield* readWholeNumber(input, "timeout-ms", defaultTimeoutMs, maxTimeoutMs);
    const settings: CallSettings = { entries, output, timeoutMs };
    return settings;
});

/** Reads the operator request id; without the option, creates one that all resends of this command share. */
export function readOperatorRequestId(input: CommandInput): string {
    return readOption(input, "operator-request-id") ?? randomUUID();
}
