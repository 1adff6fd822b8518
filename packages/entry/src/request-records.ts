import { isCertainlyNotRun } from "@chestnutspool/errors";
import type { BodyFingerprint } from "@chestnutspool/route-requests";
import type { CommandResult, ErrorData, RequestEnvelope, RequestOutcome, RequestRecord } from "@chestnutspool/types";
import { Deferred, Effect, Exit, Result } from "effect";
import { crc32 } from "node:zlib";
import type { ControlClient } from "./control-client.js";
import type { AttemptResult, EmitReply } from "./dispatch-attempt.js";
import type { EntryContext } from "./entry-context.js";
import type { OwnershipView } from "./ownership-view.js";

/** Result of recording a request: it may run now, or an earlier one with its id is known. */
export type BeginResult =
    | { readonly kind: "begun"; readonly beganIndex: number | undefined; }
    | { readonly kind: "known"; readonly record: RequestRecord; };

/** Durable records of requests that are not idempotent. */
export interface RequestRecords {
    /** Records a request before its dispatch. Fails with `outcomeUnknown` when it cannot be read whether it has run. */
    readonly beginRequest: (
        envelope: RequestEnvelope,
        body: BodyFingerprint,
        epoch: number,
        deadlineLeftMs: number,
    ) => Effect.Effect<BeginResult, ErrorData>;
    /**
     * Records the outcome in the background and repeats that until control has it; `onRecorded` follows. The result waits
     * for the record, but only for a short time when control cannot be reached.
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

/** Longest time that an answer waits for its record, in milliseconds; the record is repeated after it. */
const recordWaitMs = 1_000;
/** Time of one call that records an outcome, in milliseconds. */
const finishLimitMs = 5_000;
/** Pause between repetitions of a record, in milliseconds. */
const finishPauseMs = 100;
/** Retry-after time of a resend while the first request runs, in milliseconds. */
const runningRetryAfterMs = 200;
/** Part of an answer that is passed on at once, in bytes. */
const replayChunkBytes = 64 * 1024;

/** The outcome to record for the end of a request; `mayHaveRun` decides when the run was interrupted. */
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
function isLost(error: ErrorData): boolean {
    return error.kind === "outcomeUnknown" || error.kind === "timeout";
}

function createUnknown(envelope: RequestEnvelope): ErrorData {
    return { kind: "outcomeUnknown", subject: `request "${envelope.requestId}"` };
}

function parseBegin(result: CommandResult): Effect.Effect<BeginResult, ErrorData> {
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

/** Creates the access to the records. */
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
                ? yield* parseBegin(reply.result)
                : yield* Effect.fail<ErrorData>({ kind: "internal", detail: `unexpected reply ${reply.kind}` });
        });

    /**
     * Whether a record was made by a call of this host whose reply was lost. The key of a request is held here until its
     * outcome is recorded, so a record of this host that still says "running" belongs to a request that was never
     * dispatched.
     */
    const isOwnBegin = (result: BeginResult, epoch: number): boolean =>
        result.kind === "known" && result.record.outcome.kind === "running"
        && result.record.entry === context.self && result.record.epoch === epoch;

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
                yield* Effect.sleep(finishPauseMs);
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
            const result = yield* Effect.result(Effect.catchIf(call, isLost, () => call));
            if (Result.isSuccess(result)) {
                return isOwnBegin(result.success, epoch)
                    ? { kind: "begun" as const, beganIndex: undefined }
                    : result.success;
            }
            const { failure } = result;
            // Without the record nobody here can tell whether an earlier request with this id has run.
            const isUnread = failure.kind === "notLeader" || failure.kind === "peerUnavailable" || isLost(failure);
            return yield* Effect.fail(isUnread ? createUnknown(envelope) : failure);
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
