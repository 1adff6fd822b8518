import { GetStatisticsResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { listStatisticsTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { callOptions, readCallSettings, readOption } from "../../read-options.js";

/** Shows the statistics of a process. */
export const statsCommand: CliCommand = {
    form: "stats",
    description: "Show distributions and counters of a process",
    options: [
        ["--process <id>", "fail unless the process that is called has this id"],
        ...callOptions,
    ],
    examples: ["stats --process entry-2"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const process = readOption(input, "process") ?? "";
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, limits) => operator.getStatistics({ process }, limits),
        );
        printResult(input.io, settings.output, GetStatisticsResponseSchema, response, listStatisticsTables);
        return exitCodes.ok;
    }),
};
