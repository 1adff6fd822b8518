import {
    computeLeaseEndMs,
    createMinionSlots,
    type MinionSlots,
    type OwnershipStart,
    type SlotTimes,
} from "@chestnutspool/route-requests";
import type { AttemptRef, AttemptState, MinionInfo } from "@chestnutspool/types";
import { Agent } from "node:http";

/** A minion that this host owns, or owned when the attempts that hold this object began. */
export interface OwnedMinion {
    readonly slots: MinionSlots;
    readonly times: SlotTimes;
    /** Connections that are kept open and used again; at most one for each slot. */
    readonly sharedAgent: Agent;
    /**
     * One new connection for each attempt that must not be repeated: a kept connection can be closed by the minion just
     * when it is used again, and the outcome of the attempt would then be unknown. Undefined when the minion allows too few
     * connections for both kinds.
     */
    freshAgent: Agent | undefined;
    /** False once the minion was released or given to another host. */
    isOwned: boolean;
}

/** An attempt that holds a slot, and how far it got. */
export interface HeldSlot {
    readonly minion: OwnedMinion;
    readonly ref: AttemptRef;
    /** Updated by the dispatch; read when the slot is given back. */
    state: AttemptState;
    /** Monotonic time at which the run has certainly ended, once it was sent. */
    leaseEndsAtMs: number;
}

/**
 * Idle time after which a kept connection is closed, in milliseconds. It is far below the usual limits of HTTP servers (5 s
 * and more): a request on a connection that the minion closes at the same moment has an unknown outcome. With the limit of
 * the minion alone, 1 of 36,000 requests without any fault ended so.
 */
const idleLimitMs = 1_000;

/** Creates the accounting and the connections of a minion. */
export function createOwnedMinion(
    info: MinionInfo,
    epoch: number,
    start: OwnershipStart,
    times: SlotTimes,
    nowMs: number,
    onEnd: (attempt: string) => void,
): OwnedMinion {
    const minion: OwnedMinion = {
        slots: createMinionSlots(info, epoch, start, times, nowMs, onEnd),
        times,
        sharedAgent: new Agent({ keepAlive: true, timeout: idleLimitMs }),
        freshAgent: undefined,
        isOwned: true,
    };
    setConnectionLimits(minion, info);
    return minion;
}

/** Divides the connections that the minion allows between kept and new ones. */
function setConnectionLimits(minion: OwnedMinion, info: MinionInfo): void {
    const sharedLimit = Math.min(info.slots, info.connections);
    const freshLimit = info.connections - sharedLimit;
    minion.sharedAgent.maxSockets = sharedLimit;
    minion.sharedAgent.maxFreeSockets = sharedLimit;
    minion.freshAgent = freshLimit > sharedLimit
        ? new Agent({ keepAlive: false, maxSockets: freshLimit })
        : undefined;
}

/** Takes over what a minion announces about itself when it has changed. */
export function updateOwnedMinion(minion: OwnedMinion, info: MinionInfo): void {
    const known = minion.slots.getInfo();
    if (known.slots !== info.slots || known.connections !== info.connections) {
        setConnectionLimits(minion, info);
    }
    minion.slots.updateInfo(info);
}

/** Takes a slot of a minion; undefined when none is free. */
export function openSlot(minion: OwnedMinion, ref: AttemptRef, nowMs: number): HeldSlot | undefined {
    if (!minion.isOwned || !minion.slots.openAttempt(ref, nowMs)) {
        return undefined;
    }
    const leaseEndsAtMs = computeLeaseEndMs(nowMs, ref.runLeaseLeftMs, minion.times);
    return { minion, ref, state: "notSent", leaseEndsAtMs };
}

/** Marks an attempt as sent now; its run lease starts. */
export function recordSlotSent(slot: HeldSlot, nowMs: number): void {
    slot.state = "maybeRun";
    slot.leaseEndsAtMs = computeLeaseEndMs(nowMs, slot.ref.runLeaseLeftMs, slot.minion.times);
    slot.minion.slots.recordSent(slot.ref.attempt, slot.leaseEndsAtMs);
}

/** Stops the use of a minion; attempts in progress keep their connections until they end. */
export function stopOwnedMinion(minion: OwnedMinion): void {
    minion.isOwned = false;
    minion.sharedAgent.maxFreeSockets = 0;
    for (const socket of Object.values(minion.sharedAgent.freeSockets).flatMap(sockets => sockets ?? [])) {
        socket.destroy();
    }
}
