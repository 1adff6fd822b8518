import type { JobRecord } from "@chestnutspool/job-state";
import type { WaitingStep } from "./waiting-steps.js";

/** Time for which a late job with a best-effort step has had no run until the step is starved, in milliseconds. */
const starvedMs = 2_000;
/** Least time between two starts of starved steps of a service, in milliseconds. */
const starvedIntervalMs = 1_000;
/**
 * Share of the workers of a service that may get a task of a starved step at once, so that the serving tasks of few of
 * them are disturbed. One may always.
 */
const starvedShare = 0.03;

/** What the planner remembers of jobs without a run. */
export interface StarvationMemory {
    /** Wall-clock time at which a pass first found a job without a run, in milliseconds since the epoch. */
    readonly idleSinceMs: WeakMap<JobRecord, number>;
    /** Wall-clock time of the last starts of starved steps, by service. */
    readonly startedAtMs: Map<string, number>;
}

/** Creates a memory without jobs. */
export function createStarvationMemory(): StarvationMemory {
    return { idleSinceMs: new WeakMap(), startedAtMs: new Map() };
}

function isBestEffort({ step }: WaitingStep): boolean {
    return step.spec.usesIdleCpu;
}

/**
 * Lists the steps that are starved at `nowMs`, those of the jobs that have waited longest first: the best-effort steps
 * of late jobs that have had no run for some time. Without it a step whose tasks would disturb serving tasks on each
 * worker waits without end, because its jobs go behind smaller ones.
 */
export function listStarvedSteps(
    memory: StarvationMemory,
    waitingSteps: readonly WaitingStep[],
    nowMs: number,
): WaitingStep[] {
    const starved: { readonly waiting: WaitingStep; readonly sinceMs: number; }[] = [];
    for (const waiting of waitingSteps.filter(isBestEffort)) {
        const { job, lateness } = waiting;
        if (job.runsInProgress > 0) {
            memory.idleSinceMs.delete(job);
            continue;
        }
        const sinceMs = memory.idleSinceMs.get(job) ?? nowMs;
        memory.idleSinceMs.set(job, sinceMs);
        if (lateness !== "inTime" && nowMs - sinceMs >= starvedMs) {
            starved.push({ waiting, sinceMs });
        }
    }
    return starved.sort((left, right) => left.sinceMs - right.sinceMs).map(({ waiting }) => waiting);
}

/** Computes how many starved steps of a service with a number of workers may start at `nowMs`. */
export function computeStarvedLimit(memory: StarvationMemory, service: string, workers: number, nowMs: number): number {
    const startedAtMs = memory.startedAtMs.get(service) ?? Number.NEGATIVE_INFINITY;
    return nowMs - startedAtMs < starvedIntervalMs ? 0 : Math.max(1, Math.floor(workers * starvedShare));
}

/** Records that a starved step of a job starts at `nowMs`. */
export function recordStarvedStart(memory: StarvationMemory, job: JobRecord, nowMs: number): void {
    memory.idleSinceMs.set(job, nowMs);
    memory.startedAtMs.set(job.queue.service, nowMs);
}
