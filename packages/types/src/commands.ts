import type {
    AttemptRef,
    EntryId,
    MinionId,
    MinionInfo,
    OwnedItem,
    Resources,
    TaskId,
    TaskOutcome,
    TenantId,
    WorkerId,
    WorkSpec,
} from "./domain.js";
import type { ErrorData } from "./error-data.js";
import type { EntrySessionRecord, RequestOutcome, RequestRecord, WorkerAdmission, ZoneAdmission } from "./state.js";

/** Records the outcome of a request that an entry host dispatched. */
export interface FinishRequest {
    readonly kind: "finishRequest";
    readonly tenant: TenantId;
    readonly requestId: string;
    readonly entry: EntryId;
    readonly epoch: number;
    /** Log index of `requestBegun`; without it, a request that was not run cannot begin again under its id. */
    readonly beganIndex?: number | undefined;
    readonly outcome: RequestOutcome;
}

/** A change that an operator asks for. An expected revision of 0 means that the object must not exist yet. */
export type OperatorChange =
    | { readonly kind: "applyWork"; readonly spec: WorkSpec; readonly expectedRevision: number; }
    | { readonly kind: "cancelWorks"; readonly names: readonly string[]; }
    | {
        readonly kind: "applyTenant";
        readonly tenant: TenantId;
        readonly quota: Resources;
        readonly weight: number;
        readonly expectedRevision: number;
    }
    | {
        readonly kind: "setConfiguration";
        readonly entries: Readonly<Record<string, string>>;
        readonly removedKeys: readonly string[];
        readonly expectedRevision: number;
    }
    | { readonly kind: "setWorkerAdmission"; readonly worker: WorkerId; readonly admission: WorkerAdmission; }
    | { readonly kind: "drainEntry"; readonly entry: EntryId; }
    /** Replicas of earlier builds do not know it, so that a zone is to be evacuated only once all are upgraded. */
    | { readonly kind: "setZoneAdmission"; readonly availabilityZone: string; readonly admission: ZoneAdmission; };

/** A command of the replicated log; `nowMs` is the leader's wall-clock time in milliseconds since the epoch. */
export type ControlCommand =
    & { readonly nowMs: number; }
    & (
        | { readonly kind: "operatorChange"; readonly operatorRequestId: string; readonly change: OperatorChange; }
        | {
            readonly kind: "registerWorker";
            readonly worker: WorkerId;
            readonly incarnation: string;
            readonly availabilityZone: string;
            readonly rack: string;
            readonly capacity: Resources;
        }
        | { readonly kind: "expireWorker"; readonly worker: WorkerId; readonly incarnation: string; }
        | { readonly kind: "setAsideWorker"; readonly worker: WorkerId; readonly setAside: boolean; }
        | {
            readonly kind: "placeTask";
            readonly task: TaskId;
            readonly worker: WorkerId;
            /** Fencing token of the earlier attempt, so that a decision based on outdated state is refused. */
            readonly previousToken: number;
        }
        | { readonly kind: "confirmStart"; readonly task: TaskId; readonly token: number; }
        | {
            readonly kind: "recordCheckpoint";
            readonly task: TaskId;
            readonly token: number;
            readonly checkpoint: string;
        }
        | {
            readonly kind: "endTask";
            readonly task: TaskId;
            readonly token: number;
            readonly outcome: TaskOutcome;
            readonly reason: string;
        }
        | { readonly kind: "requestEviction"; readonly task: TaskId; readonly token: number; readonly reason: string; }
        | { readonly kind: "throttleTask"; readonly task: TaskId; readonly token: number; readonly percent: number; }
        | { readonly kind: "rejectTask"; readonly task: TaskId; readonly reason: string; }
        | { readonly kind: "openSession"; readonly session: EntrySessionRecord; }
        | { readonly kind: "expireEntry"; readonly entry: EntryId; readonly incarnation: string; }
        | { readonly kind: "drainSession"; readonly entry: EntryId; readonly incarnation: string; }
        | { readonly kind: "registerMinion"; readonly minion: MinionInfo; }
        | { readonly kind: "removeMinion"; readonly minion: MinionId; }
        | { readonly kind: "rebalanceOwnership"; }
        | {
            readonly kind: "moveOwnership";
            readonly item: OwnedItem;
            readonly from: EntryId;
            readonly epoch: number;
            readonly attempts: readonly AttemptRef[];
        }
        | {
            readonly kind: "beginRequest";
            readonly request: Omit<RequestRecord, "beganAtMs" | "beganIndex" | "outcome">;
        }
        | FinishRequest
        | { readonly kind: "batch"; readonly commands: readonly ControlCommand[]; }
    );

/** Result of an applied command; the same on each replica. */
export type CommandResult =
    | { readonly kind: "done"; readonly index: number; }
    | { readonly kind: "revision"; readonly index: number; readonly revision: number; }
    | { readonly kind: "requestBegun"; readonly index: number; }
    | { readonly kind: "requestKnown"; readonly index: number; readonly record: RequestRecord; }
    | { readonly kind: "batch"; readonly index: number; readonly results: readonly CommandResult[]; }
    | { readonly kind: "refused"; readonly index: number; readonly error: ErrorData; };
