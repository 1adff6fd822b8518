import type { JobRecord, JobState, JobStep, JobTask } from "@chestnutspool/job-state";
import type { RunStart, TaskKey, WorkerId } from "@chestnutspool/types";
import type { Lateness } from "./predict-lateness.js";
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
/** Time in which each job whose start is expedited gets one, in milliseconds. */
const roundMs = 600;
/** Share of the processors of a pool that is reserved at most while most of it is free. */
const freeShare = 0.5;
/**
 * Least time between two attempts to start a starved step of a job, in milliseconds. A run of a shorter time, such as a start that
 * the worker refuses, does not end the wait of the job.
 */
const retryMs = 1_000;
/** Length of the intervals for which the starts of starved steps of a service are limited, in milliseconds. */
const intervalMs = 1_000;
/**
 * Share of the workers of a service that may get a task of a starved step in an interval, so that the serving tasks of few
 * of them are disturbed. One may always. Expedited starts are not limited by it.
 */
const workerShare = 0.03;

/** A job without a start that disturbs no serving task. */
interface Starvation {
    /** Wall-clock time at which a pass first found it without a run, in milliseconds since the epoch. */
    readonly sinceMs: number;
    /** Wall-clock time of the last start of one of its steps although it disturbs. */
    startedAtMs: number;
    /** Wall-clock time of the last attempt to start a step although it disturbs, by step. */
    readonly triedAtMs: WeakMap<JobStep, number>;
    /** Wall-clock time since which it has had no run, but for short ones. */
    withoutRunSinceMs: number;
    /** Wall-clock time of the last pass that found it without a run. */
    foundAtMs: number;
    /** Workers that have refused its starts since then; a worker that is tried again although it has refused begins a new set. */
    readonly refusedBy: Set<WorkerId>;
}

/** The last starts of a job; workers may refuse all of them. */
interface UnconfirmedStarts {
    readonly atMs: number;
    readonly starts: readonly { readonly start: RunStart; readonly task: JobTask; }[];
    /** The wait that the starts end unless workers refuse all of them. */
    readonly starvation: Starvation;
}

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
    readonly findUnstartedRun: ((task: TaskKey) => number | undefined) | undefined;
}

/** What the planner remembers of jobs without a run. */
export interface StarvationMemory {
    readonly jobs: WeakMap<JobRecord, Starvation>;
    /** The last starts of jobs without a run. */
    readonly unconfirmed: WeakMap<JobRecord, UnconfirmedStarts>;
    readonly services: Map<string, ServiceStarvation>;
    summary: StarvationSummary;
}

/** A step that may start although it disturbs serving tasks. */
export interface StarvedStep {
    readonly waiting: WaitingStep;
    readonly starvation: Starvation;
    /** Whether the job has had no run for too long in a pool of which most is free. */
    readonly isExpedited: boolean;
}

/** Creates a memory without jobs. */
export function createStarvationMemory(): StarvationMemory {
    return {
        jobs: new WeakMap(),
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

/**
 * Finds the last starts of a job without a run if all of them have ended and none of them has started, within `retryMs` before
 * `nowMs`: workers have refused them. A start that was planned and not recorded is none of them. No run of a job that has not begun
 * has started; for the others the state does not tell a refused run from one that was stopped.
 */
function findRefusedStarts(
    { unconfirmed }: StarvationMemory,
    job: JobRecord,
    findUnstartedRun: StarvationInput["findUnstartedRun"],
    nowMs: number,
): UnconfirmedStarts | undefined {
    const last = job.runsInProgress > 0 ? undefined : unconfirmed.get(job);
    const isRefused = (start: RunStart): boolean => !job.hasBegun || findUnstartedRun?.(start) === start.run;
    return last !== undefined && nowMs - last.atMs <= retryMs
            && last.starts.every(({ task, start }) => task.lastRun === start.run && isRefused(start))
        ? last
        : undefined;
}

/** Records the workers that have refused the last starts of a job without a run; returns its wait, if one is known. */
function observeWait(
    memory: StarvationMemory,
    job: JobRecord,
    findUnstartedRun: StarvationInput["findUnstartedRun"],
    nowMs: number,
): Starvation | undefined {
    const refused = findRefusedStarts(memory, job, findUnstartedRun, nowMs);
    if (refused === undefined) {
        return memory.jobs.get(job);
    }
    const { starts, starvation } = refused;
    memory.unconfirmed.delete(job);
    memory.jobs.set(job, starvation);
    if (starts.some(({ start }) => starvation.refusedBy.has(start.worker))) {
        starvation.refusedBy.clear();
    }
    starts.forEach(({ start }) => starvation.refusedBy.add(start.worker));
    return starvation;
}

/**
 * Finds or creates what is remembered of a job that a pass at `nowMs` finds without a run. Starts that workers have refused do not end
 * its wait.
 */
function observeWithoutRun(
    memory: StarvationMemory,
    job: JobRecord,
    findUnstartedRun: StarvationInput["findUnstartedRun"],
    nowMs: number,
): Starvation {
    const known = observeWait(memory, job, findUnstartedRun, nowMs);
    if (known === undefined) {
        const starvation = {
            sinceMs: nowMs,
            startedAtMs: Number.NEGATIVE_INFINITY,
            triedAtMs: new WeakMap(),
            withoutRunSinceMs: nowMs,
            foundAtMs: nowMs,
            refusedBy: new Set<WorkerId>(),
        };
        memory.jobs.set(job, starvation);
        return starvation;
    }
    if (nowMs - known.foundAtMs > retryMs) {
        known.withoutRunSinceMs = nowMs;
        known.refusedBy.clear();
    }
    known.foundAtMs = nowMs;
    return known;
}

/** Whether a job without a run has waited for too long at `nowMs` in a pool of which most is free. */
function isOverdueInFreePool(
    memory: StarvationMemory,
    { queue, phase }: JobRecord,
    { withoutRunSinceMs }: Starvation,
    nowMs: number,
): boolean {
    const { freeSinceMs = nowMs } = getServiceStarvation(memory, queue.service);
    const expeditedAfterMs = phase === "queued" ? expeditedMs : expeditedAfterRunMs;
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

/**
 * Lists the steps that are starved at `nowMs`, those of the jobs that have waited longest first: the best-effort steps
 * of jobs that have had no run for some time. Without it a step whose tasks would disturb serving tasks on each worker
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
        if (!step.spec.usesIdleCpu || job.runsInProgress > 0) {
            continue;
        }
        const starvation = observeWithoutRun(memory, job, findUnstartedRun, nowMs);
        withoutRun.set(job, nowMs - starvation.withoutRunSinceMs);
        const isExpedited = isOverdueInFreePool(memory, job, starvation, nowMs);
        const isLongWithoutStart = nowMs - starvation.sinceMs >= starvedMs[lateness];
        if ((isExpedited || isLongWithoutStart) && nowMs - findTriedMs(starvation, step) >= retryMs) {
            starved.push({ waiting, starvation, isExpedited });
        }
    }
    const longestMs = Math.max(0, ...withoutRun.values());
    memory.summary = { jobs: withoutRun.size, longestMs, starts: memory.summary.starts };
    const computeTurnMs = ({ waiting, starvation }: StarvedStep): number =>
        Math.max(starvation.sinceMs, findTriedMs(starvation, waiting.step));
    return starved.sort((left, right) => computeTurnMs(left) - computeTurnMs(right));
}

/** Records the starts of a job without a run, so that its wait goes on if workers refuse them. */
function recordStarts(
    { unconfirmed }: StarvationMemory,
    job: JobRecord,
    starts: readonly RunStart[],
    starvation: Starvation,
    nowMs: number,
): void {
    const withTasks = starts.flatMap(start => {
        const task = job.occurrences.get(start.occurrence)?.steps[start.step]?.tasks[start.position];
        return task === undefined ? [] : [{ start, task }];
    });
    unconfirmed.set(job, { atMs: nowMs, starts: withTasks, starvation });
}

/**
 * Forgets that a job has waited, because tasks of it start at `nowMs` without disturbing serving tasks. The wait of a job without a run
 * goes on if workers refuse these starts.
 */
export function recordUndisturbedStarts(
    memory: StarvationMemory,
    job: JobRecord,
    starts: readonly RunStart[],
    findUnstartedRun: StarvationInput["findUnstartedRun"],
    nowMs: number,
): void {
    if (job.runsInProgress > 0) {
        memory.unconfirmed.delete(job);
    }
    else {
        recordStarts(memory, job, starts, observeWithoutRun(memory, job, findUnstartedRun, nowMs), nowMs);
    }
    memory.jobs.delete(job);
}

/**
 * Lists the workers that are left out for a best-effort step at `nowMs`: they have refused the starts of its job since it has had no run,
 * for too long in a pool of which most is free. Otherwise the few workers on which it disturbs nothing are chosen in turn.
 */
export function listRefusingWorkers(
    memory: StarvationMemory,
    { job, step }: WaitingStep,
    findUnstartedRun: StarvationInput["findUnstartedRun"],
    nowMs: number,
): readonly WorkerId[] {
    const wait = step.spec.usesIdleCpu && job.runsInProgress === 0
        ? observeWait(memory, job, findUnstartedRun, nowMs)
        : undefined;
    return wait !== undefined && nowMs - wait.foundAtMs <= retryMs && isOverdueInFreePool(memory, job, wait, nowMs)
        ? [...wait.refusedBy]
        : [];
}

/** Counts the jobs of each service whose starts are expedited. */
export function countExpeditedJobs(starved: readonly StarvedStep[]): ReadonlyMap<string, number> {
    const jobs = new Map<string, Set<JobRecord>>();
    for (const { waiting: { job } } of starved.filter(({ isExpedited }) => isExpedited)) {
        jobs.set(job.queue.service, (jobs.get(job.queue.service) ?? new Set()).add(job));
    }
    return new Map([...jobs].map(([service, ofService]) => [service, ofService.size]));
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
 * Records that tasks of a starved step start at `nowMs`. `expeditedJobs` counts the jobs of the service whose starts
 * the pass expedites: the rate of these starts grows with them, so that each job gets one in a round.
 */
export function recordStarvedStart(
    memory: StarvationMemory,
    { waiting: { job }, starvation, isExpedited }: StarvedStep,
    starts: readonly RunStart[],
    expeditedJobs: number,
    nowMs: number,
): void {
    starvation.startedAtMs = nowMs;
    recordStarts(memory, job, starts, starvation, nowMs);
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
    // Those of this pass are still among the expedited jobs.
    const jobsInRound = expeditedJobs + earlierMs.filter(atMs => atMs !== nowMs).length;
    // Within a round, passes that come late make up for the starts that were due.
    const dueAtMs = earlierMs.length === 0 ? nowMs : ofService.expeditedAtMs;
    ofService.expeditedAtMs = dueAtMs + roundMs / jobsInRound;
    ofService.expeditedStartsMs = [...earlierMs, nowMs];
}
