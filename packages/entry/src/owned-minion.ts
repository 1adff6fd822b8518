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
    /** Connections for attempts that may be repeated; idle ones are used again. */
    readonly sharedAgent: Agent;
    /** One new connection for each attempt, so that a failure to connect is a proof that nothing was sent. */
    readonly freshAgent: Agent;
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

/** Creates the accounting and the connections of a minion. */
export function createOwnedMinion(
    info: MinionInfo,
    epoch: number,
    start: OwnershipStart,
    times: SlotTimes,
    nowMs: number,
    onEnd: (attempt: string) => void,
): OwnedMinion {
    return {
        slots: createMinionSlots(info, epoch, start, times, nowMs, onEnd),
        times,
        sharedAgent: new Agent({ keepAlive: true, maxSockets: info.connections, maxFreeSockets: info.slots }),
        freshAgent: new Agent({ keepAlive: false, maxSockets: info.connections }),
        isOwned: true,
    };
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

/** Closes idle connections until open ones and attempts in progress together keep to the minion's limit. */
export function closeIdleConnections(minion: OwnedMinion, limit: number): void {
    const idle = Object.values(minion.sharedAgent.freeSockets).flatMap(sockets => sockets ?? []);
    for (const socket of idle.slice(Math.max(0, limit))) {
        socket.destroy();
    }
}

/** Stops the use of a minion; attempts in progress keep their connections until they end. */
export function stopOwnedMinion(minion: OwnedMinion): void {
    minion.isOwned = false;
    minion.sharedAgent.maxFreeSockets = 0;
    closeIdleConnections(minion, 0);
}
