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
import { type ControlContext, proposeAll, type ProposedCommand } from "./context.js";
import { getLeaderMemory, type LeaderMemory, type SessionMemory } from "./leader-memory.js";
import { createOwnershipMap } from "./ownership-map.js";

/** Time that the push of a revision may take before a renewal also carries it. */
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

/** The commands that bring the state in line with what an entry host reports. */
function listCommands(state: ClusterState, request: RenewSession): ProposedCommand[] {
    const { session } = request;
    const known = state.entries.get(session.entry);
    const opening: ProposedCommand[] = isSameSession(known, session)
        ? []
        : [{ kind: "openSession", session }, { kind: "rebalanceOwnership" }];
    const moves = request.released.filter(item => isReleased(state, session, item)).map(item => ({
        kind: "moveOwnership" as const,
        item: item.item,
        from: session.entry,
        epoch: item.epoch,
        attempts: item.attempts,
    }));
    return [...opening, ...moves];
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

/** Whether a reply has to carry the configuration, because the push of a later revision has not arrived in time. */
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
 * Renews or opens the session of an entry host. The leader confirms that it leads after the call arrived, so that a later
 * leader, which waits one session time from the begin of its own term, cannot expire the session too early.
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
    const results = yield* proposeAll(context, listCommands(state, request));
    if (results[0]?.kind === "refused" && !isSameSession(state.entries.get(session.entry), session)) {
        return yield* Effect.fail(results[0].error);
    }
    const nowMs = yield* readMonotonicMs;
    // The expiry may have been proposed while the commands above were on their way. There is no yield between this check
    // and the record of the renewal.
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
