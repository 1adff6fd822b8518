import { isCertainlyNotRun } from "@chestnutspool/errors";
import type { Channel, EntryId, EntryReply, EntryRequest, ErrorData, NotRunReason } from "@chestnutspool/types";
import { Effect, Result } from "effect";
import { type AnswerCheck, createAnswerCheck } from "./answer-check.js";
import { type AttemptResult, dispatchAttempt, type EmitReply } from "./dispatch-attempt.js";
import type { EntryContext } from "./entry-context.js";
import type { OwnedItems } from "./owned-items.js";
import type { HeldSlot } from "./owned-minion.js";
import type { SlotAllocator } from "./slot-allocator.js";

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
    readonly allocator: SlotAllocator;
    readonly channel: Channel<EntryRequest, EntryReply>;
    readonly isSessionValid: () => boolean;
}

/** First status of answers that count as a failure of the minion. */
const firstFailureStatus = 500;

/** A run that takes this many times the mean is a failure of its minion. */
const lateFactor = 2;

/** Whether an error of another entry host proves that nothing ran there. */
export function isCertainlyNotRunByPeer(error: ErrorData): boolean {
    return isCertainlyNotRun(error) || error.kind === "peerUnavailable" || error.kind === "staleToken";
}

/** Creates the runner. */
export function createAttemptRunner(context: EntryContext, parts: AttemptRunnerParts): AttemptRunner {
    const { items, allocator } = parts;
    const { streamLimitBytes } = context.settings.requests;

    const findRefusal = (slot: HeldSlot): NotRunReason | undefined => {
        if (!parts.isSessionValid()) {
            return "noSession";
        }
        return slot.minion.isOwned && !slot.minion.slots.isStopped() ? undefined : "draining";
    };

    /** A deadline that passes early says more about the caller than about the minion. */
    const isMinionLate = (service: string, elapsedMs: number): boolean =>
        elapsedMs > lateFactor * (allocator.serviceTimes.estimateTime(service) ?? Number.POSITIVE_INFINITY);

    const isMinionFailure = (service: string, result: AttemptResult, elapsedMs: number): boolean => {
        switch (result.state) {
            case "ran":
                return result.status >= firstFailureStatus;
            case "notSent":
                return result.failedMinion !== undefined;
            case "maybeRun":
                return result.error.kind !== "deadlineExceeded" || isMinionLate(service, elapsedMs);
        }
    };

    const recordResult = (slot: HeldSlot, service: string, result: AttemptResult, startedMs: number): void => {
        const nowMs = context.readNowMs();
        const elapsedMs = nowMs - startedMs;
        const { minion } = slot.ref;
        if (isMinionFailure(service, result, elapsedMs)) {
            items.ejector.recordFailure(minion, nowMs);
        }
        else if (result.state === "ran") {
            items.ejector.recordSuccess(minion);
        }
        // A run that was given up took at least so long; without it, a slow service would look as fast as its fastest runs.
        const known = allocator.serviceTimes.estimateTime(service) ?? 0;
        if (result.state === "ran" || (result.state === "maybeRun" && elapsedMs > known)) {
            allocator.serviceTimes.observeTime(service, elapsedMs);
            items.minionTimes.observeTime(minion, elapsedMs);
        }
    };

    const createDeadlineResult = (slot: HeldSlot, answerBegun: boolean): AttemptResult =>
        slot.state === "notSent"
            ? { state: "notSent", reason: "deadlineExceeded", failedMinion: undefined, retryAfterMs: undefined }
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

    const createRemoteResult = (error: ErrorData, check: AnswerCheck): AttemptResult => {
        if (!check.hasBegun() && isCertainlyNotRunByPeer(error)) {
            return error.kind === "notRun"
                ? { state: "notSent", reason: error.reason, failedMinion: undefined, retryAfterMs: error.retryAfterMs }
                : { state: "notSent", reason: "noSession", failedMinion: undefined, retryAfterMs: undefined };
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
            return createRemoteResult(called.failure, check);
        }
        const whole = check.readVerified();
        const result: AttemptResult = whole === undefined
            ? { state: "maybeRun", answerBegun: check.hasBegun(), error: check.createTruncatedError() }
            : { state: "ran", ...whole };
        return result;
    });

    return { runOwn, runRemote };
}
