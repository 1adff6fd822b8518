import { ChangeResponseSchema, GetConfigurationResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand, CommandInput } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { type CliFailure, createUsageFailure } from "../../failure.js";
import { listChangeTables, listConfigurationTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import {
    changeOptions,
    readCallSettings,
    readOperatorRequestId,
    readOption,
    readWholeNumber,
} from "../../read-options.js";

const defaultHistoryLimit = 20;

function parseEntries(pairs: readonly string[]): Effect.Effect<Record<string, string>, CliFailure> {
    const malformedPair = pairs.find(pair => pair.indexOf("=") < 1);
    if (malformedPair !== undefined) {
        return Effect.fail(createUsageFailure(`"${malformedPair}" is not KEY=VALUE`, "correct the argument"));
    }
    return Effect.succeed(Object.fromEntries(pairs.map(pair => {
        const separatorIndex = pair.indexOf("=");
        return [pair.slice(0, separatorIndex), pair.slice(separatorIndex + 1)];
    })));
}

const setConfiguration = Effect.fnUntraced(function*(input: CommandInput) {
    const settings = yield* readCallSettings(input);
    const operatorRequestId = readOperatorRequestId(input);
    const entries = yield* parseEntries(input.args.slice(1));
    const removedKeys = [...input.listOptionTexts("remove")];
    if (Object.keys(entries).length + removedKeys.length === 0) {
        return yield* Effect.fail(createUsageFailure("no key is given", "give KEY=VALUE or --remove KEY"));
    }
    if (readOption(input, "expected-revision") === undefined) {
        return yield* Effect.fail(
            createUsageFailure(
                "--expected-revision is missing",
                "give the revision that \"config get\" shows, 0 before the first change",
            ),
        );
    }
    const expectedRevision = BigInt(yield* readWholeNumber(input, "expected-revision", 0));
    const request = { operatorRequestId, entries, removedKeys, expectedRevision };
    const response = yield* callEntry(
        settings,
        "always",
        ({ operator }, limits) => operator.setConfiguration(request, limits),
    );
    printResult(input.io, settings.output, ChangeResponseSchema, response, listChangeTables);
    return exitCodes.ok;
});

const getConfiguration = Effect.fnUntraced(function*(input: CommandInput, showHistory: boolean) {
    const settings = yield* readCallSettings(input);
    const historyLimit = showHistory ? yield* readWholeNumber(input, "limit", defaultHistoryLimit, 1000) : 0;
    const response = yield* callEntry(
        settings,
        "always",
        ({ operator }, limits) => operator.getConfiguration({ historyLimit }, limits),
    );
    printResult(
        input.io,
        settings.output,
        GetConfigurationResponseSchema,
        response,
        message => listConfigurationTables(message, showHistory),
    );
    return exitCodes.ok;
});

/** Reads and changes the configuration. */
export const configCommand: CliCommand = {
    form: "config <action> [...pairs]",
    description: "get, set KEY=VALUE... or history of the configuration",
    options: [
        ["--expected-revision <revision>", "set: revision that the change is based on; 0 before the first change"],
        ["--remove <key>", "set: key to remove; repeatable"],
        ["--limit <count>", "history: revisions to show (20)"],
        ...changeOptions,
    ],
    examples: ["config get", "config set retry_budget_percent=5 --expected-revision 12", "config history --limit 5"],
    run: input => {
        const [action = "", ...rest] = input.args;
        if (action === "set") {
            return setConfiguration(input);
        }
        if ((action === "get" || action === "history") && rest.length === 0) {
            return getConfiguration(input, action === "history");
        }
        return Effect.fail(
            createUsageFailure(
                `the action is "${input.args.join(" ")}"; allowed is get, set KEY=VALUE... or history`,
                "correct the action",
            ),
        );
    },
};
