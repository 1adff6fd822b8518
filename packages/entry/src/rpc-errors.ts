import { describeError, isCertainlyNotRun, mapErrorCode, type RpcCode } from "@chestnutspool/errors";
import { ErrorDetailSchema } from "@chestnutspool/schema";
import type { ErrorData } from "@chestnutspool/types";
import { Code, ConnectError } from "@connectrpc/connect";
import { Cause, type Effect, Exit } from "effect";

/** Runs an effect for a call; the effect is interrupted when the caller disconnects. */
export type RunCall = <Value>(effect: Effect.Effect<Value, ErrorData>, signal: AbortSignal) => Promise<Value>;

const codes: Readonly<Record<RpcCode, Code>> = {
    invalid_argument: Code.InvalidArgument,
    not_found: Code.NotFound,
    aborted: Code.Aborted,
    already_exists: Code.AlreadyExists,
    resource_exhausted: Code.ResourceExhausted,
    unavailable: Code.Unavailable,
    unknown: Code.Unknown,
    deadline_exceeded: Code.DeadlineExceeded,
    data_loss: Code.DataLoss,
    failed_precondition: Code.FailedPrecondition,
    internal: Code.Internal,
};

/** Maps a typed error to its RPC status code. */
export function mapRpcCode(error: ErrorData): Code {
    return codes[mapErrorCode(error)];
}

function getRetryAfterMs(error: ErrorData): number {
    return error.kind === "notRun" || error.kind === "stillRunning" ? error.retryAfterMs ?? 0 : 0;
}

/** Creates the RPC error of a typed error, with an `ErrorDetail`. */
export function createRpcError(error: ErrorData): ConnectError {
    const text = describeError(error);
    const retryAfterMs = getRetryAfterMs(error);
    const headers: Record<string, string> = retryAfterMs > 0
        ? { "retry-after": String(Math.ceil(retryAfterMs / 1_000)) }
        : {};
    return new ConnectError(text, mapRpcCode(error), headers, [{
        desc: ErrorDetailSchema,
        value: {
            kind: error.kind,
            remedy: text,
            notRun: isCertainlyNotRun(error),
            retryAfterMs,
            reason: error.kind === "notRun" ? error.reason : "",
        },
    }]);
}

/** Returns the value of a call or throws its error in the form that the RPC library sends. */
export function getOrThrow<Value>(exit: Exit.Exit<Value, ErrorData>): Value {
    if (Exit.isSuccess(exit)) {
        return exit.value;
    }
    const known = Cause.findErrorOption(exit.cause);
    if (known._tag === "Some") {
        throw createRpcError(known.value);
    }
    if (Cause.hasInterruptsOnly(exit.cause)) {
        throw new ConnectError("the call was cancelled", Code.Canceled);
    }
    throw createRpcError({ kind: "internal", detail: Cause.pretty(exit.cause) });
}
