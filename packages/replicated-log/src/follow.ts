import { type PeerId, readMonotonicMs } from "@chestnutspool/types";
import { Deferred, Effect } from "effect";
import { crc32 } from "node:zlib";
import { commitUntil } from "./commit-entries.js";
import type { AppendRequest, LogReply, Snapshot, SnapshotRequest } from "./messages.js";
import { awaitHardState, listMembers, recordLeaderContact, type Replica, setFollower, stopReplica } from "./replica.js";

/** Follows the sender as leader of its term; false when this replica is in a higher term. */
function followSender(replica: Replica, from: PeerId, term: number, nowMs: number): boolean {
    if (term < replica.term) {
        return false;
    }
    if (term > replica.term || replica.role !== "follower" || replica.leader !== from) {
        setFollower(replica, term, from);
    }
    recordLeaderContact(replica, nowMs);
    return true;
}

/**
 * Compares the entry before the sent ones with the log. Undefined when they match; otherwise the index after which the
 * leader sends entries next.
 */
function findConflict(replica: Replica, request: AppendRequest): number | undefined {
    const { window } = replica;
    if (request.prevIndex > window.lastIndex()) {
        return window.lastIndex();
    }
    const term = window.findTerm(request.prevIndex);
    if (request.prevIndex <= replica.commitIndex || term === request.prevTerm) {
        return undefined;
    }
    // Skips all entries of the conflicting term, so that finding the common prefix takes one request for each term.
    let index = request.prevIndex - 1;
    while (index > replica.commitIndex && window.findTerm(index) === term) {
        index -= 1;
    }
    return index;
}

/** Appends the new entries and removes the entries of this replica that conflict with them. */
function storeEntries(replica: Replica, request: AppendRequest): void {
    const { window, storage } = replica;
    const added = request.entries.filter(entry =>
        entry.index > window.baseIndex() && window.findTerm(entry.index) !== entry.term
    );
    const first = added[0];
    if (first === undefined) {
        return;
    }
    if (first.index <= replica.commitIndex) {
        throw new Error(`entry ${first.index} of the leader conflicts with a committed entry`);
    }
    if (first.index <= window.lastIndex()) {
        window.dropAfter(first.index - 1);
        storage.dropAfter(first.index - 1);
    }
    added.forEach(window.appendEntry);
    storage.appendEntries(added);
    setMemberLinks(replica);
}

/** Sets links to all members, because this replica may have to call any of them after an election. */
export function setMemberLinks(replica: Replica): void {
    for (const member of listMembers(replica)) {
        if (member.id !== replica.self) {
            replica.link.setPeer(member.id, member.address);
        }
    }
}

/** Waits until the log is synced up to an index, at most for a heartbeat interval, so that the leader keeps contact. */
const awaitSynced = Effect.fnUntraced(function*(replica: Replica, index: number) {
    const { storage, settings } = replica;
    if (storage.syncedIndex() >= index) {
        return;
    }
    const wait = Deferred.await(storage.findLastWrite());
    yield* Effect.timeoutOption(wait, settings.heartbeatMs);
});

/** Handles entries or a heartbeat of a leader. */
export const handleAppend = Effect.fnUntraced(function*(replica: Replica, from: PeerId, request: AppendRequest) {
    if (!followSender(replica, from, request.term, yield* readMonotonicMs)) {
        yield* awaitHardState(replica);
        return createAppendReply(replica.term, false, 0, 0);
    }
    const conflict = findConflict(replica, request);
    if (conflict !== undefined) {
        yield* awaitHardState(replica);
        return createAppendReply(replica.term, false, conflict, 0);
    }
    if (request.entries.length > 0 && !replica.storage.hasRoom()) {
        // The leader sends the entries again, at most once in a heartbeat interval.
        commitUntil(replica, Math.min(request.commitIndex, request.prevIndex));
        yield* awaitHardState(replica);
        yield* Effect.sleep(replica.settings.heartbeatMs);
        return createAppendReply(request.term, true, request.prevIndex, 0);
    }
    const verifiedIndex = request.prevIndex + request.entries.length;
    try {
        storeEntries(replica, request);
    }
    catch (cause) {
        const error = { kind: "internal" as const, detail: String(cause) };
        replica.logger.error("replica stopped", { detail: error.detail });
        stopReplica(replica, error);
        return yield* Effect.fail(error);
    }
    commitUntil(replica, Math.min(request.commitIndex, verifiedIndex));
    yield* awaitHardState(replica);
    yield* awaitSynced(replica, verifiedIndex);
    if (replica.term !== request.term) {
        // A later leader may have replaced the entries meanwhile.
        yield* awaitHardState(replica);
        return createAppendReply(replica.term, false, 0, 0);
    }
    return createAppendReply(request.term, true, verifiedIndex, Math.min(verifiedIndex, replica.storage.syncedIndex()));
});

function createAppendReply(term: number, accepted: boolean, verifiedIndex: number, syncedIndex: number): LogReply {
    return { kind: "append", term, accepted, verifiedIndex, syncedIndex };
}

/**
 * Adds a chunk. Returns the whole snapshot after its last chunk; undefined before that, when the chunk does not follow
 * the received ones, and when the whole does not match its CRC-32.
 */
function collectChunk(replica: Replica, request: SnapshotRequest): Snapshot | undefined {
    const { term, lastIndex, lastTerm, members, offset, chunk } = request;
    if (offset === 0) {
        replica.incoming = { term, index: lastIndex, chunks: [], receivedBytes: 0 };
    }
    const { incoming } = replica;
    if (incoming?.term !== term || incoming.index !== lastIndex || incoming.receivedBytes !== offset) {
        return undefined;
    }
    incoming.chunks.push(chunk);
    incoming.receivedBytes += chunk.length;
    if (incoming.receivedBytes < request.totalBytes) {
        return undefined;
    }
    const data = Buffer.concat(incoming.chunks);
    replica.incoming = undefined;
    return crc32(data) === request.checksum ? { index: lastIndex, term: lastTerm, members, data } : undefined;
}

/**
 * Replaces state and log with a snapshot and waits until it is synced. When the log contains the last entry of the
 * snapshot, the entries are committed up to it instead and the log stays.
 */
const installSnapshot = Effect.fnUntraced(function*(replica: Replica, snapshot: Snapshot) {
    const { window, storage, machine } = replica;
    if (window.findTerm(snapshot.index) === snapshot.term) {
        commitUntil(replica, snapshot.index);
        yield* Deferred.await(storage.findLastWrite());
        return;
    }
    machine.restoreSnapshot(snapshot.data);
    window.setBase(snapshot.index, snapshot.term);
    window.setMembers(snapshot.index, snapshot.members);
    replica.snapshot = snapshot;
    replica.appliedBytes = 0;
    replica.commitIndex = snapshot.index;
    replica.appliedIndex = snapshot.index;
    setMemberLinks(replica);
    replica.logger.info("snapshot installed", { index: snapshot.index, bytes: snapshot.data.length });
    yield* Deferred.await(storage.saveSnapshot(snapshot, true));
});

/** Handles a chunk of a snapshot. */
export const handleSnapshot = Effect.fnUntraced(function*(replica: Replica, from: PeerId, request: SnapshotRequest) {
    if (!followSender(replica, from, request.term, yield* readMonotonicMs)) {
        yield* awaitHardState(replica);
        return { kind: "snapshot", term: replica.term, receivedBytes: 0, installed: false } satisfies LogReply;
    }
    let installed = request.lastIndex <= replica.commitIndex;
    if (installed) {
        // The leader counts the entries as synced after this reply.
        yield* Deferred.await(replica.storage.findLastWrite());
    }
    const snapshot = installed || !replica.storage.hasRoom() ? undefined : collectChunk(replica, request);
    const receivedBytes = snapshot?.data.length ?? replica.incoming?.receivedBytes ?? 0;
    if (snapshot !== undefined) {
        yield* installSnapshot(replica, snapshot);
        installed = true;
    }
    yield* awaitHardState(replica);
    return { kind: "snapshot", term: request.term, receivedBytes, installed } satisfies LogReply;
});
