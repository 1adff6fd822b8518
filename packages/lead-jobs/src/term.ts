import { describeError } from "@chestnutspool/errors";
import type { JobMachine } from "@chestnutspool/job-state";
import type { InterferenceModel, UsageHistory } from "@chestnutspool/learn-interference";
import type { SpeedModel } from "@chestnutspool/learn-worker-speed";
import type { Logger } from "@chestnutspool/logger";
import type { CopyMemory } from "@chestnutspool/plan-copies";
import type { PlacementWaits, Urgency } from "@chestnutspool/plan-jobs";
import { isRationed, type LeaderRation } from "@chestnutspool/ration-leader-time";
import type { Metrics } from "@chestnutspool/record-metrics";
import type { RunStatuses, StartRejections, WorkerHealth, WorkerLease } from "@chestnutspool/track-workers";
import {
    type ErrorData,
    type JobCommand,
    type JobId,
    type JobResult,
    readMonotonicMs,
    type RenewAnswer,
    type ReplicaStatus,
    type ReplicatedLog,
    type WorkerId,
    type WorkerInfo,
    type WorkerPort,
} from "@chestnutspool/types";
import { Effect, type FiberMap, Queue, type Scope } from "effect";
import { type Admission, listCommandWork, recordWork } from "./admission.js";
import type { OpenOrders } from "./open-orders.js";
import type { RefusedSteps } from "./refused-steps.js";
import { readTermMs, type SteadyClock } from "./steady-clock.js";
import { recordCommit, type TermLoad } from "./term-load.js";

/** What the deployment sets. */
export interface LeaderLimits {
    /** Longest lease that a worker takes, in milliseconds. */
    readonly longestLeaseMs: number;
    /** Longest time that a worker needs to stop a run, in milliseconds. */
    readonly stopMs: number;
    /** Availability zones of the deployment; workers may be in others. */
    readonly availabilityZones: readonly string[];
    /** Whether runs of queues with a lower priority are preempted; they are by default. */
    readonly preemptsRuns?: boolean;
    /** Whether the leader learns the speeds of workers and avoids slow ones; it does not by default. */
    readonly learnsWorkerSpeed?: boolean;
    /**
     * How many times longer a task runs outside of the rack that it prefers. Tasks wait for that rack only if this is above 1;
     * undefined: 1.
     */
    readonly remoteRunFactor?: number | undefined;
}

/** Dependencies of the leader. */
export interface LeaderDependencies {
    readonly log: ReplicatedLog<JobCommand, JobResult>;
    readonly machine: JobMachine;
    readonly workers: WorkerPort;
    readonly limits: LeaderLimits;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /**
     * Reads for how long the event loop has been busy since the start of the process, in milliseconds. Undefined if that is not known: the
     * processor time of the leader is then not rationed.
     */
    readonly readBusyMs?: (() => number) | undefined;
}

/** Answer of a worker to a renewal of its lease. */
export interface RenewalAnswer {
    readonly answer: RenewAnswer;
    /** When the renewal was sent, in monotonic milliseconds. */
    readonly sentAtMs: number;
    /** Sequence number that it acknowledged; 0 for none. */
    readonly acknowledgedSequence: number;
}

/** An acknowledgement that got no answer: the sequence number, and when it was sent, in monotonic milliseconds. */
export interface UnansweredAcknowledgement {
    readonly sequence: number;
    readonly sentAtMs: number;
}

/** State of one worker in the term of a leader. */
export interface WorkerSession {
    /** What the worker last said of itself; a session is for one start of a worker. */
    info: WorkerInfo;
    /** When the session was opened, in monotonic milliseconds. */
    readonly openedAtMs: number;
    /** Whether `info` is of this start; if not, a heartbeat will tell what the worker is now. */
    isAnnounced: boolean;
    /** Whether the worker has started again, so that another session takes the place of this one. */
    isSuperseded: boolean;
    /** Fencing token of the orders to the worker, above those of all orders to its earlier starts and of earlier leaders. */
    readonly fencingToken: number;
    lease: WorkerLease | undefined;
    /** When the latest order that extends the lease was sent, in monotonic milliseconds. */
    leaseOrderSentAtMs: number;
    /**
     * Until when orders of earlier leaders, or to an earlier start of the worker, may extend its lease, in monotonic milliseconds,
     * unless it has answered.
     */
    readonly foreignOrdersUntilMs: number;
    /** When it first answered a renewal, in monotonic milliseconds, so that it refuses all foreign orders; undefined before. */
    fencedAtMs: number | undefined;
    readonly runStatuses: RunStatuses;
    /** Sequence number up to which the ends of runs are recorded. */
    acknowledgedSequence: number;
    /** Sequence number whose acknowledgement has certainly arrived, because the worker has answered it. */
    confirmedSequence: number;
    /** The latest acknowledgement without an answer, which may yet arrive; undefined if each of them was answered. */
    unansweredAcknowledgement: UnansweredAcknowledgement | undefined;
    /**
     * Until when acknowledgements of earlier leaders, or to an earlier start of the worker, may arrive, in monotonic milliseconds.
     */
    readonly foreignAcknowledgementsUntilMs: number;
    /**
     * Whether the worker may not list its first ends, because an acknowledgement to an earlier start may have reached it. Until it has
     * listed an end, it runs only what may be repeated.
     */
    mayOmitEnds: boolean;
    /** When the worker last answered an order, in monotonic milliseconds; undefined before the first answer. */
    answeredAtMs: number | undefined;
    /** Whether the worker answered the last renewal of its lease. */
    isResponsive: boolean;
    /** Whether the runs on the worker have been compared with the recorded ones in this term. */
    isReconciled: boolean;
    /** When it missed the first renewal since its last answer, in monotonic milliseconds; undefined if it has missed none. */
    silentSinceMs: number | undefined;
    /** Whether nothing listened at its address when it was last called. */
    isRefusing: boolean;
    /** Answers to renewals that were sent since the worker missed one, and are not applied yet. */
    readonly lateAnswers: Queue.Queue<RenewalAnswer>;
    /** Signals that an answer came from another start of the worker, so that it is called at once. */
    readonly restartSigns: Queue.Queue<void>;
    /** Ends the pause before the next renewal, because an urgent task starts on the worker. */
    readonly renewalWakeups: Queue.Queue<void>;
    /** When the latest renewal was sent, in monotonic milliseconds. */
    renewalSentAtMs: number;
    /** When the last heartbeat arrived, in monotonic milliseconds. */
    heartbeatAtMs: number;
    /** Highest sequence number of the worker's heartbeats. */
    heartbeatSequence: number;
    /** When the worker announced that it leaves, in monotonic milliseconds; undefined before. */
    leftAtMs: number | undefined;
    /** Processor usage of the best-effort tasks on the worker. */
    readonly usage: UsageHistory;
    /** Health of the worker by the ends of its runs. */
    readonly health: WorkerHealth;
    /** Starts that the worker has rejected since it last confirmed one. */
    readonly startRejections: StartRejections;
}

/** Speeds of the workers as a term has learnt them. */
export interface SpeedLearning {
    readonly model: SpeedModel;
    /** Time of the log from which on this leader has ordered the starts, in milliseconds since the epoch. */
    readonly sinceMs: number;
    /** Useful speeds that the planner has asked for since `predictedAtMs`, in monotonic milliseconds. */
    readonly predicted: Map<WorkerId, number>;
    predictedAtMs: number;
}

/** One term of this replica as leader. */
export interface Term extends LeaderDependencies {
    readonly number: number;
    /** When the term was opened, in monotonic milliseconds. */
    readonly openedAtMs: number;
    /** Time of the commands and of the age of jobs. */
    readonly clock: SteadyClock;
    readonly scope: Scope.Scope;
    readonly sessions: Map<WorkerId, WorkerSession>;
    readonly sessionLoops: FiberMap.FiberMap<WorkerId>;
    /** Worker of the last failed run of each task, by task key; only the latest failures are kept. */
    readonly failedWorkerByTask: Map<string, WorkerId>;
    /** Number of the last run of each task that ended without having started, by task key; only the latest are kept. */
    readonly unstartedRunByTask: Map<string, number>;
    /** Run times of the successful runs of each step, by step key; only the latest steps are kept. */
    readonly runTimesByStep: Map<string, { readonly runs: number; readonly totalMs: number; }>;
    /** Copies of slow tasks, and the run times that they are decided by. */
    readonly copies: CopyMemory;
    /** Jobs that are being given up, so that this happens once. */
    readonly givenUpJobs: Set<JobId>;
    /** Jobs that have begun, as this leader has learnt since it last recorded them. */
    readonly begunJobs: Set<JobId>;
    /** Starts whose run has ended and that may yet arrive at their worker. */
    readonly openOrders: OpenOrders;
    /** Steps of which workers refuse the starts. */
    readonly refusedSteps: RefusedSteps;
    /** Queue whose items wake the planner. */
    readonly plannerWakeups: Queue.Queue<void>;
    readonly interference: InterferenceModel;
    /** Undefined if speeds are not learnt. */
    readonly speeds: SpeedLearning | undefined;
    /** Waits of tasks for the rack that they prefer; undefined if none does. */
    readonly placementWaits: PlacementWaits | undefined;
    /** Work since the last line about the load of the leader. */
    readonly load: TermLoad;
    /** What the decision about new jobs needs. */
    readonly admission: Admission;
    /** What deferrable work may take of the processor time. */
    readonly ration: LeaderRation;
    /** Urgent steps of which the last pass found no room for a task, so that each end of a run may give it to them. */
    urgentStepsLeft: number;
    /** Whether a worker has accepted the fencing token of a later leader, so that this one sends no more orders. */
    isFenced: boolean;
}

/** Whether orders may be sent: this replica leads the term, and no worker has accepted a later leader. */
export function canSendOrders(term: Term, nowMs: number): boolean {
    return !term.isFenced && term.log.isLeading(nowMs) && term.log.readStatus().term === term.number;
}

/**
 * Fences the term because a worker has accepted a later leader. A call to an earlier start that the later one refuses says nothing
 * about the leader.
 */
export function fenceTerm(term: Term, session: WorkerSession, nowMs: number): void {
    if (term.isFenced || session.isSuperseded || term.sessions.get(session.info.id) !== session) {
        return;
    }
    term.isFenced = true;
    term.logger.warn("a worker has accepted a later leader; no more orders are sent", {
        term: term.number,
        worker: session.info.id,
        fencingToken: session.fencingToken,
        nowMs,
    });
}

/** Whether a replica with this status leads the term. */
export function isLeaderOfTerm(status: ReplicaStatus, number: number): boolean {
    return status.role === "leader" && status.term === number;
}

/**
 * Wakes the planner for another pass. While the processor time of the leader is rationed, deferrable work waits for the next pass that is due
 * or that urgent work asks for, because most of the time of a pass does not depend on what has changed.
 */
export function wakePlanner(term: Term, urgency: Urgency = "urgent"): void {
    if (urgency === "urgent" || !isRationed(term.ration) || term.urgentStepsLeft > 0) {
        Queue.offerUnsafe(term.plannerWakeups, undefined);
    }
}

/** Content of a command before the present time is added. */
export type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** Proposes a command with the current time of the term. Fails like `proposeCommand`. */
export const propose = Effect.fnUntraced(function*(term: Term, command: WithoutTime<JobCommand>) {
    const nowMs = yield* readTermMs(term);
    const startedMs = yield* readMonotonicMs;
    const work = listCommandWork(term.machine.state, command);
    term.admission.busyness.waitingCommits += 1;
    const result = yield* Effect.ensuring(
        term.log.proposeCommand({ ...command, nowMs }),
        Effect.sync(() => {
            term.admission.busyness.waitingCommits -= 1;
        }),
    );
    const committedMs = yield* readMonotonicMs;
    recordCommit(term.load, committedMs - startedMs);
    recordWork(term.admission, work, result, committedMs);
    return result;
});

/** Records what a worker last said of itself. */
export function registerWorker(term: Term, { info, heartbeatSequence, mayOmitEnds }: WorkerSession) {
    return propose(term, {
        kind: "registerWorker",
        worker: info,
        sequence: heartbeatSequence,
        ...(mayOmitEnds ? { mayOmitEnds } : {}),
    });
}

/**
 * Logs an error in a step of the leader. The planner, the sessions of the workers and the recording of disturbances
 * repeat a failed step in their next round.
 */
export function logStepError(logger: Logger, step: string, error: ErrorData): Effect.Effect<void> {
    return Effect.sync(() => logger.warn("leader step failed", { step, detail: describeError(error) }));
}
