import type { ErrorData } from "@chestnutspool/types";
import { Deferred, Effect } from "effect";
import { estimateEntryBytes } from "./log-window.js";
import { decodeValue } from "./record.js";
import { countMajority, isVoter, listVoters, type Replica, setFollower, stopReplica } from "./replica.js";

/**
 * Size of the applied entries from which on a snapshot is taken, and of those that stay in memory after it, in bytes. An entry may have
 * megabytes, so that a number of entries does not limit the memory, the disk and the time of a start.
 */
const snapshotEveryBytes = 8 * 1024 * 1024;

/** Completes the reads whose round a majority has answered, once an entry of the own term is committed. */
export function completeReads(replica: Replica): void {
    if (
        replica.reads.length === 0 || replica.role !== "leader" || replica.commitIndex < replica.termStartIndex
    ) {
        return;
    }
    const rounds = listVoters(replica)
        .map(voter => voter.id === replica.self ? replica.round : replica.peers.get(voter.id)?.ackedRound ?? -1)
        .sort((left, right) => right - left);
    const confirmed = rounds[countMajority(replica) - 1] ?? -1;
    const done = replica.reads.filter(read => read.round <= confirmed);
    replica.reads = replica.reads.filter(read => read.round > confirmed);
    for (const read of done) {
        Deferred.doneUnsafe(read.done, Effect.void);
    }
}

function applyNext(replica: Replica): void {
    const index = replica.appliedIndex + 1;
    const entry = replica.window.findEntry(index);
    if (entry === undefined) {
        throw new Error(`committed entry ${index} is not in the log`);
    }
    const result = entry.kind === "command" ? replica.machine.applyCommand(index, decodeValue(entry.data)) : undefined;
    replica.appliedIndex = index;
    replica.appliedBytes += estimateEntryBytes(entry);
    const proposal = replica.proposals.get(index);
    if (proposal !== undefined) {
        replica.proposals.delete(index);
        const unknown: ErrorData = { kind: "outcomeUnknown", subject: "the proposed command" };
        Deferred.doneUnsafe(
            proposal.done,
            proposal.term === entry.term ? Effect.succeed(result) : Effect.fail(unknown),
        );
    }
}

/**
 * Whether enough entries, by number or size, were applied since the last snapshot. A snapshot that is larger than that is taken after as
 * many bytes as it has, so that snapshots are at most half of what is written.
 */
function isSnapshotDue({ appliedBytes, appliedIndex, settings, snapshot }: Replica): boolean {
    return appliedIndex - (snapshot?.index ?? 0) >= settings.snapshotEveryEntries
        || appliedBytes >= Math.max(snapshotEveryBytes, snapshot?.data.length ?? 0);
}

/** Takes a snapshot when it is due, and removes older entries from the window. */
function takeSnapshotIfDue(replica: Replica): void {
    const { appliedIndex, window, settings } = replica;
    if (!isSnapshotDue(replica)) {
        return;
    }
    const term = window.findTerm(appliedIndex) ?? 0;
    const members = window.findMembers(appliedIndex) ?? [];
    replica.snapshot = { index: appliedIndex, term, members, data: replica.machine.takeSnapshot() };
    replica.appliedBytes = 0;
    replica.storage.saveSnapshot(replica.snapshot, false);
    // The last entries stay in memory, so that a follower that is slightly behind needs no snapshot.
    window.forgetUntil(window.findStartWithin(appliedIndex, settings.snapshotEveryEntries, snapshotEveryBytes));
}

/**
 * Commits and applies the entries up to an index. A state machine that throws stops the replica. A leader steps down
 * when a member list without its vote is committed.
 */
export function commitUntil(replica: Replica, index: number): void {
    if (replica.role === "stopped" || index <= replica.commitIndex) {
        return;
    }
    replica.commitIndex = index;
    try {
        while (replica.appliedIndex < replica.commitIndex) {
            applyNext(replica);
        }
        takeSnapshotIfDue(replica);
    }
    catch (cause) {
        const detail = `state machine failed after entry ${replica.appliedIndex}: ${String(cause)}`;
        replica.logger.error("replica stopped", { detail });
        stopReplica(replica, { kind: "internal", detail });
        return;
    }
    if (replica.role === "leader" && !isVoter(replica) && replica.window.membersIndex() <= replica.commitIndex) {
        setFollower(replica, replica.term, undefined);
    }
    completeReads(replica);
}
