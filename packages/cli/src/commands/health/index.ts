import { GetHealthResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { listHealthTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { callOptions, readCallSettings } from "../../read-options.js";

/** Shows whether the called process is ready. */
export const healthCommand: CliCommand = {
    form: "health",
    description: "Show whether a process is ready; exit code 5 when it is not",
    options: callOptions,
    examples: ["health --entry 10.20.0.11:7410"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const response = yield* callEntry(settings, "always", ({ operator }, limits) => operator.getHealth({}, limits));
        printResult(input.io, settings.output, GetHealthResponseSchema, response, listHealthTables);
        return response.ready ? exitCodes.ok : exitCodes.unavailable;
    }),
};
