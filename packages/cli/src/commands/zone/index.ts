import { Effect } from "effect";
import type { CliCommand } from "../../command.js";
import { createUsageFailure } from "../../failure.js";
import { changeOptions } from "../../read-options.js";
import { runChange } from "../../run-change.js";

const admissions: Readonly<Record<string, string>> = { evacuate: "evacuated", restore: "open" };

/** Evacuates an availability zone or takes it back. */
export const zoneCommand: CliCommand = {
    form: "zone <action> <availability-zone>",
    description: "Evacuate an availability zone, or use it for tasks again",
    options: changeOptions,
    examples: ["zone evacuate zone-a", "zone restore zone-a"],
    run: Effect.fnUntraced(function*(input) {
        const [action = "", availabilityZone = ""] = input.args;
        const admission = admissions[action];
        if (admission === undefined) {
            return yield* Effect.fail(
                createUsageFailure(`the action is "${action}"; allowed is evacuate or restore`, "correct the action"),
            );
        }
        return yield* runChange(
            input,
            (operator, operatorRequestId, limits) =>
                operator.setZoneAdmission({ operatorRequestId, availabilityZone, admission }, limits),
        );
    }),
};
