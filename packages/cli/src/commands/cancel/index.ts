import type { CliCommand } from "../../command.js";
import { changeOptions } from "../../read-options.js";
import { runChange } from "../../run-change.js";

/** Cancels works; all names of one command line are cancelled in one change. */
export const cancelCommand: CliCommand = {
    form: "cancel <...names>",
    description: "Cancel works and their tasks",
    options: changeOptions,
    examples: ["cancel forecast-0412 forecast-0413"],
    run: input =>
        runChange(
            input,
            (operator, operatorRequestId, limits) =>
                operator.cancelWorks({ operatorRequestId, names: [...input.args] }, limits),
        ),
};
