import { createOutlierEjector, createServiceTimes, type InitialOwnership } from "@chestnutspool/route-requests";
import type { AttemptRef, EntryId, MinionId, MinionInfo, OwnershipRecord, ReleasedItem } from "@chestnutspool/types";
import type { EntryContext } from "./entry-context.js";
import { createOwnedMinion, type OwnedMinion, stopOwnedMinion, updateOwnedMinion } from "./owned-minion.js";
import type { OwnershipView } from "./ownership-view.js";

/** A key shard that this host coordinates. */
export interface OwnedShard {
    readonly shard: number;
    readonly epoch: number;
    /** True once new requests of the shard are refused because it moves to another host. */
    readonly releasing: boolean;
}

/** Callbacks for changes of the owned items. */
export interface OwnedItemsListener {
    readonly handleShardGained: (record: OwnershipRecord, shard: number) => void;
    readonly handleMinionChanged: (service: string) => void;
    /** Called when an attempt has certainly ended or its run lease has expired, and its slot is free again. */
    readonly handleAttemptEnded: (attempt: string, minion: OwnedMinion) => void;
    /** Attempts of a shard; undefined while one of its requests waits for the dispatch of an attempt. */
    readonly listShardAttempts: (shard: number) => readonly AttemptRef[] | undefined;
}

/** The minions and key shards of this host, updated from the ownership map. */
export interface OwnedItems {
    /** Applies the newest ownership map to the items of this host. */
    readonly updateItems: () => void;
    readonly findMinion: (minion: MinionId) => OwnedMinion | undefined;
    readonly listMinions: (service: string) => readonly OwnedMinion[];
    readonly listAllMinions: () => readonly OwnedMinion[];
    readonly listServices: () => readonly string[];
    /** Frees the slots of attempts whose run lease has expired, also at minions that moved to other hosts. */
    readonly expireLeases: (nowMs: number) => void;
    readonly findShard: (shard: number) => OwnedShard | undefined;
    readonly listShards: () => readonly OwnedShard[];
    readonly listReleased: () => readonly ReleasedItem[];
    readonly countItems: () => number;
    readonly ejector: ReturnType<typeof createOutlierEjector>;
    readonly minionTimes: ReturnType<typeof createServiceTimes>;
}

/** Margin added to a run lease for the network delay of the request, in milliseconds. */
export const leaseMarginMs = 250;

function isSameAttempt(ref: AttemptRef): (other: AttemptRef) => boolean {
    return other => other.attempt === ref.attempt;
}

/** Creates the set of owned items, empty until the first update. */
export function createOwnedItems(
    context: EntryContext,
    view: OwnershipView,
    listener: OwnedItemsListener,
): OwnedItems {
    const minions = new Map<MinionId, OwnedMinion>();
    /** Minions that this host no longer owns, or owned in an earlier epoch, while their attempts are in progress. */
    const formerMinions = new Set<OwnedMinion>();
    const shards = new Map<number, OwnedShard>();
    const ejector = createOutlierEjector();
    const minionTimes = createServiceTimes();
    const { leases } = context.settings;

    const stopMinion = (id: MinionId, minion: OwnedMinion): void => {
        stopOwnedMinion(minion);
        minions.delete(id);
        formerMinions.add(minion);
        ejector.forgetMinion(id);
        minionTimes.forgetServiceTime(id);
    };

    /** Owners in the previous map: a minion in it has moved from its owner, any other is newly registered. */
    const lastOwners = new Map<MinionId, EntryId>();

    const decideStart = (id: MinionId, record: OwnershipRecord, known: OwnedMinion | undefined): InitialOwnership => {
        // When this host stays the owner in a new epoch, it still knows its own attempts in progress.
        const own = known?.slots.releaseMinion(context.readNowMs()) ?? [];
        const attempts = [...record.attempts, ...own.filter(ref => !record.attempts.some(isSameAttempt(ref)))];
        if (record.afterExpiry) {
            return { attemptsKnownFrom: "afterEpoch", attempts };
        }
        return { attemptsKnownFrom: lastOwners.has(id) ? "atOnce" : "afterFirst", attempts };
    };

    const startMinion = (info: MinionInfo, record: OwnershipRecord, known: OwnedMinion | undefined): void => {
        const times = {
            silenceMs: leases.minionSilenceMs,
            maxRunMs: view.getMaxRunMs(info.service),
            leaseMarginMs,
            clockDriftPercent: leases.clockDriftPercent,
        };
        const minion = createOwnedMinion(
            info,
            record.epoch,
            decideStart(info.id, record, known),
            times,
            context.readNowMs(),
            attempt => listener.handleAttemptEnded(attempt, minion),
        );
        minions.set(info.id, minion);
    };

    const updateMinion = (id: MinionId, record: OwnershipRecord): void => {
        const info = view.findMinion(id);
        const known = minions.get(id);
        const isOwner = record.owner === context.self && record.phase !== "unowned" && info !== undefined;
        if (known !== undefined && (!isOwner || known.slots.getEpoch() !== record.epoch)) {
            stopMinion(id, known);
        }
        if (!isOwner) {
            return;
        }
        if (!minions.has(id)) {
            startMinion(info, record, known);
        }
        const minion = minions.get(id);
        if (minion !== undefined) {
            updateOwnedMinion(minion, info);
            if (record.phase === "releasing") {
                minion.isOwned = false;
            }
        }
        listener.handleMinionChanged(info.service);
    };

    const updateShard = (shard: number, record: OwnershipRecord): void => {
        if (record.owner !== context.self || record.phase === "unowned") {
            shards.delete(shard);
            return;
        }
        const known = shards.get(shard);
        shards.set(shard, { shard, epoch: record.epoch, releasing: record.phase === "releasing" });
        if (known?.epoch !== record.epoch) {
            listener.handleShardGained(record, shard);
        }
    };

    const listReleased = (): readonly ReleasedItem[] => {
        const released: ReleasedItem[] = [];
        for (const { item, epoch, owner, phase } of view.listRecords()) {
            if (owner !== context.self || phase !== "releasing") {
                continue;
            }
            const attempts = item.kind === "minion"
                ? minions.get(item.minion)?.slots.releaseMinion(context.readNowMs()) ?? []
                : listener.listShardAttempts(item.shard);
            if (attempts !== undefined) {
                released.push({ item, epoch, attempts });
            }
        }
        return released;
    };

    return {
        updateItems: () => {
            const present = new Set<MinionId>();
            for (const record of view.listRecords()) {
                if (record.item.kind === "minion") {
                    present.add(record.item.minion);
                    updateMinion(record.item.minion, record);
                    if (record.owner !== undefined) {
                        lastOwners.set(record.item.minion, record.owner);
                    }
                }
                else {
                    updateShard(record.item.shard, record);
                }
            }
            for (const id of [...lastOwners.keys()].filter(each => !present.has(each))) {
                lastOwners.delete(id);
            }
            for (const [id, minion] of [...minions]) {
                if (!present.has(id)) {
                    stopMinion(id, minion);
                }
            }
        },
        findMinion: id => minions.get(id),
        listMinions: service => [...minions.values()].filter(each => each.slots.getInfo().service === service),
        listAllMinions: () => [...minions.values()],
        listServices: () => [...new Set([...minions.values()].map(each => each.slots.getInfo().service))],
        expireLeases: nowMs => {
            for (const minion of [...minions.values(), ...formerMinions]) {
                minion.slots.expireLeases(nowMs);
                if (minion.slots.countHeld() === 0) {
                    formerMinions.delete(minion);
                }
            }
        },
        findShard: shard => shards.get(shard),
        listShards: () => [...shards.values()],
        listReleased,
        countItems: () => minions.size + shards.size,
        ejector,
        minionTimes,
    };
}
