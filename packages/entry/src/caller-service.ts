import type { MessageInitShape } from "@bufbuild/protobuf";
import { isCertainlyNotRun } from "@chestnutspool/errors";
import type { CallerService, SubmitChunkSchema, SubmitRequest } from "@chestnutspool/schema";
import type { EntryReply, ErrorData, RequestEnvelope } from "@chestnutspool/types";
import type { ServiceImpl } from "@connectrpc/connect";
import { Effect, Exit, Queue } from "effect";
import { createAnswerCheck } from "./answer-check.js";
import { checkSubmit } from "./check-request.js";
import type { EmitReply } from "./dispatch-attempt.js";
import type { EntryContext } from "./entry-context.js";
import type { RequestRouter } from "./request-router.js";
import { getOrThrow, type RunCall } from "./rpc-errors.js";

/** Dependencies of the caller service. */
export interface CallerDependencies {
    readonly router: RequestRouter;
    readonly runCall: RunCall;
    /** Error with which a new request is refused now; undefined when it is accepted. */
    readonly findRefusal: (envelope: RequestEnvelope) => ErrorData | undefined;
    /** Counts a request as in progress while it runs. */
    readonly runCounted: <Value>(effect: Effect.Effect<Value, ErrorData>) => Effect.Effect<Value, ErrorData>;
}

type Chunk = MessageInitShape<typeof SubmitChunkSchema>;

/** Parts of a streamed answer that are buffered for a slow caller. */
const streamBufferParts = 4;

interface CollectedAnswer {
    readonly requestId: string;
    readonly status: number;
    readonly minion: string;
    readonly answer: Uint8Array;
}

function createChunk(requestId: string, reply: EntryReply): Chunk | undefined {
    switch (reply.kind) {
        case "answerHead":
            return { part: { case: "head", value: { requestId, status: reply.status, minion: reply.minion } } };
        case "answerChunk":
            return { part: { case: "data", value: reply.bytes } };
        case "answerEnd":
            return {
                part: { case: "end", value: { lengthBytes: BigInt(reply.lengthBytes), crc32: reply.crc32 } },
            };
        case "announced":
        case "accepted":
        case "error":
            return undefined;
    }
}

/** Creates the handlers of CallerService. */
export function createCallerService(
    context: EntryContext,
    dependencies: CallerDependencies,
): ServiceImpl<typeof CallerService> {
    const { router, runCall } = dependencies;
    const { bodyLimitBytes, answerLimitBytes } = context.settings.requests;

    const readEnvelope = (request: SubmitRequest): Effect.Effect<RequestEnvelope, ErrorData> =>
        checkSubmit(request, bodyLimitBytes).caseOf<Effect.Effect<RequestEnvelope, ErrorData>>({
            Left: error => Effect.fail(error),
            Right: envelope => {
                const refusal = dependencies.findRefusal(envelope);
                if (refusal !== undefined) {
                    return Effect.fail(refusal);
                }
                const requestId = envelope.callerSuppliedId
                    ? envelope.requestId
                    : router.createRequestId(envelope.tenant, envelope.service);
                return Effect.succeed({ ...envelope, requestId });
            },
        });

    const recordEnd = (envelope: RequestEnvelope, startedMs: number, exit: Exit.Exit<unknown, ErrorData>): void => {
        const { tenant, class: className } = envelope;
        if (Exit.isSuccess(exit)) {
            context.metrics.recordDuration("requestMs", tenant, className, context.readNowMs() - startedMs);
            context.metrics.countEvent("requests.answered", tenant, className);
            return;
        }
        const error = exit.cause.reasons.find(reason => reason._tag === "Fail")?.error;
        const name = error === undefined ? "cancelled" : isCertainlyNotRun(error) ? "notRun" : "failed";
        context.metrics.countEvent(`requests.${name}`, tenant, className);
    };

    const runRequest = (envelope: RequestEnvelope, emit: EmitReply) =>
        Effect.suspend(() => {
            const startedMs = context.readNowMs();
            return dependencies.runCounted(router.routeRequest(envelope, emit)).pipe(
                Effect.onExit(exit => Effect.sync(() => recordEnd(envelope, startedMs, exit))),
            );
        });

    /** Collects an answer; one that is too large is read to its end but discarded, so that its run is not cut off. */
    const collectAnswer = Effect.fnUntraced(function*(envelope: RequestEnvelope) {
        const check = createAnswerCheck();
        const chunks: Uint8Array[] = [];
        let collectedBytes = 0;
        let minion = "";
        yield* runRequest(envelope, reply =>
            Effect.map(check.addReply(reply), () => {
                if (reply.kind === "answerHead") {
                    minion = reply.minion;
                }
                if (reply.kind === "answerChunk") {
                    collectedBytes += reply.bytes.length;
                    if (collectedBytes <= answerLimitBytes) {
                        chunks.push(reply.bytes);
                    }
                }
            }));
        const verified = check.readVerified();
        if (verified === undefined) {
            return yield* Effect.fail(check.createTruncatedError());
        }
        if (collectedBytes > answerLimitBytes) {
            return yield* Effect.fail<ErrorData>({ kind: "answerTooLarge", limitBytes: answerLimitBytes });
        }
        const answer: CollectedAnswer = {
            requestId: envelope.requestId,
            status: verified.status,
            minion,
            answer: Buffer.concat(chunks),
        };
        return answer;
    });

    async function* submitStream(request: SubmitRequest, signal: AbortSignal): AsyncGenerator<Chunk> {
        const queue = Effect.runSync(Queue.bounded<Chunk | Exit.Exit<void, ErrorData>>(streamBufferParts));
        const run = Effect.gen(function*() {
            const envelope = yield* readEnvelope(request);
            yield* runRequest(envelope, reply => {
                const chunk = createChunk(envelope.requestId, reply);
                return chunk === undefined ? Effect.void : Effect.asVoid(Queue.offer(queue, chunk));
            });
        });
        // When the generator ends, by an error or because the caller disconnected, the run must end too.
        const stop = new AbortController();
        const stopRun = (): void => stop.abort();
        signal.addEventListener("abort", stopRun);
        const ended = Effect.exit(run).pipe(Effect.flatMap(exit => Queue.offer(queue, exit)), Effect.asVoid);
        const running = runCall(ended, stop.signal).catch(() => undefined);
        try {
            while (true) {
                const next = await runCall(Queue.take(queue), signal);
                if (Exit.isExit(next)) {
                    getOrThrow(next);
                    return;
                }
                yield next;
            }
        }
        finally {
            signal.removeEventListener("abort", stopRun);
            stopRun();
            await running;
        }
    }

    return {
        submit: (request, call) => runCall(Effect.flatMap(readEnvelope(request), collectAnswer), call.signal),
        submitStream: (request, call) => submitStream(request, call.signal),
    };
}
