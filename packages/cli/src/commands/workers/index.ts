import { ListWorkersResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { listWorkersTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { callOptions, readCallSettings } from "../../read-options.js";

/** Lists workers. */
export const workersCommand: CliCommand = {
    form: "workers",
    description: "List workers with capacity and use",
    options: callOptions,
    examples: ["workers"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, limits) => operator.listWorkers({}, limits),
        );
        printResult(input.io, settings.output, ListWorkersResponseSchema, response, listWorkersTables);
        return exitCodes.ok;
    }),
};
