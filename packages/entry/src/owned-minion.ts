import {
    computeLeaseEndMs,
    createMinionSlots,
    type InitialOwnership,
    type MinionSlots,
    type SlotTimes,
} from "@chestnutspool/route-requests";
import type { AttemptRef, AttemptState, MinionInfo } from "@chestnutspool/types";
import { Agent } from "node:http";

/** A minion that this host owns, or owned when attempts that are still in progress began. */
export interface OwnedMinion {
    readonly slots: MinionSlots;
    readonly times: SlotTimes;
    /** Agent with persistent connections; at most one for each slot. */
    readonly sharedAgent: Agent;
    /**
     * Agent with a new connection for each attempt that must not be repeated: the minion can close a persistent
     * connection just when it is reused, and the outcome of the attempt would then be unknown. Undefined when the
     * minion allows too few connections for both agents.
     */
    freshAgent: Agent | undefined;
    /** False once the minion is releasing or owned by another host. */
    isOwned: boolean;
}

/** An attempt that holds a slot, and its state. */
export interface HeldSlot {
    readonly minion: OwnedMinion;
    readonly ref: AttemptRef;
    /** Updated by the dispatch; read when the slot is released. */
    state: AttemptState;
    /** Monotonic time in milliseconds by which the run lease has expired; updated when the attempt is sent. */
    leaseEndsAtMs: number;
}

/**
 * Idle time after which a persistent connection is closed, in milliseconds. It is far below the usual limits of HTTP
 * servers (5 s and more), because a request on a connection that the minion closes at the same moment has an unknown
 * outcome. With only the limit of the minion, this happened to 1 of 36,000 requests in runs without faults.
 */
const idleLimitMs = 1_000;

/** Creates the slot accounting and the connection agents of a minion. */
export function createOwnedMinion(
    info: MinionInfo,
    epoch: number,
    start: InitialOwnership,
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

/** Divides the connections that the minion allows between persistent and new ones. */
function setConnectionLimits(minion: OwnedMinion, info: MinionInfo): void {
    const sharedLimit = Math.min(info.slots, info.connections);
    const freshLimit = info.connections - sharedLimit;
    minion.sharedAgent.maxSockets = sharedLimit;
    minion.sharedAgent.maxFreeSockets = sharedLimit;
    minion.freshAgent = freshLimit > sharedLimit
        ? new Agent({ keepAlive: false, maxSockets: freshLimit })
        : undefined;
}

/** Applies the announced properties of a minion. */
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

/** Stops new work on a minion and closes its idle connections; attempts in progress keep theirs until they end. */
export function stopOwnedMinion(minion: OwnedMinion): void {
    minion.isOwned = false;
    minion.sharedAgent.maxFreeSockets = 0;
    for (const socket of Object.values(minion.sharedAgent.freeSockets).flatMap(sockets => sockets ?? [])) {
        socket.destroy();
    }
}
