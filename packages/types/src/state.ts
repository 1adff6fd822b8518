import type {
    AttemptRef,
    EntryId,
    MinionInfo,
    OwnedItem,
    Resources,
    TaskId,
    TaskPhase,
    TenantId,
    WorkerId,
    WorkSpec,
} from "./domain.js";

/** Work with its revision. */
export interface WorkRecord {
    readonly spec: WorkSpec;
    /** Raised by one with each accepted change; 1 after creation. */
    readonly revision: number;
    readonly cancelled: boolean;
    /** Operator request id of the last accepted change. */
    readonly changedBy: string;
    readonly createdAtMs: number;
}

/** One task of a work and its current attempt. */
export interface TaskRecord {
    readonly id: TaskId;
    readonly work: string;
    readonly tenant: TenantId;
    readonly phase: TaskPhase;
    /** Fencing token of the current or last attempt: the log index of its placement; 0 before the first. */
    readonly token: number;
    /** Worker that holds the task's resources; undefined when none are charged. */
    readonly worker: WorkerId | undefined;
    /** Resources charged to the worker; released once. */
    readonly charged: Resources;
    /** Last recorded checkpoint; undefined before the first. */
    readonly checkpoint: string | undefined;
    /** Failed attempts; a failure after a steady run counts as the first again. */
    readonly failures: number;
    /** Evictions so far. */
    readonly evictions: number;
    /** Wall-clock time before which the task is not started again, in milliseconds. */
    readonly notBeforeMs: number;
    /** Share of processor time that a throttled task keeps, in percent; 100 when not throttled. */
    readonly throttlePercent: number;
    /** Why the task is impossible, failed or cancelled, or why an earlier attempt failed; empty otherwise. */
    readonly reason: string;
    readonly createdAtMs: number;
    readonly startedAtMs: number | undefined;
    readonly endedAtMs: number | undefined;
}

/** Whether a worker takes new tasks. */
export type WorkerAdmission = "open" | "draining" | "setAside";

/** Whether the workers of an availability zone take new tasks. */
export type ZoneAdmission = "open" | "evacuated";

/** A worker and the resources charged to it. */
export interface WorkerRecord {
    readonly id: WorkerId;
    /** Identity of the worker's process; a new one means that all earlier tasks have ended. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly rack: string;
    readonly capacity: Resources;
    readonly used: Resources;
    readonly admission: WorkerAdmission;
    /** Failed attempts in a row; 0 again after one succeeds or is stopped, or when the worker is opened. */
    readonly failuresInRow: number;
}

/** A tenant, its quota and its weight in fair shares. */
export interface TenantRecord {
    readonly id: TenantId;
    readonly quota: Resources;
    readonly weight: number;
    readonly revision: number;
    readonly changedBy: string;
}

/** An entry host that may own items. */
export interface EntrySessionRecord {
    readonly entry: EntryId;
    readonly incarnation: string;
    /** IP address and port of the peer link. */
    readonly peerAddress: string;
    readonly availabilityZone: string;
    readonly draining: boolean;
}

/** Whether the owner may start new work on an item. */
export type OwnershipPhase = "owned" | "releasing" | "unowned";

/** Owner and epoch of a minion or key shard. */
export interface OwnershipRecord {
    readonly item: OwnedItem;
    readonly owner: EntryId | undefined;
    /** Raised with each change of owner. */
    readonly epoch: number;
    readonly phase: OwnershipPhase;
    /** The entry host that gets the item once it is released. */
    readonly next: EntryId | undefined;
    /** True when the last owner's session expired, so that its attempts are not known. */
    readonly afterExpiry: boolean;
    /** Attempts in progress that the last owner named when it released the item. */
    readonly attempts: readonly AttemptRef[];
}

/** Outcome of a recorded request. */
export type RequestOutcome =
    | { readonly kind: "running"; }
    | { readonly kind: "answered"; readonly status: number; readonly answer: Uint8Array; }
    | { readonly kind: "answeredNotKept"; readonly status: number; readonly length: number; }
    | { readonly kind: "notRun"; }
    | { readonly kind: "unknown"; };

/** Durable record of a non-idempotent request. */
export interface RequestRecord {
    readonly tenant: TenantId;
    readonly requestId: string;
    readonly bodyCrc32: number;
    readonly bodyLength: number;
    /** Entry host and epoch that may dispatch it. */
    readonly entry: EntryId;
    readonly epoch: number;
    readonly beganAtMs: number;
    /** Log index of the `beginRequest` command that began the request last. */
    readonly beganIndex: number;
    readonly outcome: RequestOutcome;
}

/** Result of an operator's change, stored under the operator request id. */
export interface OperatorOutcome {
    /** CRC-32 of the change, so that an id with another change is refused. */
    readonly changeCrc32: number;
    readonly atMs: number;
    readonly result: import("./commands.js").CommandResult;
}

/** Configuration in force. */
export interface ConfigurationRecord {
    readonly revision: number;
    readonly entries: Readonly<Record<string, string>>;
    readonly changedBy: string;
    readonly acceptedAtMs: number;
}

/** An event for operators. */
export interface EventRecord {
    /** Log index of the command that caused the event, and the event's ordinal number within the command. */
    readonly index: number;
    readonly ordinal: number;
    readonly atMs: number;
    readonly kind: EventKind;
    readonly subject: string;
    readonly detail: string;
}

/** Kind of an event. */
export type EventKind =
    | "workChanged"
    | "taskPlaced"
    | "taskEnded"
    | "taskEvicted"
    | "taskImpossible"
    | "workerJoined"
    | "workerExpired"
    | "workerSetAside"
    | "zoneChanged"
    | "entryJoined"
    | "entryExpired"
    | "ownershipMoved"
    | "tenantChanged"
    | "configurationChanged";

/** The whole durable state; only the cluster-state package changes it. */
export interface ClusterState {
    /** Log index of the last applied command. */
    readonly index: number;
    /** Highest wall-clock time seen in a command, in milliseconds since the epoch. */
    readonly clockMs: number;
    readonly works: ReadonlyMap<string, WorkRecord>;
    readonly tasks: ReadonlyMap<TaskId, TaskRecord>;
    /** Tasks in phase `pending`; derived from `tasks`. */
    readonly pendingTasks: ReadonlySet<TaskId>;
    /** Tasks whose resources are charged to a worker; derived from `tasks`. */
    readonly tasksByWorker: ReadonlyMap<WorkerId, ReadonlySet<TaskId>>;
    /** Resources charged to the tasks of a tenant; derived from `tasks`. */
    readonly usedByTenant: ReadonlyMap<TenantId, Resources>;
    readonly workers: ReadonlyMap<WorkerId, WorkerRecord>;
    /** Availability zones whose workers take no new tasks. */
    readonly evacuatedZones: ReadonlySet<string>;
    readonly tenants: ReadonlyMap<TenantId, TenantRecord>;
    readonly entries: ReadonlyMap<EntryId, EntrySessionRecord>;
    readonly minions: ReadonlyMap<string, MinionInfo>;
    /** Keyed by `formatItemKey`. */
    readonly ownership: ReadonlyMap<string, OwnershipRecord>;
    /** Raised with each change of ownership, entries or minions. */
    readonly ownershipVersion: number;
    /** Keyed by `formatRequestKey`. */
    readonly requests: ReadonlyMap<string, RequestRecord>;
    readonly operatorRequests: ReadonlyMap<string, OperatorOutcome>;
    readonly configuration: ConfigurationRecord;
    readonly configurationHistory: readonly ConfigurationRecord[];
    readonly events: readonly EventRecord[];
}
