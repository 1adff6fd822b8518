import { ChangeResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { listChangeTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { changeOptions, readCallSettings, readOperatorRequestId } from "../../read-options.js";

/** Hands the items of an entry host over to the others. */
export const drainCommand: CliCommand = {
    form: "drain <entry-id>",
    description: "Take work away from an entry host",
    options: changeOptions,
    examples: ["drain cuyo-entry-3"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const operatorRequestId = readOperatorRequestId(input);
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, limits) => operator.drainEntry({ operatorRequestId, entry: input.args[0] ?? "" }, limits),
        );
        printResult(input.io, settings.output, ChangeResponseSchema, response, listChangeTables);
        return exitCodes.ok;
    }),
};
