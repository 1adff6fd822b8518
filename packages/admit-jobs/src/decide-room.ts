import { estimateJobBytes } from "@chestnutspool/job-state";
import type { JobDefinition, QueueSettings } from "@chestnutspool/types";
import { computeRetryMs, longestRetryMs } from "./decide-admission.js";

/** Share of the memory for jobs of queues that are not among the most urgent ones, so that there is room for urgent jobs. */
const lessUrgentShare = 0.9;

/** Memory for the state of jobs, in bytes. */
export interface StateRoom {
    readonly heldBytes: number;
    /** Memory of the jobs that are proposed and may not be part of the state yet. */
    readonly proposedBytes: number;
    readonly budgetBytes: number;
    /** Priorities of all queues. */
    readonly priorities: readonly number[];
}

/** Whether there is memory for a new job. Nothing ends for lack of it while the leader accepts only what fits. */
export type RoomDecision =
    | { readonly kind: "fits"; }
    /** The job fits once others have ended; the caller may come back after a time in milliseconds. */
    | { readonly kind: "full"; readonly retryAfterMs: number; }
    /** The job would not fit into the empty state either. */
    | { readonly kind: "tooLarge"; };

/** Decides whether there is memory for a job of a queue. */
export function decideRoom(definition: JobDefinition, { priority }: QueueSettings, room: StateRoom): RoomDecision {
    const isLessUrgent = room.priorities.some(other => other < priority);
    const limitBytes = room.budgetBytes * (isLessUrgent ? lessUrgentShare : 1);
    const jobBytes = estimateJobBytes(definition);
    if (jobBytes > limitBytes) {
        return { kind: "tooLarge" };
    }
    return room.heldBytes + room.proposedBytes + jobBytes <= limitBytes
        ? { kind: "fits" }
        : { kind: "full", retryAfterMs: computeRetryMs(definition.id, longestRetryMs) };
}
