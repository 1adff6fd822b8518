import type { LogMember, PeerId } from "@chestnutspool/types";

/** Version of the messages on channel "log"; a request of another version is refused. */
export const logProtocolVersion = 1;

interface EntryPosition {
    readonly index: number;
    readonly term: number;
}

/** One entry of the log. */
export type LogEntry =
    | EntryPosition & { readonly kind: "command"; readonly data: Uint8Array; }
    | EntryPosition & { readonly kind: "members"; readonly members: readonly LogMember[]; }
    | EntryPosition & { readonly kind: "noop"; };

/** State of the machine and the member list after the entry at `index`. */
export interface Snapshot extends EntryPosition {
    readonly members: readonly LogMember[];
    readonly data: Uint8Array;
}

/** Fields of each request; `toIdentity` is the identity under which the sender knows the receiver. */
interface RequestHeader {
    readonly version: number;
    readonly term: number;
    readonly toIdentity: string;
    readonly fromIdentity: string;
}

/** Asks for a vote, or with `preVote` whether a vote would be granted. */
export interface VoteRequest extends RequestHeader {
    readonly kind: "vote";
    readonly preVote: boolean;
    /** The leader requested this election to transfer leadership, so recent contact with it is no reason to refuse. */
    readonly transfer: boolean;
    readonly lastIndex: number;
    readonly lastTerm: number;
}

/** Sends entries; a request without entries is a heartbeat. */
export interface AppendRequest extends RequestHeader {
    readonly kind: "append";
    readonly prevIndex: number;
    readonly prevTerm: number;
    readonly entries: readonly LogEntry[];
    readonly commitIndex: number;
}

/** Sends one chunk of a snapshot; the chunks are sent in order. */
export interface SnapshotRequest extends RequestHeader {
    readonly kind: "snapshot";
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly members: readonly LogMember[];
    readonly offset: number;
    readonly totalBytes: number;
    /** CRC-32 of the whole snapshot. */
    readonly checksum: number;
    readonly chunk: Uint8Array;
}

/** Requests on channel "log". */
export type LogRequest =
    | VoteRequest
    | AppendRequest
    | SnapshotRequest
    | RequestHeader & { readonly kind: "campaign"; }
    | { readonly kind: "identify"; readonly version: number; };

/** Replies on channel "log"; `term` is the term of the replying replica, already synced. */
export type LogReply =
    | { readonly kind: "vote"; readonly term: number; readonly granted: boolean; }
    | {
        readonly kind: "append";
        readonly term: number;
        readonly accepted: boolean;
        /** When accepted, the last index that matches the leader's log; otherwise the index after which it sends next. */
        readonly verifiedIndex: number;
        /** Last index that matches the leader's log and is synced. */
        readonly syncedIndex: number;
    }
    | { readonly kind: "snapshot"; readonly term: number; readonly receivedBytes: number; readonly installed: boolean; }
    | { readonly kind: "campaign"; readonly term: number; }
    | { readonly kind: "identity"; readonly identity: string; readonly formed: boolean; }
    | { readonly kind: "refused"; readonly reason: "version" | "identity"; readonly identity: string; };

/** Durable state besides the log; synced before any reply that depends on it. */
export interface HardState {
    readonly self: PeerId;
    /** Random identity of the data folder. */
    readonly identity: string;
    readonly term: number;
    /** Identity of the replica that got the vote of this term. */
    readonly votedFor: string | undefined;
}
