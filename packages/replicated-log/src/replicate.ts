import { type ErrorData, type PeerId, readMonotonicMs } from "@chestnutspool/types";
import { Effect, Exit, FiberMap, Queue } from "effect";
import { crc32 } from "node:zlib";
import { commitUntil, completeReads } from "./commit-entries.js";
import { type AppendRequest, type LogEntry, logProtocolVersion, type LogReply, type LogRequest } from "./messages.js";
import {
    awaitWake,
    canReplicate,
    checkLeadership,
    countMajority,
    listMembers,
    listVoters,
    notifyStatusListeners,
    type PeerProgress,
    type Replica,
    runSupervised,
    setFollower,
    wakePeerLoops,
} from "./replica.js";
import type { SyncCompletion } from "./storage.js";

/** Largest number of entries in one message. */
const batchMaxEntries = 1_000;
/** Largest size of the entries in one message, in bytes; a single larger entry is sent alone. */
const batchMaxBytes = 1024 * 1024;
/**
 * Shortest time between two requests with entries to one peer, in milliseconds, unless a whole batch waits. Each request
 * costs the leader more than its entries, and at 1,000 commands a second to 8 peers requests took most of its processor.
 */
const accumulationMs = 10;
/** Size of a snapshot chunk in bytes: far below the frame limit of the link, so that a chunk blocks it only briefly. */
export const snapshotChunkBytes = 256 * 1024;

function createProgress(replica: Replica, id: PeerId, nowMs: number): Effect.Effect<PeerProgress> {
    return Effect.map(Queue.sliding<void>(1), wake => ({
        id,
        nextIndex: replica.window.lastIndex() + 1,
        matchIndex: 0,
        contactMs: nowMs,
        entriesSentMs: Number.NEGATIVE_INFINITY,
        ackedRound: -1,
        refusedIdentity: undefined,
        wake,
    }));
}

/** Appends an entry of the leader to memory and requests its write. */
export function appendLeaderEntry(replica: Replica, entry: LogEntry): SyncCompletion {
    replica.window.appendEntry(entry);
    const synced = replica.storage.appendEntries([entry]);
    wakePeerLoops(replica);
    return synced;
}

/** Commits the entries that a majority of the voters has synced, if the last of them is of the current term. */
export function commitSynced(replica: Replica): void {
    if (replica.role !== "leader") {
        return;
    }
    const syncedIndexes = listVoters(replica)
        .map(voter =>
            voter.id === replica.self ? replica.storage.syncedIndex() : replica.peers.get(voter.id)?.matchIndex ?? 0
        )
        .sort((left, right) => right - left);
    const index = syncedIndexes[countMajority(replica) - 1] ?? 0;
    if (index > replica.commitIndex && replica.window.findTerm(index) === replica.term) {
        commitUntil(replica, index);
    }
}

/** Makes the elected replica the leader: it appends an entry of its term and starts the replication loops. */
export const startLeading = Effect.fnUntraced(function*(replica: Replica, nowMs: number) {
    const { term } = replica;
    const peers: PeerProgress[] = [];
    for (const { id } of listMembers(replica).filter(member => member.id !== replica.self)) {
        peers.push(yield* createProgress(replica, id, nowMs));
    }
    if (replica.role !== "candidate" || replica.term !== term) {
        return;
    }
    replica.role = "leader";
    replica.leader = replica.self;
    replica.transferring = false;
    replica.changingMember = undefined;
    replica.incoming = undefined;
    replica.peers.clear();
    peers.forEach(progress => replica.peers.set(progress.id, progress));
    replica.termStartIndex = replica.window.lastIndex() + 1;
    appendLeaderEntry(replica, { kind: "noop", index: replica.termStartIndex, term: replica.term });
    notifyStatusListeners(replica);
    yield* FiberMap.clear(replica.peerLoops);
    for (const progress of replica.peers.values()) {
        yield* FiberMap.run(
            replica.peerLoops,
            progress.id,
            runSupervised(replica, replicateTo(replica, progress, replica.term)),
        );
    }
});

/** Starts and stops replication loops after a change of the member list. */
export const updatePeerLoops = Effect.fnUntraced(function*(replica: Replica, nowMs: number) {
    const members = listMembers(replica).filter(member => member.id !== replica.self);
    for (const id of [...replica.peers.keys()]) {
        if (!members.some(member => member.id === id)) {
            replica.peers.delete(id);
            yield* FiberMap.remove(replica.peerLoops, id);
        }
    }
    for (const { id } of members) {
        if (!replica.peers.has(id)) {
            const progress = yield* createProgress(replica, id, nowMs);
            replica.peers.set(id, progress);
            yield* FiberMap.run(
                replica.peerLoops,
                id,
                runSupervised(replica, replicateTo(replica, progress, replica.term)),
            );
        }
    }
});

function findIdentity(replica: Replica, id: PeerId): string {
    return listMembers(replica).find(member => member.id === id)?.replicaIdentity ?? "";
}

function createAppendRequest(replica: Replica, peer: PeerProgress, prevTerm: number): AppendRequest {
    return {
        kind: "append",
        version: logProtocolVersion,
        term: replica.term,
        toIdentity: findIdentity(replica, peer.id),
        fromIdentity: replica.identity,
        prevIndex: peer.nextIndex - 1,
        prevTerm,
        entries: replica.window.listEntries(peer.nextIndex, batchMaxEntries, batchMaxBytes),
        commitIndex: replica.commitIndex,
    };
}

/** Whether the replica leads the term, with or without contact to a majority. */
function isLeaderOf(replica: Replica, term: number): boolean {
    return replica.role === "leader" && replica.term === term;
}

/**
 * Records contact with a peer that answered a request of this term. It counts from the sending time, however late the reply
 * is read: the peer got the request after that and supports no other candidate for an election timeout from then on.
 */
function recordContact(replica: Replica, peer: PeerProgress, sentMs: number, round: number): void {
    peer.contactMs = Math.max(peer.contactMs, sentMs);
    peer.ackedRound = Math.max(peer.ackedRound, round);
}

type PeerReply = Extract<LogReply, { readonly kind: "append" | "snapshot"; }>;

/** Returns the reply if it shows that the peer follows this leader; a higher term ends the leadership. */
function acceptReply(replica: Replica, peer: PeerProgress, term: number, reply: LogReply): PeerReply | undefined {
    if (!isLeaderOf(replica, term)) {
        return undefined;
    }
    if (reply.kind === "refused") {
        replica.logger.warn(
            "replica refused the leader; admit it with a member change if its data folder was replaced",
            {
                replica: peer.id,
                reason: reply.reason,
                identity: reply.identity,
            },
        );
        return undefined;
    }
    if (reply.kind !== "append" && reply.kind !== "snapshot") {
        return undefined;
    }
    if (reply.term > replica.term) {
        setFollower(replica, reply.term, undefined);
        return undefined;
    }
    return reply;
}

/** Calls the peer; undefined when there was no usable reply or this replica no longer leads the term. */
const callInTerm = Effect.fnUntraced(
    function*(replica: Replica, peer: PeerProgress, term: number, request: LogRequest) {
        const sentMs = yield* readMonotonicMs;
        const { round } = replica;
        const limitMs = replica.settings.electionTimeoutMinMs / 2;
        const call = replica.channel.callPeer(peer.id, request, limitMs, late => {
            if (acceptReply(replica, peer, term, late) !== undefined) {
                recordContact(replica, peer, sentMs, round);
            }
        });
        const exit = yield* Effect.exit(call);
        if (Exit.isFailure(exit)) {
            return undefined;
        }
        const reply = acceptReply(replica, peer, term, exit.value);
        if (reply === undefined) {
            return undefined;
        }
        recordContact(replica, peer, sentMs, round);
        if (!canReplicate(replica, yield* readMonotonicMs)) {
            return undefined;
        }
        completeReads(replica);
        return reply;
    },
);

function recordAppendReply(replica: Replica, peer: PeerProgress, reply: Extract<LogReply, { kind: "append"; }>): void {
    if (!reply.accepted) {
        peer.nextIndex = Math.max(1, Math.min(peer.nextIndex - 1, reply.verifiedIndex + 1));
        return;
    }
    peer.nextIndex = Math.max(peer.matchIndex, reply.verifiedIndex) + 1;
    if (reply.syncedIndex > peer.matchIndex) {
        peer.matchIndex = reply.syncedIndex;
        // Entries up to the commit index are committed whatever further members have synced.
        if (peer.matchIndex > replica.commitIndex) {
            commitSynced(replica);
        }
    }
}

/** Sends the snapshot in chunks; false when the peer did not install it. */
const sendSnapshot = Effect.fnUntraced(function*(replica: Replica, peer: PeerProgress, term: number) {
    const { snapshot } = replica;
    if (snapshot === undefined) {
        return false;
    }
    const checksum = crc32(snapshot.data);
    let offset = 0;
    do {
        const chunk = snapshot.data.subarray(offset, offset + snapshotChunkBytes);
        const reply = yield* callInTerm(replica, peer, term, {
            kind: "snapshot",
            version: logProtocolVersion,
            term,
            toIdentity: findIdentity(replica, peer.id),
            fromIdentity: replica.identity,
            lastIndex: snapshot.index,
            lastTerm: snapshot.term,
            members: snapshot.members,
            offset,
            totalBytes: snapshot.data.length,
            checksum,
            chunk,
        });
        if (reply?.kind !== "snapshot" || !reply.installed && reply.receivedBytes !== offset + chunk.length) {
            return false;
        }
        if (reply.installed) {
            break;
        }
        offset += chunk.length;
    }
    while (offset < snapshot.data.length);
    replica.logger.info("snapshot sent", { replica: peer.id, index: snapshot.index, bytes: snapshot.data.length });
    peer.nextIndex = snapshot.index + 1;
    peer.matchIndex = Math.max(peer.matchIndex, snapshot.index);
    return true;
});

/**
 * Sends the next entries, or the snapshot when they are no longer in the window. False when the peer gave no usable reply
 * or did not install the snapshot.
 */
const sendNext = Effect.fnUntraced(function*(replica: Replica, peer: PeerProgress, term: number) {
    const prevTerm = replica.window.findTerm(peer.nextIndex - 1);
    if (prevTerm === undefined) {
        return yield* sendSnapshot(replica, peer, term);
    }
    const request = createAppendRequest(replica, peer, prevTerm);
    if (request.entries.length > 0) {
        peer.entriesSentMs = yield* readMonotonicMs;
    }
    const reply = yield* callInTerm(replica, peer, term, request);
    if (reply?.kind !== "append") {
        return false;
    }
    recordAppendReply(replica, peer, reply);
    return true;
});

/** How long the next request to a peer waits for further entries, in milliseconds; 0 when the last entries are long sent. */
function computeAccumulationMs(replica: Replica, peer: PeerProgress, nowMs: number): number {
    const waiting = replica.window.lastIndex() - peer.nextIndex + 1;
    return waiting >= batchMaxEntries ? 0 : Math.max(0, peer.entriesSentMs + accumulationMs - nowMs);
}

/**
 * Replicates to one peer while this replica leads the term: one request at a time, with the entries that were appended
 * since the last one.
 */
const replicateTo = Effect.fnUntraced(function*(replica: Replica, peer: PeerProgress, term: number) {
    const { heartbeatMs } = replica.settings;
    while (isLeaderOf(replica, term)) {
        if (!canReplicate(replica, yield* readMonotonicMs)) {
            yield* awaitWake(peer.wake, heartbeatMs);
            continue;
        }
        const { round } = replica;
        if (!(yield* sendNext(replica, peer, term))) {
            yield* Effect.sleep(heartbeatMs);
            continue;
        }
        const lastIndex = replica.window.lastIndex();
        if (peer.matchIndex >= lastIndex && round === replica.round) {
            // Contact is dated by the sending time, so that an answer that was read late must be followed by a request soon.
            const sinceContactMs = (yield* readMonotonicMs) - peer.contactMs;
            yield* awaitWake(peer.wake, Math.max(0, heartbeatMs - sinceContactMs));
        }
        const waitMs = computeAccumulationMs(replica, peer, yield* readMonotonicMs);
        if (waitMs > 0) {
            yield* Effect.sleep(waitMs);
        }
    }
});

/** Finds the error for a call that needs the leader; undefined when this replica leads and has contact with a majority. */
export function findLeaderError(replica: Replica, nowMs: number): ErrorData | undefined {
    if (replica.stopError !== undefined) {
        return replica.stopError;
    }
    return checkLeadership(replica, nowMs) ? undefined : { kind: "notLeader", leader: replica.leader };
}
