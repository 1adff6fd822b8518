import { type ChangeResponse, ChangeResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { type AttemptLimits, callEntry, type EntryClients } from "./call-entry.js";
import type { CommandInput } from "./command.js";
import { exitCodes } from "./exit-codes.js";
import { listChangeTables } from "./list-tables.js";
import { printResult } from "./print-result.js";
import { readCallSettings, readOperatorRequestId } from "./read-options.js";

/** Sends one change, with the same operator request id in all resends, and prints its result. */
export const runChange = Effect.fnUntraced(function*(
    input: CommandInput,
    change: (
        operator: EntryClients["operator"],
        operatorRequestId: string,
        limits: AttemptLimits,
    ) => Promise<ChangeResponse>,
) {
    const settings = yield* readCallSettings(input);
    const operatorRequestId = readOperatorRequestId(input);
    const response = yield* callEntry(
        settings,
        "always",
        ({ operator }, limits) => change(operator, operatorRequestId, limits),
    );
    printResult(input.io, settings.output, ChangeResponseSchema, response, listChangeTables);
    return exitCodes.ok;
});
