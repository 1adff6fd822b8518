import { describeError } from "@chestnutspool/errors";
import type { LogFields, Logger } from "@chestnutspool/logger";
import {
    type ControlPeer,
    type Disk,
    type ErrorData,
    type LogSection,
    type PeerId,
    type PeerLink,
    readMonotonicMs,
    type ReplicatedLog,
    type StateMachine,
} from "@chestnutspool/types";
import { Deferred, Effect, FiberMap, Queue } from "effect";
import { randomInt } from "node:crypto";
import { crc32 } from "node:zlib";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { completeReads } from "./commit-entries.js";
import { handleVote, runElectionTimer } from "./elect.js";
import { handleAppend, handleSnapshot, setMemberLinks } from "./follow.js";
import { formCluster } from "./form-cluster.js";
import { changeMembers, transferLeadership } from "./members.js";
import { logProtocolVersion, type LogReply, type LogRequest } from "./messages.js";
import { encodeValue } from "./record.js";
import {
    awaitHardState,
    checkLeadership,
    listMembers,
    readStatus,
    recordLeaderContact,
    type Replica,
    runSupervised,
    stopReplica,
    wakePeerLoops,
} from "./replica.js";
import { appendLeaderEntry, commitSynced, findLeaderError } from "./replicate.js";
import { openStorage, type StorageChange } from "./storage.js";

/** Largest encoded command in bytes; an entry and its envelope must fit a frame of the peer link. */
const commandLimitBytes = 4 * 1024 * 1024;
const seedLimit = 0x7fffffff;

/** Identity and settings of a replica. */
export interface ReplicatedLogOptions {
    readonly self: PeerId;
    /** Members of the first cluster; ignored once there is a log. */
    readonly initialMembers: readonly ControlPeer[];
    readonly log: LogSection;
    /** Seed of the election timeouts; chosen at random when absent. */
    readonly seed?: number;
}

/** Services that the replica uses. */
export interface ReplicatedLogPorts {
    readonly link: PeerLink;
    readonly disk: Disk;
    readonly logger: Logger;
}

function handleRequest(replica: Replica, from: PeerId, request: LogRequest): Effect.Effect<LogReply, ErrorData> {
    if (replica.stopError !== undefined) {
        return Effect.fail(replica.stopError);
    }
    if (request.version !== logProtocolVersion) {
        return Effect.succeed({ kind: "refused", reason: "version", identity: replica.identity });
    }
    if (request.kind === "identify") {
        const formed = listMembers(replica).length > 0;
        return Effect.succeed({ kind: "identity", identity: replica.identity, formed });
    }
    // A vote or an acknowledgement counts for the identity that the request names. After a loss of the data folder this
    // replica has another identity and must not reply for the lost one.
    if (request.toIdentity !== replica.identity) {
        return Effect.succeed({ kind: "refused", reason: "identity", identity: replica.identity });
    }
    switch (request.kind) {
        case "vote":
            return handleVote(replica, request);
        case "append":
            return handleAppend(replica, from, request);
        case "snapshot":
            return handleSnapshot(replica, from, request);
        case "campaign":
            return Effect.gen(function*() {
                if (request.term === replica.term && replica.leader === from) {
                    const endsAtMs = (yield* readMonotonicMs) + replica.settings.electionTimeoutMinMs;
                    replica.transferRequest = { term: request.term, endsAtMs };
                    Queue.offerUnsafe(replica.timerWake, undefined);
                }
                const { term } = replica;
                yield* awaitHardState(replica);
                return { kind: "campaign", term };
            });
    }
}

const proposeCommand = Effect.fnUntraced(function*(replica: Replica, command: unknown) {
    const nowMs = yield* readMonotonicMs;
    const data = encodeValue(command);
    if (data.length > commandLimitBytes) {
        const error: ErrorData = { kind: "frameTooLarge", bytes: data.length, limitBytes: commandLimitBytes };
        return yield* Effect.fail(error);
    }
    const error = findLeaderError(replica, nowMs);
    if (error !== undefined) {
        return yield* Effect.fail(error);
    }
    if (replica.transferring) {
        return yield* Effect.fail<ErrorData>({ kind: "notLeader", leader: undefined });
    }
    const index = replica.window.lastIndex() + 1;
    const done = Deferred.makeUnsafe<unknown, ErrorData>();
    replica.proposals.set(index, { term: replica.term, done });
    appendLeaderEntry(replica, { kind: "command", index, term: replica.term, data });
    return yield* Deferred.await(done);
});

const confirmRead = Effect.fnUntraced(function*(replica: Replica) {
    const error = findLeaderError(replica, yield* readMonotonicMs);
    if (error !== undefined) {
        return yield* Effect.fail(error);
    }
    replica.round += 1;
    const done = Deferred.makeUnsafe<void, ErrorData>();
    replica.reads.push({ round: replica.round, done });
    completeReads(replica);
    wakePeerLoops(replica);
    yield* Deferred.await(done);
});

/** Creates the source of random election timeouts. The seed includes the id, so that replicas draw different timeouts. */
function createIntegerSource(self: PeerId, seed: number): Replica["drawInteger"] {
    const generator = xoroshiro128plus(seed ^ crc32(self));
    return (min, max) => uniformInt(generator, Math.floor(min), Math.floor(Math.max(min, max)));
}

/** Fields of a write that is repeated. The remedy that `describeError` names, a restart, is not needed. */
function describeWriteError(error: ErrorData): LogFields {
    return error.kind === "storageFailed"
        ? { file: error.file, detail: error.detail }
        : { detail: describeError(error) };
}

function logStorageChange(logger: Logger, change: StorageChange, storedBytes: number): void {
    switch (change.kind) {
        case "failing":
            logger.warn("disk takes no writes; the write is repeated", {
                ...describeWriteError(change.error),
                storedBytes,
            });
            return;
        case "skipped":
            logger.warn("work on the data folder was left out", {
                work: change.work,
                ...describeWriteError(change.error),
                storedBytes,
            });
            return;
        case "working":
            logger.info("disk takes writes again", { failedForMs: change.failedForMs, storedBytes });
            return;
    }
}

const createReplica = Effect.fnUntraced(function*(
    options: ReplicatedLogOptions,
    ports: ReplicatedLogPorts,
    machine: StateMachine<unknown, unknown>,
) {
    const { self, initialMembers, log: settings } = options;
    const { link, logger } = ports;
    const holder: { replica: Replica | undefined; } = { replica: undefined };
    const { loaded, storage } = yield* openStorage(
        ports.disk,
        self,
        () => {
            if (holder.replica !== undefined) {
                commitSynced(holder.replica);
            }
        },
        change => logStorageChange(logger, change, holder.replica?.storage.readStatus().storedBytes ?? 0),
    );
    const { hardState, snapshot, window } = loaded;
    if (snapshot !== undefined) {
        machine.restoreSnapshot(snapshot.data);
    }
    const synced = Deferred.makeUnsafe<void, ErrorData>();
    Deferred.doneUnsafe(synced, Effect.void);
    const channel = link.openChannel<LogRequest, LogReply>("log", {
        handleCall: (from, request) =>
            holder.replica === undefined
                ? Effect.fail<ErrorData>({ kind: "peerUnavailable", peer: self })
                : handleRequest(holder.replica, from, request),
    });
    const replica: Replica = {
        self,
        identity: hardState.identity,
        initialMembers,
        settings,
        machine,
        link,
        channel,
        logger,
        storage,
        window,
        drawInteger: createIntegerSource(self, options.seed ?? randomInt(seedLimit)),
        statusListeners: new Set(),
        timerWake: yield* Queue.sliding<void>(1),
        peerLoops: yield* FiberMap.make<PeerId>(),
        term: hardState.term,
        votedFor: hardState.votedFor,
        hardStateSynced: synced,
        role: "follower",
        leader: undefined,
        commitIndex: snapshot?.index ?? 0,
        appliedIndex: snapshot?.index ?? 0,
        snapshot,
        appliedBytes: 0,
        incoming: undefined,
        leaderContactMs: Number.NEGATIVE_INFINITY,
        electionDeadlineMs: 0,
        transferRequest: undefined,
        termStartIndex: 0,
        round: 0,
        peers: new Map(),
        proposals: new Map(),
        reads: [],
        transferring: false,
        changingMember: undefined,
        stopError: undefined,
        lastNotifiedStatus: "",
    };
    holder.replica = replica;
    return replica;
});

/** Starts the fibers of the replica; the first storage error stops the replica permanently. */
const startFibers = Effect.fnUntraced(function*(replica: Replica) {
    const writes = Effect.tapError(replica.storage.runWrites, error =>
        Effect.sync(() => {
            const { storedBytes } = replica.storage.readStatus();
            replica.logger.error("replica stopped", { detail: describeError(error), storedBytes });
            stopReplica(replica, error);
        }));
    yield* Effect.forkScoped(runSupervised(replica, writes));
    yield* Effect.forkScoped(runSupervised(replica, runElectionTimer(replica)));
    if (listMembers(replica).length === 0) {
        yield* Effect.forkScoped(runSupervised(replica, formCluster(replica)));
    }
});

/**
 * Opens the replica of this process and runs it until the scope closes. Fails with `corruptRecord` when synced data is
 * damaged and with `storageFailed` when the data folder cannot be used. Later, a failed write is repeated; a failed sync of
 * a log file stops the replica permanently.
 */
export const openReplicatedLog = Effect.fnUntraced(function*<Command, Result>(
    options: ReplicatedLogOptions,
    ports: ReplicatedLogPorts,
    machine: StateMachine<Command, Result>,
) {
    const replica = yield* createReplica(options, ports, machine as StateMachine<unknown, unknown>);
    const nowMs = yield* readMonotonicMs;
    recordLeaderContact(replica, nowMs);
    // A restart does not count as contact with a leader, because that would delay the next election.
    replica.leaderContactMs = Number.NEGATIVE_INFINITY;
    setMemberLinks(replica);
    yield* startFibers(replica);
    yield* Effect.addFinalizer(() =>
        Effect.sync(() =>
            stopReplica(replica, { kind: "serviceFailed", service: "replicated-log", detail: "the replica was closed" })
        )
    );
    const log: ReplicatedLog<Command, Result> = {
        proposeCommand: command => Effect.map(proposeCommand(replica, command), result => result as Result),
        confirmRead: confirmRead(replica),
        readStatus: () => readStatus(replica),
        isLeading: nowMs => checkLeadership(replica, nowMs),
        readTimeSinceContactMs: (member, nowMs) => {
            const contactMs = replica.role === "leader" ? replica.peers.get(member)?.contactMs : undefined;
            return contactMs === undefined ? 0 : nowMs - contactMs;
        },
        readLeaderContactMs: () => Number.isFinite(replica.leaderContactMs) ? replica.leaderContactMs : undefined,
        readStorageStatus: () => replica.storage.readStatus(),
        watchStatus: listener => {
            replica.statusListeners.add(listener);
            listener(readStatus(replica));
            return () => {
                replica.statusListeners.delete(listener);
            };
        },
        transferLeadership: transferLeadership(replica, target =>
            replica.channel.callPeer(target, {
                kind: "campaign",
                version: logProtocolVersion,
                term: replica.term,
                toIdentity: listMembers(replica).find(member => member.id === target)?.replicaIdentity ?? "",
                fromIdentity: replica.identity,
            }, replica.settings.electionTimeoutMinMs)),
        changeMembers: change => Effect.andThen(confirmRead(replica), changeMembers(replica, change)),
    };
    return log;
});
