import { mapRpcCode } from "@chestnutspool/entry";
import { describeError } from "@chestnutspool/errors";
import { ErrorDetailSchema } from "@chestnutspool/schema";
import type { ErrorData } from "@chestnutspool/types";
import { Code, ConnectError } from "@connectrpc/connect";
import { type ExitCode, exitCodes } from "./exit-codes.js";

/** Why a command failed, as it is printed. */
export interface CliFailure {
    readonly exitCode: ExitCode;
    readonly kind: string;
    readonly text: string;
    /** Empty when the text itself ends with the remedy. */
    readonly remedy: string;
}

/** A failed call and what it says about a resend. */
export interface RpcFailure extends CliFailure {
    /** True when the call certainly had no effect. */
    readonly notRun: boolean;
    /** True when another attempt may succeed. */
    readonly transient: boolean;
    /** Time after which to come back in milliseconds; 0 when unknown. */
    readonly retryAfterMs: number;
}

const unsentCodes = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"];

/** A fault in the command line. */
export function createUsageFailure(text: string, remedy: string): CliFailure {
    return { exitCode: exitCodes.usage, kind: "usage", text, remedy };
}

function mapExitCode(code: Code): ExitCode {
    switch (code) {
        case Code.Aborted:
        case Code.AlreadyExists:
            return exitCodes.conflict;
        case Code.NotFound:
            return exitCodes.notFound;
        case Code.Unavailable:
        case Code.Unknown:
        case Code.DeadlineExceeded:
        case Code.Canceled:
            return exitCodes.unavailable;
        case Code.InvalidArgument:
        case Code.PermissionDenied:
        case Code.ResourceExhausted:
        case Code.FailedPrecondition:
        case Code.OutOfRange:
        case Code.Unimplemented:
        case Code.Internal:
        case Code.DataLoss:
        case Code.Unauthenticated:
            return exitCodes.failed;
    }
}

/** A typed error as a failure; its text names the remedy. */
export function mapErrorToFailure(error: ErrorData): CliFailure {
    return {
        exitCode: mapExitCode(mapRpcCode(error)),
        kind: error.kind,
        // Each fault names its own remedy; one a line is easier to work through.
        text: error.kind === "invalidSettings" ? error.faults.join("\n") : describeError(error),
        remedy: "",
    };
}

function findCauseCode(error: ConnectError): string {
    const cause: unknown = error.cause;
    return cause instanceof Error && "code" in cause ? String(cause.code) : "";
}

/** A failed call as a failure. An error without a detail comes from the connection, not from the system. */
export function mapRpcFailure(thrown: unknown, entry: string): RpcFailure {
    const error = ConnectError.from(thrown);
    const [detail] = error.findDetails(ErrorDetailSchema);
    const exitCode = mapExitCode(error.code);
    const transient = exitCode === exitCodes.unavailable;
    if (detail !== undefined) {
        const { kind, remedy, notRun, retryAfterMs } = detail;
        return { exitCode, kind, text: error.rawMessage, remedy, notRun, transient, retryAfterMs };
    }
    return {
        exitCode,
        kind: Code[error.code],
        text: `${entry}: ${error.rawMessage}`,
        remedy: "check that the entry host runs and that --entry names its RPC address",
        notRun: unsentCodes.includes(findCauseCode(error)),
        transient,
        retryAfterMs: 0,
    };
}

/** The lines that report a failure. */
export function describeFailure(failure: CliFailure): string {
    const first = `error ${failure.kind}: ${failure.text}`;
    return failure.remedy === "" || failure.text.includes(failure.remedy)
        ? first
        : `${first}\nremedy: ${failure.remedy}`;
}
