import { ListWorksResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { listWorksTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { callOptions, readCallSettings, readOption, readWholeNumber } from "../../read-options.js";

/** Lists works. */
export const listCommand: CliCommand = {
    form: "list",
    description: "List works",
    options: [
        ["--tenant <tenant>", "only this tenant"],
        ["--after <name>", "only names after this one"],
        ["--limit <count>", "at most this many, up to 1000 (100)"],
        ...callOptions,
    ],
    examples: ["list --tenant moreno"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const limit = yield* readWholeNumber(input, "limit", 0, 1000);
        const tenant = readOption(input, "tenant") ?? "";
        const afterName = readOption(input, "after") ?? "";
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, limits) => operator.listWorks({ tenant, afterName, limit }, limits),
        );
        printResult(input.io, settings.output, ListWorksResponseSchema, response, listWorksTables);
        return exitCodes.ok;
    }),
};
