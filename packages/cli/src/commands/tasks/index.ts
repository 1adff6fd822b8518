import { ListTasksResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { listTasksTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { callOptions, readCallSettings, readOption, readWholeNumber } from "../../read-options.js";

/** Lists tasks. */
export const tasksCommand: CliCommand = {
    form: "tasks",
    description: "List tasks",
    options: [
        ["--work <name>", "only this work"],
        ["--phase <phase>", "only this phase"],
        ["--after <id>", "only ids after this one"],
        ["--limit <count>", "at most this many, up to 1000 (100)"],
        ...callOptions,
    ],
    examples: ["tasks --work forecast-0412 --phase pending"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const limit = yield* readWholeNumber(input, "limit", 0, 1000);
        const work = readOption(input, "work") ?? "";
        const phase = readOption(input, "phase") ?? "";
        const afterId = readOption(input, "after") ?? "";
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, limits) => operator.listTasks({ work, phase, afterId, limit }, limits),
        );
        printResult(input.io, settings.output, ListTasksResponseSchema, response, listTasksTables);
        return exitCodes.ok;
    }),
};
