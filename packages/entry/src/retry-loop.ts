import { isCertainlyNotRun } from "@chestnutspool/errors";
import {
    computeLeaseEndMs,
    createRetryBudget,
    decideRetry,
    type FailedAttempt,
    noMinionRetryAfterMs,
} from "@chestnutspool/route-requests";
import type { AttemptRef, EntryId, EntryRequest, ErrorData, RequestEnvelope } from "@chestnutspool/types";
import { Effect, Exit } from "effect";
import { randomUUID } from "node:crypto";
import type { AttemptRunner } from "./attempt-runner.js";
import { type AttemptResult, connectLimitMs, type EmitReply } from "./dispatch-attempt.js";
import type { EntryContext } from "./entry-context.js";
import { leaseMarginMs, type OwnedItems, type OwnedShard } from "./owned-items.js";
import type { RunningRequests } from "./running-requests.js";
import type { SlotAllocator, SlotGrant, SlotRequest } from "./slot-allocator.js";

/** An attempt whose whole answer was passed on. */
export type CompletedResult = Extract<AttemptResult, { state: "ran"; }>;
type FailedResult = Exclude<AttemptResult, CompletedResult>;

/** The last attempt of a request. */
interface LastAttempt {
    readonly id: string;
    /** Latest time at which its run lease ends: exact once sent in an own slot, an upper bound otherwise. */
    readonly computeEndMs: () => number;
    readonly hasBeenSent: () => boolean;
}

/** A request while it is coordinated. */
export interface CoordinatedRequest {
    readonly envelope: RequestEnvelope;
    readonly shard: OwnedShard;
    readonly key: string;
    readonly deadlineAtMs: number;
    readonly runLeaseMs: number;
    readonly excludedMinions: Set<string>;
    /** The last attempt; it may still be running when the request ends. */
    lastAttempt: LastAttempt | undefined;
    /** True while the request has no open attempt and may still start one; its shard cannot be handed over then. */
    isDispatchPending: boolean;
    /**
     * Whether the request may be sent elsewhere when its last attempt was not sent: true when the attempt had an own or
     * an advertised slot.
     */
    canReroute: boolean;
    /** True once any attempt may have run. */
    mayHaveRun: boolean;
}

/** Runs attempts of a request until one is answered or the request fails. */
export type RunAttempts = (request: CoordinatedRequest, emit: EmitReply) => Effect.Effect<CompletedResult, ErrorData>;

/** Dependencies of the retry loop. */
export interface RetryLoopDependencies {
    readonly items: OwnedItems;
    readonly allocator: SlotAllocator;
    readonly running: RunningRequests;
    readonly runner: AttemptRunner;
    readonly isSessionValid: () => boolean;
    readonly forgetFreeSlots: (entry: EntryId, service: string) => void;
}

/** Refusals by minions after which a request fails, so that its caller does not wait while a whole service is down. */
const refusalLimit = 3;
/** Interval at which a waiting retry checks whether the earlier attempt has ended, in milliseconds. */
const retryPollMs = 25;
/** Time after the deadline for which the answer of another entry host is still awaited, in milliseconds. */
const remoteGraceMs = 100;

function createOutcomeUnknownError(request: CoordinatedRequest): ErrorData {
    return { kind: "outcomeUnknown", subject: `request "${request.envelope.requestId}"` };
}

/** Whether the error of an attempt tells the caller more than `outcomeUnknown`. */
function isMoreSpecific(error: ErrorData): boolean {
    return ["answerTruncated", "answerTooLarge", "deadlineExceeded"].includes(error.kind)
        || (error.kind === "minionFailed" && error.status > 0);
}

/** Creates the retry loop; all requests of this host share its retry budget. */
export function createRetryLoop(context: EntryContext, dependencies: RetryLoopDependencies): RunAttempts {
    const { requests, leases } = context.settings;
    const { items, allocator, running, runner } = dependencies;
    const budget = createRetryBudget(requests.retryBudgetPercent, requests.retryMinPerSecond);
    const leaseTimes = { leaseMarginMs, clockDriftPercent: leases.clockDriftPercent };

    const isCoordinated = (request: CoordinatedRequest): boolean => {
        const owned = items.findShard(request.shard.shard);
        return owned !== undefined && owned.epoch === request.shard.epoch && !owned.releasing;
    };

    const runSpilled = Effect.fnUntraced(
        function*(request: CoordinatedRequest, attempt: string, entry: EntryId, emit: EmitReply) {
            const { envelope, shard, deadlineAtMs, runLeaseMs } = request;
            const deadlineLeftMs = Math.max(1, deadlineAtMs - context.readNowMs());
            const spill = {
                kind: "spill",
                envelope: { ...envelope, deadlineLeftMs },
                attempt,
                shard: shard.shard,
                shardEpoch: shard.epoch,
            } satisfies EntryRequest;
            const limitMs = deadlineLeftMs + (envelope.idempotent ? remoteGraceMs : runLeaseMs);
            const result = yield* runner.runRemote(entry, spill, limitMs, emit);
            if (result.state !== "maybeRun") {
                running.confirmEnd(attempt);
            }
            if (result.state === "notSent") {
                dependencies.forgetFreeSlots(entry, envelope.service);
            }
            return result;
        },
    );

    /** Records the attempt and the latest time at which it can end, and then runs it. */
    const runAttempt = Effect.fnUntraced(
        function*(request: CoordinatedRequest, slotRequest: SlotRequest, grant: SlotGrant, emit: EmitReply) {
            const { envelope, deadlineAtMs, runLeaseMs } = request;
            const { attempt, shard } = slotRequest;
            // A spilled attempt may wait in the queue of the other host until the deadline.
            const startsByMs = grant.kind === "own" ? context.readNowMs() + connectLimitMs : deadlineAtMs;
            const endsAtMs = computeLeaseEndMs(startsByMs, runLeaseMs, leaseTimes);
            const ref: AttemptRef = {
                attempt,
                minion: grant.kind === "own" ? grant.slot.ref.minion : "",
                shard,
                tenant: envelope.tenant,
                requestId: envelope.requestId,
                runLeaseLeftMs: runLeaseMs,
            };
            running.addAttempt(ref, endsAtMs);
            const hasBeenSent = (): boolean => grant.kind === "spill" || grant.slot.state !== "notSent";
            const computeEndMs = (): number =>
                grant.kind === "own" && hasBeenSent() ? grant.slot.leaseEndsAtMs : endsAtMs;
            request.lastAttempt = { id: attempt, computeEndMs, hasBeenSent };
            request.isDispatchPending = false;
            request.canReroute = grant.kind === "own" || grant.isAdvertised;
            const run = grant.kind === "own"
                ? runner.runOwn(grant.slot, envelope, deadlineAtMs, emit)
                : runSpilled(request, attempt, grant.entry, emit);
            return yield* Effect.onExit(run, exit =>
                Effect.sync(() => {
                    request.isDispatchPending = true;
                    request.mayHaveRun ||= Exit.isSuccess(exit) ? exit.value.state === "maybeRun" : hasBeenSent();
                }));
        },
    );

    const createSlotRequest = (request: CoordinatedRequest): SlotRequest => ({
        envelope: request.envelope,
        attempt: randomUUID(),
        shard: request.shard.shard,
        deadlineAtMs: request.deadlineAtMs,
        runLeaseMs: request.runLeaseMs,
        excludedMinions: request.excludedMinions,
        canSpill: true,
        canWait: true,
    });

    const mapFailedAttempt = (request: CoordinatedRequest, result: FailedResult): FailedAttempt =>
        result.state === "notSent"
            ? { state: "notSent", reason: result.reason, retryAfterMs: result.retryAfterMs ?? noMinionRetryAfterMs }
            : {
                state: "maybeRun",
                endsAtMs: request.lastAttempt?.computeEndMs() ?? Number.POSITIVE_INFINITY,
                answerBegun: result.answerBegun,
            };

    const awaitAttemptEnd = Effect.fnUntraced(function*(request: CoordinatedRequest, atMs: number) {
        while (context.readNowMs() < atMs && running.hasAttempt(request.lastAttempt?.id ?? "")) {
            if (!isCoordinated(request)) {
                return yield* Effect.fail(createOutcomeUnknownError(request));
            }
            yield* Effect.sleep(retryPollMs);
        }
    });

    /** Decides whether a failed attempt is retried: fails with the final error, or returns when the next may start. */
    const prepareRetry = Effect.fnUntraced(function*(request: CoordinatedRequest, result: FailedResult) {
        const { envelope, deadlineAtMs } = request;
        if (result.state === "notSent" && result.failedMinion === undefined) {
            if (!request.canReroute) {
                const { reason, retryAfterMs } = result;
                return yield* Effect.fail<ErrorData>({ kind: "notRun", reason, retryAfterMs });
            }
            if (dependencies.isSessionValid() && context.readNowMs() < deadlineAtMs) {
                // The minion moved to another host or the advertised slot was taken; this costs no retry budget,
                // because no attempt failed.
                return;
            }
        }
        const retryContext = {
            requestId: envelope.requestId,
            idempotent: envelope.idempotent,
            deadlineAtMs,
            serviceTimeMs: allocator.serviceTimes.estimateTime(envelope.service),
        };
        const decision = decideRetry(mapFailedAttempt(request, result), retryContext, budget, context.readNowMs());
        if (decision.kind === "giveUp") {
            const hasDetail = result.state === "maybeRun" && isMoreSpecific(result.error);
            return yield* Effect.fail(hasDetail ? result.error : decision.error);
        }
        context.metrics.countEvent("retries", envelope.tenant, envelope.class);
        yield* awaitAttemptEnd(request, decision.atMs);
    });

    const runLoop = Effect.fnUntraced(function*(request: CoordinatedRequest, emit: EmitReply) {
        budget.recordFirstAttempt(context.readNowMs());
        let refusals = 0;
        while (true) {
            const slotRequest = createSlotRequest(request);
            const result: AttemptResult = yield* allocator.runInSlot(
                slotRequest,
                grant => runAttempt(request, slotRequest, grant, emit),
            );
            if (result.state === "ran") {
                return result;
            }
            refusals += result.state === "notSent" && result.reason === "refusedByMinion" ? 1 : 0;
            if (result.state === "notSent" && result.failedMinion !== undefined) {
                request.excludedMinions.add(result.failedMinion);
            }
            if (refusals >= refusalLimit) {
                const retryAfterMs = noMinionRetryAfterMs;
                return yield* Effect.fail<ErrorData>({ kind: "notRun", reason: "refusedByMinion", retryAfterMs });
            }
            yield* prepareRetry(request, result);
            if (!isCoordinated(request)) {
                const retryAfterMs = leases.sessionRenewMs;
                return yield* Effect.fail<ErrorData>({ kind: "notRun", reason: "draining", retryAfterMs });
            }
        }
    });

    return (request, emit) =>
        Effect.mapError(
            runLoop(request, emit),
            // An earlier attempt may have run, although the last one was certainly not run.
            error => request.mayHaveRun && isCertainlyNotRun(error) ? createOutcomeUnknownError(request) : error,
        );
}
