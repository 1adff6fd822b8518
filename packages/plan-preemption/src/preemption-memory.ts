import type { CapacityReservation } from "@chestnutspool/plan-jobs";
import type { TaskKey } from "@chestnutspool/types";

/** Capacity that is reserved for a task while runs are stopped for it. Times are monotonic, in milliseconds. */
export interface PreemptionReservation extends CapacityReservation {
    readonly task: TaskKey;
    readonly queue: string;
    readonly service: string;
    /** Number of runs that were stopped for it. */
    readonly stoppedRuns: number;
    /** Runs whose end frees the capacity, by run key. */
    readonly awaitedRuns: readonly string[];
    readonly decidedAtMs: number;
    /** When the last of the awaited runs had ended; undefined before. */
    freedAtMs: number | undefined;
}

/** Budget of lost work of one service. */
export interface LossBudget {
    /** Work that may still be lost, in core-milliseconds. */
    leftCoreMs: number;
    updatedAtMs: number;
}

/**
 * What the planner of preemptions remembers. A new leader starts without it: then nothing is reserved, and the budgets are
 * empty.
 */
export interface PreemptionMemory {
    reservations: readonly PreemptionReservation[];
    /** Budgets by service. */
    readonly budgets: Map<string, LossBudget>;
    /** When each step was first found to lack room, by step key, for steps that have lacked it since. */
    shortSinceMs: ReadonlyMap<string, number>;
}

/** Creates the memory of a leader that has not preempted anything. */
export function createPreemptionMemory(): PreemptionMemory {
    return { reservations: [], budgets: new Map(), shortSinceMs: new Map() };
}
