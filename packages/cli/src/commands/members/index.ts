import type { MessageInitShape } from "@bufbuild/protobuf";
import {
    type ChangeMembersRequestSchema,
    ChangeMembersResponseSchema,
    ListMembersResponseSchema,
} from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand, CommandInput } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { createUsageFailure } from "../../failure.js";
import { listMembersTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { callOptions, readCallSettings } from "../../read-options.js";

type MemberChange = MessageInitShape<typeof ChangeMembersRequestSchema>["change"];

function parseChange(args: readonly string[]): MemberChange | undefined {
    const [action, id, address, replicaIdentity] = args;
    if (action === undefined || id === undefined || args.length !== (action === "add" ? 4 : 2)) {
        return undefined;
    }
    switch (action) {
        case "add":
            return address === undefined || replicaIdentity === undefined
                ? undefined
                : { case: "addLearner", value: { id, address, replicaIdentity } };
        case "promote":
            return { case: "promoteLearner", value: id };
        case "remove":
            return { case: "removeMember", value: id };
        case "transfer":
            return { case: "transferLeadership", value: id };
        default:
            return undefined;
    }
}

const listMembers = Effect.fnUntraced(function*(input: CommandInput) {
    const settings = yield* readCallSettings(input);
    const response = yield* callEntry(settings, "always", ({ operator }, limits) => operator.listMembers({}, limits));
    printResult(input.io, settings.output, ListMembersResponseSchema, response, listMembersTables);
    return exitCodes.ok;
});

const changeMembers = Effect.fnUntraced(function*(input: CommandInput) {
    const settings = yield* readCallSettings(input);
    const change = parseChange(input.args);
    if (change === undefined) {
        return yield* Effect.fail(
            createUsageFailure(
                `the action is "${input.args.join(" ")}"; allowed is add ID IP:PORT REPLICA, promote ID, remove ID or `
                    + "transfer ID",
                "correct the action",
            ),
        );
    }
    // A change of members has no operator request id, so a resend after an unknown outcome could apply it twice.
    const response = yield* callEntry(
        settings,
        "whenNotRun",
        ({ operator }, limits) => operator.changeMembers({ change }, limits),
    );
    printResult(
        input.io,
        settings.output,
        ChangeMembersResponseSchema,
        response,
        () => [{ header: ["CHANGED"], rows: [[input.args.join(" ")]] }],
    );
    return exitCodes.ok;
});

/** Lists and changes the control replicas. */
export const membersCommand: CliCommand = {
    form: "members [...change]",
    description: "List control replicas and entry hosts; add, promote, remove or transfer",
    options: callOptions,
    examples: [
        "members",
        "members add entry-9 10.21.0.13:7411 4f0c2f4e",
        "members promote entry-9",
        "members remove entry-2",
        "members transfer entry-1",
    ],
    run: input => input.args.length === 0 ? listMembers(input) : changeMembers(input),
};
