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
    /** Empty when the text already contains the remedy. */
    readonly remedy: string;
}

/** A failed call, with the facts that decide whether it may be sent again. */
export interface RpcFailure extends CliFailure {
    /** True when the call certainly had no effect. */
    readonly notRun: boolean;
    /** True when another attempt may succeed. */
    readonly transient: boolean;
    /** Delay before a retry in milliseconds; 0 when unknown. */
    readonly retryAfterMs: number;
}

/** System error codes of a connection that was never opened, so that the call was not sent. */
const connectFailureCodes = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"];

/** Creates the failure for a faulty command line. */
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

/** Converts a typed error to a failure whose text includes the remedy. */
export function mapErrorToFailure(error: ErrorData): CliFailure {
    return {
        exitCode: mapExitCode(mapRpcCode(error)),
        kind: error.kind,
        // Each fault has its own remedy, so each is printed on its own line.
        text: error.kind === "invalidSettings" ? error.faults.join("\n") : describeError(error),
        remedy: "",
    };
}

function findCauseCode(error: ConnectError): string {
    const cause: unknown = error.cause;
    return cause instanceof Error && "code" in cause ? String(cause.code) : "";
}

/** Converts the error of a failed call. An error without an error detail comes from the connection, not from a process. */
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
        notRun: connectFailureCodes.includes(findCauseCode(error)),
        transient,
        retryAfterMs: 0,
    };
}

/** Describes a failure in one or two lines, the second one for the remedy. */
export function describeFailure(failure: CliFailure): string {
    const firstLine = `error ${failure.kind}: ${failure.text}`;
    return failure.remedy === "" || failure.text.includes(failure.remedy)
        ? firstLine
        : `${firstLine}\nremedy: ${failure.remedy}`;
}
