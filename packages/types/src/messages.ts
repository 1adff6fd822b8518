import type { CommandResult, FinishRequest } from "./commands.js";
import type { AttemptRef, MinionId, MinionInfo, OwnedItem, RequestClass, TenantId, WorkerId } from "./domain.js";
import type { ErrorData } from "./error-data.js";
import type { RunKey } from "./jobs.js";
import type { ConfigurationRecord, EntrySessionRecord, OwnershipRecord, RequestRecord } from "./state.js";
import type { OrderAnswer, RenewAnswer, RenewOrder, StartOrder, WorkerRef } from "./worker-port.js";

/** Version of the messages between the processes of the system; a link between different versions is refused. */
export const peerProtocolVersion = 1;

/** Name of a channel of the peer link. */
export type ChannelName = "log" | "control" | "notice" | "entry" | "directory" | "jobs" | "workers";

/** An item that an entry host has stopped using. */
export interface ReleasedItem {
    readonly item: OwnedItem;
    readonly epoch: number;
    readonly attempts: readonly AttemptRef[];
}

/** The part of the state that each entry host needs to route requests. */
export interface OwnershipMap {
    readonly version: number;
    readonly entries: readonly EntrySessionRecord[];
    readonly minions: readonly MinionInfo[];
    readonly ownership: readonly OwnershipRecord[];
    /** Longest run of a request in milliseconds, by service. */
    readonly maxRunMsByService: Readonly<Record<string, number>>;
}

/** A request to the control leader, sent on channel `control`. */
export type ControlRequest =
    | {
        readonly kind: "renewSession";
        readonly session: EntrySessionRecord;
        /** Configuration revision in force at the entry host; 0 before the first. */
        readonly appliedRevision: number;
        /** Version of the ownership map that the entry host has. */
        readonly ownershipVersion: number;
        readonly released: readonly ReleasedItem[];
    }
    | { readonly kind: "registerMinion"; readonly minion: MinionInfo; }
    | { readonly kind: "removeMinion"; readonly minion: MinionId; }
    | { readonly kind: "beginRequest"; readonly request: Omit<RequestRecord, "beganAtMs" | "beganIndex" | "outcome">; }
    | FinishRequest
    | {
        /** A call of OperatorService or WorkerService, forwarded with its message in binary form. */
        readonly kind: "forwardCall";
        readonly service: "operator" | "worker";
        readonly method: string;
        readonly body: Uint8Array;
    };

/** The reply to a `ControlRequest`. */
export type ControlReply =
    | {
        readonly kind: "session";
        readonly sessionTtlMs: number;
        /** The ownership map, when the entry host's version is not the current one. */
        readonly ownership: OwnershipMap | undefined;
        /** The configuration, when the entry host is behind. */
        readonly configuration: ConfigurationRecord | undefined;
    }
    | { readonly kind: "result"; readonly result: CommandResult; }
    | { readonly kind: "forwarded"; readonly body: Uint8Array; }
    | { readonly kind: "error"; readonly error: ErrorData; };

/** One-way message from the control leader to an entry host, sent on channel `notice`. */
export type ControlNotice =
    | { readonly kind: "configuration"; readonly configuration: ConfigurationRecord; }
    | { readonly kind: "ownership"; readonly ownership: OwnershipMap; };

/** A request of a caller, with its body. */
export interface RequestEnvelope {
    readonly tenant: TenantId;
    readonly service: string;
    readonly class: RequestClass;
    readonly requestId: string;
    /** True when the caller chose the id, so that a resend may come through any entry host. */
    readonly callerSuppliedId: boolean;
    readonly idempotent: boolean;
    /** Time left until the caller's deadline, in milliseconds, when this record was made. */
    readonly deadlineLeftMs: number;
    readonly body: Uint8Array;
}

/** A request between entry hosts, sent on channel `entry`. */
export type EntryRequest =
    | { readonly kind: "coordinate"; readonly envelope: RequestEnvelope; }
    | {
        readonly kind: "spill";
        readonly envelope: RequestEnvelope;
        readonly attempt: string;
        readonly shard: number;
        /** Epoch under which the sender coordinates the shard; a receiver that knows a higher one refuses. */
        readonly shardEpoch: number;
    }
    | { readonly kind: "announceMinion"; readonly announcement: MinionAnnouncement; }
    | { readonly kind: "attemptEnded"; readonly attempt: string; readonly minion: MinionId; }
    | { readonly kind: "freeSlots"; readonly freeByService: Readonly<Record<string, number>>; };

/** What a minion reports about itself. */
export interface MinionAnnouncement {
    readonly minion: MinionInfo;
    readonly leaving: boolean;
    /** Attempts that run at the minion. */
    readonly runningAttempts: readonly string[];
    /** Highest epoch of ownership that the minion has seen; 0 before the first. */
    readonly highestEpoch: number;
    /** Raised with each announcement while the minion's process runs. */
    readonly sequence: number;
    /** Identity of the minion's process; a new one means that all earlier attempts have ended. */
    readonly incarnation: string;
}

/** A part of the reply to an `EntryRequest`. A streamed answer is `answerHead`, `answerChunk`..., `answerEnd`. */
export type EntryReply =
    | { readonly kind: "answerHead"; readonly status: number; readonly minion: MinionId; }
    | { readonly kind: "answerChunk"; readonly bytes: Uint8Array; }
    | { readonly kind: "answerEnd"; readonly lengthBytes: number; readonly crc32: number; }
    | {
        readonly kind: "announced";
        readonly epoch: number;
        readonly acceptsWork: boolean;
        /** Attempts that hold a slot of the minion. */
        readonly attemptsInProgress: number;
    }
    | { readonly kind: "accepted"; }
    | { readonly kind: "error"; readonly error: ErrorData; };

/** Usage of one task as a worker measured it. */
export interface UsageSample {
    readonly task: string;
    readonly token: number;
    /** Age of the measurement in milliseconds when it was sent. */
    readonly ageMs: number;
    readonly milliCpu: number;
    readonly memoryMib: number;
    readonly accelerators: number;
    /** Measured speed in percent of the speed alone on the worker; undefined when not known. */
    readonly speedPercent: number | undefined;
}

/** A directive to a worker. */
export type WorkerDirective =
    | {
        readonly kind: "start";
        readonly task: string;
        readonly token: number;
        readonly command: string;
        readonly resumeFrom: string | undefined;
        readonly checkpointIntervalMs: number | undefined;
    }
    | { readonly kind: "checkpoint"; readonly task: string; readonly token: number; }
    | { readonly kind: "throttle"; readonly task: string; readonly token: number; readonly percent: number; }
    | { readonly kind: "stop"; readonly task: string; readonly token: number; };

/** What control knows of a worker in addition to the durable state. */
export interface WorkerReport {
    readonly worker: WorkerId;
    readonly usage: readonly UsageSample[];
}

/** What a call to a worker says; the fields are those of `WorkerPort`. */
export type WorkerCall =
    | { readonly kind: "startRun"; readonly order: StartOrder; }
    | { readonly kind: "stopRun"; readonly run: RunKey; readonly fencingToken: number; }
    | { readonly kind: "paceRun"; readonly run: RunKey; readonly percent: number; readonly fencingToken: number; }
    | { readonly kind: "renewLease"; readonly order: RenewOrder; }
    /** Closes the connections to the worker; gets no answer. */
    | { readonly kind: "closeConnections"; };

/** A call to a worker that another control process carries out for the leader. */
export interface RelayedCall {
    /** Number of the call, unique for the incarnation of the sender. */
    readonly id: number;
    readonly worker: WorkerRef;
    /** Time allowed for the call since the message was sent, in milliseconds. */
    readonly limitMs: number;
    readonly call: WorkerCall;
    /** Time for which the answer may wait for others, in milliseconds; absent: none. Earlier builds ignore it. */
    readonly patienceMs?: number;
    /** Position of the payload of a start in `payloads` of the message; absent if the order has its payload. */
    readonly payloadPosition?: number;
}

/** Answer to a `RelayedCall`. */
export interface RelayedAnswer {
    readonly id: number;
    readonly answer: OrderAnswer | RenewAnswer;
    /** Whether the relay dropped the call because it took it to be late; absent in answers of earlier versions. */
    readonly isLate?: boolean;
}

/** One-way message about calls to workers between control processes, sent on channel `workers`. */
export type WorkerCallMessage =
    | {
        /** From the leader. Without calls it is a probe, which is answered at once. */
        readonly kind: "calls";
        /** Identity of the sender's run; answers to an earlier run of the process are dropped. */
        readonly incarnation: string;
        /** Monotonic time of the sender in milliseconds; only differences between messages have a meaning. */
        readonly sentAtMs: number;
        readonly calls: readonly RelayedCall[];
        /** Payloads that the start orders of the message share; absent if each order has its own. */
        readonly payloads?: readonly string[];
    }
    | {
        readonly kind: "answers";
        /** Incarnation of the process that sent the calls. */
        readonly incarnation: string;
        /** Availability zone of the process that carries out the calls. */
        readonly availabilityZone: string;
        readonly answers: readonly RelayedAnswer[];
        /** Whether the process is about to stop and takes no further calls; absent in messages of earlier versions. */
        readonly isLeaving?: boolean;
        /** Whether the process reads `payloads`; absent in messages of earlier versions. */
        readonly sharesPayloads?: boolean;
    };
