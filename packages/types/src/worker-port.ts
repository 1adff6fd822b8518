import type { Effect } from "effect";
import type { WorkerId } from "./domain.js";
import type { RunEnd, RunKey, WorkerInfo } from "./jobs.js";

/** Start of a run on a worker. */
export interface StartOrder extends RunKey {
    readonly payload: string;
    /** Checkpoint from which the run resumes; empty to start from the beginning. */
    readonly checkpoint: string;
    /** End of the lease for all runs on the worker, as a reading of the worker's clock in milliseconds. */
    readonly leaseUntilMs: number;
    /** Rises with the term of the leader and with restarts of the worker; the worker refuses orders with a lower one. */
    readonly fencingToken: number;
    /** Ticket of the advice service that permits the run; undefined when the queue needs none. */
    readonly ticket: string | undefined;
}

/** Why a worker refused an order; a refused order has had no effect. */
export type OrderRefusal =
    /** The worker has already received an order of a later leader. */
    | "staleToken"
    /** This run or a later run of the task was stopped or has ended on the worker. */
    | "staleRun"
    /** The lease in the order has already expired. */
    | "leaseOver"
    | "noRoom"
    | "ticketInvalid"
    /** The worker is temporarily unhealthy. */
    | "unhealthy"
    /** Another worker has taken over the address. */
    | "otherWorker"
    | "invalid";

/** Answer of a worker to an order. */
export type OrderAnswer =
    | { readonly kind: "done"; readonly clockMs: number; }
    | { readonly kind: "refused"; readonly reason: OrderRefusal; readonly clockMs: number | undefined; }
    /**
     * The order was certainly not carried out, because no connection could be opened. `isRefused`: the host answered that
     * nothing listens at the address, so that the worker has ended.
     */
    | { readonly kind: "notSent"; readonly detail: string; readonly isRefused?: boolean; }
    /** The order may have been carried out, or may yet be. */
    | { readonly kind: "unknown"; readonly detail: string; };

/** What a worker reports about a run in progress. */
export interface RunProgress extends RunKey {
    readonly checkpoint: string;
    /** Progress of the run in percent; for a long-running task, the progress of its start-up. */
    readonly progressPercent: number;
    /**
     * Measurement of the last half second: the tail latency in milliseconds for a serving task, or else the
     * processor time in use in thousandths of a core. Undefined when the worker does not report it.
     */
    readonly lastReading: number | undefined;
}

/** An end that a worker lists until it is acknowledged. */
export interface UnacknowledgedEnd extends RunEnd {
    /** Number of the end, which starts at 1 and rises for as long as the worker exists. */
    readonly sequence: number;
}

/** Renewal of a worker's lease; the answer also reports the worker's runs. */
export interface RenewOrder {
    /** End of the lease as a reading of the worker's clock in milliseconds; undefined to leave the lease as it is. */
    readonly leaseUntilMs: number | undefined;
    readonly fencingToken: number;
    /** Ends up to this sequence number are recorded, so that the worker may discard them. */
    readonly acknowledgedSequence: number;
    /** Longest time that the worker may wait for an end before it answers, in milliseconds. */
    readonly waitMs: number;
}

/** Answer of a worker to a renewal. */
export type RenewAnswer =
    | {
        readonly kind: "report";
        /** As in `WorkerInfo`. */
        readonly bornAtMs?: number | undefined;
        readonly clockMs: number;
        readonly running: readonly RunProgress[];
        readonly ended: readonly UnacknowledgedEnd[];
        /** False when the worker may have more ends than it listed. */
        readonly isComplete: boolean;
    }
    | Exclude<OrderAnswer, { readonly kind: "done"; }>;

/** What a call to a worker needs to know of it. */
export type WorkerRef = Pick<WorkerInfo, "id" | "address">;

/** Calls to workers. Each call is one attempt, which ends within `limitMs`. */
export interface WorkerPort<Worker extends WorkerRef = WorkerInfo> {
    readonly startRun: (
        worker: Worker,
        order: StartOrder,
        limitMs: number,
        patienceMs?: number,
    ) => Effect.Effect<OrderAnswer>;
    readonly stopRun: (
        worker: Worker,
        run: RunKey,
        fencingToken: number,
        limitMs: number,
    ) => Effect.Effect<OrderAnswer>;
    /** Throttles a run to a share of its speed, in percent. */
    readonly paceRun: (
        worker: Worker,
        run: RunKey,
        percent: number,
        fencingToken: number,
        limitMs: number,
        patienceMs?: number,
    ) => Effect.Effect<OrderAnswer>;
    readonly renewLease: (
        worker: Worker,
        order: RenewOrder,
        limitMs: number,
        patienceMs?: number,
    ) => Effect.Effect<RenewAnswer>;
    /** Closes the connections to a worker, so that the next call opens a new one. */
    readonly closeConnections: (worker: Worker) => void;
}

/** A worker that may run the tasks of a step, and the ticket that permits it. */
export interface AdviceTicket {
    readonly worker: WorkerId;
    readonly ticket: string;
}

/** Answer of the advice service. */
export type AdviceAnswer =
    | { readonly kind: "advice"; readonly tickets: readonly AdviceTicket[]; }
    | { readonly kind: "busy"; }
    | { readonly kind: "failed"; readonly detail: string; };

/** Calls to the advice service. */
export interface AdvicePort {
    /** Asks which of the workers may run a step; at most 100 workers in one call. */
    readonly askAdvice: (
        job: string,
        occurrence: number,
        step: number,
        workers: readonly WorkerId[],
        limitMs: number,
    ) => Effect.Effect<AdviceAnswer>;
}
