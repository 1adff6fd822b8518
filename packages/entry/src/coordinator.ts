import type { BodyFingerprint } from "@chestnutspool/route-requests";
import {
    type AttemptRef,
    computeShard,
    type ErrorData,
    formatRequestKey,
    type RequestEnvelope,
} from "@chestnutspool/types";
import { Deferred, Effect, Exit } from "effect";
import { crc32 } from "node:zlib";
import { createAnswerRelay } from "./answer-relay.js";
import type { EmitReply } from "./dispatch-attempt.js";
import type { EntryContext } from "./entry-context.js";
import type { OwnedItems, OwnedShard } from "./owned-items.js";
import type { OwnershipView } from "./ownership-view.js";
import { computeOutcome, type RequestRecords } from "./request-records.js";
import type { CompletedResult, CoordinatedRequest, RunAttempts } from "./retry-loop.js";
import type { RunningRequests } from "./running-requests.js";

/** Coordinates the requests of the key shards that this host owns. */
export interface Coordinator {
    /** Runs a request until its final answer; fails with `staleToken` when this host does not coordinate its shard. */
    readonly runRequest: (
        envelope: RequestEnvelope,
        deadlineAtMs: number,
        emit: EmitReply,
    ) => Effect.Effect<void, ErrorData>;
    /** Attempts of a shard; undefined while one of its requests waits for the dispatch of an attempt. */
    readonly listShardAttempts: (shard: number) => readonly AttemptRef[] | undefined;
    readonly countRequests: () => number;
}

/** Dependencies of the coordinator. */
export interface CoordinatorDependencies {
    readonly view: OwnershipView;
    readonly items: OwnedItems;
    readonly running: RunningRequests;
    readonly records: RequestRecords;
    readonly runAttempts: RunAttempts;
    readonly isSessionValid: () => boolean;
}

/**
 * Creates the error of a host without a valid session. A request that is not idempotent is never reported as not run,
 * because only the request records show whether an earlier send of it has run.
 */
export function createNoSessionError(envelope: RequestEnvelope, retryAfterMs: number): ErrorData {
    return envelope.idempotent
        ? { kind: "notRun", reason: "noSession", retryAfterMs }
        : { kind: "outcomeUnknown", subject: `request "${envelope.requestId}"` };
}

/** Creates the coordinator of this host. */
export function createCoordinator(context: EntryContext, dependencies: CoordinatorDependencies): Coordinator {
    const { leases } = context.settings;
    const { view, items, running, records, runAttempts } = dependencies;
    const coordinatedRequests = new Set<CoordinatedRequest>();

    /**
     * Releases the key of a request, or holds it while the last attempt may still run. A recorded request needs no
     * hold, because its record prevents a second run.
     */
    const releaseKey = (request: CoordinatedRequest): void => {
        coordinatedRequests.delete(request);
        const last = request.lastAttempt;
        if (request.envelope.idempotent && last !== undefined && running.hasAttempt(last.id)) {
            running.registry.holdRequest(request.key, last.id, last.computeEndMs());
        }
        else {
            running.registry.forgetRequest(request.key);
        }
    };

    const emitEnd = (emit: EmitReply, result: CompletedResult) =>
        emit({ kind: "answerEnd", lengthBytes: result.lengthBytes, crc32: result.crc32 });

    const runIdempotent = (request: CoordinatedRequest, emit: EmitReply) =>
        Effect.flatMap(runAttempts(request, emit), result => emitEnd(emit, result));

    /** Runs a recorded request and records its outcome, also when its caller disconnects. */
    const runAndRecord = Effect.fnUntraced(
        function*(request: CoordinatedRequest, beganIndex: number | undefined, emit: EmitReply) {
            const exit = yield* Effect.exit(Effect.interruptible(runAttempts(request, emit)));
            const recorded = records.finishRequest(
                request.envelope,
                request.shard.epoch,
                beganIndex,
                computeOutcome(exit, request.mayHaveRun),
                () => releaseKey(request),
            );
            if (Exit.isSuccess(exit)) {
                // The outcome is recorded before the answer ends, so that a later resend finds it.
                yield* recorded;
                yield* emitEnd(emit, exit.value);
            }
            return yield* exit;
        },
    );

    /**
     * Waits for a recorded run. When the caller disconnects or its deadline passes, a run that has not been sent is
     * cancelled; one that has been sent continues, so that its outcome is recorded.
     */
    const awaitRecordedRun = Effect.fnUntraced(
        function*(request: CoordinatedRequest, beganIndex: number | undefined, emit: EmitReply) {
            const relay = createAnswerRelay(emit);
            const done = Deferred.makeUnsafe<CompletedResult, ErrorData>();
            const run = Effect.uninterruptible(runAndRecord(request, beganIndex, relay.emit)).pipe(
                Effect.onExit(exit => Deferred.done(done, exit)),
            );
            const fiber = yield* Effect.forkIn(run, context.scope);
            const hasBeenSent = (): boolean => request.mayHaveRun || request.lastAttempt?.hasBeenSent() === true;
            const detachCaller = Effect.sync((): void => {
                relay.detach();
                if (!hasBeenSent()) {
                    fiber.interruptUnsafe();
                }
            });
            yield* Effect.interruptible(Deferred.await(done)).pipe(
                Effect.onInterrupt(() => detachCaller),
                Effect.timeoutOrElse({
                    duration: Math.max(0, request.deadlineAtMs - context.readNowMs()),
                    orElse: () =>
                        Effect.fail<ErrorData>({
                            kind: "deadlineExceeded",
                            state: hasBeenSent() ? "maybeRun" : "notSent",
                        }),
                }),
            );
        },
    );

    const runRecorded = Effect.fnUntraced(
        function*(request: CoordinatedRequest, body: BodyFingerprint, emit: EmitReply) {
            const { envelope, shard } = request;
            const leftMs = Math.max(1, request.deadlineAtMs - context.readNowMs());
            const begin = yield* records.beginRequest(envelope, body, shard.epoch, leftMs).pipe(
                Effect.tapError(() => Effect.sync(() => releaseKey(request))),
            );
            if (begin.kind === "known") {
                releaseKey(request);
                return yield* Effect.interruptible(records.replayOutcome(begin.record, emit));
            }
            yield* awaitRecordedRun(request, begin.beganIndex, emit);
        },
    );

    const checkQuarantine = (envelope: RequestEnvelope, shard: OwnedShard, key: string): ErrorData | undefined => {
        const nowMs = context.readNowMs();
        const isKnown = running.registry.findRequest(key, nowMs) !== undefined;
        if (!envelope.idempotent || !envelope.callerSuppliedId || isKnown) {
            return undefined;
        }
        const leftMs = running.computeQuarantineMs(shard.shard, view.getMaxRunMs(envelope.service), nowMs);
        return leftMs > 0 ? { kind: "notRun", reason: "quarantine", retryAfterMs: leftMs } : undefined;
    };

    const checkShard = (shard: number): Effect.Effect<OwnedShard, ErrorData> => {
        const owned = items.findShard(shard);
        return owned === undefined || owned.releasing
            ? Effect.fail({ kind: "staleToken", subject: `shard ${shard}`, seen: 0, current: owned?.epoch ?? 0 })
            : Effect.succeed(owned);
    };

    const createCoordinatedRequest = (
        envelope: RequestEnvelope,
        shard: OwnedShard,
        deadlineAtMs: number,
    ): CoordinatedRequest => {
        const maxRunMs = view.getMaxRunMs(envelope.service);
        const leftMs = Math.max(1, deadlineAtMs - context.readNowMs());
        return {
            envelope,
            shard,
            key: formatRequestKey(envelope.tenant, envelope.requestId),
            deadlineAtMs,
            // An answer after the deadline is useless, but a run with side effects must not be cut off at the deadline.
            runLeaseMs: Math.ceil(envelope.idempotent ? Math.min(maxRunMs, leftMs) : maxRunMs),
            excludedMinions: new Set(),
            lastAttempt: undefined,
            isDispatchPending: true,
            canReroute: true,
            mayHaveRun: false,
        };
    };

    const startRequest = Effect.fnUntraced(
        function*(envelope: RequestEnvelope, deadlineAtMs: number) {
            if (!dependencies.isSessionValid()) {
                return yield* Effect.fail(createNoSessionError(envelope, leases.sessionTtlMs));
            }
            const shard = yield* checkShard(computeShard(envelope.tenant, envelope.requestId));
            const request = createCoordinatedRequest(envelope, shard, deadlineAtMs);
            const refusal = checkQuarantine(envelope, shard, request.key);
            if (refusal !== undefined) {
                return yield* Effect.fail(refusal);
            }
            const body = { crc32: crc32(envelope.body), length: envelope.body.length };
            const registered = running.registry.registerRequest(
                request.key,
                shard.shard,
                body,
                context.readNowMs(),
            );
            yield* registered.caseOf<Effect.Effect<void, ErrorData>>({ Left: Effect.fail, Right: () => Effect.void });
            coordinatedRequests.add(request);
            return { request, body };
        },
    );

    return {
        runRequest: (envelope, deadlineAtMs, emit) =>
            Effect.uninterruptibleMask(restore =>
                Effect.gen(function*() {
                    const { request, body } = yield* startRequest(envelope, deadlineAtMs);
                    if (!envelope.idempotent) {
                        return yield* runRecorded(request, body, emit);
                    }
                    yield* restore(runIdempotent(request, emit)).pipe(
                        Effect.onExit(() => Effect.sync(() => releaseKey(request))),
                    );
                })
            ),
        listShardAttempts: shard => {
            const hasPendingDispatch = [...coordinatedRequests].some(each =>
                each.shard.shard === shard && each.isDispatchPending
            );
            return hasPendingDispatch ? undefined : running.listAttempts(shard);
        },
        countRequests: () => coordinatedRequests.size,
    };
}
