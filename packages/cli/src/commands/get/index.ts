import { GetWorkResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { listWorkTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { callOptions, readCallSettings } from "../../read-options.js";

/** Shows one work. */
export const getCommand: CliCommand = {
    form: "get <name>",
    alias: "describe",
    description: "Show a work with its tasks",
    options: callOptions,
    examples: ["get forecast-0412"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, limits) => operator.getWork({ name: input.args[0] ?? "" }, limits),
        );
        printResult(input.io, settings.output, GetWorkResponseSchema, response, listWorkTables);
        return exitCodes.ok;
    }),
};
