import { describeError } from "@chestnutspool/errors";
import { loadSettings } from "@chestnutspool/settings";
import { Effect } from "effect";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";

/** Checks settings files. */
export const checkConfigCommand: CliCommand = {
    form: "check-config <...files>",
    description: "Check settings files and print every fault; exit code 1 when there is one",
    options: [],
    examples: ["check-config /etc/chestnutspool.ini"],
    run: ({ io, args }) =>
        Effect.sync(() => {
            let hasFaults = false;
            for (const file of args) {
                const faults = loadSettings(file).caseOf({
                    Left: error => error.kind === "invalidSettings" ? error.faults : [describeError(error)],
                    Right: () => [],
                });
                for (const fault of faults) {
                    io.writeErrorLine(fault);
                }
                if (faults.length === 0) {
                    io.writeLine(`${file}: no faults`);
                }
                hasFaults = hasFaults || faults.length > 0;
            }
            return hasFaults ? exitCodes.failed : exitCodes.ok;
        }),
};
