import { describeError } from "@chestnutspool/errors";
import type { JobMachine } from "@chestnutspool/job-state";
import type { InterferenceModel, UsageHistory } from "@chestnutspool/learn-interference";
import type { Logger } from "@chestnutspool/logger";
import type { Metrics } from "@chestnutspool/record-metrics";
import type { RunViews, WorkerHealth, WorkerLease } from "@chestnutspool/track-workers";
import {
    type ErrorData,
    type JobCommand,
    type JobResult,
    readWallMs,
    type ReplicatedLog,
    type WorkerId,
    type WorkerInfo,
    type WorkerPort,
} from "@chestnutspool/types";
import { Effect, type FiberMap, Queue, type Scope } from "effect";

/** Durations that the deployment sets, in milliseconds. */
export interface LeaderLimits {
    /** Longest lease that a worker takes. */
    readonly longestLeaseMs: number;
    /** Longest time that a worker needs to stop a run. */
    readonly stopMs: number;
}

/** What the leader is built from. */
export interface LeaderParts {
    readonly log: ReplicatedLog<JobCommand, JobResult>;
    readonly machine: JobMachine;
    readonly workers: WorkerPort;
    readonly limits: LeaderLimits;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** What the leader knows of one worker in its term. */
export interface WorkerSession {
    readonly info: WorkerInfo;
    lease: WorkerLease | undefined;
    readonly views: RunViews;
    /** Ends up to this sequence number are recorded. */
    acknowledgedSequence: number;
    /** When an order was last answered, in monotonic milliseconds; undefined before the first answer. */
    answeredAtMs: number | undefined;
    /** The last renewal was answered by the worker itself. */
    isResponsive: boolean;
    /** The runs on the worker have been compared with the recorded ones in this term. */
    isReconciled: boolean;
    /** When the last heartbeat arrived, in monotonic milliseconds. */
    heardAtMs: number;
    /** Highest sequence number of its heartbeats. */
    heartbeatSequence: number;
    /** When it said that it ends now; undefined while it has not. */
    leftAtMs: number | undefined;
    /** How much of the worker the tasks that use idle processors have used. */
    readonly uses: UsageHistory;
    /** How its runs ended. */
    readonly health: WorkerHealth;
}

/** One term of this replica as leader. */
export interface Term extends LeaderParts {
    readonly number: number;
    /** When the term was opened, in monotonic milliseconds. */
    readonly openedAtMs: number;
    readonly scope: Scope.Scope;
    readonly sessions: Map<WorkerId, WorkerSession>;
    readonly sessionLoops: FiberMap.FiberMap<WorkerId>;
    /** Worker of the last failed run of each task, by the key of the task; of the latest failures only. */
    readonly failedOn: Map<string, WorkerId>;
    /** Run times of the successful runs of each step, by its key; of the latest steps only. */
    readonly runTimes: Map<string, { readonly runs: number; readonly totalMs: number; }>;
    /** Wakes the planner. */
    readonly planWake: Queue.Queue<void>;
    readonly interference: InterferenceModel;
    /** A worker has obeyed a later leader, so this one gives no more orders. */
    isFenced: boolean;
}

/** Whether orders may be given: this replica leads the term and no worker has seen a later leader. */
export function canGiveOrders(term: Term, nowMs: number): boolean {
    return !term.isFenced && term.log.isLeading(nowMs) && term.log.readStatus().term === term.number;
}

/** Lets the planner run soon. */
export function wakePlanner(term: Term): void {
    Queue.offerUnsafe(term.planWake, undefined);
}

type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** Proposes a command at the present time. Fails as `proposeCommand` does. */
export const propose = Effect.fnUntraced(function*(term: Term, command: WithoutTime<JobCommand>) {
    const nowMs = yield* readWallMs;
    return yield* term.log.proposeCommand({ ...command, nowMs });
});

/** Logs an error of a step of the leader, which is made again. */
export function logStepError(logger: Logger, step: string, error: ErrorData): Effect.Effect<void> {
    return Effect.sync(() => logger.warn("leader step failed", { step, detail: describeError(error) }));
}
