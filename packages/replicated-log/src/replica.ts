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
import { decodeValue } from "./record.js";
import type { LogStorage, SyncCompletion } from "./storage.js";

/** What the leader knows of another member. */
export interface PeerProgress {
    readonly id: PeerId;
    nextIndex: number;
    /** Index up to which the member has synced the leader's log. */
    matchIndex: number;
    /** When the last request that was answered in this term had been sent, in monotonic milliseconds. */
    contactMs: number;
    /** Last confirmation round that an answered request carried. */
    ackedRound: number;
    /** Identity under which the member last refused; logged once. */
    refusedIdentity: string | undefined;
    /** Wakes the replication loop. */
    readonly wake: Queue.Queue<void>;
}

/** A caller that waits for its command. */
export interface Proposal {
    readonly term: number;
    readonly done: Deferred.Deferred<unknown, ErrorData>;
}

/** A caller that waits until leadership is confirmed by a round. */
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

/** State of one replica; all changes happen between two suspensions of a fiber, so each is seen whole. */
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
    /** Random number from `min` to `max`, both included. */
    readonly chooseNumber: (min: number, max: number) => number;
    readonly listeners: Set<(status: ReplicaStatus) => void>;
    readonly timerWake: Queue.Queue<void>;
    readonly peerLoops: FiberMap.FiberMap<PeerId>;
    term: number;
    votedFor: string | undefined;
    /** Completes when the present term and vote are synced. */
    hardStateSynced: SyncCompletion;
    role: "follower" | "candidate" | "leader" | "stopped";
    leader: PeerId | undefined;
    commitIndex: number;
    appliedIndex: number;
    snapshot: Snapshot | undefined;
    incoming: IncomingSnapshot | undefined;
    /** When a valid leader was last heard, in monotonic milliseconds. */
    heardLeaderMs: number;
    electionDeadlineMs: number;
    /** The leader asked this replica to start an election at once. */
    transferRequested: boolean;
    /** Leader only: first index of its own term. */
    termStartIndex: number;
    round: number;
    readonly peers: Map<PeerId, PeerProgress>;
    readonly proposals: Map<number, Proposal>;
    reads: ReadWaiter[];
    /** Leader only: leadership is being transferred, so nothing is appended. */
    transferring: boolean;
    changingMember: PeerId | undefined;
    stopError: ErrorData | undefined;
    lastStatus: string;
}

/** The member list in effect: the last one in the log, committed or not. */
export function listMembers(replica: Replica): readonly LogMember[] {
    return replica.window.findMembers(Number.POSITIVE_INFINITY) ?? [];
}

/** Members with a vote. */
export function listVoters(replica: Replica): readonly LogMember[] {
    return listMembers(replica).filter(member => member.votes);
}

/** Whether this replica, under its present identity, has a vote. */
export function isVoter(replica: Replica): boolean {
    return listVoters(replica).some(member =>
        member.id === replica.self && member.replicaIdentity === replica.identity
    );
}

/** Votes or acknowledgements that are a majority. */
export function countMajority(replica: Replica): number {
    return Math.floor(listVoters(replica).length / 2) + 1;
}

function mapRole(replica: Replica): ReplicaRole {
    return replica.role === "follower" && !isVoter(replica) ? "learner" : replica.role;
}

/** What the replica knows of itself. Without a member list it lists itself, so that operators can read its identity. */
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

/** Tells the listeners when role, term or leader changed. */
export function announceStatus(replica: Replica): void {
    const status = readStatus(replica);
    const summary = `${status.role} ${status.term} ${status.leader ?? ""}`;
    if (summary === replica.lastStatus) {
        return;
    }
    replica.lastStatus = summary;
    replica.logger.info("replica status", { role: status.role, term: status.term, leader: status.leader });
    for (const listener of [...replica.listeners]) {
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

/** Waits until the present term and vote are synced; every reply that shows them waits for it. */
export function awaitHardState(replica: Replica): Effect.Effect<void, ErrorData> {
    return Effect.suspend(() => Deferred.await(replica.hardStateSynced));
}

/** Gives the vote of a term. */
export function setVote(replica: Replica, term: number, votedFor: string): void {
    replica.term = term;
    replica.votedFor = votedFor;
    saveHardState(replica);
}

/** Fails all callers that wait on leadership. Their commands may still be committed by the next leader. */
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

/** Makes the replica a follower, of a higher term when one was seen. */
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
    announceStatus(replica);
}

/** Stops the replica for good. */
export function stopReplica(replica: Replica, error: ErrorData): void {
    if (replica.role === "stopped") {
        return;
    }
    replica.role = "stopped";
    replica.stopError = error;
    replica.leader = undefined;
    failWaiters(replica);
    wakePeerLoops(replica);
    announceStatus(replica);
}

/** Runs a fiber of the replica; a fault of the program in it stops the replica instead of ending the fiber unseen. */
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

/** Sets the next time at which this replica starts an election unless it hears a leader. */
export function setElectionDeadline(replica: Replica, nowMs: number, minMs: number, maxMs: number): void {
    replica.electionDeadlineMs = nowMs + replica.chooseNumber(minMs, maxMs);
}

/** Notes that a valid leader was heard. */
export function recordLeaderContact(replica: Replica, nowMs: number): void {
    replica.heardLeaderMs = nowMs;
    const { electionTimeoutMinMs, electionTimeoutMaxMs } = replica.settings;
    setElectionDeadline(replica, nowMs, electionTimeoutMinMs, electionTimeoutMaxMs);
}

/** Whether a majority answered requests that were sent within the election timeout. */
export function hasQuorumContact(replica: Replica, nowMs: number): boolean {
    const limitMs = replica.settings.electionTimeoutMinMs;
    const reached = listVoters(replica).filter(voter =>
        voter.id === replica.self
        || nowMs - (replica.peers.get(voter.id)?.contactMs ?? Number.NEGATIVE_INFINITY) <= limitMs
    );
    return reached.length >= countMajority(replica);
}

/**
 * Whether this replica is still leader. Steps down when a majority has been silent for an election timeout; the time of
 * a process that was frozen counts, because the clock is monotonic and contact is dated by the sending.
 */
export function checkLeadership(replica: Replica, nowMs: number): boolean {
    if (replica.role !== "leader") {
        return false;
    }
    if (!hasQuorumContact(replica, nowMs)) {
        replica.logger.warn("no contact with a majority, leadership ends", { term: replica.term });
        const { electionTimeoutMinMs, electionTimeoutMaxMs } = replica.settings;
        setElectionDeadline(replica, nowMs, electionTimeoutMinMs, electionTimeoutMaxMs);
        setFollower(replica, replica.term, undefined);
        return false;
    }
    return true;
}

/** Completes the reads whose round a majority has answered, once an entry of the own term is committed. */
export function completeReads(replica: Replica): void {
    if (replica.role !== "leader" || replica.commitIndex < replica.termStartIndex) {
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

/** Takes a snapshot when enough entries were applied since the last one, and forgets entries that it covers. */
function takeSnapshotIfDue(replica: Replica): void {
    const { appliedIndex, window, settings } = replica;
    if (appliedIndex - (replica.snapshot?.index ?? 0) < settings.snapshotEveryEntries) {
        return;
    }
    const term = window.findTerm(appliedIndex) ?? 0;
    const members = window.findMembers(appliedIndex) ?? [];
    replica.snapshot = { index: appliedIndex, term, members, data: replica.machine.takeSnapshot() };
    replica.storage.saveSnapshot(replica.snapshot, false);
    // The last entries stay in memory, so that a follower that is slightly behind needs no snapshot.
    window.forgetUntil(appliedIndex - settings.snapshotEveryEntries);
}

/** Applies what is committed up to an index. A state machine that throws stops the replica. */
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
