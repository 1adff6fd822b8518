/** Identity of a control replica, an entry host or a process that holds both roles. */
export type PeerId = string;
/** Identity of an entry process, unique among the entry hosts. */
export type EntryId = PeerId;
/** Identity of a worker, chosen by the platform. */
export type WorkerId = string;
/** Identity of a minion, chosen by the target that announces itself. */
export type MinionId = string;
/** Identity of a tenant. */
export type TenantId = string;
/** Identity of a task: the name of its work, "/" and the task's ordinal number. */
export type TaskId = string;

/** Amounts that a task uses or a worker offers. */
export interface Resources {
    /** Processor time in thousandths of a core. */
    readonly milliCpu: number;
    /** Memory in MiB. */
    readonly memoryMib: number;
    /** Number of whole accelerators. */
    readonly accelerators: number;
}

/** Priority class of a request: `urgent` requests are served before `standard` ones and are rejected after them. */
export type RequestClass = "urgent" | "standard";

/** Class of a task on a worker. */
export type TaskClass = "latencyCritical" | "batch";

/** Kind of work that an operator creates. */
export type WorkKind = "service" | "job" | "watch";

interface WorkSpecBase {
    /** Name, unique among all work: 1 to 63 lowercase letters, digits and hyphens. */
    readonly name: string;
    readonly tenant: TenantId;
    /** Declared size of one task. */
    readonly resources: Resources;
    /** Label under which the slowdown by interference is learnt; tasks of one label behave alike. */
    readonly interferenceClass: string;
    /** Opaque text handed to the worker at start. */
    readonly command: string;
}

/** A service that answers urgent requests through minions and may keep latency-critical tasks on workers. */
export interface ServiceSpec extends WorkSpecBase {
    readonly kind: "service";
    /** Number of latency-critical tasks to keep on workers; 0 when the minions run elsewhere. */
    readonly replicas: number;
    /** Longest run of one request in milliseconds; the run lease of an attempt. */
    readonly maxRunMs: number;
}

/** Batch work that must finish. */
export interface JobSpec extends WorkSpecBase {
    readonly kind: "job";
    /** Number of tasks, each of which must succeed once. */
    readonly tasks: number;
    /** Wall-clock time of the deadline in milliseconds since the epoch; undefined without a deadline. */
    readonly deadlineAtMs: number | undefined;
    /** Declared run time of one task in milliseconds. */
    readonly expectedRunMs: number;
    /** Failed attempts of one task after which the job fails. */
    readonly maxAttempts: number;
}

/** Long-running work that must not lose its progress. */
export interface WatchSpec extends WorkSpecBase {
    readonly kind: "watch";
    /** Interval between checkpoints in milliseconds. */
    readonly checkpointIntervalMs: number;
}

/** What an operator asks for. */
export type WorkSpec = ServiceSpec | JobSpec | WatchSpec;

/** Phase of a task. */
export type TaskPhase =
    | "pending"
    | "starting"
    | "running"
    | "stopping"
    | "succeeded"
    | "failed"
    | "cancelled"
    | "impossible";

/** How one attempt of a task ended, as the worker confirms it. */
export type TaskOutcome = "succeeded" | "failed" | "stopped" | "lost";

/** Why the system did not run a request. */
export type NotRunReason =
    | "queueFull"
    | "deadlineTooShort"
    | "deadlineExceeded"
    | "noMinion"
    | "draining"
    | "noSession"
    | "quarantine"
    | "refusedByMinion"
    | "retryBudgetEmpty"
    | "noLeader"
    | "cancelled";

/** Whether an attempt of a request was sent and run. */
export type AttemptState = "notSent" | "maybeRun" | "ran";

/** An item owned by exactly one entry host at a time. */
export type OwnedItem =
    | { readonly kind: "minion"; readonly minion: MinionId; }
    | { readonly kind: "shard"; readonly shard: number; };

/** Number of key shards over which caller-supplied request ids are spread. */
export const keyShardCount = 64;

/** A target that serves requests of one service. */
export interface MinionInfo {
    readonly id: MinionId;
    readonly service: string;
    /** IP address and port of the minion's HTTP server. */
    readonly address: string;
    readonly availabilityZone: string;
    /** Requests that may run at the same time. */
    readonly slots: number;
    /** Connections that may be open at the same time. */
    readonly connections: number;
}

/** An attempt in progress, as named between entry hosts and by minions. */
export interface AttemptRef {
    readonly attempt: string;
    readonly minion: MinionId;
    readonly shard: number;
    readonly tenant: TenantId;
    readonly requestId: string;
    /** Time left of the run lease in milliseconds, when this record was made. */
    readonly runLeaseLeftMs: number;
}
