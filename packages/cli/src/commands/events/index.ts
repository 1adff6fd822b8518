import { toJson } from "@bufbuild/protobuf";
import { type Event, EventSchema, ListEventsResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { type AttemptLimits, callEntry, type EntryClients } from "../../call-entry.js";
import type { CliCommand, CommandInput, CommandIo } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { formatEvent, listEventsTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import {
    callOptions,
    type CallSettings,
    type OutputFormat,
    readCallSettings,
    readWholeNumber,
} from "../../read-options.js";

/** Position in the sequence of events: log index, and ordinal among the events of that index. */
interface Position {
    index: bigint;
    ordinal: number;
}

function isAfter(event: Event, position: Position): boolean {
    return event.index > position.index || (event.index === position.index && event.ordinal > position.ordinal);
}

function printEvent(io: CommandIo, output: OutputFormat, event: Event): void {
    const asJson = (): string => JSON.stringify(toJson(EventSchema, event, { alwaysEmitImplicit: true }));
    io.writeLine(output === "json" ? asJson() : formatEvent(event));
}

/**
 * Prints events until the stream breaks. A stream may break between two events of one index, so the next one starts with
 * that index again, and events that were already printed are skipped.
 */
async function printStream(
    io: CommandIo,
    output: OutputFormat,
    position: Position,
    { operator }: EntryClients,
    signal: AbortSignal,
): Promise<never> {
    const afterIndex = position.index > 0n ? position.index - 1n : 0n;
    for await (const event of operator.watchEvents({ afterIndex }, { signal })) {
        if (isAfter(event, position)) {
            printEvent(io, output, event);
            position.index = event.index;
            position.ordinal = event.ordinal;
        }
    }
    throw new Error("the entry host closed the stream");
}

const followEvents = Effect.fnUntraced(function*(input: CommandInput, settings: CallSettings, afterIndex: bigint) {
    const position: Position = { index: afterIndex, ordinal: Number.MAX_SAFE_INTEGER };
    // After a stream that delivered new events, the next call has the full timeout for its resends again.
    for (;;) {
        const positionBefore = { ...position };
        const result = yield* Effect.result(
            callEntry(
                settings,
                "always",
                (clients, limits: AttemptLimits) =>
                    printStream(input.io, settings.output, position, clients, limits.signal),
            ),
        );
        if (
            result._tag === "Failure" && positionBefore.index === position.index
            && positionBefore.ordinal === position.ordinal
        ) {
            return yield* Effect.fail(result.failure);
        }
    }
});

/** Lists events or follows them. */
export const eventsCommand: CliCommand = {
    form: "events",
    description: "List events, or follow them until interrupted",
    options: [
        ["--follow", "go on with new events as they happen"],
        ["--after <index>", "only events after this log index (0)"],
        ["--limit <count>", "list: at most this many, up to 1000 (100)"],
        ["--wait-ms <time>", "list: time to wait for the first event, up to 10000 (0)"],
        ...callOptions,
    ],
    examples: ["events --after 1200 --limit 20", "events --follow --output json"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const afterIndex = BigInt(yield* readWholeNumber(input, "after", 0));
        const limit = yield* readWholeNumber(input, "limit", 0, 1000);
        const waitMs = yield* readWholeNumber(input, "wait-ms", 0, 10_000);
        if (input.hasFlag("follow")) {
            return yield* followEvents(input, settings, afterIndex);
        }
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, { signal, timeoutMs }) =>
                operator.listEvents({ afterIndex, limit, waitMs }, { signal, timeoutMs: timeoutMs + waitMs }),
        );
        printResult(input.io, settings.output, ListEventsResponseSchema, response, listEventsTables);
        return exitCodes.ok;
    }),
};
