import { ListMinionsResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { listMinionsTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { callOptions, readCallSettings, readOption } from "../../read-options.js";

/** Lists minions. */
export const minionsCommand: CliCommand = {
    form: "minions",
    description: "List minions with their owners",
    options: [
        ["--service <service>", "only this service"],
        ...callOptions,
    ],
    examples: ["minions --service plume-check"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const service = readOption(input, "service") ?? "";
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, limits) => operator.listMinions({ service }, limits),
        );
        printResult(input.io, settings.output, ListMinionsResponseSchema, response, listMinionsTables);
        return exitCodes.ok;
    }),
};
