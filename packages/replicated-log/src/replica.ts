import type { Logger } from "@chestnutspool/logger";
import type {
    Channel,
    ControlPeer,
    ErrorData,
    LogMember,
    LogSection,
    PeerId,
    PeerLink,
    ReplicaRole,
    ReplicaStatus,
    StateMachine,
} from "@chestnutspool/types";
import { Cause, Deferred, Effect, type FiberMap, Queue } from "effect";
import type { LogWindow } from "./log-window.js";
import type { LogReply, LogRequest, Snapshot } from "./messages.js";
import type { LogStorage, SyncCompletion } from "./storage.js";

/** Replication progress of another member, kept by the leader. */
export interface PeerProgress {
    readonly id: PeerId;
    /** Index of the next entry to send. */
    nextIndex: number;
    /** Index up to which the member has synced the leader's log. */
    matchIndex: number;
    /** When the last request that was answered in this term had been sent, in monotonic milliseconds. */
    contactMs: number;
    /** When the last request with entries was sent, in monotonic milliseconds. */
    entriesSentMs: number;
    /** Last round of `Replica.round` for which the member answered a request. */
    ackedRound: number;
    /** Identity under which the member last refused a request. No code sets it, so each refusal is logged. */
    refusedIdentity: string | undefined;
    /** Wakes the replication loop. */
    readonly wake: Queue.Queue<void>;
}

/** A caller that waits for its command. */
export interface Proposal {
    readonly term: number;
    readonly done: Deferred.Deferred<unknown, ErrorData>;
}

/** A caller of `confirmRead` that waits until a majority has answered a round. */
export interface ReadWaiter {
    readonly round: number;
    readonly done: Deferred.Deferred<void, ErrorData>;
}

/** A snapshot that is being received. */
export interface IncomingSnapshot {
    readonly term: number;
    readonly index: number;
    readonly chunks: Uint8Array[];
    receivedBytes: number;
}

/** A transfer of leadership that the leader of a term requested. */
export interface TransferRequest {
    readonly term: number;
    /** Time from which on the election may not start any more, in monotonic milliseconds. */
    readonly endsAtMs: number;
}

/** State of one replica. A fiber makes related changes without a yield in between, so that no other fiber sees a part. */
export interface Replica {
    readonly self: PeerId;
    readonly identity: string;
    readonly initialMembers: readonly ControlPeer[];
    readonly settings: LogSection;
    readonly machine: StateMachine<unknown, unknown>;
    readonly link: PeerLink;
    readonly channel: Channel<LogRequest, LogReply>;
    readonly logger: Logger;
    readonly storage: LogStorage;
    readonly window: LogWindow;
    /** Draws a random integer from `min` to `max`, both included. */
    readonly drawInteger: (min: number, max: number) => number;
    readonly statusListeners: Set<(status: ReplicaStatus) => void>;
    readonly timerWake: Queue.Queue<void>;
    readonly peerLoops: FiberMap.FiberMap<PeerId>;
    term: number;
    votedFor: string | undefined;
    /** Completes when the current term and vote are synced. */
    hardStateSynced: SyncCompletion;
    role: "follower" | "candidate" | "leader" | "stopped";
    leader: PeerId | undefined;
    commitIndex: number;
    appliedIndex: number;
    snapshot: Snapshot | undefined;
    /** Size of the entries that were applied since the snapshot, in bytes. */
    appliedBytes: number;
    incoming: IncomingSnapshot | undefined;
    /** Time of the last contact with a valid leader, in monotonic milliseconds. */
    leaderContactMs: number;
    /** When this replica starts an election unless it has contact with a leader, in monotonic milliseconds. */
    electionDeadlineMs: number;
    /** Set when the leader asked this replica to start an election at once. */
    transferRequest: TransferRequest | undefined;
    /** Leader only: first index of its own term. */
    termStartIndex: number;
    /** Leader only: number of the last round of requests that confirms leadership for reads. */
    round: number;
    readonly peers: Map<PeerId, PeerProgress>;
    readonly proposals: Map<number, Proposal>;
    reads: ReadWaiter[];
    /** Leader only: leadership is being transferred, so proposed commands are refused. */
    transferring: boolean;
    /** Leader only: member whose change is in progress. */
    changingMember: PeerId | undefined;
    stopError: ErrorData | undefined;
    /** Role, term and leader of the last notification of the status listeners. */
    lastNotifiedStatus: string;
}

const noMembers: readonly LogMember[] = [];
/** Voters by member list; a list never changes, and each reply to the leader needs the voters several times. */
const votersByList = new WeakMap<readonly LogMember[], readonly LogMember[]>();

/** The member list in effect: the last one in the log, committed or not. */
export function listMembers(replica: Replica): readonly LogMember[] {
    return replica.window.findMembers(Number.POSITIVE_INFINITY) ?? noMembers;
}

/** Members with a vote; the same list until the member list changes. */
export function listVoters(replica: Replica): readonly LogMember[] {
    const members = listMembers(replica);
    const known = votersByList.get(members);
    if (known !== undefined) {
        return known;
    }
    const voters = members.filter(member => member.votes);
    votersByList.set(members, voters);
    return voters;
}

/** Whether this replica, under its current identity, has a vote. */
export function isVoter(replica: Replica): boolean {
    return listVoters(replica).some(member =>
        member.id === replica.self && member.replicaIdentity === replica.identity
    );
}

/** Number of votes or acknowledgements that make a majority. */
export function countMajority(replica: Replica): number {
    return Math.floor(listVoters(replica).length / 2) + 1;
}

function mapRole(replica: Replica): ReplicaRole {
    return replica.role === "follower" && !isVoter(replica) ? "learner" : replica.role;
}

/** The status of the replica. Without a member list it lists itself, so that operators can read its identity. */
export function readStatus(replica: Replica): ReplicaStatus {
    const { self, identity, window } = replica;
    const members = listMembers(replica);
    const own: LogMember = { id: self, address: replica.link.address, replicaIdentity: identity, votes: false };
    return {
        self,
        identity,
        role: mapRole(replica),
        term: replica.term,
        leader: replica.leader,
        lastIndex: window.lastIndex(),
        commitIndex: replica.commitIndex,
        appliedIndex: replica.appliedIndex,
        snapshotIndex: replica.snapshot?.index ?? 0,
        members: members.length > 0 ? members : [own],
    };
}

/** Notifies the status listeners when role, term or leader changed. */
export function notifyStatusListeners(replica: Replica): void {
    const status = readStatus(replica);
    const summary = `${status.role} ${status.term} ${status.leader ?? ""}`;
    if (summary === replica.lastNotifiedStatus) {
        return;
    }
    replica.lastNotifiedStatus = summary;
    replica.logger.info("replica status", { role: status.role, term: status.term, leader: status.leader });
    for (const listener of [...replica.statusListeners]) {
        try {
            listener(status);
        }
        catch (cause) {
            replica.logger.error("status listener failed", { detail: String(cause) });
        }
    }
}

function saveHardState(replica: Replica): void {
    const { self, identity, term, votedFor } = replica;
    replica.hardStateSynced = replica.storage.saveHardState({ self, identity, term, votedFor });
}

/** Waits until the current term and vote are synced; every reply that depends on them waits for it. */
export function awaitHardState(replica: Replica): Effect.Effect<void, ErrorData> {
    return Effect.suspend(() => Deferred.await(replica.hardStateSynced));
}

/** Sets the term and its vote, and requests their write. */
export function setVote(replica: Replica, term: number, votedFor: string): void {
    replica.term = term;
    replica.votedFor = votedFor;
    saveHardState(replica);
}

/** Fails all waiting proposals and reads. The proposed commands may still be committed by the next leader. */
function failWaiters(replica: Replica): void {
    const unknown: ErrorData = { kind: "outcomeUnknown", subject: "the proposed command" };
    for (const proposal of replica.proposals.values()) {
        Deferred.doneUnsafe(proposal.done, Effect.fail(unknown));
    }
    replica.proposals.clear();
    const refused = replica.stopError ?? { kind: "notLeader" as const, leader: replica.leader };
    for (const read of replica.reads) {
        Deferred.doneUnsafe(read.done, Effect.fail(refused));
    }
    replica.reads = [];
}

/** Makes the replica a follower, in the given term when it is higher than its own. */
export function setFollower(replica: Replica, term: number, leader: PeerId | undefined): void {
    if (replica.role === "stopped") {
        return;
    }
    if (term > replica.term) {
        replica.term = term;
        replica.votedFor = undefined;
        saveHardState(replica);
    }
    const wasLeader = replica.role === "leader";
    replica.role = "follower";
    replica.leader = leader;
    replica.transferring = false;
    if (wasLeader) {
        failWaiters(replica);
        wakePeerLoops(replica);
        Queue.offerUnsafe(replica.timerWake, undefined);
    }
    notifyStatusListeners(replica);
}

/** Stops the replica permanently. */
export function stopReplica(replica: Replica, error: ErrorData): void {
    if (replica.role === "stopped") {
        return;
    }
    replica.role = "stopped";
    replica.stopError = error;
    replica.leader = undefined;
    failWaiters(replica);
    wakePeerLoops(replica);
    notifyStatusListeners(replica);
}

/** Runs a fiber of the replica. An unexpected exception is logged and stops the replica, so that it is not overlooked. */
export function runSupervised(replica: Replica, fiber: Effect.Effect<unknown, ErrorData>): Effect.Effect<void> {
    return Effect.matchCause(fiber, {
        onSuccess: () => undefined,
        onFailure: cause => {
            if (Cause.hasDies(cause)) {
                const detail = Cause.pretty(cause);
                replica.logger.error("replica stopped", { detail });
                stopReplica(replica, { kind: "internal", detail });
            }
        },
    });
}

/** Wakes all replication loops. */
export function wakePeerLoops(replica: Replica): void {
    for (const peer of replica.peers.values()) {
        Queue.offerUnsafe(peer.wake, undefined);
    }
}

/** Waits for a wake-up, at most for the given time in milliseconds. */
export function awaitWake(wake: Queue.Dequeue<void>, limitMs: number): Effect.Effect<void> {
    return Effect.asVoid(Effect.timeoutOption(Queue.take(wake), limitMs));
}

/** Sets a random time, within limits, at which this replica starts an election unless it has contact with a leader. */
export function setElectionDeadline(replica: Replica, nowMs: number, minMs: number, maxMs: number): void {
    replica.electionDeadlineMs = nowMs + replica.drawInteger(minMs, maxMs);
}

/** Records contact with a valid leader and restarts the election timeout. */
export function recordLeaderContact(replica: Replica, nowMs: number): void {
    replica.leaderContactMs = nowMs;
    const { electionTimeoutMinMs, electionTimeoutMaxMs } = replica.settings;
    setElectionDeadline(replica, nowMs, electionTimeoutMinMs, electionTimeoutMaxMs);
}

/** Whether a majority answered requests that were sent within the shortest election timeout. */
export function hasQuorumContact(replica: Replica, nowMs: number): boolean {
    const limitMs = replica.settings.electionTimeoutMinMs;
    let reached = 0;
    for (const voter of listVoters(replica)) {
        const contactMs = replica.peers.get(voter.id)?.contactMs ?? Number.NEGATIVE_INFINITY;
        if (voter.id === replica.self || nowMs - contactMs <= limitMs) {
            reached += 1;
        }
    }
    return reached >= countMajority(replica);
}

/**
 * Whether this replica is still the leader. Steps down after the shortest election timeout without contact with a
 * majority. Time in which the process was suspended counts, because the clock is monotonic and the time of a contact is
 * the time when the request was sent.
 */
export function checkLeadership(replica: Replica, nowMs: number): boolean {
    if (replica.role !== "leader") {
        return false;
    }
    if (!hasQuorumContact(replica, nowMs)) {
        replica.logger.warn("no contact with a majority of the voters; stepping down", { term: replica.term });
        const { electionTimeoutMinMs, electionTimeoutMaxMs } = replica.settings;
        setElectionDeadline(replica, nowMs, electionTimeoutMinMs, electionTimeoutMaxMs);
        setFollower(replica, replica.term, undefined);
        return false;
    }
    return true;
}

/**
 * Whether this replica leads and has contact with a majority, for the fibers of the log. Without contact they do not act,
 * and the election timer ends the leadership once the answers that have arrived are read. Other callers use
 * `checkLeadership`, because they take a refusal as the end of the term.
 */
export function canReplicate(replica: Replica, nowMs: number): boolean {
    if (replica.role !== "leader") {
        return false;
    }
    if (!hasQuorumContact(replica, nowMs)) {
        Queue.offerUnsafe(replica.timerWake, undefined);
        return false;
    }
    return true;
}
