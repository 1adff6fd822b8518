import type { JobRecord } from "@chestnutspool/job-state";
import type { Lateness } from "./predict-lateness.js";
import type { WaitingStep } from "./waiting-steps.js";

/**
 * Time for which a job with a best-effort step has had no run until the step is starved, in milliseconds, by the lateness
 * of its occurrence. Declared run times are often far off, so that a job in time is not left to wait without end either.
 */
const starvedMs: Readonly<Record<Lateness, number>> = { inTime: 6_000, late: 2_000, tooLate: 2_000 };
/** Least time between two attempts to start a starved step of a job, in milliseconds. */
const retryMs = 1_000;
/** Length of the intervals for which the starts of starved steps of a service are limited, in milliseconds. */
const intervalMs = 1_000;
/**
 * Share of the workers of a service that may get a task of a starved step in an interval, so that the serving tasks of few
 * of them are disturbed. One may always.
 */
const workerShare = 0.03;

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

/** Starts of starved steps of a service in the present interval. */
interface StartInterval {
    readonly beganAtMs: number;
    starts: number;
}

/** What the planner remembers of jobs without a run. */
export interface StarvationMemory {
    readonly jobs: WeakMap<JobRecord, Starvation>;
    readonly intervals: Map<string, StartInterval>;
    /** Wall-clock time of the last pass, in milliseconds since the epoch. */
    passedAtMs: number;
    summary: StarvationSummary;
}

/** A step that may start although it disturbs serving tasks. */
export interface StarvedStep {
    readonly waiting: WaitingStep;
    readonly starvation: Starvation;
}

/** Creates a memory without jobs. */
export function createStarvationMemory(): StarvationMemory {
    return {
        jobs: new WeakMap(),
        intervals: new Map(),
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

/**
 * Lists the steps that are starved at `nowMs`, those of the jobs that have waited longest first: the best-effort steps
 * of jobs that have had no run for some time. Without it a step whose tasks would disturb serving tasks on each worker
 * waits without end, because its job goes behind smaller ones. A job stays starved until a start that disturbs nothing.
 */
export function listStarvedSteps(
    memory: StarvationMemory,
    waitingSteps: readonly WaitingStep[],
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
        if (nowMs - starvation.sinceMs >= starvedMs[lateness] && nowMs - starvation.triedAtMs >= retryMs) {
            starved.push({ waiting, starvation });
        }
    }
    memory.passedAtMs = nowMs;
    const longestMs = Math.max(0, ...withoutRun.values());
    memory.summary = { jobs: withoutRun.size, longestMs, starts: memory.summary.starts };
    const computeTurnMs = ({ starvation }: StarvedStep): number => Math.max(starvation.sinceMs, starvation.triedAtMs);
    return starved.sort((left, right) => computeTurnMs(left) - computeTurnMs(right));
}

/** Forgets that a job has waited, because a task of it starts without disturbing serving tasks. */
export function forgetStarvation(memory: StarvationMemory, job: JobRecord): void {
    memory.jobs.delete(job);
}

function findInterval(memory: StarvationMemory, service: string, nowMs: number): StartInterval | undefined {
    const interval = memory.intervals.get(service);
    return interval === undefined || nowMs - interval.beganAtMs >= intervalMs ? undefined : interval;
}

/** Computes how many tasks of starved steps of a service with a number of workers may still start at `nowMs`. */
export function computeStarvedLimit(memory: StarvationMemory, service: string, workers: number, nowMs: number): number {
    const used = findInterval(memory, service, nowMs)?.starts ?? 0;
    return Math.max(0, Math.max(1, Math.floor(workers * workerShare)) - used);
}

/** Records that tasks of starved steps of a service start at `nowMs`. */
export function recordStarvedStarts(memory: StarvationMemory, service: string, starts: number, nowMs: number): void {
    memory.summary = { ...memory.summary, starts: memory.summary.starts + starts };
    const interval = findInterval(memory, service, nowMs);
    if (interval === undefined) {
        memory.intervals.set(service, { beganAtMs: nowMs, starts });
    }
    else {
        interval.starts += starts;
    }
}
