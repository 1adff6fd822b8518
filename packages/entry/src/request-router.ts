import {
    type Channel,
    computeShard,
    type EntryId,
    type EntryReply,
    type EntryRequest,
    type ErrorData,
    type RequestEnvelope,
} from "@chestnutspool/types";
import { Effect, Result } from "effect";
import { randomUUID } from "node:crypto";
import { type Coordinator, createNoSessionError } from "./coordinator.js";
import type { EmitReply } from "./dispatch-attempt.js";
import type { EntryContext } from "./entry-context.js";
import type { OwnedItems } from "./owned-items.js";
import type { OwnershipView } from "./ownership-view.js";

/** Routes requests of callers to their coordinators. */
export interface RequestRouter {
    readonly routeRequest: (envelope: RequestEnvelope, emit: EmitReply) => Effect.Effect<void, ErrorData>;
    /** Creates a request id whose shard is coordinated by a host that can serve the service without a further hop. */
    readonly createRequestId: (tenant: string, service: string) => string;
}

/** Dependencies of the router. */
export interface RouterDependencies {
    readonly view: OwnershipView;
    readonly items: OwnedItems;
    readonly coordinator: Coordinator;
    readonly channel: Channel<EntryRequest, EntryReply>;
    readonly isSessionValid: () => boolean;
}

/** Time after the deadline for which the answer of the coordinator is still awaited, in milliseconds. */
const coordinatorGraceMs = 100;
/** Pause before a request whose shard is being handed over is routed again, in milliseconds. */
const handoverPauseMs = 25;
/** Longest time that a request waits for the handover of its shard, in milliseconds. */
const handoverLimitMs = 1_500;
/** Limit of random ids tried until one falls in a shard of the chosen host; with 8 entry hosts about 8 are needed. */
const requestIdTriesLimit = 1_024;

/** Creates the router of this host. */
export function createRequestRouter(context: EntryContext, dependencies: RouterDependencies): RequestRouter {
    const { view, items, coordinator, channel } = dependencies;
    const { leases } = context.settings;

    const chooseCoordinator = (service: string): EntryId => {
        const canCoordinate = (entry: EntryId): boolean =>
            view.hasMinionOf(entry, service)
            && (entry === context.self || context.link.isConnected(entry));
        const hasShards = items.listShards().some(each => !each.releasing);
        const others = view.listEntries().filter(each => !each.draining).map(each => each.entry);
        if (hasShards && (canCoordinate(context.self) || !others.some(canCoordinate))) {
            return context.self;
        }
        const candidates = others.filter(canCoordinate);
        return candidates[Math.floor(Math.random() * candidates.length)] ?? others[0] ?? context.self;
    };

    const isOwnedBy = (shard: number, entry: EntryId): boolean => {
        const record = view.findRecord({ kind: "shard", shard });
        return record?.owner === entry && record.phase === "owned";
    };

    const createRequestId = (tenant: string, service: string): string => {
        const entry = chooseCoordinator(service);
        let id = randomUUID() as string;
        for (let tries = 0; tries < requestIdTriesLimit && !isOwnedBy(computeShard(tenant, id), entry); tries += 1) {
            id = randomUUID();
        }
        return id;
    };

    /** Creates the error of an unreachable coordinator: only an idempotent request is reported as not run. */
    const createUnreachableError = (envelope: RequestEnvelope): ErrorData =>
        createNoSessionError(envelope, leases.sessionTtlMs);

    const mapCallError = (error: ErrorData, envelope: RequestEnvelope): ErrorData => {
        if (error.kind === "peerUnavailable") {
            return createUnreachableError(envelope);
        }
        if (error.kind === "timeout") {
            return { kind: "deadlineExceeded", state: "maybeRun" };
        }
        return error.kind === "outcomeUnknown"
            ? { kind: "outcomeUnknown", subject: `request "${envelope.requestId}"` }
            : error;
    };

    const callCoordinator = Effect.fnUntraced(
        function*(entry: EntryId, envelope: RequestEnvelope, deadlineAtMs: number, emit: EmitReply) {
            const deadlineLeftMs = Math.max(1, deadlineAtMs - context.readNowMs());
            const request: EntryRequest = { kind: "coordinate", envelope: { ...envelope, deadlineLeftMs } };
            const limitMs = deadlineLeftMs + coordinatorGraceMs;
            yield* channel.callStream(
                entry,
                request,
                limitMs,
                reply => reply.kind === "error" ? Effect.fail(reply.error) : emit(reply),
            ).pipe(Effect.mapError(error => mapCallError(error, envelope)));
        },
    );

    const routeOnce = (envelope: RequestEnvelope, deadlineAtMs: number, emit: EmitReply) => {
        const shard = computeShard(envelope.tenant, envelope.requestId);
        const owner = view.findRecord({ kind: "shard", shard })?.owner;
        if (owner === undefined) {
            return Effect.fail<ErrorData>({ kind: "staleToken", subject: `shard ${shard}`, seen: 0, current: 0 });
        }
        return owner === context.self
            ? coordinator.runRequest(envelope, deadlineAtMs, emit)
            : callCoordinator(owner, envelope, deadlineAtMs, emit);
    };

    const routeRequest: RequestRouter["routeRequest"] = Effect.fnUntraced(function*(envelope, emit) {
        const arrivedMs = context.readNowMs();
        const deadlineAtMs = arrivedMs + envelope.deadlineLeftMs;
        const handoverEndsAtMs = Math.min(deadlineAtMs, arrivedMs + handoverLimitMs);
        while (true) {
            if (!dependencies.isSessionValid()) {
                return yield* Effect.fail(createUnreachableError(envelope));
            }
            const result = yield* Effect.result(routeOnce(envelope, deadlineAtMs, emit));
            if (Result.isSuccess(result)) {
                return;
            }
            // `staleToken` means that no coordinator has accepted the request, because its shard is being handed over.
            if (result.failure.kind !== "staleToken") {
                return yield* Effect.fail(result.failure);
            }
            if (context.readNowMs() + handoverPauseMs >= handoverEndsAtMs) {
                return yield* Effect.fail(createUnreachableError(envelope));
            }
            yield* Effect.sleep(handoverPauseMs);
        }
    });

    return { routeRequest, createRequestId };
}
