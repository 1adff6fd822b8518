import { computeShareOfId, type PeerId } from "@chestnutspool/types";

/**
 * Time without any answer, or without a known leader, after which submissions are no longer held, in milliseconds. An
 * election takes about one second, and the search for its winner is repeated every 400 ms.
 */
const silenceLimitMs = 1_500;
/** Limit of the requests that one process holds at once; heartbeats of the largest fleet for one second fit in. */
const heldLimit = 1_000;
/** Shortest time after which a refused caller may come back, in milliseconds. */
const shortestRetryMs = 500;
/** Time over which refused callers are spread when they come back, in milliseconds. */
const retrySpreadMs = 1_500;

/** What a process knows about the answers of the leader. Times are monotonic, in milliseconds. */
export interface LeaderContact {
    leader: PeerId | undefined;
    /** Since when no leader has been known; undefined while one is known. */
    leaderlessSinceMs: number | undefined;
    /** Start of the oldest call since the last answer; undefined when every call has been answered. */
    unansweredSinceMs: number | undefined;
    pendingCalls: number;
    lastCallEndedMs: number;
    /** Whether a submission is held in order to find out whether the leader answers again. */
    isProbing: boolean;
}

/** Why a request is refused without a call to the leader. */
export type HoldRefusal = "noLeader" | "leaderSilent" | "tooManyHeld";

/** Whether a request is held until the leader answers it. */
export type HoldDecision =
    | { readonly kind: "hold"; readonly isProbe: boolean; }
    | { readonly kind: "refuse"; readonly refusal: HoldRefusal; readonly silentMs: number; };

/** Creates the record of a process that has not looked for a leader yet. */
export function createLeaderContact(): LeaderContact {
    return {
        leader: undefined,
        leaderlessSinceMs: undefined,
        unansweredSinceMs: undefined,
        pendingCalls: 0,
        lastCallEndedMs: 0,
        isProbing: false,
    };
}

/** Records which leader is known; another leader than before starts without unanswered calls. */
export function recordLeader(contact: LeaderContact, leader: PeerId | undefined, nowMs: number): void {
    contact.leaderlessSinceMs = leader === undefined ? contact.leaderlessSinceMs ?? nowMs : undefined;
    if (leader !== undefined && leader !== contact.leader) {
        contact.leader = leader;
        contact.unansweredSinceMs = undefined;
        contact.pendingCalls = 0;
    }
}

/** Whether the last unanswered call is too long ago to tell anything about the leader. */
function isOutdated(contact: LeaderContact, nowMs: number): boolean {
    return contact.pendingCalls === 0 && nowMs - contact.lastCallEndedMs > silenceLimitMs;
}

/** Records that a call to a leader starts. */
export function recordCall(contact: LeaderContact, leader: PeerId, nowMs: number): void {
    recordLeader(contact, leader, nowMs);
    if (contact.unansweredSinceMs === undefined || isOutdated(contact, nowMs)) {
        contact.unansweredSinceMs = nowMs;
    }
    contact.pendingCalls += 1;
}

/** Records that a call to a leader has ended, with any answer or without one. */
export function recordCallEnd(contact: LeaderContact, leader: PeerId, isAnswered: boolean, nowMs: number): void {
    if (contact.leader !== leader) {
        return;
    }
    contact.pendingCalls = Math.max(0, contact.pendingCalls - 1);
    contact.lastCallEndedMs = nowMs;
    if (isAnswered) {
        // Calls that still wait count from now on, because the leader has just shown that it answers.
        contact.unansweredSinceMs = contact.pendingCalls > 0 ? nowMs : undefined;
    }
}

/** Computes for how long the leader has answered nothing although it was called, in milliseconds. */
export function computeSilenceMs(contact: LeaderContact, nowMs: number): number {
    return contact.unansweredSinceMs === undefined || isOutdated(contact, nowMs)
        ? 0
        : nowMs - contact.unansweredSinceMs;
}

/**
 * Decides whether a request is held. A submission is refused while the leader is silent or has been unknown for longer
 * than an election takes, except for one that probes whether service is back. Other requests are only bounded in number.
 */
export function decideHold(
    contact: LeaderContact,
    isSubmission: boolean,
    heldRequests: number,
    nowMs: number,
): HoldDecision {
    const silentMs = computeSilenceMs(contact, nowMs);
    if (heldRequests >= heldLimit) {
        return { kind: "refuse", refusal: "tooManyHeld", silentMs };
    }
    if (!isSubmission) {
        return { kind: "hold", isProbe: false };
    }
    const { leaderlessSinceMs } = contact;
    if (leaderlessSinceMs !== undefined && nowMs - leaderlessSinceMs > silenceLimitMs) {
        return { kind: "refuse", refusal: "noLeader", silentMs: nowMs - leaderlessSinceMs };
    }
    if (silentMs <= silenceLimitMs) {
        return { kind: "hold", isProbe: false };
    }
    return contact.isProbing
        ? { kind: "refuse", refusal: "leaderSilent", silentMs }
        : { kind: "hold", isProbe: true };
}

/** Computes after how long a caller without a leader should come back, in milliseconds, spread by its request's id. */
export function computeRetryMs(id: string): number {
    return Math.round(shortestRetryMs + retrySpreadMs * computeShareOfId(id));
}
