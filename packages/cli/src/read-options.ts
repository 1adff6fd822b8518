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

/** Options of each command that changes something. */
export const changeOptions: readonly CommandOption[] = [
    ["--operator-request-id <id>", "id of the change; give the one of an earlier try to resend it (a new one)"],
    ...callOptions,
];

/** Format of the results. */
export type OutputFormat = "table" | "json";

/** Where and how to call. */
export interface CallSettings {
    readonly entries: readonly string[];
    readonly output: OutputFormat;
    readonly timeoutMs: number;
}

const addressPattern = /^(\[[0-9a-fA-F:.]+\]|[^\s:/]+):\d{1,5}$/;
const defaultTimeoutMs = 10_000;
const longestTimeoutMs = 3_600_000;

/** The last value of an option; undefined without one. */
export function readText(input: CommandInput, option: string): string | undefined {
    return input.readTexts(option).at(-1);
}

/** A whole number from an option. */
export function readCount(
    input: CommandInput,
    option: string,
    defaultValue: number,
    max: number = Number.MAX_SAFE_INTEGER,
): Effect.Effect<number, CliFailure> {
    const text = readText(input, option);
    if (text === undefined) {
        return Effect.succeed(defaultValue);
    }
    return /^\d{1,15}$/.test(text) && Number(text) <= max
        ? Effect.succeed(Number(text))
        : Effect.fail(
            createUsageFailure(`--${option} is "${text}"; allowed is a whole number up to ${max}`, "correct the value"),
        );
}

/** The options of a call. */
export const readCallSettings = Effect.fnUntraced(function*(input: CommandInput) {
    const given = input.readTexts("entry");
    const fallback = (input.io.environment["CHESTNUTSPOOL_ENTRY"] ?? "").split(",").map(part => part.trim());
    const entries = given.length > 0 ? given : fallback.filter(part => part !== "");
    if (entries.length === 0) {
        return yield* Effect.fail(
            createUsageFailure("no entry host is named", "give --entry HOST:PORT or set CHESTNUTSPOOL_ENTRY"),
        );
    }
    const wrong = entries.find(entry => !addressPattern.test(entry));
    if (wrong !== undefined) {
        return yield* Effect.fail(
            createUsageFailure(`--entry is "${wrong}"; allowed is HOST:PORT`, "correct the address"),
        );
    }
    const output = readText(input, "output") ?? "table";
    if (output !== "table" && output !== "json") {
        return yield* Effect.fail(
            createUsageFailure(`--output is "${output}"; allowed is table or json`, "correct the format"),
        );
    }
    const timeoutMs = yield* readCount(input, "timeout-ms", defaultTimeoutMs, longestTimeoutMs);
    const settings: CallSettings = { entries, output, timeoutMs };
    return settings;
});

/** The operator request id: the one given, else a new one that all resends of this command share. */
export function readOperatorRequestId(input: CommandInput): string {
    return readText(input, "operator-request-id") ?? randomUUID();
}
