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

/** Dependencies of the attempt runner. */
export interface AttemptRunnerDependencies {
    readonly items: OwnedItems;
    readonly allocator: SlotAllocator;
    readonly channel: Channel<EntryRequest, EntryReply>;
    readonly isSessionValid: () => boolean;
}

/** Lowest HTTP status that counts as a failure of the minion. */
const firstFailureStatus = 500;

/** A run that passes its deadline counts as a failure of its minion from this multiple of the mean run time. */
const lateFactor = 2;

/** Whether an error of another entry host proves that nothing ran there. */
export function isCertainlyNotRunByPeer(error: ErrorData): boolean {
    return isCertainlyNotRun(error) || error.kind === "peerUnavailable" || error.kind === "staleToken";
}

/** Creates the attempt runner. */
export function createAttemptRunner(context: EntryContext, dependencies: AttemptRunnerDependencies): AttemptRunner {
    const { items, allocator } = dependencies;
    const { streamLimitBytes } = context.settings.requests;

    const findRefusal = (slot: HeldSlot): NotRunReason | undefined => {
        if (!dependencies.isSessionValid()) {
            return "noSession";
        }
        return slot.minion.isOwned && !slot.minion.slots.isStopped() ? undefined : "draining";
    };

    /**
     * Whether a run that passed its deadline is a failure of the minion. It is none within `lateFactor` times the mean
     * run time, because then the deadline of the caller was too short, nor while no mean is known.
     */
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
        // An abandoned run took at least the elapsed time; without it, the estimate would count only the runs that were
        // fast enough to finish.
        const estimatedMs = allocator.serviceTimes.estimateTime(service) ?? 0;
        if (result.state === "ran" || (result.state === "maybeRun" && elapsedMs > estimatedMs)) {
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
        const handleReply = (reply: EntryReply) =>
            Effect.gen(function*() {
                yield* check.addReply(reply);
                if (reply.kind !== "answerEnd") {
                    yield* Effect.tapError(emit(reply), error =>
                        Effect.sync(() => {
                            emitError = error;
                        }));
                }
            });
        const callResult = yield* Effect.result(dependencies.channel.callStream(entry, spill, limitMs, handleReply));
        if (emitError !== undefined) {
            return yield* Effect.fail(emitError);
        }
        if (Result.isFailure(callResult)) {
            return createRemoteResult(callResult.failure, check);
        }
        const verified = check.readVerified();
        const result: AttemptResult = verified === undefined
            ? { state: "maybeRun", answerBegun: check.hasBegun(), error: check.createTruncatedError() }
            : { state: "ran", ...verified };
        return result;
    });

    return { runOwn, runRemote };
}
