import { isCertainlyNotRun } from "@chestnutspool/errors";
import type { Channel, EntryId, EntryReply, EntryRequest, ErrorData, NotRunReason } from "@chestnutspool/types";
import { Effect, Result } from "effect";
import { type AnswerCheck, createAnswerCheck } from "./answer-check.js";
import { type AttemptResult, dispatchAttempt, type EmitReply } from "./dispatch-attempt.js";
import type { EntryContext } from "./entry-context.js";
import type { OwnedItems } from "./owned-items.js";
import type { HeldSlot } from "./owned-minion.js";
import type { SlotDesk } from "./slot-desk.js";

type SpillRequest = Extract<EntryRequest, { kind: "spill"; }>;

/** Runs attempts at own minions and at other entry hosts. */
export interface AttemptRunner {
    /** Runs an attempt in a slot of this host; fails only when `emit` fails. */
    readonly runOwn: (
        slot: HeldSlot,
        envelope: SpillRequest["envelope"],
        deadlineAtMs: number,
        emit: EmitReply,
    ) => Effect.Effect<AttemptResult, ErrorData>;
    /** Runs an attempt at another entry host; fails only when `emit` fails. */
    readonly runRemote: (
        entry: EntryId,
        spill: SpillRequest,
        limitMs: number,
        emit: EmitReply,
    ) => Effect.Effect<AttemptResult, ErrorData>;
}

/** Parts that the runner works with. */
export interface AttemptRunnerParts {
    readonly items: OwnedItems;
    readonly desk: SlotDesk;
    readonly channel: Channel<EntryRequest, EntryReply>;
    readonly isSessionValid: () => boolean;
}

/** First status of answers that count as a failure of the minion. */
const firstFailureStatus = 500;

/** Whether an error of another entry host proves that nothing ran there. */
export function isProofOfNotRun(error: ErrorData): boolean {
    return isCertainlyNotRun(error) || error.kind === "peerUnavailable" || error.kind === "staleToken";
}

/** Creates the runner. */
export function createAttemptRunner(context: EntryContext, parts: AttemptRunnerParts): AttemptRunner {
    const { items, desk } = parts;
    const { streamLimitBytes } = context.settings.requests;

    const findRefusal = (slot: HeldSlot): NotRunReason | undefined => {
        if (!parts.isSessionValid()) {
            return "noSession";
        }
        return slot.minion.isOwned && !slot.minion.slots.isStopped() ? undefined : "draining";
    };

    const recordResult = (slot: HeldSlot, service: string, result: AttemptResult, startedMs: number): void => {
        const nowMs = context.readNowMs();
        const { minion } = slot.ref;
        const failed = result.state === "ran" ? result.status >= firstFailureStatus : result.state === "maybeRun";
        if (failed || (result.state === "notSent" && result.failedMinion !== undefined)) {
            items.ejector.recordFailure(minion, nowMs);
        }
        else if (result.state === "ran") {
            items.ejector.recordSuccess(minion);
            desk.serviceTimes.observeTime(service, nowMs - startedMs);
            items.minionTimes.observeTime(minion, nowMs - startedMs);
        }
    };

    const createDeadlineResult = (slot: HeldSlot, answerBegun: boolean): AttemptResult =>
        slot.state === "notSent"
            ? { state: "notSent", reason: "deadlineExceeded", failedMinion: undefined }
            : { state: "maybeRun", answerBegun, error: { kind: "deadlineExceeded", state: "maybeRun" } };

    const runOwn: AttemptRunner["runOwn"] = Effect.fnUntraced(function*(slot, envelope, deadlineAtMs, emit) {
        const startedMs = context.readNowMs();
        let answerBegun = false;
        const endsAtMs = envelope.idempotent ? deadlineAtMs : slot.leaseEndsAtMs;
        const options = {
            envelope,
            streamLimitBytes,
            readNowMs: context.readNowMs,
            findRefusal: () => findRefusal(slot),
        };
        const result = yield* dispatchAttempt(slot, options, reply => {
            answerBegun = true;
            return emit(reply);
        }).pipe(Effect.timeoutOrElse({
            duration: Math.max(0, endsAtMs - startedMs),
            orElse: () => Effect.sync(() => createDeadlineResult(slot, answerBegun)),
        }));
        recordResult(slot, envelope.service, result, startedMs);
        return result;
    });

    const toRemoteResult = (error: ErrorData, check: AnswerCheck): AttemptResult => {
        if (!check.hasBegun() && isProofOfNotRun(error)) {
            const reason: NotRunReason = error.kind === "notRun" ? error.reason : "noSession";
            return { state: "notSent", reason, failedMinion: undefined };
        }
        return { state: "maybeRun", answerBegun: check.hasBegun(), error };
    };

    const runRemote: AttemptRunner["runRemote"] = Effect.fnUntraced(function*(entry, spill, limitMs, emit) {
        const check = createAnswerCheck();
        let emitError: ErrorData | undefined;
        const takeReply = (reply: EntryReply) =>
            Effect.gen(function*() {
                yield* check.takeReply(reply);
                if (reply.kind !== "answerEnd") {
                    yield* Effect.tapError(emit(reply), error =>
                        Effect.sync(() => {
                            emitError = error;
                        }));
                }
            });
        const called = yield* Effect.result(parts.channel.callStream(entry, spill, limitMs, takeReply));
        if (emitError !== undefined) {
            return yield* Effect.fail(emitError);
        }
        if (Result.isFailure(called)) {
            return toRemoteResult(called.failure, check);
        }
        const whole = check.readWhole();
        const result: AttemptResult = whole === undefined
            ? { state: "maybeRun", answerBegun: check.hasBegun(), error: check.createTruncated() }
            : { state: "ran", ...whole };
        return result;
    });

    return { runOwn, runRemote };
}
