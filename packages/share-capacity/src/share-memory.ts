import type { WaitingWork } from "./rank-by-value.js";
import { createQueueSizes, findSizeGroup, type QueueSizes, recordSize, type SizeGroup } from "./size-groups.js";

/** Time in which the weight of offered work halves, in milliseconds. */
const offeredHalfLifeMs = 10_000;
/** Least share of the offered work that a group counts with, so that a rare group is not passed over without end. */
export const smallestOfferedShare = 0.05;
/** Bound of the credit of a group, as a multiple of the work of its largest waiting job. */
const creditLimit = 2;

/** Turn of a job: it goes before all others of its priority. */
export interface Turn {
    readonly key: string;
    readonly untilMs: number;
    /** Work that it has still to start, in core-milliseconds. */
    workLeft: number;
}

/** Work below which nothing is left of a turn, in core-milliseconds; sums of declared work are not exact. */
const negligibleWork = 1;

/** What one size group of a queue was offered and received. Work is in core-milliseconds. */
export interface GroupShare {
    readonly queue: string;
    readonly group: SizeGroup;
    /** Work that arrived, with decay. */
    offered: number;
    /** Work that is owed to the group: its least share of what others started while it waited, less what it started; never below 0. */
    credit: number;
    /** Job that goes first until its last task has started or `untilMs` has passed. */
    turn: Turn | undefined;
    /** Work of its largest waiting job in the last pass; 0 if none waits. */
    largestWaiting: number;
    /** Work started while capacity was contended, with decay; for the log. */
    started: number;
}

/** What is remembered for the queues of one priority in a pool. It is soft state: a new leader begins without it. */
export interface ShareMemory {
    readonly sizes: Map<string, QueueSizes>;
    readonly groups: Map<string, GroupShare>;
    /** Groups of the jobs that were seen, by the key of the work, and when each was last seen. */
    readonly seen: Map<string, { readonly group: GroupShare; seenAtMs: number; }>;
    decayedAtMs: number;
}

/** Time after which work that no longer waits is forgotten, in milliseconds. */
const forgetAfterMs = 60_000;

/** Creates the memory of queues without jobs. */
export function createShareMemory(): ShareMemory {
    return { sizes: new Map(), groups: new Map(), seen: new Map(), decayedAtMs: Number.NEGATIVE_INFINITY };
}

function getGroup(memory: ShareMemory, queue: string, group: SizeGroup): GroupShare {
    const key = `${queue}/${group}`;
    const known = memory.groups.get(key);
    if (known !== undefined) {
        return known;
    }
    const created = { queue, group, offered: 0, credit: 0, turn: undefined, largestWaiting: 0, started: 0 };
    memory.groups.set(key, created);
    return created;
}

/** Returns the mean work of the jobs of a queue, in core-milliseconds; 0 if none was seen. */
export function readMeanWork({ sizes }: ShareMemory, queue: string): number {
    return sizes.get(queue)?.mean ?? 0;
}

/** Finds the group of a job and learns from it if it was not seen before. A job keeps its group. */
export function observeJob(memory: ShareMemory, { queue, key, work }: WaitingWork, nowMs: number): GroupShare {
    const known = memory.seen.get(key);
    if (known !== undefined) {
        known.seenAtMs = nowMs;
        return known.group;
    }
    const sizes = memory.sizes.get(queue) ?? createQueueSizes();
    memory.sizes.set(queue, sizes);
    recordSize(sizes, work);
    const group = getGroup(memory, queue, findSizeGroup(sizes, work));
    group.offered += work;
    memory.seen.set(key, { group, seenAtMs: nowMs });
    return group;
}

/** Learns the sizes of the jobs that wait while capacity is not contended. `nowMs` is in milliseconds. */
export function observeWaitingJobs(memory: ShareMemory, waiting: readonly WaitingWork[], nowMs: number): void {
    updateOffers(memory, nowMs);
    waiting.forEach(work => observeJob(memory, work, nowMs));
}

/** Lowers the weight of earlier offers and forgets what has not waited for long. `nowMs` is in milliseconds. */
export function updateOffers(memory: ShareMemory, nowMs: number): void {
    const passedMs = nowMs - memory.decayedAtMs;
    if (passedMs >= 0 && passedMs < offeredHalfLifeMs / 10) {
        return;
    }
    memory.decayedAtMs = nowMs;
    const factor = 0.5 ** (Math.min(forgetAfterMs, Math.max(0, passedMs)) / offeredHalfLifeMs);
    for (const group of memory.groups.values()) {
        group.offered *= factor;
        group.started *= factor;
    }
    for (const [key, { seenAtMs }] of memory.seen) {
        if (nowMs - seenAtMs > forgetAfterMs) {
            memory.seen.delete(key);
        }
    }
}

/** Computes the share of the offered work that is of a group. */
export function computeOfferedShare({ groups }: ShareMemory, group: GroupShare): number {
    let total = 0;
    for (const { offered } of groups.values()) {
        total += offered;
    }
    return total === 0 ? smallestOfferedShare : Math.max(smallestOfferedShare, group.offered / total);
}

/** Computes the share of the started work that is of a group. */
export function computeStartedShare({ groups }: ShareMemory, group: GroupShare): number {
    let total = 0;
    for (const { started } of groups.values()) {
        total += started;
    }
    return total === 0 ? 0 : group.started / total;
}

/**
 * Records that tasks of a job with `work` core-milliseconds started. Each group with waiting work is owed `floor` times its share
 * of the offered work of it; its own starts count against that, but not against what it is owed later.
 */
export function recordStartedWork(memory: ShareMemory, key: string, work: number, floor: number): void {
    const own = memory.seen.get(key)?.group;
    if (own === undefined) {
        return;
    }
    own.started += work;
    if (own.turn?.key === key) {
        own.turn.workLeft -= work;
        own.turn = own.turn.workLeft < negligibleWork ? undefined : own.turn;
    }
    for (const group of memory.groups.values()) {
        if (group.largestWaiting === 0) {
            continue;
        }
        const limit = creditLimit * group.largestWaiting;
        const change = work * (floor * computeOfferedShare(memory, group) - (group === own ? 1 : 0));
        group.credit = Math.min(limit, Math.max(0, group.credit + change));
    }
}
