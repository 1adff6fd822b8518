import { create, toJson } from "@bufbuild/protobuf";
import { RequestClass, SubmitResponseSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { callEntry } from "../../call-entry.js";
import type { CliCommand, CommandInput } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { type CliFailure, createUsageFailure } from "../../failure.js";
import { callOptions, readCallSettings, readOption, readWholeNumber } from "../../read-options.js";
import { readStreamedAnswer } from "../../read-streamed-answer.js";

const classes: Readonly<Record<string, RequestClass>> = {
    urgent: RequestClass.URGENT,
    standard: RequestClass.STANDARD,
};
const maxDeadlineMs = 600_000;
const firstErrorStatus = 400;

function readBody(input: CommandInput): Effect.Effect<Uint8Array, CliFailure> {
    const file = readOption(input, "body-file");
    if (file === undefined) {
        return Effect.succeed(new TextEncoder().encode(readOption(input, "body") ?? ""));
    }
    return Effect.try({
        try: () => readFileSync(file),
        catch: error => createUsageFailure(`${file}: ${String(error)}`, "name a file that can be read"),
    });
}

const readRequest = Effect.fnUntraced(function*(input: CommandInput) {
    const className = readOption(input, "class") ?? "standard";
    const requestClass = classes[className];
    if (requestClass === undefined) {
        return yield* Effect.fail(
            createUsageFailure(`--class is "${className}"; allowed is urgent or standard`, "correct the class"),
        );
    }
    const idempotent = input.hasFlag("idempotent");
    return {
        tenant: input.args[0] ?? "",
        service: input.args[1] ?? "",
        class: requestClass,
        deadlineMs: yield* readWholeNumber(input, "deadline-ms", 5000, maxDeadlineMs),
        idempotent,
        requestId: readOption(input, "request-id") ?? (idempotent ? "" : randomUUID()),
        body: yield* readBody(input),
    };
});

/** Sends a request as a caller does. */
export const submitCommand: CliCommand = {
    form: "submit <tenant> <service>",
    description: "Send a request to a service and print the answer",
    options: [
        ["--class <class>", "urgent or standard (standard)"],
        ["--deadline-ms <time>", "time until the answer is worthless (5000)"],
        ["--idempotent", "the request may run again after a failure in which it did not complete"],
        ["--request-id <id>", "id of the request; give the one of an earlier try to learn its outcome"],
        ["--body <text>", "body of the request"],
        ["--body-file <file>", "file with the body of the request"],
        ["--stream", "take the answer as a stream, up to 64 MiB"],
        ...callOptions,
    ],
    examples: ["submit hakata stock-check --class urgent --deadline-ms 500 --idempotent --body M8x40"],
    run: Effect.fnUntraced(function*(input) {
        const settings = yield* readCallSettings(input);
        const request = yield* readRequest(input);
        // Without an id a resend is a new request, so only a request that was not run may be sent again.
        const rule = request.requestId === "" ? "whenNotRun" : "always";
        if (request.requestId !== "") {
            input.io.writeErrorLine(`request id ${request.requestId}`);
        }
        const callSettings = { ...settings, timeoutMs: Math.max(settings.timeoutMs, request.deadlineMs) };
        const response = yield* callEntry(callSettings, rule, ({ caller }, { signal }) =>
            input.hasFlag("stream")
                ? readStreamedAnswer(caller.submitStream(request, { signal }))
                : caller.submit(request, { signal }));
        if (settings.output === "json") {
            const message = create(SubmitResponseSchema, response);
            input.io.writeLine(JSON.stringify(toJson(SubmitResponseSchema, message, { alwaysEmitImplicit: true })));
        }
        else {
            input.io.writeErrorLine(`status ${response.status} from minion ${response.minion}`);
            input.io.writeBytes(response.answer);
        }
        return response.status >= firstErrorStatus ? exitCodes.failed : exitCodes.ok;
    }),
};
