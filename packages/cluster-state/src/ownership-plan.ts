import {
    type EntryId,
    type EntrySessionRecord,
    formatItemKey,
    keyShardCount,
    type OwnershipRecord,
} from "@chestnutspool/types";
import type { Model } from "./model.js";

/** Items that are balanced among the entry hosts together: the shards, or the minions of one service. */
interface ItemGroup {
    readonly records: OwnershipRecord[];
    /** Availability zone of each minion, by item key. */
    readonly zones: Map<string, string>;
    /** Number of items that each entry host owns or will own. */
    readonly counts: Map<EntryId, number>;
}

interface Plan {
    readonly model: Model;
    /** Entry hosts that may get items, sorted by id so that each replica makes the same plan. */
    readonly candidates: readonly EntrySessionRecord[];
    readonly totals: Map<EntryId, number>;
}

/** The entry host that owns the item, or will own it once the current owner has released it. */
function findHolder(record: OwnershipRecord): EntryId | undefined {
    return record.phase === "releasing" ? record.next : record.owner;
}

function listCandidates(model: Model): EntrySessionRecord[] {
    const entries = [...model.entries.values()].sort((left, right) => left.entry < right.entry ? -1 : 1);
    const staying = entries.filter(entry => !entry.draining);
    return staying.length > 0 ? staying : entries;
}

function listGroups(model: Model): ItemGroup[] {
    const groups = new Map<string, ItemGroup>();
    const sorted = [...model.ownership.values()].sort((left, right) =>
        formatItemKey(left.item) < formatItemKey(right.item) ? -1 : 1
    );
    for (const record of sorted) {
        const minion = record.item.kind === "minion" ? model.minions.get(record.item.minion) : undefined;
        const name = minion === undefined ? "shards" : `service ${minion.service}`;
        const group: ItemGroup = groups.get(name) ?? { records: [], zones: new Map(), counts: new Map() };
        group.records.push(record);
        if (minion !== undefined) {
            group.zones.set(formatItemKey(record.item), minion.availabilityZone);
        }
        groups.set(name, group);
    }
    return [...groups.values()];
}

function addCount(counts: Map<EntryId, number>, entry: EntryId, change: number): void {
    counts.set(entry, (counts.get(entry) ?? 0) + change);
}

function countHeld(plan: Plan, groups: readonly ItemGroup[]): void {
    for (const group of groups) {
        for (const record of group.records) {
            const holder = findHolder(record);
            if (holder !== undefined) {
                addCount(group.counts, holder, 1);
                addCount(plan.totals, holder, 1);
            }
        }
    }
}

function isInZone(group: ItemGroup, record: OwnershipRecord, entry: EntrySessionRecord): boolean {
    return group.zones.get(formatItemKey(record.item)) === entry.availabilityZone;
}

/** The candidate with the fewest items of the group, then the same availability zone, then the fewest items in all. */
function chooseCandidate(
    plan: Plan,
    group: ItemGroup,
    record: OwnershipRecord,
    candidates: readonly EntrySessionRecord[],
): EntrySessionRecord | undefined {
    const computeRank = (entry: EntrySessionRecord): readonly number[] => [
        group.counts.get(entry.entry) ?? 0,
        isInZone(group, record, entry) ? 0 : 1,
        plan.totals.get(entry.entry) ?? 0,
    ];
    let best: EntrySessionRecord | undefined;
    let bestRank: readonly number[] = [];
    for (const entry of candidates) {
        const rank = computeRank(entry);
        const differing = rank.findIndex((value, position) => value !== bestRank[position]);
        if (best === undefined || (differing >= 0 && (rank[differing] ?? 0) < (bestRank[differing] ?? 0))) {
            best = entry;
            bestRank = rank;
        }
    }
    return best;
}

function setRecord(plan: Plan, group: ItemGroup, record: OwnershipRecord, next: OwnershipRecord): void {
    const before = findHolder(record);
    const after = findHolder(next);
    if (before !== undefined) {
        addCount(group.counts, before, -1);
        addCount(plan.totals, before, -1);
    }
    if (after !== undefined) {
        addCount(group.counts, after, 1);
        addCount(plan.totals, after, 1);
    }
    const key = formatItemKey(next.item);
    plan.model.ownership.set(key, next);
    const position = group.records.findIndex(other => formatItemKey(other.item) === key);
    group.records[position] = next;
    plan.model.ownershipVersion += 1;
}

function isCandidate(plan: Plan, entry: EntryId | undefined): boolean {
    return entry !== undefined && plan.candidates.some(candidate => candidate.entry === entry);
}

/** Assigns unowned items, first to candidates in the minion's availability zone that are below an equal share. */
function assignUnowned(plan: Plan, group: ItemGroup): void {
    const share = Math.floor(group.records.length / plan.candidates.length);
    const setOwner = (record: OwnershipRecord, candidates: readonly EntrySessionRecord[]): void => {
        const chosen = chooseCandidate(plan, group, record, candidates);
        if (chosen !== undefined) {
            setRecord(plan, group, record, {
                ...record,
                owner: chosen.entry,
                epoch: plan.model.sequence,
                phase: "owned",
                next: undefined,
            });
        }
    };
    for (const record of group.records.filter(item => item.phase === "unowned")) {
        const near = plan.candidates.filter(entry =>
            isInZone(group, record, entry) && (group.counts.get(entry.entry) ?? 0) < share
        );
        setOwner(record, near);
    }
    for (const record of group.records.filter(item => item.phase === "unowned")) {
        setOwner(record, plan.candidates);
    }
}

/** Marks items of draining owners for release, and replaces successors that are no longer candidates. */
function releaseFromDraining(plan: Plan, group: ItemGroup): void {
    for (const record of [...group.records]) {
        if (record.phase === "unowned" || isCandidate(plan, findHolder(record))) {
            continue;
        }
        const chosen = chooseCandidate(plan, group, record, plan.candidates);
        if (chosen === undefined) {
            continue;
        }
        if (chosen.entry === record.owner) {
            // The owner may have sent its release already; the new epoch makes that release stale.
            setRecord(plan, group, record, {
                ...record,
                epoch: plan.model.sequence,
                phase: "owned",
                next: undefined,
                attempts: [],
            });
        }
        else {
            setRecord(plan, group, record, { ...record, phase: "releasing", next: chosen.entry });
        }
    }
}

function findExtremes(
    plan: Plan,
    group: ItemGroup,
): { most: EntrySessionRecord; least: EntrySessionRecord; } | undefined {
    let most = plan.candidates[0];
    let least = plan.candidates[0];
    const computeRank = (entry: EntrySessionRecord): readonly [number, number] => [
        group.counts.get(entry.entry) ?? 0,
        plan.totals.get(entry.entry) ?? 0,
    ];
    const isBelow = (left: EntrySessionRecord, right: EntrySessionRecord): boolean => {
        const [leftCount, leftTotal] = computeRank(left);
        const [rightCount, rightTotal] = computeRank(right);
        return leftCount < rightCount || (leftCount === rightCount && leftTotal < rightTotal);
    };
    for (const entry of plan.candidates) {
        most = most === undefined || isBelow(most, entry) ? entry : most;
        least = least === undefined || isBelow(entry, least) ? entry : least;
    }
    return most === undefined || least === undefined ? undefined : { most, least };
}

/** Marks items of the fullest candidate for release to the emptiest one, until their counts differ by at most one. */
function releaseSurplus(plan: Plan, group: ItemGroup): void {
    while (true) {
        const extremes = findExtremes(plan, group);
        if (extremes === undefined) {
            return;
        }
        const { most, least } = extremes;
        if ((group.counts.get(most.entry) ?? 0) - (group.counts.get(least.entry) ?? 0) <= 1) {
            return;
        }
        const movable = group.records.filter(record => record.phase === "owned" && record.owner === most.entry);
        const chosen = movable.find(record => isInZone(group, record, least) && !isInZone(group, record, most))
            ?? movable.find(record => isInZone(group, record, least) || !isInZone(group, record, most))
            ?? movable[0];
        if (chosen === undefined) {
            return;
        }
        setRecord(plan, group, chosen, { ...chosen, phase: "releasing", next: least.entry });
    }
}

/**
 * Updates ownership to match the entry sessions: items without an owner get one, items of draining owners are marked
 * for release. With `balance`, items are also marked for release until the counts differ by at most one.
 */
export function updateOwnership(model: Model, balance: boolean): void {
    const plan: Plan = { model, candidates: listCandidates(model), totals: new Map() };
    if (plan.candidates.length === 0) {
        return;
    }
    const groups = listGroups(model);
    countHeld(plan, groups);
    for (const group of groups) {
        releaseFromDraining(plan, group);
        assignUnowned(plan, group);
        if (balance) {
            releaseSurplus(plan, group);
        }
    }
}

/** Adds the key shards, none of which has an owner yet. */
export function addShards(model: Model): void {
    for (let shard = 0; shard < keyShardCount; shard += 1) {
        const item = { kind: "shard", shard } as const;
        model.ownership.set(formatItemKey(item), {
            item,
            owner: undefined,
            epoch: 0,
            phase: "unowned",
            next: undefined,
            afterExpiry: false,
            attempts: [],
        });
    }
}
