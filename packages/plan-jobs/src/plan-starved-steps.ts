import type { JobRecord, JobTask } from "@chestnutspool/job-state";
import type { RunStart } from "@chestnutspool/types";
import {
    canStartStarved,
    countExpedited,
    listStartedTasks,
    listStarvedSteps,
    recordStarvedAttempt,
    recordStarvedStart,
    recordUndisturbedStarts,
    type StarvationInput,
    type StarvationMemory,
} from "./starved-steps.js";
import type { WaitingStep } from "./waiting-steps.js";

/** What came of planning a starved step. */
export interface StarvedAttempt {
    /** Starts of its tasks. */
    readonly starts: readonly RunStart[];
    /** Ratings of workers that the pass has made for starved steps until then. */
    readonly ratings: number;
}

/** What the planning of starved steps takes from its pass. */
export interface StarvedPass extends StarvationInput {
    /** Jobs of which the pass starts tasks that disturb nothing, with these starts. */
    readonly startsByJob: ReadonlyMap<JobRecord, readonly RunStart[]>;
    /** Ratings of workers from which no further step is planned. */
    readonly ratingsLimit: number;
    /** Whether no worker has room for a step. */
    readonly isUnmet: (waiting: WaitingStep) => boolean;
    /** Plans a step, or only one long-running task of it, although its tasks may disturb serving tasks. */
    readonly attempt: (waiting: WaitingStep, task: JobTask | undefined) => StarvedAttempt;
}

/** Plans starts of starved steps at `nowMs`, wall-clock time in milliseconds: of each job one task or one gang, and long-running tasks. */
export function planStarvedSteps(
    memory: StarvationMemory,
    waitingSteps: readonly WaitingStep[],
    pass: StarvedPass,
    nowMs: number,
): void {
    const started = new Set<JobRecord | JobTask>();
    pass.startsByJob.forEach((starts, job) => {
        recordUndisturbedStarts(memory, job, starts, pass.findUnstartedRun, nowMs);
        [job, ...listStartedTasks(job, starts)].forEach(key => started.add(key));
    });
    const starved = listStarvedSteps(memory, waitingSteps, pass, nowMs);
    const expedited = countExpedited(starved);
    let ratings = 0;
    for (const step of starved) {
        if (ratings >= pass.ratingsLimit) {
            return;
        }
        const { waiting, task } = step;
        const { job } = waiting;
        const { service } = job.queue;
        const workers = pass.pools.get(service)?.workers ?? 0;
        if (started.has(task ?? job) || pass.isUnmet(waiting) || !canStartStarved(memory, step, workers, nowMs)) {
            continue;
        }
        // Also after an attempt without a start, so that others get their turn.
        recordStarvedAttempt(step, nowMs);
        const attempt = pass.attempt(waiting, task);
        ratings = attempt.ratings;
        if (attempt.starts.length > 0) {
            [job, ...listStartedTasks(job, attempt.starts)].forEach(key => started.add(key));
            recordStarvedStart(memory, step, attempt.starts, expedited.get(service) ?? 0, nowMs);
        }
    }
}
