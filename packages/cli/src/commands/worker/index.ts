import { ChangeResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { createUsageFailure } from "../../failure.js";
import { listChangeTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { changeOptions, readCallSettings, readOperatorRequestId } from "../../read-options.js";

const admissions: Readonly<Record<string, string>> = { drain: "draining", open: "open" };

/** Drains a worker or opens it again. */
export const workerCommand: CliCommand = {
    form: "worker <action> <worker-id>",
    description: "Drain a worker, or open it for tasks again",
    options: changeOptions,
    examples: ["worker drain node-17", "worker open node-17"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const operatorRequestId = readOperatorRequestId(input);
        const [action = "", worker = ""] = input.args;
        const admission = admissions[action];
        if (admission === undefined) {
            return yield* Effect.fail(
                createUsageFailure(`the action is "${action}"; allowed is drain or open`, "correct the action"),
            );
        }
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, limits) => operator.setWorkerAdmission({ operatorRequestId, worker, admission }, limits),
        );
        printResult(input.io, settings.output, ChangeResponseSchema, response, listChangeTables);
        return exitCodes.ok;
    }),
};
