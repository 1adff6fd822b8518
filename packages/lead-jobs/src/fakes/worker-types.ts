import type { RunKey, RunOutcome, WorkerInfo, WorkerPort, WorkerRef } from "@chestnutspool/types";
import type { Effect } from "effect";
import type { RunBehaviour } from "./paced-run.js";

/** Whether and how the next orders to a worker fail. */
export type WorkerFault =
    | "none"
    /** Orders do not arrive. */
    | "cut"
    /** Orders are carried out, but their answers are lost. */
    | "answersLost"
    /** Orders are carried out some seconds later and get no answer. */
    | "late"
    /** Orders are carried out at once and answered after `slowAnswerMs`. */
    | "slow"
    /** Starts are carried out some seconds later and get no answer; all other orders work. */
    | "startsLate"
    /** The same after twice the time. */
    | "startsVeryLate"
    /** Starts are never carried out and get no answer; all other orders work. */
    | "startsLost";

/** A run that a worker has started. */
export interface StartedRun {
    readonly worker: string;
    readonly task: string;
    readonly run: number;
    readonly startedAtMs: number;
    endedAtMs: number | undefined;
    outcome: RunOutcome | undefined;
    /** Whether the run was in progress when its worker crashed. */
    hasCrashed: boolean;
    /** Whether the number that the leader acknowledged has reached the end, without a lapse of the lease between the two. */
    isAcknowledged: boolean;
    /** Whether the lease of the worker has lapsed after the end and before it was acknowledged. */
    hasLapsedSince: boolean;
}

/** Longest lease of the fake workers, in milliseconds; a longer one is shortened to that. */
export const testLeaseMs = 6_000;

/** How the machine of a worker that crashed starts the next worker. */
export interface RestartPlan {
    /** Time until the next worker listens at the address, in milliseconds. */
    readonly afterMs: number;
    readonly nextInfo: (crashed: WorkerInfo, nowMs: number) => WorkerInfo;
    /**
     * Whether connections stay open over the restart: calls to the worker that crashed hang, and reach the next one under its id
     * if that starts in time. Otherwise they are broken off or refused.
     */
    readonly keepsConnections?: boolean;
}

/**
 * Workers that follow the protocol of the platform: they check fencing tokens, leases and run numbers, and list ends
 * until they are acknowledged.
 */
export interface FakeWorkers {
    readonly port: WorkerPort<WorkerRef>;
    readonly addWorker: (info: WorkerInfo, clockRate?: number) => void;
    readonly removeWorker: (id: string, nowMs: number) => void;
    readonly setFault: (id: string, fault: WorkerFault) => void;
    /**
     * Makes the start of some runs crash their worker; the next worker starts at its address as planned, and is announced
     * by `announce`.
     */
    readonly setCrashingRuns: (
        isCrashing: (run: RunKey) => boolean,
        restart: RestartPlan,
        announce: (worker: WorkerInfo) => Effect.Effect<void>,
    ) => void;
    /** Ends a worker without notice; it is replaced as planned by `setCrashingRuns`. */
    readonly crashWorker: (id: string, nowMs: number) => void;
    /** Sets how long runs take and how they end; by default they succeed after one second. */
    readonly setBehaviour: (
        decide: (run: RunKey, worker: string) => RunBehaviour,
    ) => void;
    /** Counts the workers that have received an order with this fencing token or a higher one. */
    readonly countWorkersWithToken: (token: number) => number;
    /** Returns all runs that have started up to `nowMs`. */
    readonly readStartedRuns: (nowMs: number) => readonly StartedRun[];
}
