import { isCertainlyNotRun } from "@chestnutspool/errors";
import type { BodyFingerprint } from "@chestnutspool/route-requests";
import type { CommandResult, ErrorData, RequestEnvelope, RequestOutcome, RequestRecord } from "@chestnutspool/types";
import { Deferred, Effect, Exit, Result } from "effect";
import { crc32 } from "node:zlib";
import type { ControlClient } from "./control-client.js";
import type { AttemptResult, EmitReply } from "./dispatch-attempt.js";
import type { EntryContext } from "./entry-context.js";
import type { OwnershipView } from "./ownership-view.js";

/** Result of recording a request: it may run now, or a record with its id exists already. */
export type BeginResult =
    | { readonly kind: "begun"; readonly beganIndex: number | undefined; }
    | { readonly kind: "known"; readonly record: RequestRecord; };

/** Durable records of requests that are not idempotent. */
export interface RequestRecords {
    /**
     * Records a request before its dispatch. Fails with `outcomeUnknown` when control gives no answer, because an
     * earlier request with the same id may have run.
     */
    readonly beginRequest: (
        envelope: RequestEnvelope,
        body: BodyFingerprint,
        epoch: number,
        deadlineLeftMs: number,
    ) => Effect.Effect<BeginResult, ErrorData>;
    /**
     * Records the outcome in the background, retries until control has stored it, and then calls `onRecorded`. The
     * returned effect waits for the record, but at most for a short time when control is unreachable.
     */
    readonly finishRequest: (
        envelope: RequestEnvelope,
        epoch: number,
        beganIndex: number | undefined,
        outcome: RequestOutcome,
        onRecorded: () => void,
    ) => Effect.Effect<void>;
    /** Answers a resend with the outcome of the first request. */
    readonly replayOutcome: (record: RequestRecord, emit: EmitReply) => Effect.Effect<void, ErrorData>;
}

/** Longest time that an answer waits for its record, in milliseconds; recording is retried after it. */
const recordWaitMs = 1_000;
/** Time limit of one call that records an outcome, in milliseconds. */
const finishLimitMs = 5_000;
/** Pause before recording an outcome is retried, in milliseconds. */
const finishRetryPauseMs = 100;
/** Retry-after time of a resend while the first request runs, in milliseconds. */
const runningRetryAfterMs = 200;
/** Largest part of a recorded answer that is passed on as one message, in bytes. */
const replayChunkBytes = 64 * 1024;

/** Computes the outcome to record for a request; `mayHaveRun` tells whether any attempt of it may have run. */
export function computeOutcome(
    exit: Exit.Exit<Extract<AttemptResult, { state: "ran"; }>, ErrorData>,
    mayHaveRun: boolean,
): RequestOutcome {
    if (Exit.isSuccess(exit)) {
        const { status, kept, lengthBytes } = exit.value;
        return kept === undefined
            ? { kind: "answeredNotKept", status, length: lengthBytes }
            : { kind: "answered", status, answer: kept };
    }
    const error = exit.cause.reasons.find(reason => reason._tag === "Fail")?.error;
    const isNotRun = !mayHaveRun && (error === undefined || isCertainlyNotRun(error));
    return isNotRun ? { kind: "notRun" } : { kind: "unknown" };
}

/** Whether a call may have been applied without a reply. */
function isOutcomeUnknown(error: ErrorData): boolean {
    return error.kind === "outcomeUnknown" || error.kind === "timeout";
}

function createOutcomeUnknownError(envelope: RequestEnvelope): ErrorData {
    return { kind: "outcomeUnknown", subject: `request "${envelope.requestId}"` };
}

function parseBeginResult(result: CommandResult): Effect.Effect<BeginResult, ErrorData> {
    switch (result.kind) {
        case "requestBegun":
            return Effect.succeed({ kind: "begun", beganIndex: result.index });
        case "requestKnown":
            return Effect.succeed({ kind: "known", record: result.record });
        case "refused":
            return Effect.fail(result.error);
        case "done":
        case "revision":
        case "batch":
            return Effect.fail({ kind: "internal", detail: `unexpected result ${result.kind} of beginRequest` });
    }
}

/** Creates the client of the request records. */
export function createRequestRecords(
    context: EntryContext,
    control: ControlClient,
    view: OwnershipView,
): RequestRecords {
    const callBegin = (envelope: RequestEnvelope, body: BodyFingerprint, epoch: number, limitMs: number) =>
        Effect.gen(function*() {
            const reply = yield* control.callLeader(
                {
                    kind: "beginRequest",
                    request: {
                        tenant: envelope.tenant,
                        requestId: envelope.requestId,
                        bodyCrc32: body.crc32,
                        bodyLength: body.length,
                        entry: context.self,
                        epoch,
                    },
                },
                limitMs,
                "certain",
            );
            return reply.kind === "result"
                ? yield* parseBeginResult(reply.result)
                : yield* Effect.fail<ErrorData>({ kind: "internal", detail: `unexpected reply ${reply.kind}` });
        });

    /**
     * Finds the begin of a record that was made by an earlier call of this host whose reply was lost. This host holds the
     * key of a request until its outcome is recorded, so a record of this host in state "running" belongs to a request
     * that has not been dispatched.
     */
    const findOwnBegin = (result: BeginResult, epoch: number): BeginResult | undefined =>
        result.kind === "known" && result.record.outcome.kind === "running"
            && result.record.entry === context.self && result.record.epoch === epoch
            ? { kind: "begun", beganIndex: result.record.beganIndex }
            : undefined;

    const finishOnce = (
        envelope: RequestEnvelope,
        epoch: number,
        beganIndex: number | undefined,
        outcome: RequestOutcome,
    ) => control.callLeader(
        {
            kind: "finishRequest",
            tenant: envelope.tenant,
            requestId: envelope.requestId,
            entry: context.self,
            epoch,
            beganIndex,
            outcome,
        },
        finishLimitMs,
        "always",
    );

    const finishRequest: RequestRecords["finishRequest"] = (envelope, epoch, beganIndex, outcome, onRecorded) => {
        const recorded = Deferred.makeUnsafe<void>();
        const keepRecording = Effect.gen(function*() {
            while (true) {
                const result = yield* Effect.result(finishOnce(envelope, epoch, beganIndex, outcome));
                if (Result.isSuccess(result)) {
                    break;
                }
                yield* Effect.sleep(finishRetryPauseMs);
            }
            onRecorded();
            Deferred.doneUnsafe(recorded, Effect.void);
        });
        context.runInBackground(keepRecording);
        return Effect.timeoutOrElse(Deferred.await(recorded), { duration: recordWaitMs, orElse: () => Effect.void });
    };

    const beginRequest: RequestRecords["beginRequest"] = Effect.fnUntraced(
        function*(envelope, body, epoch, deadlineLeftMs) {
            const call = callBegin(envelope, body, epoch, deadlineLeftMs);
            const result = yield* Effect.result(Effect.catchIf(call, isOutcomeUnknown, () => call));
            if (Result.isSuccess(result)) {
                return findOwnBegin(result.success, epoch) ?? result.success;
            }
            const { failure } = result;
            // Without the record this host cannot know whether an earlier request with this id has run.
            const isRecordUnread = failure.kind === "notLeader" || failure.kind === "peerUnavailable"
                || isOutcomeUnknown(failure);
            return yield* Effect.fail(isRecordUnread ? createOutcomeUnknownError(envelope) : failure);
        },
    );

    const isDispatcherLive = (record: RequestRecord): boolean =>
        view.listEntries().some(session => session.entry === record.entry);

    const replayOutcome: RequestRecords["replayOutcome"] = Effect.fnUntraced(function*(record, emit) {
        const { outcome, requestId } = record;
        switch (outcome.kind) {
            case "answered": {
                yield* emit({ kind: "answerHead", status: outcome.status, minion: "" });
                for (let start = 0; start < outcome.answer.length; start += replayChunkBytes) {
                    const bytes = outcome.answer.subarray(start, start + replayChunkBytes);
                    yield* emit({ kind: "answerChunk", bytes });
                }
                yield* emit({
                    kind: "answerEnd",
                    lengthBytes: outcome.answer.length,
                    crc32: crc32(outcome.answer),
                });
                return;
            }
            case "answeredNotKept":
                return yield* Effect.fail<ErrorData>({
                    kind: "answerNotKept",
                    requestId,
                    lengthBytes: outcome.length,
                });
            case "notRun":
                return yield* Effect.fail<ErrorData>({ kind: "notRun", reason: "cancelled", retryAfterMs: undefined });
            case "unknown":
                return yield* Effect.fail<ErrorData>({ kind: "outcomeUnknown", subject: `request "${requestId}"` });
            case "running":
                return yield* Effect.fail<ErrorData>(
                    isDispatcherLive(record)
                        ? { kind: "stillRunning", requestId, retryAfterMs: runningRetryAfterMs }
                        : { kind: "outcomeUnknown", subject: `request "${requestId}"` },
                );
        }
    });

    return { beginRequest, finishRequest, replayOutcome };
}
