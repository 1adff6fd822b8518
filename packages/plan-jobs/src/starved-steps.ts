import type { JobRecord, JobState, JobStep, JobTask } from "@chestnutspool/job-state";
import type { RunStart, WorkerId } from "@chestnutspool/types";
import type { Lateness } from "./predict-lateness.js";
import {
    endWait,
    findStarted,
    type FindUnstartedRun,
    getKey,
    hasRun,
    observeWait,
    observeWithoutRun,
    recordStarts,
    retryMs,
    type Starvation,
    type StarvationWaits,
    type Waiter,
} from "./starvation-waits.js";
import type { WaitingStep } from "./waiting-steps.js";

/**
 * Time for which a job with a best-effort step has had no run until the step is starved, in milliseconds, by the lateness
 * of its occurrence. Declared run times are often far off, so that a job in time is not left to wait without end either.
 */
const starvedMs: Readonly<Record<Lateness, number>> = { inTime: 6_000, late: 2_000, tooLate: 2_000 };
/**
 * Time for which a job has had no run, and most of its pool was free, until its start is expedited, in milliseconds. With the time
 * of a round it stays below the 3 s for which users allow a job to have no run in such a pool.
 */
const expeditedMs = 2_000;
/** The same for a job that has had runs: the end of its last one was reported up to a second late. */
const expeditedAfterRunMs = 1_200;
/**
 * The same for a long-running task, whether others of its job run or not. With a report that is a second late, a round and a start that is
 * refused it stays below the 6 s after which users count each such task without a run.
 */
const expeditedTaskMs = 3_000;
/** Time for which a long-running task has had no run in a pool that is in use until it is starved, in milliseconds. */
const starvedTaskMs = 4_000;
/** Time in which each job whose start is expedited gets one, in milliseconds. */
const roundMs = 600;
/** Share of the processors of a pool that is reserved at most while most of it is free. */
const freeShare = 0.5;
/** Length of the intervals for which the starts of starved steps of a service are limited, in milliseconds. */
const intervalMs = 1_000;
/**
 * Share of the workers of a service that may get a task of a starved step in an interval, so that the serving tasks of few
 * of them are disturbed. One may always. Expedited starts are not limited by it.
 */
const workerShare = 0.03;

/** Best-effort jobs without a run, for the log. */
export interface StarvationSummary {
    /** Jobs without a run whose turn has come in the last pass, also those that are not starved yet. */
    readonly jobs: number;
    /** Longest time for which one of them has had no run, in milliseconds. */
    readonly longestMs: number;
    /** Tasks of starved steps that were started since the summary was last taken. */
    readonly starts: number;
}

/** Starts of starved steps of a service in the present interval. */
interface StartInterval {
    readonly beganAtMs: number;
    starts: number;
}

/** Starved steps of a service. Times are wall-clock times in milliseconds since the epoch. */
interface ServiceStarvation {
    interval: StartInterval;
    /** When the next expedited start is due. */
    expeditedAtMs: number;
    /** Times of the last expedited starts, for the length of a round. */
    expeditedStartsMs: readonly number[];
    /** Since when each pass has found most of the pool free; undefined if the last one did not. */
    freeSinceMs: number | undefined;
}

/** The pool of a service, as far as the starts of starved steps depend on it. */
export interface PoolUse {
    readonly workers: number;
    /** Whether most of its processors are not reserved. */
    readonly isMostlyFree: boolean;
}

/** What tells jobs without a run in a pass. */
export interface StarvationInput {
    /** Use of the pools, by service. */
    readonly pools: ReadonlyMap<string, PoolUse>;
    /** Number of the last run of a task that ended without having started; absent or undefined if none is known. */
    readonly findUnstartedRun: FindUnstartedRun;
}

/** What the planner remembers of jobs and of long-running tasks without a run. */
export interface StarvationMemory extends StarvationWaits {
    readonly services: Map<string, ServiceStarvation>;
    summary: StarvationSummary;
}

/** A step that may start although it disturbs serving tasks. */
export interface StarvedStep {
    readonly waiting: WaitingStep;
    /** The long-running task that may start; undefined if any task of the job may, which has no run. */
    readonly task: JobTask | undefined;
    readonly starvation: Starvation;
    /** Whether the job or the task has had no run for too long in a pool of which most is free. */
    readonly isExpedited: boolean;
}

/** Creates a memory without jobs. */
export function createStarvationMemory(): StarvationMemory {
    return {
        waits: new WeakMap(),
        unconfirmed: new WeakMap(),
        services: new Map(),
        summary: { jobs: 0, longestMs: 0, starts: 0 },
    };
}

/** Returns what there is to log about jobs without a run, and counts starts anew. */
export function takeStarvationSummary(memory: StarvationMemory): StarvationSummary {
    const { summary } = memory;
    memory.summary = { ...summary, starts: 0 };
    return summary;
}

/** Sums up the use of the pool of each service, by all its workers: those of an evacuated zone count as well. */
export function summarizePools({ workers }: JobState): ReadonlyMap<string, PoolUse> {
    const sums = new Map<string, { workers: number; milliCpu: number; usedMilliCpu: number; }>();
    for (const { info, used } of workers.values()) {
        const sum = sums.get(info.service) ?? { workers: 0, milliCpu: 0, usedMilliCpu: 0 };
        sums.set(info.service, sum);
        sum.workers += 1;
        sum.milliCpu += info.capacity.milliCpu;
        sum.usedMilliCpu += used.milliCpu;
    }
    return new Map([...sums].map(([service, { workers: count, milliCpu, usedMilliCpu }]) => [
        service,
        { workers: count, isMostlyFree: usedMilliCpu < milliCpu * freeShare },
    ]));
}

function getServiceStarvation({ services }: StarvationMemory, service: string): ServiceStarvation {
    const known = services.get(service) ?? {
        interval: { beganAtMs: Number.NEGATIVE_INFINITY, starts: 0 },
        expeditedAtMs: Number.NEGATIVE_INFINITY,
        expeditedStartsMs: [],
        freeSinceMs: undefined,
    };
    services.set(service, known);
    return known;
}

/** Whether a job or a task without a run has waited for too long at `nowMs` in a pool of which most is free. */
function isOverdueInFreePool(
    memory: StarvationMemory,
    { job: { queue, phase }, task }: Waiter,
    { withoutRunSinceMs }: Starvation,
    nowMs: number,
): boolean {
    const { freeSinceMs = nowMs } = getServiceStarvation(memory, queue.service);
    const expeditedJobAfterMs = phase === "queued" ? expeditedMs : expeditedAfterRunMs;
    const expeditedAfterMs = task === undefined ? expeditedJobAfterMs : expeditedTaskMs;
    return nowMs - Math.max(withoutRunSinceMs, freeSinceMs) >= expeditedAfterMs;
}

/**
 * Finds when an attempt to start a step was last made, wall-clock time in milliseconds. An attempt without a start counts for its step
 * only, so that the other steps of the job get their turn.
 */
function findTriedMs({ startedAtMs, triedAtMs }: Starvation, step: JobStep): number {
    return Math.max(startedAtMs, triedAtMs.get(step) ?? Number.NEGATIVE_INFINITY);
}

/** Records that an attempt to start a step is made at `nowMs`. */
export function recordStarvedAttempt({ waiting, starvation }: StarvedStep, nowMs: number): void {
    starvation.triedAtMs.set(waiting.step, nowMs);
}

/** Lists the long-running tasks of a best-effort step that wait for a run; of a gang, which starts whole, only one. */
function listTaskWaiters({ job, step }: WaitingStep): Waiter[] {
    if (!step.spec.longRunning || !step.spec.usesIdleCpu) {
        return [];
    }
    const tasks = [...step.waiting].flatMap(position => step.tasks[position] ?? []);
    return (step.spec.gang ? tasks.slice(0, 1) : tasks).map(task => ({ job, task }));
}

/** Lists the job of a best-effort step if it has no run, and the long-running tasks of the step that wait for one. */
function listWaiters(waiting: WaitingStep): Waiter[] {
    const ofJob = { job: waiting.job, task: undefined };
    return waiting.step.spec.usesIdleCpu && !hasRun(ofJob)
        ? [ofJob, ...listTaskWaiters(waiting)]
        : listTaskWaiters(waiting);
}

/**
 * Lists the steps that are starved at `nowMs`, those of the jobs that have waited longest first: the best-effort steps
 * of jobs that have had no run for some time, and those of each long-running task that has had none. Without it a step whose tasks would disturb serving tasks on each worker
 * waits without end, because its job goes behind smaller ones. A job stays starved until a start that disturbs nothing.
 */
export function listStarvedSteps(
    memory: StarvationMemory,
    waitingSteps: readonly WaitingStep[],
    { pools, findUnstartedRun }: StarvationInput,
    nowMs: number,
): StarvedStep[] {
    for (const [service, { isMostlyFree }] of pools) {
        const ofService = getServiceStarvation(memory, service);
        ofService.freeSinceMs = isMostlyFree ? ofService.freeSinceMs ?? nowMs : undefined;
    }
    const starved: StarvedStep[] = [];
    const withoutRun = new Map<JobRecord, number>();
    for (const waiting of waitingSteps) {
        const { job, step, lateness } = waiting;
        for (const waiter of listWaiters(waiting)) {
            const { task } = waiter;
            const starvation = observeWithoutRun(memory, waiter, findUnstartedRun, nowMs);
            if (task === undefined) {
                withoutRun.set(job, nowMs - starvation.withoutRunSinceMs);
            }
            else if (job.runsInProgress === 0) {
                // One of them starts for the job, which has the shorter time.
                continue;
            }
            const isExpedited = isOverdueInFreePool(memory, waiter, starvation, nowMs);
            const starvedAfterMs = task === undefined ? starvedMs[lateness] : starvedTaskMs;
            const isStarved = isExpedited || nowMs - starvation.sinceMs >= starvedAfterMs;
            if (isStarved && nowMs - findTriedMs(starvation, step) >= retryMs) {
                starved.push({ waiting, task, starvation, isExpedited });
            }
        }
    }
    const longestMs = Math.max(0, ...withoutRun.values());
    memory.summary = { jobs: withoutRun.size, longestMs, starts: memory.summary.starts };
    const computeTurnMs = ({ waiting, starvation }: StarvedStep): number =>
        Math.max(starvation.sinceMs, findTriedMs(starvation, waiting.step));
    return starved.sort((left, right) => computeTurnMs(left) - computeTurnMs(right));
}

/** Lists the tasks of starts of a job. */
export function listStartedTasks(job: JobRecord, starts: readonly RunStart[]): JobTask[] {
    return starts.flatMap(start => findStarted(job, start)?.task ?? []);
}

/**
 * Forgets that a job and its long-running tasks have waited, because tasks of it start at `nowMs` without disturbing serving tasks. The
 * wait of those without a run goes on if workers refuse these starts.
 */
export function recordUndisturbedStarts(
    memory: StarvationMemory,
    job: JobRecord,
    starts: readonly RunStart[],
    findUnstartedRun: FindUnstartedRun,
    nowMs: number,
): void {
    if (job.runsInProgress > 0) {
        memory.unconfirmed.delete(job);
        memory.waits.delete(job);
    }
    else {
        endWait(memory, { job, task: undefined }, starts, findUnstartedRun, nowMs);
    }
    for (const start of starts) {
        const started = findStarted(job, start);
        if (started?.step.spec.longRunning === true && started.step.spec.usesIdleCpu) {
            endWait(memory, { job, task: started.task }, [start], findUnstartedRun, nowMs);
        }
    }
}

/**
 * Lists the workers that are left out for a best-effort step at `nowMs`: they have refused the starts of its job, or of its long-running
 * tasks, since these have had no run, for too long in a pool of which most is free. Otherwise the few workers on which it disturbs nothing are chosen in turn.
 */
export function listRefusingWorkers(
    memory: StarvationMemory,
    waiting: WaitingStep,
    findUnstartedRun: FindUnstartedRun,
    nowMs: number,
): readonly WorkerId[] {
    return listWaiters(waiting).flatMap(waiter => {
        const wait = observeWait(memory, waiter, findUnstartedRun, nowMs);
        return wait !== undefined && nowMs - wait.foundAtMs <= retryMs
                && isOverdueInFreePool(memory, waiter, wait, nowMs)
            ? [...wait.refusedBy]
            : [];
    });
}

/** Counts the jobs and the long-running tasks of each service whose starts are expedited. */
export function countExpedited(starved: readonly StarvedStep[]): ReadonlyMap<string, number> {
    const waiters = new Map<string, Set<JobRecord | JobTask>>();
    for (const { waiting: { job }, task } of starved.filter(({ isExpedited }) => isExpedited)) {
        const { service } = job.queue;
        waiters.set(service, (waiters.get(service) ?? new Set()).add(getKey({ job, task })));
    }
    return new Map([...waiters].map(([service, ofService]) => [service, ofService.size]));
}

function hasLimitLeft({ interval }: ServiceStarvation, workers: number, nowMs: number): boolean {
    const used = nowMs - interval.beganAtMs >= intervalMs ? 0 : interval.starts;
    return used < Math.max(1, Math.floor(workers * workerShare));
}

/** Whether a task or a gang of a starved step may start at `nowMs` in a pool of a number of workers. */
export function canStartStarved(
    memory: StarvationMemory,
    { waiting, isExpedited }: StarvedStep,
    workers: number,
    nowMs: number,
): boolean {
    const ofService = getServiceStarvation(memory, waiting.job.queue.service);
    return hasLimitLeft(ofService, workers, nowMs) || (isExpedited && ofService.expeditedAtMs <= nowMs);
}

/**
 * Records that tasks of a starved step start at `nowMs`. `expedited` counts the jobs and long-running tasks of the service whose starts
 * the pass expedites: the rate of these starts grows with them, so that each gets one in a round.
 */
export function recordStarvedStart(
    memory: StarvationMemory,
    { waiting: { job }, task, starvation, isExpedited }: StarvedStep,
    starts: readonly RunStart[],
    expedited: number,
    nowMs: number,
): void {
    starvation.startedAtMs = nowMs;
    recordStarts(memory, { job, task }, starts, starvation, nowMs);
    memory.summary = { ...memory.summary, starts: memory.summary.starts + starts.length };
    const ofService = getServiceStarvation(memory, job.queue.service);
    if (nowMs - ofService.interval.beganAtMs >= intervalMs) {
        ofService.interval = { beganAtMs: nowMs, starts: 0 };
    }
    ofService.interval.starts += starts.length;
    if (!isExpedited) {
        return;
    }
    const earlierMs = ofService.expeditedStartsMs.filter(atMs => nowMs - atMs < roundMs);
    // Those of this pass are still among the expedited ones.
    const startsInRound = expedited + earlierMs.filter(atMs => atMs !== nowMs).length;
    // Within a round, passes that come late make up for the starts that were due.
    const dueAtMs = earlierMs.length === 0 ? nowMs : ofService.expeditedAtMs;
    ofService.expeditedAtMs = dueAtMs + roundMs / startsInRound;
    ofService.expeditedStartsMs = [...earlierMs, nowMs];
}
