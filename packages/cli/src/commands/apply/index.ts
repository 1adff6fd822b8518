import { fromJson, type JsonValue, type MessageShape } from "@bufbuild/protobuf";
import { ChangeResponseSchema, TenantSchema, WorkSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { readFileSync } from "node:fs";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { type CliFailure, createUsageFailure } from "../../failure.js";
import { listChangeTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { changeOptions, readCallSettings, readOperatorRequestId, readWholeNumber } from "../../read-options.js";

type AppliedObject =
    | { readonly kind: "work"; readonly work: MessageShape<typeof WorkSchema>; }
    | { readonly kind: "tenant"; readonly tenant: MessageShape<typeof TenantSchema>; };

function parseAppliedObject(text: string): AppliedObject {
    const parsed = JSON.parse(text) as Readonly<Record<string, JsonValue>> | null;
    const keys = Object.keys(parsed ?? {});
    if (keys.length === 1 && parsed?.["work"] !== undefined) {
        return { kind: "work", work: fromJson(WorkSchema, parsed["work"]) };
    }
    if (keys.length === 1 && parsed?.["tenant"] !== undefined) {
        return { kind: "tenant", tenant: fromJson(TenantSchema, parsed["tenant"]) };
    }
    throw new Error("the file holds neither {\"work\": ...} nor {\"tenant\": ...}");
}

function readAppliedObject(file: string): Effect.Effect<AppliedObject, CliFailure> {
    return Effect.try({
        try: () => parseAppliedObject(readFileSync(file, "utf8")),
        catch: error =>
            createUsageFailure(
                `${file}: ${error instanceof Error ? error.message : String(error)}`,
                "write one Work or Tenant of operator.proto as JSON",
            ),
    });
}

/** Creates or changes a work or a tenant. */
export const applyCommand: CliCommand = {
    form: "apply <file>",
    description: "Create or change the work or tenant of a JSON file",
    options: [
        ["--expected-revision <revision>", "revision that the change is based on; 0 to create (0)"],
        ...changeOptions,
    ],
    examples: ["apply forecast.json --entry 10.20.0.11:7410", "apply forecast.json --expected-revision 1"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const expectedRevision = BigInt(yield* readWholeNumber(input, "expected-revision", 0));
        const operatorRequestId = readOperatorRequestId(input);
        const appliedObject = yield* readAppliedObject(input.args[0] ?? "");
        const response = yield* callEntry(settings, "always", ({ operator }, limits) => {
            switch (appliedObject.kind) {
                case "work":
                    return operator.applyWork(
                        { operatorRequestId, expectedRevision, work: appliedObject.work },
                        limits,
                    );
                case "tenant":
                    return operator.applyTenant(
                        { operatorRequestId, expectedRevision, tenant: appliedObject.tenant },
                        limits,
                    );
            }
        });
        printResult(input.io, settings.output, ChangeResponseSchema, response, listChangeTables);
        return exitCodes.ok;
    }),
};
