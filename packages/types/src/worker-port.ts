import type { Effect } from "effect";
import type { WorkerId } from "./domain.js";
import type { RunEnd, RunKey, WorkerInfo } from "./jobs.js";

/** Start of a run on a worker. */
export interface StartOrder extends RunKey {
    readonly payload: string;
    /** Progress from which the run resumes; empty to begin anew. */
    readonly checkpoint: string;
    /** Reading of the worker's clock until which everything on it may run, in milliseconds. */
    readonly leaseUntilMs: number;
    /** Term of the leader; the worker ignores orders of a lower one. */
    readonly fencingToken: number;
    /** Permission of the advice service; undefined when the queue needs none. */
    readonly ticket: string | undefined;
}

/** Why a worker refused an order; it has then done nothing. */
export type OrderRefusal =
    /** A later leader has given orders. */
    | "staleToken"
    /** This or a later run of the task was stopped or has ended there. */
    | "staleRun"
    /** The lease in the order is over. */
    | "leaseOver"
    | "noRoom"
    | "ticketInvalid"
    /** The worker is unhealthy for the moment. */
    | "unhealthy"
    /** Another worker has taken over the address. */
    | "otherWorker"
    | "invalid";

/** Answer of a worker to an order. */
export type OrderAnswer =
    | { readonly kind: "done"; readonly clockMs: number; }
    | { readonly kind: "refused"; readonly reason: OrderRefusal; readonly clockMs: number | undefined; }
    /** The order was certainly not carried out, because no connection could be opened. */
    | { readonly kind: "notSent"; readonly detail: string; }
    /** The order may have been carried out, or may yet be. */
    | { readonly kind: "unknown"; readonly detail: string; };

/** What a worker says of a run in progress. */
export interface RunProgress extends RunKey {
    readonly checkpoint: string;
    /** Share of the work that is done, or for a long-running task how far its start-up is, in percent. */
    readonly progressPercent: number;
    /**
     * For the last half second: of a task with a tail target the tail of its response time in milliseconds, of any other
     * task the processor time in use in thousandths of a core. Undefined when the worker does not say.
     */
    readonly lastReading: number | undefined;
}

/** An end that a worker lists until it is acknowledged. */
export interface UnacknowledgedEnd extends RunEnd {
    /** Rises from 1 over the life of the worker. */
    readonly sequence: number;
}

/** Renewal of a worker's lease, which also reads its runs. */
export interface RenewOrder {
    /** Reading of the worker's clock until which everything on it may run; undefined to renew nothing. */
    readonly leaseUntilMs: number | undefined;
    readonly fencingToken: number;
    /** Ends up to this sequence number are recorded and may be forgotten. */
    readonly acknowledgedSequence: number;
    /** Time that the worker may wait for an end before it answers, in milliseconds. */
    readonly waitMs: number;
}

/** Answer of a worker to a renewal. */
export type RenewAnswer =
    | {
        readonly kind: "report";
        readonly clockMs: number;
        readonly running: readonly RunProgress[];
        readonly ended: readonly UnacknowledgedEnd[];
        /** False when the worker may have more ends than it listed. */
        readonly isComplete: boolean;
    }
    | Exclude<OrderAnswer, { readonly kind: "done"; }>;

/** Calls to workers. Each is one attempt, which ends within its limit in milliseconds. */
export interface WorkerPort {
    readonly startRun: (worker: WorkerInfo, order: StartOrder, limitMs: number) => Effect.Effect<OrderAnswer>;
    readonly stopRun: (
        worker: WorkerInfo,
        run: RunKey,
        fencingToken: number,
        limitMs: number,
    ) => Effect.Effect<OrderAnswer>;
    /** Lets a run work at a share of its speed, in percent. */
    readonly paceRun: (
        worker: WorkerInfo,
        run: RunKey,
        percent: number,
        fencingToken: number,
        limitMs: number,
    ) => Effect.Effect<OrderAnswer>;
    readonly renewLease: (worker: WorkerInfo, order: RenewOrder, limitMs: number) => Effect.Effect<RenewAnswer>;
    /** Closes the connections to a worker, so that the next call opens a new one. */
    readonly closeConnections: (worker: WorkerInfo) => void;
}

/** A worker that may run the tasks of a step, and the permission to show it. */
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
    /** Asks which of the workers may run a step; 100 workers at most. */
    readonly askAdvice: (
        job: string,
        occurrence: number,
        step: number,
        workers: readonly WorkerId[],
        limitMs: number,
    ) => Effect.Effect<AdviceAnswer>;
}
