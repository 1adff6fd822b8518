import { ListTenantsResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { listTenantsTables } from "../../list-tables.js";
import { printResult } from "../../print-result.js";
import { callOptions, readCallSettings } from "../../read-options.js";

/** Lists tenants. */
export const tenantsCommand: CliCommand = {
    form: "tenants",
    description: "List tenants with quota and use",
    options: callOptions,
    examples: ["tenants"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const response = yield* callEntry(
            settings,
            "always",
            ({ operator }, limits) => operator.listTenants({}, limits),
        );
        printResult(input.io, settings.output, ListTenantsResponseSchema, response, listTenantsTables);
        return exitCodes.ok;
    }),
};
