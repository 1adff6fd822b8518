import { createJob, type JobRecord } from "@chestnutspool/job-state";
import { computeChainMs, computeObjectiveMs, lateFactor } from "@chestnutspool/plan-jobs";
import { computeShareOfId, type JobDefinition, type QueueSettings } from "@chestnutspool/types";
import {
    type Backlog,
    type BacklogEntry,
    createBacklogEntry,
    isBeforeContended,
    isBeforeInTime,
    isBeforeLate,
    sumWork,
    type WorkSum,
} from "./backlog.js";
import type { LeaderBusyness } from "./leader-busyness.js";
import {
    hasBeenFull,
    isSaturated,
    type PoolRates,
    readAcceptedRates,
    readRates,
    readRatesWhileFull,
    type Throughput,
} from "./throughput.js";

/**
 * Smoothed delay of timers from which the leader accepts nothing, in milliseconds. A renewal counts as lost when its answer
 * is handled 600 ms late, and the runs of a worker end with its lease.
 */
const busyDelayMs = 500;
/** Commands waiting to be committed, beyond one of each worker, from which the leader accepts nothing. */
const busyCommits = 1_000;
/** Time for which a pool has to be full before early refusal, in milliseconds, so that its rate is known. */
const earlyFullMs = 1_500;
/** Wait below which nothing is refused, in milliseconds, because declared run times are off by up to ten times. */
const acceptedWaitMs = 3_000;
/**
 * Factor by which a job must be predicted to exceed the time after which its result has no value. Declared run times, and
 * the work that callers send next, differ from what is predicted.
 */
const predictionTolerance = 2;
/** Shortest time after which a refused caller may come back, in milliseconds. */
const shortestRetryMs = 1_000;
/** Longest time after which a refused caller may come back, in milliseconds. */
export const longestRetryMs = 20_000;
/** Time until a busy leader is expected to have worked off what it accepted, in milliseconds. */
const busyRetryMs = 2_000;
/** Share of that time by which callers are spread when they come back. */
const retrySpread = 0.5;
/** Share of a pool that counts as free for new work although all of it is taken by work that goes first. */
const smallestFreeShare = 0.3;
const millisecondsPerSecond = 1_000;

/** Why a job is refused: the leader is too busy, or the job would end when its result has no value. */
export type RefusalCause = "leaderBusy" | "tooLate";

/** What a decision is made from. */
export interface AdmissionInputs {
    readonly backlog: Backlog;
    readonly throughput: Throughput;
    readonly busyness: LeaderBusyness;
    /** Priorities of all queues. */
    readonly priorities: readonly number[];
    /** Whether the pool has queues of several priorities, so that the planner orders contended work by value; by default it has not. */
    readonly isShared?: boolean;
    /** Tasks of the queue that the leader starts in a second while its processor time is rationed; absent or undefined while it is not. */
    readonly startsPerSecond?: number | undefined;
    /** Number of workers; each may have one command in progress, such as the ends of its latest report. */
    readonly workers: number;
}

/** Whether a new job is accepted, with the figures that decided. */
export interface AdmissionDecision {
    /** Undefined if the job is accepted. */
    readonly cause: RefusalCause | undefined;
    readonly retryAfterMs: number;
    readonly waitMs: number;
    readonly aheadTasks: number;
    readonly aheadCoreMs: number;
    readonly tasksPerSecond: number;
    readonly cores: number;
}

/** Whether the leader is too busy to accept a job that gets `limitShare` of its limits. */
function isLeaderBusy({ busyness, workers }: AdmissionInputs, limitShare: number): boolean {
    return busyness.delayMs >= busyDelayMs * limitShare
        || busyness.waitingCommits - workers >= busyCommits * limitShare;
}

/** Computes the share of the limits of a busy leader that applies to a priority: less urgent queues are refused first. */
function computeLimitShare(priority: number, priorities: readonly number[]): number {
    const moreUrgent = new Set(priorities.filter(other => other < priority)).size;
    return 1 / (1 + moreUrgent);
}

/** Computes after which time a refused caller may come back, in milliseconds: `earliestMs` within bounds, spread by the id. */
export function computeRetryMs(id: string, earliestMs: number): number {
    const boundedMs = Math.min(longestRetryMs, Math.max(shortestRetryMs, earliestMs));
    return Math.round(boundedMs * (1 + retrySpread * computeShareOfId(id)));
}

/** Predicts for how long work waits; the shorter one of both predictions, so that work is not refused too early. */
function predictWaitMs(ahead: WorkSum, rates: PoolRates, inflow: PoolRates): number {
    // Work that is accepted later goes first too; a part of the pool is assumed to be left, because rates vary.
    const freeTasks = Math.max(smallestFreeShare * rates.tasksPerSecond, rates.tasksPerSecond - inflow.tasksPerSecond);
    const freeCores = Math.max(smallestFreeShare * rates.cores, rates.cores - inflow.cores);
    const byTasksMs = freeTasks === 0 ? 0 : ahead.tasks * millisecondsPerSecond / freeTasks;
    const byWorkMs = freeCores === 0 ? 0 : ahead.coreMs / freeCores;
    return Math.min(byTasksMs, byWorkMs);
}

/**
 * Predicts for how long new work waits until the planner starts it: first behind smaller work that can still be in time,
 * then, once it is late itself, behind all such work. Returns the wait and the work that goes first.
 */
function predictWait(entry: BacklogEntry, inputs: AdmissionInputs, latestInTimeMs: number, nowMs: number) {
    const { throughput } = inputs;
    const backlog = inputs.backlog.filter(({ service }) => service === entry.service);
    const rates = readRates(throughput, nowMs);
    const predict = (isBefore: (other: BacklogEntry, of: BacklogEntry) => boolean) => {
        const ahead = sumWork(backlog, other => isBefore(other, entry));
        const inflow = readAcceptedRates(throughput, other => isBefore(other, entry), nowMs);
        return { ahead, rates, waitMs: predictWaitMs(ahead, rates, inflow) };
    };
    const whileInTime = predict(isBeforeInTime);
    return whileInTime.waitMs <= latestInTimeMs ? whileInTime : predict(isBeforeLate);
}

/**
 * Decides about a job in a full pool with queues of several priorities. It is refused if the work that goes first there, without what
 * others send later, keeps it waiting beyond the time after which its result has no value, by the processors of the pool or by the starts
 * that the leader has time for: the planner may yet serve any other.
 */
function decideContended(
    entry: BacklogEntry,
    { backlog, throughput, startsPerSecond = Number.POSITIVE_INFINITY }: AdmissionInputs,
    id: string,
    objectiveMs: number,
    remainingMs: number,
    nowMs: number,
): Partial<AdmissionDecision> {
    const ofPool = backlog.filter(({ service }) => service === entry.service);
    const ahead = sumWork(ofPool, other => isBeforeContended(other, entry));
    const { tasksPerSecond, cores } = readRatesWhileFull(throughput, nowMs) ?? { tasksPerSecond: 0, cores: 0 };
    const startMs = ahead.tasks * millisecondsPerSecond / startsPerSecond;
    const waitMs = Math.max(startMs, cores === 0 ? 0 : ahead.coreMs / cores);
    const isTooLate = waitMs > acceptedWaitMs && waitMs + remainingMs > lateFactor * objectiveMs;
    return {
        cause: isTooLate ? "tooLate" : undefined,
        retryAfterMs: isTooLate ? computeRetryMs(id, waitMs + remainingMs - objectiveMs) : 0,
        waitMs,
        aheadTasks: ahead.tasks,
        aheadCoreMs: ahead.coreMs,
        tasksPerSecond,
        cores,
    };
}

function isDeferred(job: JobRecord, nowMs: number): boolean {
    const { definition } = job;
    return (definition.firstAtMs ?? nowMs) > nowMs || definition.steps.some(step => step.longRunning);
}

/**
 * Decides whether a new job is accepted. `nowMs` is monotonic time, `wallMs` wall-clock time, both in milliseconds. Nothing
 * is refused for work that waits unless the pool has been saturated for some seconds, or full for `earlyFullMs` if it has queues of
 * several priorities.
 */
export function decideAdmission(
    definition: JobDefinition,
    queue: QueueSettings,
    inputs: AdmissionInputs,
    nowMs: number,
    wallMs: number,
): AdmissionDecision {
    const { throughput, priorities, isShared = false } = inputs;
    const accepted: AdmissionDecision = {
        cause: undefined,
        retryAfterMs: 0,
        waitMs: 0,
        aheadTasks: 0,
        aheadCoreMs: 0,
        tasksPerSecond: 0,
        cores: 0,
    };
    if (isLeaderBusy(inputs, computeLimitShare(queue.priority, priorities))) {
        return { ...accepted, cause: "leaderBusy", retryAfterMs: computeRetryMs(definition.id, busyRetryMs) };
    }
    const isContended = isShared && hasBeenFull(throughput, earlyFullMs, nowMs);
    if (isShared ? !isContended : !isSaturated(throughput, nowMs)) {
        return accepted;
    }
    const job = createJob({ ...definition, occurrences: 1 }, queue, wallMs);
    const [occurrence] = job.occurrences.values();
    if (occurrence === undefined || isDeferred(job, wallMs)) {
        return accepted;
    }
    const objectiveMs = computeObjectiveMs(job);
    const remainingMs = computeChainMs(job, () => true);
    const entry = createBacklogEntry(job, occurrence, wallMs);
    if (isContended) {
        return { ...accepted, ...decideContended(entry, inputs, definition.id, objectiveMs, remainingMs, nowMs) };
    }
    const { ahead, rates, waitMs } = predictWait(entry, inputs, objectiveMs - remainingMs, nowMs);
    const isTooLate = waitMs > acceptedWaitMs && waitMs + remainingMs > predictionTolerance * lateFactor * objectiveMs;
    return {
        cause: isTooLate ? "tooLate" : undefined,
        retryAfterMs: isTooLate ? computeRetryMs(definition.id, waitMs + remainingMs - objectiveMs) : 0,
        waitMs,
        aheadTasks: ahead.tasks,
        aheadCoreMs: ahead.coreMs,
        tasksPerSecond: rates.tasksPerSecond,
        cores: rates.cores,
    };
}
