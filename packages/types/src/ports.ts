import type { Effect, Scope } from "effect";
import type { PeerId } from "./domain.js";
import type { ErrorData } from "./error-data.js";
import type { ChannelName } from "./messages.js";

/** Handles the calls and messages of a channel. */
export interface ChannelHandler<Request, Reply> {
    /** Answers a call with one reply. */
    readonly handleCall?: (from: PeerId, request: Request) => Effect.Effect<Reply, ErrorData>;
    /** Answers a call with many replies; `emit` waits while the caller's window is full. */
    readonly handleStream?: (
        from: PeerId,
        request: Request,
        emit: (reply: Reply) => Effect.Effect<void, ErrorData>,
    ) => Effect.Effect<void, ErrorData>;
    /** Handles a one-way message. */
    readonly handleMessage?: (from: PeerId, message: Request) => Effect.Effect<void>;
}

/** Typed interface of one channel. */
export interface Channel<Request, Reply> {
    /** Sends a one-way message; false when the peer is not connected or its send buffer is full. */
    readonly sendMessage: (to: PeerId, message: Request) => boolean;
    /**
     * Calls a peer. Fails with `peerUnavailable` when nothing was sent, with `outcomeUnknown` when the link broke
     * after sending, and with `timeout` after the limit. With `onLateReply` a call that times out is not cancelled at the
     * peer, and a reply that arrives within the same time again is passed to `onLateReply`.
     */
    readonly callPeer: (
        to: PeerId,
        request: Request,
        limitMs: number,
        onLateReply?: (reply: Reply) => void,
    ) => Effect.Effect<Reply, ErrorData>;
    /** Calls a peer and passes each reply to `onReply` in order; the limit is for the whole call. */
    readonly callStream: (
        to: PeerId,
        request: Request,
        limitMs: number,
        onReply: (reply: Reply) => Effect.Effect<void, ErrorData>,
    ) => Effect.Effect<void, ErrorData>;
}

/** Links to the other processes of the system. */
export interface PeerLink {
    readonly self: PeerId;
    /** IP address and port on which this process accepts links. */
    readonly address: string;
    /** Opens a channel. It may be opened more than once, but each method of its handler may be given once. */
    readonly openChannel: <Request, Reply>(
        name: ChannelName,
        handler: ChannelHandler<Request, Reply>,
    ) => Channel<Request, Reply>;
    /** Sets the address of a peer; the link to it is maintained until the peer is removed. */
    readonly setPeer: (peer: PeerId, address: string) => void;
    readonly removePeer: (peer: PeerId) => void;
    readonly isConnected: (peer: PeerId) => boolean;
}

/** Files of the data folder; names are relative to it. */
export interface Disk {
    readonly readFile: (name: string) => Effect.Effect<Uint8Array | undefined, ErrorData>;
    /** Writes a new file, syncs it, renames it into place and syncs the folder. */
    readonly replaceFile: (name: string, bytes: Uint8Array) => Effect.Effect<void, ErrorData>;
    /** Opens a file for appending, creating it when absent. */
    readonly openAppend: (name: string) => Effect.Effect<AppendFile, ErrorData, Scope.Scope>;
    readonly listFiles: () => Effect.Effect<readonly string[], ErrorData>;
    readonly removeFile: (name: string) => Effect.Effect<void, ErrorData>;
}

/** A file open for appending. */
export interface AppendFile {
    readonly append: (bytes: Uint8Array) => Effect.Effect<void, ErrorData>;
    readonly sync: Effect.Effect<void, ErrorData>;
    readonly truncate: (lengthBytes: number) => Effect.Effect<void, ErrorData>;
    readonly lengthBytes: () => number;
}

/** Role of a replica. */
export type ReplicaRole = "leader" | "follower" | "candidate" | "learner" | "stopped";

/** A member of the replicated log. */
export interface LogMember {
    readonly id: PeerId;
    /** IP address and port of the peer link. */
    readonly address: string;
    /** Random identity of the data folder. */
    readonly replicaIdentity: string;
    readonly votes: boolean;
}

/** Status of a replica, as the replica itself knows it. */
export interface ReplicaStatus {
    readonly self: PeerId;
    /** Random identity of the data folder. */
    readonly identity: string;
    readonly role: ReplicaRole;
    readonly term: number;
    readonly leader: PeerId | undefined;
    readonly lastIndex: number;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly snapshotIndex: number;
    readonly members: readonly LogMember[];
}

/** State of the data folder of a replica: it takes writes, a failed write is repeated, or an error has ended all writes. */
export type StorageState = "working" | "failing" | "stopped";

/** The data folder of a replica. */
export interface StorageStatus {
    readonly state: StorageState;
    /** Size of the log files and the snapshot, in bytes. */
    readonly storedBytes: number;
}

/** A change of the member list; only one can be in progress at a time. */
export type MemberChange =
    | { readonly kind: "addLearner"; readonly id: PeerId; readonly address: string; readonly replicaIdentity: string; }
    | { readonly kind: "promoteLearner"; readonly id: PeerId; }
    | { readonly kind: "removeMember"; readonly id: PeerId; };

/** State to which the replicated log applies its commands; all methods are deterministic. */
export interface StateMachine<Command, Result> {
    readonly applyCommand: (index: number, command: Command) => Result;
    readonly takeSnapshot: () => Uint8Array;
    readonly restoreSnapshot: (bytes: Uint8Array) => void;
}

/** Interface of the replicated log. */
export interface ReplicatedLog<Command, Result> {
    /**
     * Appends a command and waits until it is applied here. Fails with `notLeader` when it was certainly not appended,
     * with `outcomeUnknown` when it may still be committed.
     */
    readonly proposeCommand: (command: Command) => Effect.Effect<Result, ErrorData>;
    /** Succeeds once this replica, as a confirmed leader, has applied all that was committed when the call began. */
    readonly confirmRead: Effect.Effect<void, ErrorData>;
    readonly readStatus: () => ReplicaStatus;
    /** Whether this replica is the leader and heard from a majority so recently that there can be no other leader. */
    readonly isLeading: (nowMs: number) => boolean;
    /**
     * On the leader, the time since a member was last in contact, in milliseconds; 0 for itself and on other replicas.
     */
    readonly readTimeSinceContactMs: (member: PeerId, nowMs: number) => number;
    /** When this replica last had contact with another leader, in monotonic milliseconds; undefined before the first. */
    readonly readLeaderContactMs: () => number | undefined;
    readonly readStorageStatus: () => StorageStatus;
    /** Calls the listener after each change of role, term or leader; the returned function stops the calls. */
    readonly watchStatus: (listener: (status: ReplicaStatus) => void) => () => void;
    readonly transferLeadership: Effect.Effect<void, ErrorData>;
    readonly changeMembers: (change: MemberChange) => Effect.Effect<void, ErrorData>;
}
