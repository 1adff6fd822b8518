import {
    createMinionChooser,
    createRequestQueue,
    createServiceTimes,
    decideAdmission,
    estimateRetryAfterMs,
    type LoadView,
    type MinionCandidate,
    noMinionRetryAfterMs,
    type QueuedRequest,
} from "@chestnutspool/route-requests";
import type { EntryId, ErrorData, RequestEnvelope } from "@chestnutspool/types";
import { Deferred, Effect } from "effect";
import type { EntryContext } from "./entry-context.js";
import type { FreeSlots } from "./free-slots.js";
import type { OwnedItems } from "./owned-items.js";
import { type HeldSlot, openSlot, type OwnedMinion } from "./owned-minion.js";
import type { OwnershipView } from "./ownership-view.js";

/** A request for a slot. */
export interface SlotRequest {
    readonly envelope: RequestEnvelope;
    readonly attempt: string;
    readonly shard: number;
    readonly deadlineAtMs: number;
    readonly runLeaseMs: number;
    /** Minions that failed this request; it is not sent to them again. */
    readonly excludedMinions: ReadonlySet<string>;
    /** Whether the request may be spilled to another entry host; one that was spilled to this host may not. */
    readonly canSpill: boolean;
    /** Whether the request may wait in the queue for a slot. */
    readonly canWait: boolean;
}

/** Where an attempt may run: in a slot of an own minion, or at an entry host that advertised a free slot. */
export type SlotGrant =
    | { readonly kind: "own"; readonly slot: HeldSlot; }
    | {
        readonly kind: "spill";
        readonly entry: EntryId;
        /** False when the host did not advertise a free slot, but serves the service while this host does not. */
        readonly isAdvertised: boolean;
    };

/** Grants slots to requests; requests wait in a queue while no slot is free. */
export interface SlotAllocator {
    /** Waits for a slot, runs the effect in it, and releases the slot however the effect ends. */
    readonly runInSlot: <Value>(
        request: SlotRequest,
        run: (grant: SlotGrant) => Effect.Effect<Value, ErrorData>,
    ) => Effect.Effect<Value, ErrorData>;
    /** Grants the free slots of a service to queued requests. */
    readonly dispatchQueue: (service: string) => void;
    /**
     * Rejects queued requests that can no longer meet their deadline or that no minion can serve, expires run leases,
     * and grants the free slots to the others. Without a valid session it rejects all.
     */
    readonly sweepQueue: () => void;
    /** Rejects the queued requests of a shard that moves to another host. */
    readonly rejectShard: (shard: number) => void;
    readonly hasWaiting: (shard: number) => boolean;
    readonly countFree: (service: string) => number;
    readonly countWaiting: () => number;
    readonly serviceTimes: ReturnType<typeof createServiceTimes>;
}

interface WaitingRequest extends QueuedRequest {
    readonly request: SlotRequest;
    readonly answer: Deferred.Deferred<SlotGrant, ErrorData>;
}

/** Retry-after time of a queued request that can no longer meet its deadline, in milliseconds. */
const lateRetryAfterMs = 100;
/** Seed of the random choices of rule `twoChoices`. */
const chooserSeed = 20_261_203;

/** Creates an allocator with an empty queue. */
export function createSlotAllocator(
    context: EntryContext,
    view: OwnershipView,
    items: OwnedItems,
    freeSlots: FreeSlots,
    canDispatch: () => boolean,
    onFreeChanged: (service: string) => void,
): SlotAllocator {
    const queue = createRequestQueue<WaitingRequest>(context.settings.requests.queueLimit);
    const chooser = createMinionChooser(context.choiceRule, chooserSeed);
    const serviceTimes = createServiceTimes();
    /** Round-robin index of the hosts that serve a service of which this host owns no minion. */
    let roundRobinIndex = 0;
    const ownZone = context.settings.process.availabilityZone;

    const listUsable = (service: string, nowMs: number): readonly OwnedMinion[] => {
        const minions = items.listMinions(service).filter(each => each.isOwned && each.slots.isUsable(nowMs));
        const usable = new Set(items.ejector.filterUsable(minions.map(each => each.slots.getInfo().id), nowMs));
        return minions.filter(each => usable.has(each.slots.getInfo().id));
    };

    const countFree = (service: string): number => {
        const nowMs = context.readNowMs();
        return canDispatch()
            ? listUsable(service, nowMs).reduce((sum, each) => sum + each.slots.countFree(nowMs), 0)
            : 0;
    };

    const takeOwnSlot = (request: SlotRequest, nowMs: number): HeldSlot | undefined => {
        const { service, tenant, requestId } = request.envelope;
        const candidates: MinionCandidate[] = listUsable(service, nowMs)
            .filter(each => each.slots.countFree(nowMs) > 0 && !request.excludedMinions.has(each.slots.getInfo().id))
            .map(each => ({
                minion: each.slots.getInfo().id,
                ownZone: each.slots.getInfo().availabilityZone === ownZone,
                outstanding: each.slots.countHeld(),
                slots: each.slots.getInfo().slots,
                meanMs: items.minionTimes.estimateTime(each.slots.getInfo().id),
            }));
        const chosen = chooser.chooseMinion(candidates, serviceTimes.estimateTime(service));
        const minion = chosen === undefined ? undefined : items.findMinion(chosen);
        if (minion === undefined) {
            return undefined;
        }
        const { attempt, shard, runLeaseMs } = request;
        const ref = {
            attempt,
            minion: minion.slots.getInfo().id,
            shard,
            tenant,
            requestId,
            runLeaseLeftMs: runLeaseMs,
        };
        return openSlot(minion, ref, nowMs);
    };

    /**
     * Finds a host that advertises a free slot. When this host owns no minion of the service, a request queued here
     * would never get a slot, so it goes to the queue of a host that owns some.
     */
    const findSpill = (service: string, nowMs: number): SlotGrant | undefined => {
        const advertised = freeSlots.findHost(service, nowMs);
        if (advertised !== undefined && context.link.isConnected(advertised)) {
            freeSlots.takeSlot(advertised, service);
            return { kind: "spill", entry: advertised, isAdvertised: true };
        }
        if (items.listMinions(service).length > 0) {
            return undefined;
        }
        const candidates = view.listEntries().map(each => each.entry).filter(entry =>
            entry !== context.self && view.hasMinionOf(entry, service) && context.link.isConnected(entry)
        );
        roundRobinIndex += 1;
        const entry = candidates[roundRobinIndex % Math.max(1, candidates.length)];
        return entry === undefined ? undefined : { kind: "spill", entry, isAdvertised: false };
    };

    const takeGrant = (request: SlotRequest): SlotGrant | undefined => {
        const nowMs = context.readNowMs();
        if (!canDispatch()) {
            return undefined;
        }
        const { service } = request.envelope;
        const slot = takeOwnSlot(request, nowMs);
        if (slot !== undefined) {
            onFreeChanged(service);
            return { kind: "own", slot };
        }
        return request.canSpill ? findSpill(service, nowMs) : undefined;
    };

    const releaseGrant = (grant: SlotGrant): void => {
        if (grant.kind === "own") {
            const { slot } = grant;
            slot.minion.slots.closeAttempt(slot.ref.attempt, slot.state, context.readNowMs());
        }
    };

    const hasFree = (service: string): boolean =>
        countFree(service) > 0 || freeSlots.findHost(service, context.readNowMs()) !== undefined;

    const serveQueue = (service: string): void => {
        while (true) {
            let grant: SlotGrant | undefined;
            if (!hasFree(service)) {
                onFreeChanged(service);
                return;
            }
            const item = queue.takeNext(service, waiting => {
                grant = takeGrant(waiting.request);
                return grant !== undefined;
            });
            if (item === undefined || grant === undefined) {
                onFreeChanged(service);
                return;
            }
            Deferred.doneUnsafe(item.answer, Effect.succeed(grant));
        }
    };

    /** Counts the slots that may serve a request: those of own minions, or those of other hosts when there are none. */
    const countSlots = (service: string, canSpill: boolean): number => {
        const usable = listUsable(service, context.readNowMs()).map(each => each.slots.getInfo());
        const others = canSpill && usable.length === 0
            ? view.listMinions(service).filter(info => items.findMinion(info.id) === undefined)
            : [];
        return [...usable, ...others].reduce((sum, info) => sum + info.slots, 0);
    };

    const readLoad = (request: SlotRequest): LoadView => {
        const { service } = request.envelope;
        const nowMs = context.readNowMs();
        return {
            queuedAhead: queue.countAhead(service, request.envelope.class),
            slots: countSlots(service, request.canSpill),
            freeSlots: countFree(service) + (request.canSpill ? freeSlots.countFree(service, nowMs) : 0),
            serviceTimeMs: serviceTimes.estimateTime(service),
        };
    };

    const addToQueue = (request: SlotRequest): WaitingRequest => {
        const { service, tenant, class: requestClass } = request.envelope;
        const waiting: WaitingRequest = {
            id: request.attempt,
            service,
            class: requestClass,
            tenant,
            shard: request.shard,
            deadlineAtMs: request.deadlineAtMs,
            excludedMinions: request.excludedMinions,
            request,
            answer: Deferred.makeUnsafe(),
        };
        const retryAfterMs = estimateRetryAfterMs(readLoad(request));
        const displaced = queue.addRequest(waiting);
        if (displaced !== undefined) {
            Deferred.doneUnsafe(displaced.answer, Effect.fail({ kind: "notRun", reason: "queueFull", retryAfterMs }));
        }
        return waiting;
    };

    const removeWaiting = (waiting: WaitingRequest) =>
        Effect.gen(function*() {
            if (queue.removeRequest(waiting.id) !== undefined) {
                return;
            }
            // The slot may have been granted at the same time as the interruption; it must be released then.
            const granted = yield* Effect.exit(Deferred.await(waiting.answer));
            if (granted._tag === "Success") {
                releaseGrant(granted.value);
                serveQueue(waiting.service);
            }
        });

    const awaitGrant = Effect.fnUntraced(function*(request: SlotRequest) {
        const { service } = request.envelope;
        const isFirst = queue.countAhead(service, request.envelope.class) === 0;
        const immediate = isFirst ? takeGrant(request) : undefined;
        if (immediate !== undefined) {
            return immediate;
        }
        if (!canDispatch()) {
            const retryAfterMs = context.settings.leases.sessionTtlMs;
            return yield* Effect.fail<ErrorData>({ kind: "notRun", reason: "noSession", retryAfterMs });
        }
        const load = readLoad(request);
        const admitted = decideAdmission(load, request.deadlineAtMs - context.readNowMs());
        yield* admitted.caseOf<Effect.Effect<unknown, ErrorData>>({ Left: Effect.fail, Right: Effect.succeed });
        if (!request.canWait) {
            const retryAfterMs = estimateRetryAfterMs(load);
            return yield* Effect.fail<ErrorData>({ kind: "notRun", reason: "queueFull", retryAfterMs });
        }
        const waiting = addToQueue(request);
        return yield* Effect.interruptible(Deferred.await(waiting.answer)).pipe(
            Effect.onInterrupt(() => removeWaiting(waiting)),
        );
    });

    const rejectAll = (isRejected: (waiting: WaitingRequest) => boolean, error: ErrorData): void => {
        for (const waiting of queue.takeAll(isRejected)) {
            Deferred.doneUnsafe(waiting.answer, Effect.fail(error));
        }
    };

    return {
        runInSlot: (request, run) =>
            Effect.uninterruptibleMask(restore =>
                Effect.gen(function*() {
                    const grant = yield* awaitGrant(request);
                    const exit = yield* Effect.exit(restore(run(grant)));
                    releaseGrant(grant);
                    serveQueue(request.envelope.service);
                    return yield* exit;
                })
            ),
        dispatchQueue: serveQueue,
        sweepQueue: () => {
            const nowMs = context.readNowMs();
            rejectAll(
                waiting => nowMs + (serviceTimes.estimateTime(waiting.service) ?? 0) >= waiting.deadlineAtMs,
                { kind: "notRun", reason: "deadlineExceeded", retryAfterMs: lateRetryAfterMs },
            );
            items.expireLeases(nowMs);
            for (const service of queue.listServices()) {
                if (countSlots(service, true) === 0) {
                    rejectAll(
                        waiting => waiting.service === service,
                        { kind: "notRun", reason: "noMinion", retryAfterMs: noMinionRetryAfterMs },
                    );
                }
                serveQueue(service);
            }
            if (!canDispatch()) {
                const retryAfterMs = context.settings.leases.sessionTtlMs;
                rejectAll(() => true, { kind: "notRun", reason: "noSession", retryAfterMs });
            }
        },
        rejectShard: shard => {
            rejectAll(waiting => waiting.shard === shard, {
                kind: "notRun",
                reason: "draining",
                retryAfterMs: context.settings.leases.sessionRenewMs,
            });
        },
        hasWaiting: shard => queue.hasShard(shard),
        countFree,
        countWaiting: () => queue.countRequests(),
        serviceTimes,
    };
}
