import type { EntryReply, ErrorData, MinionId, NotRunReason, RequestEnvelope } from "@chestnutspool/types";
import { Effect, Result } from "effect";
import { type ClientRequest, type IncomingMessage, request as openRequest } from "node:http";
import type { Socket } from "node:net";
import { crc32 } from "node:zlib";
import { type HeldSlot, recordSlotSent } from "./owned-minion.js";

/** Passes on a part of an answer; waits while the receiver is slow (backpressure). */
export type EmitReply = (reply: EntryReply) => Effect.Effect<void, ErrorData>;

/** How an attempt ended. */
export type AttemptResult =
    | {
        readonly state: "ran";
        readonly status: number;
        readonly lengthBytes: number;
        readonly crc32: number;
        /** The whole answer when it is small enough to be recorded; undefined otherwise. */
        readonly kept: Uint8Array | undefined;
    }
    | {
        readonly state: "notSent";
        readonly reason: NotRunReason;
        /** The minion that was unreachable or refused the attempt; the next attempt should go to another one. */
        readonly failedMinion: MinionId | undefined;
        readonly retryAfterMs: number | undefined;
    }
    | {
        readonly state: "maybeRun";
        readonly answerBegun: boolean;
        readonly error: ErrorData;
    };

/** What the dispatch needs besides the slot. */
export interface DispatchOptions {
    readonly envelope: RequestEnvelope;
    readonly streamLimitBytes: number;
    readonly readNowMs: () => number;
    /** Called right before the first byte is written; a returned reason prevents the dispatch. */
    readonly findRefusal: () => NotRunReason | undefined;
}

/** Header by which a minion states that it did not start an attempt. */
const notStartedHeader = "chestnutspool-not-started";
/** Largest part of an answer that is passed on as one message, in bytes. */
const chunkBytes = 64 * 1024;
/** Largest answer that is recorded for a resend, in bytes. */
export const keptAnswerLimitBytes = 64 * 1024;
/** Time limit for opening a connection to a minion, in milliseconds; within a region a connection takes about 2 ms. */
export const connectLimitMs = 1_000;

type HttpEffect<Value> = Effect.Effect<Value, string>;

/** Waits until the request has a connection; nothing is written until then. */
function awaitConnection(request: ClientRequest): HttpEffect<void> {
    return Effect.callback<void, string>(resume => {
        const watchSocket = (socket: Socket): void => {
            if (socket.connecting) {
                socket.once("connect", () => resume(Effect.void));
            }
            else {
                resume(Effect.void);
            }
        };
        request.once("error", error => resume(Effect.fail(error.message)));
        if (request.destroyed) {
            resume(Effect.fail("the connection failed"));
        }
        else if (request.socket !== null) {
            watchSocket(request.socket);
        }
        else {
            request.once("socket", watchSocket);
        }
    }).pipe(Effect.timeoutOrElse({
        duration: connectLimitMs,
        orElse: () => Effect.fail(`no connection within ${connectLimitMs} ms`),
    }));
}

type SendResult =
    | { readonly kind: "answered"; readonly response: IncomingMessage; }
    | { readonly kind: "failed"; readonly detail: string; }
    | { readonly kind: "refused"; readonly reason: NotRunReason; readonly failedMinion: MinionId | undefined; };

/**
 * Writes the request and waits for the head of the answer. No other code runs between the last check and the first
 * write, so an attempt is `notSent` exactly until `recordSlotSent`.
 */
function sendRequest(request: ClientRequest, slot: HeldSlot, options: DispatchOptions): Effect.Effect<SendResult> {
    return Effect.callback(resume => {
        const end = (result: SendResult): void => resume(Effect.succeed(result));
        const reason = options.findRefusal();
        if (reason !== undefined) {
            end({ kind: "refused", reason, failedMinion: undefined });
            return;
        }
        if (request.destroyed || request.socket?.destroyed === true) {
            end({ kind: "refused", reason: "refusedByMinion", failedMinion: slot.ref.minion });
            return;
        }
        request.once("response", response => {
            // The iterator of the body reports its errors; an error event without a listener could end the process.
            response.on("error", () => undefined);
            end({ kind: "answered", response });
        });
        request.once("error", error => end({ kind: "failed", detail: error.message }));
        request.once("close", () => end({ kind: "failed", detail: "the connection closed before an answer" }));
        recordSlotSent(slot, options.readNowMs());
        request.end(options.envelope.body);
    });
}

/** Resets the connection of an incomplete request, which also discards bytes that are still in the send buffer. */
function closeRequest(request: ClientRequest, isComplete: boolean): void {
    if (!isComplete) {
        request.socket?.resetAndDestroy();
        request.destroy();
    }
}

/** Whether a truncated answer can be detected; an answer that is not framed is never taken as complete. */
function hasLength(response: IncomingMessage): boolean {
    return response.headers["content-length"] !== undefined
        || response.headers["transfer-encoding"]?.includes("chunked") === true;
}

function createMaybeRun(answerBegun: boolean, error: ErrorData): AttemptResult {
    return { state: "maybeRun", answerBegun, error };
}

function createNotSent(reason: NotRunReason, failedMinion: MinionId | undefined): AttemptResult {
    return { state: "notSent", reason, failedMinion, retryAfterMs: undefined };
}

const forwardAnswer = Effect.fnUntraced(function*(
    response: IncomingMessage,
    slot: HeldSlot,
    options: DispatchOptions,
    emit: EmitReply,
) {
    const minion = slot.ref.minion;
    const status = response.statusCode ?? 0;
    if (!hasLength(response)) {
        const detail = "the answer has neither content-length nor chunked encoding";
        return createMaybeRun(false, { kind: "minionFailed", minion, status, detail });
    }
    yield* emit({ kind: "answerHead", status, minion });
    const chunks = response[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
    const kept: Buffer[] = [];
    let lengthBytes = 0;
    let checksum = 0;
    const createTruncated = (): AttemptResult =>
        createMaybeRun(true, {
            kind: "answerTruncated",
            expectedBytes: Number(response.headers["content-length"] ?? 0),
            receivedBytes: lengthBytes,
        });
    while (true) {
        const next = yield* Effect.result(Effect.tryPromise(() => chunks.next()));
        if (Result.isFailure(next)) {
            return createTruncated();
        }
        if (next.success.done === true) {
            break;
        }
        const bytes = next.success.value;
        lengthBytes += bytes.length;
        checksum = crc32(bytes, checksum);
        if (lengthBytes > options.streamLimitBytes) {
            return createMaybeRun(true, { kind: "answerTooLarge", limitBytes: options.streamLimitBytes });
        }
        if (lengthBytes <= keptAnswerLimitBytes) {
            kept.push(bytes);
        }
        for (let start = 0; start < bytes.length; start += chunkBytes) {
            yield* emit({ kind: "answerChunk", bytes: bytes.subarray(start, start + chunkBytes) });
        }
    }
    if (!response.complete) {
        return createTruncated();
    }
    const result: AttemptResult = {
        state: "ran",
        status,
        lengthBytes,
        crc32: checksum,
        kept: lengthBytes <= keptAnswerLimitBytes ? Buffer.concat(kept) : undefined,
    };
    return result;
});

function createRequest(slot: HeldSlot, envelope: RequestEnvelope): ClientRequest {
    const { minion, ref } = slot;
    const { address } = minion.slots.getInfo();
    const separator = address.lastIndexOf(":");
    const agent = (envelope.idempotent ? undefined : minion.freshAgent) ?? minion.sharedAgent;
    return openRequest({
        host: address.slice(0, separator).replace(/^\[|\]$/g, ""),
        port: Number(address.slice(separator + 1)),
        method: "POST",
        path: "/run",
        agent,
        headers: {
            "content-type": "application/octet-stream",
            "content-length": envelope.body.length,
            "chestnutspool-attempt": ref.attempt,
            "chestnutspool-epoch": minion.slots.getEpoch(),
            "chestnutspool-run-lease-ms": ref.runLeaseLeftMs,
            "chestnutspool-tenant": envelope.tenant,
            "chestnutspool-class": envelope.class,
        },
    });
}

const runRequest = Effect.fnUntraced(function*(
    request: ClientRequest,
    slot: HeldSlot,
    options: DispatchOptions,
    emit: EmitReply,
) {
    const connected = yield* Effect.result(awaitConnection(request));
    if (Result.isFailure(connected)) {
        return createNotSent("refusedByMinion", slot.ref.minion);
    }
    const sent = yield* sendRequest(request, slot, options);
    if (sent.kind === "refused") {
        return createNotSent(sent.reason, sent.failedMinion);
    }
    if (sent.kind === "failed") {
        const minion = slot.ref.minion;
        return createMaybeRun(false, { kind: "minionFailed", minion, status: 0, detail: sent.detail });
    }
    if (sent.response.headers[notStartedHeader] === "1") {
        return createNotSent("refusedByMinion", slot.ref.minion);
    }
    return yield* forwardAnswer(sent.response, slot, options, emit);
});

/**
 * Sends an attempt to its minion and passes on the answer without its `answerEnd`. Fails only when `emit` fails. The
 * state of the slot shows how far the attempt got, also when the effect is interrupted.
 */
export function dispatchAttempt(
    slot: HeldSlot,
    options: DispatchOptions,
    emit: EmitReply,
): Effect.Effect<AttemptResult, ErrorData> {
    return Effect.suspend(() => {
        let isComplete = false;
        const request = createRequest(slot, options.envelope);
        // The steps of the request handle its errors; a late error event without a listener would end the process.
        request.on("error", () => undefined);
        return runRequest(request, slot, options, emit).pipe(
            Effect.tap(result =>
                Effect.sync(() => {
                    slot.state = result.state;
                    isComplete = result.state === "ran";
                })
            ),
            Effect.ensuring(Effect.sync(() => closeRequest(request, isComplete))),
        );
    });
}
