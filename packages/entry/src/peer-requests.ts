import {
    type Channel,
    type ChannelHandler,
    type EntryId,
    type EntryReply,
    type EntryRequest,
    type ErrorData,
    type MinionId,
    type OwnedItem,
    type RequestEnvelope,
} from "@chestnutspool/types";
import { Effect } from "effect";
import type { AttemptRunner } from "./attempt-runner.js";
import { createNoSessionError } from "./coordinator.js";
import type { EmitReply } from "./dispatch-attempt.js";
import type { EntryContext } from "./entry-context.js";
import type { FreeSlots } from "./free-slots.js";
import type { OwnershipView } from "./ownership-view.js";
import type { RunningRequests } from "./running-requests.js";
import type { SlotAllocator, SlotRequest } from "./slot-allocator.js";

type SpillRequest = Extract<EntryRequest, { kind: "spill"; }>;

/** Dependencies of the handlers for other entry hosts. */
export interface PeerHandlerDependencies {
    readonly view: OwnershipView;
    readonly allocator: SlotAllocator;
    readonly running: RunningRequests;
    readonly freeSlots: FreeSlots;
    readonly isSessionValid: () => boolean;
    readonly runRequest: (
        envelope: RequestEnvelope,
        deadlineAtMs: number,
        emit: EmitReply,
    ) => Effect.Effect<void, ErrorData>;
    readonly handleAnnouncement: (
        request: Extract<EntryRequest, { kind: "announceMinion"; }>,
    ) => Effect.Effect<EntryReply, ErrorData>;
    /** Records the end of an attempt that another host reported. */
    readonly confirmEnd: (attempt: string, minion: string) => void;
}

/** Serves spilled attempts, and reports to their coordinators when an abandoned attempt has ended. */
export interface SpillServer {
    readonly runSpill: (from: EntryId, spill: SpillRequest, emit: EmitReply) => Effect.Effect<void, ErrorData>;
    readonly reportEnd: (attempt: string, minion: string) => void;
    readonly countSpills: () => number;
}

/** Creates the server of spilled attempts. */
export function createSpillServer(
    context: EntryContext,
    dependencies: Pick<PeerHandlerDependencies, "view" | "allocator" | "isSessionValid"> & {
        readonly runner: AttemptRunner;
    },
    channel: Channel<EntryRequest, EntryReply>,
): SpillServer {
    const { view, allocator, runner } = dependencies;
    const origins = new Map<string, EntryId>();
    let spills = 0;

    const checkSpill = (spill: SpillRequest): ErrorData | undefined => {
        if (!dependencies.isSessionValid()) {
            return createNoSessionError({ ...spill.envelope, idempotent: true }, context.settings.leases.sessionTtlMs);
        }
        const current = view.findRecord({ kind: "shard", shard: spill.shard })?.epoch ?? 0;
        return current > spill.shardEpoch
            ? { kind: "staleToken", subject: `shard ${spill.shard}`, seen: spill.shardEpoch, current }
            : undefined;
    };

    const runGranted = (from: EntryId, spill: SpillRequest, deadlineAtMs: number, emit: EmitReply) =>
        allocator.runInSlot(createSlotRequest(from, spill, deadlineAtMs), grant =>
            Effect.gen(function*() {
                if (grant.kind === "spill") {
                    return yield* Effect.fail<ErrorData>({
                        kind: "internal",
                        detail: "a spilled attempt got the slot of another host; it must not be spilled again",
                    });
                }
                const result = yield* Effect.ensuring(
                    runner.runOwn(grant.slot, spill.envelope, deadlineAtMs, emit),
                    Effect.sync(() => {
                        if (grant.slot.state === "maybeRun") {
                            origins.set(spill.attempt, from);
                        }
                    }),
                );
                switch (result.state) {
                    case "ran":
                        return result;
                    case "notSent":
                        return yield* Effect.fail<ErrorData>({
                            kind: "notRun",
                            reason: result.reason,
                            retryAfterMs: result.retryAfterMs,
                        });
                    case "maybeRun":
                        return yield* Effect.fail(result.error);
                }
            }));

    const createSlotRequest = (from: EntryId, spill: SpillRequest, deadlineAtMs: number): SlotRequest => {
        const { envelope, attempt, shard } = spill;
        const maxRunMs = view.getMaxRunMs(envelope.service);
        return {
            envelope,
            attempt,
            shard,
            deadlineAtMs,
            runLeaseMs: Math.ceil(envelope.idempotent ? Math.min(maxRunMs, envelope.deadlineLeftMs) : maxRunMs),
            excludedMinions: new Set<string>(),
            canSpill: false,
            // A coordinator that owns minions of the service has a queue; requests of any other coordinator queue here.
            canWait: !view.hasMinionOf(from, envelope.service),
        };
    };

    const runSpill: SpillServer["runSpill"] = Effect.fnUntraced(function*(from, spill, emit) {
        const refusal = checkSpill(spill);
        if (refusal !== undefined) {
            return yield* Effect.fail(refusal);
        }
        const deadlineAtMs = context.readNowMs() + spill.envelope.deadlineLeftMs;
        spills += 1;
        const result = yield* Effect.ensuring(
            runGranted(from, spill, deadlineAtMs, emit),
            Effect.sync(() => {
                spills -= 1;
            }),
        );
        yield* emit({ kind: "answerEnd", lengthBytes: result.lengthBytes, crc32: result.crc32 });
    });

    return {
        runSpill,
        reportEnd: (attempt, minion) => {
            const origin = origins.get(attempt);
            if (origin !== undefined) {
                origins.delete(attempt);
                channel.sendMessage(origin, { kind: "attemptEnded", attempt, minion });
            }
        },
        countSpills: () => spills,
    };
}

/** Creates the handler of the channel between entry hosts. */
export function createPeerHandler(
    context: EntryContext,
    dependencies: PeerHandlerDependencies,
    spills: () => SpillServer,
): ChannelHandler<EntryRequest, EntryReply> {
    const rejectUnexpected = (kind: string): Effect.Effect<never, ErrorData> =>
        Effect.fail({ kind: "internal", detail: `unexpected message ${kind} on the entry channel` });
    return {
        handleStream: (from, request, emit) => {
            switch (request.kind) {
                case "coordinate": {
                    const deadlineAtMs = context.readNowMs() + request.envelope.deadlineLeftMs;
                    return dependencies.runRequest(request.envelope, deadlineAtMs, emit);
                }
                case "spill":
                    return spills().runSpill(from, request, emit);
                case "announceMinion":
                case "attemptEnded":
                case "freeSlots":
                    return rejectUnexpected(request.kind);
            }
        },
        handleCall: (from, request) =>
            request.kind === "announceMinion"
                ? dependencies.handleAnnouncement(request)
                : rejectUnexpected(request.kind),
        handleMessage: (from, message) =>
            Effect.sync(() => {
                if (message.kind === "freeSlots") {
                    dependencies.freeSlots.recordAdvertisement(from, message.freeByService, context.readNowMs());
                    for (const service of Object.keys(message.freeByService)) {
                        dependencies.allocator.dispatchQueue(service);
                    }
                }
                if (message.kind === "attemptEnded") {
                    dependencies.confirmEnd(message.attempt, message.minion);
                }
            }),
    };
}

/** Reports the end of an attempt to the owner of its shard or minion when that is another host. */
export function sendAttemptEnded(
    context: EntryContext,
    view: OwnershipView,
    channel: Channel<EntryRequest, EntryReply>,
    item: OwnedItem,
    attempt: string,
    minion: MinionId,
): void {
    const owner = view.findRecord(item)?.owner;
    if (owner !== undefined && owner !== context.self) {
        channel.sendMessage(owner, { kind: "attemptEnded", attempt, minion });
    }
}
