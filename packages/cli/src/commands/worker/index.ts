import { Effect } from "effect";
import type { CliCommand } from "../../command.js";
import { createUsageFailure } from "../../failure.js";
import { changeOptions } from "../../read-options.js";
import { runChange } from "../../run-change.js";

const admissions: Readonly<Record<string, string>> = { drain: "draining", open: "open" };

/** Drains a worker or opens it again. */
export const workerCommand: CliCommand = {
    form: "worker <action> <worker-id>",
    description: "Drain a worker, or open it for tasks again",
    options: changeOptions,
    examples: ["worker drain node-17", "worker open node-17"],
    run: Effect.fnUntraced(function*(input) {
        const [action = "", worker = ""] = input.args;
        const admission = admissions[action];
        if (admission === undefined) {
            return yield* Effect.fail(
                createUsageFailure(`the action is "${action}"; allowed is drain or open`, "correct the action"),
            );
        }
        return yield* runChange(
            input,
            (operator, operatorRequestId, limits) =>
                operator.setWorkerAdmission({ operatorRequestId, worker, admission }, limits),
        );
    }),
};
