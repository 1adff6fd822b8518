import type { CliCommand } from "../../command.js";
import { changeOptions } from "../../read-options.js";
import { runChange } from "../../run-change.js";

/** Drains an entry host: transfers the items that it owns to the other entry hosts. */
export const drainCommand: CliCommand = {
    form: "drain <entry-id>",
    description: "Take work away from an entry host",
    options: changeOptions,
    examples: ["drain entry-3"],
    run: input =>
        runChange(
            input,
            (operator, operatorRequestId, limits) =>
                operator.drainEntry({ operatorRequestId, entry: input.args[0] ?? "" }, limits),
        ),
};
