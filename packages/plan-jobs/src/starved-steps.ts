import type { JobRecord, WorkerState } from "@chestnutspool/job-state";
import { addResources, noResources } from "@chestnutspool/types";
import type { Lateness } from "./predict-lateness.js";
import type { WaitingStep } from "./waiting-steps.js";

/**
 * Time for which a job with a best-effort step has had no run until the step is starved, in milliseconds, by the lateness
 * of its occurrence. Declared run times are often far off, so that a job in time is not left to wait without end either.
 */
const starvedMs: Readonly<Record<Lateness, number>> = { inTime: 6_000, late: 2_000, tooLate: 2_000 };
/**
 * Time for which a job has had no run, and most of its pool was free, until it is overdue, in milliseconds. With the time of a
 * round it stays below the 3 s for which users allow a job to have no run in such a pool.
 */
const overdueMs = 2_000;
/** Time in which each overdue job gets a start, in milliseconds. */
const roundMs = 600;
/** Share of the processors and of the memory of a pool that is reserved at most while most of it is free. */
const freeShare = 0.5;
/** Least time between two attempts to start a starved step of a job, in milliseconds. */
const retryMs = 1_000;
/** Time for which the starts of starved steps of a service are limited, in milliseconds. */
const intervalMs = 1_000;
/**
 * Share of the workers of a service that may get a task of a starved step in an interval, so that the serving tasks of few
 * of them are disturbed. One may always, and so may those of overdue jobs.
 */
const workerShare = 0.03;
/** Time for which starts that were due may be made up for, in milliseconds: the longest pause between two passes. */
const longestCatchUpMs = 100;

/** A job without a start that disturbs no serving task. */
interface Starvation {
    /** Wall-clock time at which a pass first found it without a run, in milliseconds since the epoch. */
    readonly sinceMs: number;
    /** Wall-clock time of the last attempt to start one of its steps although it disturbs. */
    triedAtMs: number;
    /** Wall-clock time since which each pass has found it without a run. */
    withoutRunSinceMs: number;
    /** Wall-clock time of the last pass that found it without a run. */
    foundAtMs: number;
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

/** Starts of starved steps of a service, and its pool. Times are wall-clock times in milliseconds since the epoch. */
interface ServiceStarvation {
    /** When the next start of a starved job is due. */
    dueAtMs: number;
    /** When the next start of an overdue job is due. */
    overdueStartAtMs: number;
    /** When overdue jobs got their last starts, for the length of a round. */
    overdueStartsMs: readonly number[];
    /** Since when each pass has found most of the pool free; undefined if the last one did not. */
    freeSinceMs: number | undefined;
    /** When a pass last looked at the pool. */
    checkedAtMs: number;
}

/** The pool of a service, as far as the starts of starved steps depend on it. */
export interface StarvedPool {
    readonly workers: number;
    /** Whether most of its processors and of its memory are not reserved. */
    readonly isMostlyFree: boolean;
}

/** What the planner remembers of jobs without a run. */
export interface StarvationMemory {
    readonly jobs: WeakMap<JobRecord, Starvation>;
    readonly services: Map<string, ServiceStarvation>;
    /** Wall-clock time of the last pass, in milliseconds since the epoch. */
    passedAtMs: number;
    summary: StarvationSummary;
}

/** A step that may start although it disturbs serving tasks. */
export interface StarvedStep {
    readonly waiting: WaitingStep;
    readonly starvation: Starvation;
    /** Whether the job has had no run for too long in a pool of which most is free. */
    readonly isOverdue: boolean;
}

/** Creates a memory without jobs. */
export function createStarvationMemory(): StarvationMemory {
    return {
        jobs: new WeakMap(),
        services: new Map(),
        passedAtMs: Number.NEGATIVE_INFINITY,
        summary: { jobs: 0, longestMs: 0, starts: 0 },
    };
}

/** Returns what there is to log about jobs without a run, and counts starts anew. */
export function takeStarvationSummary(memory: StarvationMemory): StarvationSummary {
    const { summary } = memory;
    memory.summary = { ...summary, starts: 0 };
    return summary;
}

/** Finds or creates what is remembered of a job that a pass at `nowMs` finds without a run. */
function observeWithoutRun({ jobs, passedAtMs }: StarvationMemory, job: JobRecord, nowMs: number): Starvation {
    const starvation = jobs.get(job)
        ?? {
            sinceMs: nowMs,
            triedAtMs: Number.NEGATIVE_INFINITY,
            withoutRunSinceMs: nowMs,
            foundAtMs: nowMs,
        };
    jobs.set(job, starvation);
    if (starvation.foundAtMs !== nowMs && starvation.foundAtMs !== passedAtMs) {
        starvation.withoutRunSinceMs = nowMs;
    }
    starvation.foundAtMs = nowMs;
    return starvation;
}

/** Describes the pool that the given workers form. */
export function describeStarvedPool(workers: readonly WorkerState[]): StarvedPool {
    let capacity = noResources;
    let used = noResources;
    for (const worker of workers) {
        capacity = addResources(capacity, worker.info.capacity);
        used = addResources(used, worker.used);
    }
    const isMostlyFree = used.milliCpu < capacity.milliCpu * freeShare
        && used.memoryMib < capacity.memoryMib * freeShare;
    return { workers: workers.length, isMostlyFree };
}

function getServiceStarvation({ services }: StarvationMemory, service: string): ServiceStarvation {
    const known = services.get(service) ?? {
        dueAtMs: Number.NEGATIVE_INFINITY,
        overdueStartAtMs: Number.NEGATIVE_INFINITY,
        overdueStartsMs: [],
        freeSinceMs: undefined,
        checkedAtMs: Number.NEGATIVE_INFINITY,
    };
    services.set(service, known);
    return known;
}

/** Notes whether most of the pool of a service is free in the pass at `nowMs`. */
function observePool(
    memory: StarvationMemory,
    service: string,
    findPool: (service: string) => StarvedPool,
    nowMs: number,
): ServiceStarvation {
    const ofService = getServiceStarvation(memory, service);
    if (ofService.checkedAtMs !== nowMs) {
        const wasFreeSinceMs = ofService.checkedAtMs === memory.passedAtMs ? ofService.freeSinceMs : undefined;
        ofService.freeSinceMs = findPool(service).isMostlyFree ? wasFreeSinceMs ?? nowMs : undefined;
        ofService.checkedAtMs = nowMs;
    }
    return ofService;
}

/**
 * Lists the steps that are starved at `nowMs`, those of the jobs that have waited longest first: the best-effort steps
 * of jobs that have had no run for some time. Without it a step whose tasks would disturb serving tasks on each worker
 * waits without end, because its job goes behind smaller ones. A job stays starved until a start that disturbs nothing.
 */
export function listStarvedSteps(
    memory: StarvationMemory,
    waitingSteps: readonly WaitingStep[],
    findPool: (service: string) => StarvedPool,
    nowMs: number,
): StarvedStep[] {
    const starved: StarvedStep[] = [];
    const withoutRun = new Map<JobRecord, number>();
    for (const waiting of waitingSteps) {
        const { job, step, lateness } = waiting;
        if (!step.spec.usesIdleCpu || job.runsInProgress > 0) {
            continue;
        }
        const starvation = observeWithoutRun(memory, job, nowMs);
        withoutRun.set(job, nowMs - starvation.withoutRunSinceMs);
        const { freeSinceMs = nowMs } = observePool(memory, job.queue.service, findPool, nowMs);
        const isOverdue = nowMs - Math.max(starvation.withoutRunSinceMs, freeSinceMs) >= overdueMs;
        const isStarvedByLateness = nowMs - starvation.sinceMs >= starvedMs[lateness];
        if ((isOverdue || isStarvedByLateness) && nowMs - starvation.triedAtMs >= retryMs) {
            starved.push({ waiting, starvation, isOverdue });
        }
    }
    memory.passedAtMs = nowMs;
    const longestMs = Math.max(0, ...withoutRun.values());
    memory.summary = { jobs: withoutRun.size, longestMs, starts: memory.summary.starts };
    const computeTurnMs = ({ starvation }: StarvedStep): number => Math.max(starvation.sinceMs, starvation.triedAtMs);
    return starved.sort((left, right) => computeTurnMs(left) - computeTurnMs(right));
}

/** Records that a pass at `nowMs` found no step that waits. */
export function observeNoWaitingSteps(memory: StarvationMemory, nowMs: number): void {
    listStarvedSteps(memory, [], () => describeStarvedPool([]), nowMs);
}

/** Forgets that a job has waited, because a task of it starts without disturbing serving tasks. */
export function forgetStarvation(memory: StarvationMemory, job: JobRecord): void {
    memory.jobs.delete(job);
}

/** Counts the overdue jobs of each service among starved steps. */
export function countOverdueJobs(starved: readonly StarvedStep[]): ReadonlyMap<string, number> {
    const jobs = new Map<string, Set<JobRecord>>();
    for (const { waiting: { job } } of starved.filter(({ isOverdue }) => isOverdue)) {
        jobs.set(job.queue.service, (jobs.get(job.queue.service) ?? new Set()).add(job));
    }
    return new Map([...jobs].map(([service, ofService]) => [service, ofService.size]));
}

/** Whether a task or a gang of a starved step may start at `nowMs`. */
export function canStartStarved(memory: StarvationMemory, { waiting, isOverdue }: StarvedStep, nowMs: number): boolean {
    const { dueAtMs, overdueStartAtMs } = getServiceStarvation(memory, waiting.job.queue.service);
    return dueAtMs <= nowMs || (isOverdue && overdueStartAtMs <= nowMs);
}

/**
 * Records that a number of tasks of a starved step start at `nowMs`. `overdueJobs` counts the overdue jobs of the service in the
 * pass: the rate of their starts grows with them, so that each gets one in a round.
 */
export function recordStarvedStart(
    memory: StarvationMemory,
    { waiting: { job }, isOverdue }: StarvedStep,
    workers: number,
    overdueJobs: number,
    tasks: number,
    nowMs: number,
): void {
    memory.summary = { ...memory.summary, starts: memory.summary.starts + tasks };
    const ofService = getServiceStarvation(memory, job.queue.service);
    if (ofService.dueAtMs <= nowMs) {
        ofService.dueAtMs = nowMs + intervalMs / Math.max(1, Math.floor(workers * workerShare));
    }
    if (isOverdue) {
        const earlierMs = ofService.overdueStartsMs.filter(atMs => nowMs - atMs < roundMs);
        // Those of this pass are still among the overdue jobs.
        const jobsInRound = overdueJobs + earlierMs.filter(atMs => atMs !== nowMs).length;
        ofService.overdueStartsMs = [...earlierMs, nowMs];
        ofService.overdueStartAtMs = Math.max(ofService.overdueStartAtMs, nowMs - longestCatchUpMs)
            + roundMs / Math.max(1, jobsInRound);
    }
}
