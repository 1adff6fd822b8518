import type { WorkerId } from "./domain.js";
import type {
    JobDefinition,
    JobFailure,
    JobId,
    JobPhase,
    MaintenanceWave,
    QueueConfiguration,
    SetZoneAdmission,
    WorkerHeartbeat,
} from "./jobs.js";

/** A process of the control role and where its peer link listens. */
export interface ControlAddress {
    readonly id: string;
    readonly address: string;
}

/** A request to the leader of the replicated log of jobs, sent on channel `jobs`. */
export type JobRequest =
    | {
        readonly kind: "submitJob";
        readonly spec: JobDefinition;
        readonly hostName: string;
        readonly path: string;
    }
    | { readonly kind: "readJob"; readonly job: JobId; readonly hostName: string; readonly path: string; }
    | { readonly kind: "cancelJob"; readonly job: JobId; readonly hostName: string; readonly path: string; }
    | { readonly kind: "countPending"; readonly hostName: string; readonly path: string; }
    | { readonly kind: "setConfiguration"; readonly configuration: QueueConfiguration; }
    | { readonly kind: "readConfiguration"; }
    | { readonly kind: "recordHeartbeat"; readonly heartbeat: WorkerHeartbeat; }
    /** `bornAtMs` as in `WorkerInfo`. */
    | { readonly kind: "removeWorker"; readonly worker: WorkerId; readonly bornAtMs?: number | undefined; }
    | { readonly kind: "startWave"; readonly wave: MaintenanceWave; }
    | SetZoneAdmission
    | { readonly kind: "readWave"; readonly wave: number; };

/** Why a job was not accepted; it certainly does not run. */
export type JobRejection =
    /** No worker of the service can ever run one of its tasks. */
    | "impossible"
    /** The job would have to wait too long. */
    | "overloaded"
    /** Another queue has a job with the id. */
    | "otherQueue"
    /** It was cancelled before this submission arrived. */
    | "cancelled";

/** Reply of a process of the control role to a `JobRequest`. */
export type JobReply =
    | { readonly kind: "accepted"; }
    | { readonly kind: "rejected"; readonly reason: JobRejection; readonly retryAfterMs: number | undefined; }
    | { readonly kind: "noQueue"; }
    /** There is no configuration yet, so that the queue may exist soon; nothing was changed. */
    | { readonly kind: "notConfigured"; }
    | { readonly kind: "noJob"; }
    /** `failure` tells why a job has failed; absent in replies of earlier builds. */
    | { readonly kind: "phase"; readonly phase: JobPhase; readonly failure?: JobFailure; }
    | { readonly kind: "pending"; readonly count: number; }
    | { readonly kind: "configuration"; readonly document: Uint8Array | undefined; readonly version: number; }
    | { readonly kind: "done"; }
    | { readonly kind: "invalid"; readonly detail: string; }
    | { readonly kind: "wave"; readonly isComplete: boolean; }
    | { readonly kind: "noWave"; }
    /** This process does not lead and has changed nothing. */
    | { readonly kind: "notLeader"; readonly leader: ControlAddress | undefined; }
    /** The change may or may not take effect. */
    | { readonly kind: "outcomeUnknown"; };

/** A request about the members of the control role, sent on channel `directory`. */
export type DirectoryRequest =
    | { readonly kind: "locate"; }
    | { readonly kind: "join"; readonly member: ControlAddress; readonly replicaIdentity: string; };

/** Reply to a `DirectoryRequest`. */
export interface DirectoryReply {
    readonly leader: ControlAddress | undefined;
    readonly members: readonly ControlAddress[];
}
