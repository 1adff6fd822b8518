import { ChangeResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { listChangeTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { changeOptions, readCallSettings, readOperatorRequestId } from "../../read-options.js";

/** Cancels works; a burst is one change. */
export const cancelCommand: CliCommand = {
    form: "cancel <...names>",
    description: "Cancel works and their tasks",
    options: changeOptions,
    examples: ["cancel forecast-0412 forecast-0413"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const operatorRequestId = readOperatorRequestId(input);
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, limits) => operator.cancelWorks({ operatorRequestId, names: [...input.args] }, limits),
        );
        printResult(input.io, settings.output, ChangeResponseSchema, response, listChangeTables);
        return exitCodes.ok;
    }),
};
