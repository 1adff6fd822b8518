import { type ErrorData, formatItemKey } from "@chestnutspool/types";
import { Effect } from "effect";
import type { Coordinator } from "./coordinator.js";
import type { EntryContext } from "./entry-context.js";
import type { OwnedItems } from "./owned-items.js";
import type { OwnershipView } from "./ownership-view.js";
import type { SpillServer } from "./peer-requests.js";
import type { EntrySession } from "./session.js";
import type { SlotAllocator } from "./slot-allocator.js";

/** Graceful shutdown, which waits for requests in progress up to the drain limit, and the release of key shards. */
export interface Drain {
    readonly isDraining: () => boolean;
    /** Counts a request of a caller as in progress while it runs. */
    readonly runCounted: <Value>(effect: Effect.Effect<Value, ErrorData>) => Effect.Effect<Value, ErrorData>;
    /** Number of requests of callers in progress. */
    readonly countRequests: () => number;
    /**
     * Rejects queued requests of shards that have been releasing for too long, and renews the session when a further
     * item is released.
     */
    readonly advanceReleases: () => void;
    /** Drains this host, at most for the drain limit; calls `stopAccepting` once new requests are refused. */
    readonly run: (stopAccepting: () => void) => Effect.Effect<void>;
}

/** Dependencies of the drain. */
export interface DrainDependencies {
    readonly view: OwnershipView;
    readonly items: OwnedItems;
    readonly allocator: SlotAllocator;
    readonly coordinator: Coordinator;
    readonly spills: SpillServer;
    readonly session: EntrySession;
    readonly isSessionValid: () => boolean;
}

/** Interval at which the drain checks whether it is complete, in milliseconds. */
const drainPollMs = 20;
/** Time for which queued requests of a releasing shard may still be dispatched, in milliseconds. */
const releaseWaitMs = 1_000;

/** Creates the drain of this host. */
export function createDrain(context: EntryContext, dependencies: DrainDependencies): Drain {
    const { view, items, allocator, coordinator, spills, session } = dependencies;
    let draining = false;
    let requestsInProgress = 0;
    let announcedReleases: ReadonlySet<string> = new Set();
    const releasingSince = new Map<number, number>();

    const hasWork = (): boolean =>
        requestsInProgress > 0 || coordinator.countRequests() > 0 || spills.countSpills() > 0;
    /** Whether items remain that control can move to another host. */
    const canHandOver = (): boolean =>
        items.countItems() > 0 && dependencies.isSessionValid()
        && view.listEntries().some(entry => entry.entry !== context.self && !entry.draining);

    const decideReleasing = (): void => {
        const nowMs = context.readNowMs();
        for (const { shard, releasing } of items.listShards()) {
            if (!releasing) {
                releasingSince.delete(shard);
                continue;
            }
            const sinceMs = releasingSince.get(shard) ?? nowMs;
            releasingSince.set(shard, sinceMs);
            if (nowMs - sinceMs > releaseWaitMs) {
                allocator.rejectShard(shard);
            }
        }
        const released = items.listReleased().map(each => `${formatItemKey(each.item)}@${each.epoch}`);
        if (released.some(key => !announcedReleases.has(key))) {
            announcedReleases = new Set(released);
            session.renewNow();
        }
    };

    return {
        isDraining: () => draining || view.findEntry(context.self)?.draining === true,
        runCounted: effect =>
            Effect.acquireUseRelease(
                Effect.sync(() => {
                    requestsInProgress += 1;
                }),
                () => effect,
                () =>
                    Effect.sync(() => {
                        requestsInProgress -= 1;
                    }),
            ),
        countRequests: () => requestsInProgress,
        advanceReleases: decideReleasing,
        run: stopAccepting =>
            Effect.gen(function*() {
                draining = true;
                context.logger.info("draining", { items: items.countItems(), requests: requestsInProgress });
                session.announceDraining();
                stopAccepting();
                const endsAtMs = context.readNowMs() + context.settings.requests.drainLimitMs;
                while ((hasWork() || canHandOver()) && context.readNowMs() < endsAtMs) {
                    yield* Effect.sleep(drainPollMs);
                }
                context.logger.info("drained", { unfinished: hasWork(), itemsLeft: items.countItems() });
            }),
    };
}
