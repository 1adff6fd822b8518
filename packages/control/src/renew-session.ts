import {
    type ClusterState,
    type ControlReply,
    type ControlRequest,
    type EntrySessionRecord,
    type ErrorData,
    formatItemKey,
    readMonotonicMs,
    type ReleasedItem,
} from "@chestnutspool/types";
import { Effect } from "effect";
import { type ControlContext, proposeAll, type ProposedCommand } from "./control-context.js";
import { getLeaderMemory, type LeaderMemory, type SessionMemory } from "./leader-memory.js";
import { createOwnershipMap } from "./ownership-map.js";

/** Time allowed for the push of a configuration revision; after it the reply to a renewal carries the revision too. */
const pushLimitMs = 2_000;

type RenewSession = Extract<ControlRequest, { readonly kind: "renewSession"; }>;

function isSameSession(known: EntrySessionRecord | undefined, session: EntrySessionRecord): boolean {
    return known !== undefined && known.incarnation === session.incarnation
        && known.peerAddress === session.peerAddress && known.availabilityZone === session.availabilityZone
        && (known.draining || !session.draining);
}

function isReleased(state: ClusterState, session: EntrySessionRecord, released: ReleasedItem): boolean {
    const record = state.ownership.get(formatItemKey(released.item));
    return record?.phase === "releasing" && record.owner === session.entry && record.epoch === released.epoch;
}

/** The commands that open a new or changed session and move the items that the entry host released. */
function planRenewalCommands(state: ClusterState, request: RenewSession): ProposedCommand[] {
    const { session } = request;
    const known = state.entries.get(session.entry);
    const openCommands: ProposedCommand[] = isSameSession(known, session)
        ? []
        : [{ kind: "openSession", session }, { kind: "rebalanceOwnership" }];
    const moveCommands = request.released.filter(item => isReleased(state, session, item)).map(item => ({
        kind: "moveOwnership" as const,
        item: item.item,
        from: session.entry,
        epoch: item.epoch,
        attempts: item.attempts,
    }));
    return [...openCommands, ...moveCommands];
}

function recordRenewal(memory: LeaderMemory, request: RenewSession, nowMs: number): void {
    const { entry, incarnation } = request.session;
    const existing = memory.sessions.get(entry);
    const record: SessionMemory = existing?.incarnation === incarnation
        ? existing
        : { incarnation, renewedAtMs: nowMs, appliedRevision: 0, expiring: false };
    record.renewedAtMs = nowMs;
    record.appliedRevision = Math.max(record.appliedRevision, request.appliedRevision);
    memory.sessions.set(entry, record);
}

/**
 * Whether a reply has to carry the configuration: the host has applied none, the push of the next revision was not
 * applied in time, or this leader does not know when it first saw that revision.
 */
function isBehind(memory: LeaderMemory, state: ClusterState, appliedRevision: number, nowMs: number): boolean {
    const { revision } = state.configuration;
    if (appliedRevision >= revision) {
        return false;
    }
    const seenAtMs = memory.revisionSeenAtMs.get(appliedRevision + 1);
    return appliedRevision === 0 || seenAtMs === undefined || nowMs - seenAtMs >= pushLimitMs;
}

function isExpiring(memory: LeaderMemory, { entry, incarnation }: EntrySessionRecord): boolean {
    const known = memory.sessions.get(entry);
    return known?.expiring === true && known.incarnation === incarnation;
}

/**
 * Renews or opens the session of an entry host. Leadership is confirmed after the call arrived. A later leader waits for a
 * whole session TTL from the start of its own term, so it cannot expire the session too early.
 */
export const renewSession = Effect.fnUntraced(function*(context: ControlContext, request: RenewSession) {
    yield* getLeaderMemory(context);
    yield* context.log.confirmRead;
    const memory = yield* getLeaderMemory(context);
    const { state } = context.machine;
    const { session } = request;
    const expired: ErrorData = { kind: "sessionExpired", entry: session.entry };
    if (isExpiring(memory, session)) {
        return yield* Effect.fail(expired);
    }
    const results = yield* proposeAll(context, planRenewalCommands(state, request));
    if (results[0]?.kind === "refused" && !isSameSession(state.entries.get(session.entry), session)) {
        return yield* Effect.fail(results[0].error);
    }
    const nowMs = yield* readMonotonicMs;
    // The expiry may have been proposed while the commands above were being committed. There is no yield between this
    // check and the record of the renewal.
    if (isExpiring(memory, session) || state.entries.get(session.entry)?.incarnation !== session.incarnation) {
        return yield* Effect.fail(expired);
    }
    recordRenewal(memory, request, nowMs);
    const reply: ControlReply = {
        kind: "session",
        sessionTtlMs: context.settings.leases.sessionTtlMs,
        ownership: request.ownershipVersion === state.ownershipVersion ? undefined : createOwnershipMap(state),
        configuration: isBehind(memory, state, request.appliedRevision, nowMs) ? state.configuration : undefined,
    };
    return reply;
});
