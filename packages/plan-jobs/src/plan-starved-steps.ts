import type { JobRecord } from "@chestnutspool/job-state";
import {
    canStartStarved,
    countOverdueJobs,
    describeStarvedPool,
    forgetStarvation,
    listStarvedSteps,
    recordStarvedStart,
    type StarvationMemory,
    type StarvedPool,
} from "./starved-steps.js";
import type { WaitingStep } from "./waiting-steps.js";
import type { WorkerCandidate } from "./worker-candidate.js";

/** What came of planning a starved step. */
export interface StarvedAttempt {
    /** Tasks that start. */
    readonly tasks: number;
    /** Ratings of workers that the pass has made for starved steps until then. */
    readonly ratings: number;
}

/** What the planning of starved steps takes from its pass. */
export interface StarvedPass {
    readonly candidatesByService: ReadonlyMap<string, readonly WorkerCandidate[]>;
    /** Jobs of which the pass starts tasks that disturb nothing. */
    readonly startedJobs: ReadonlySet<JobRecord>;
    /** Ratings of workers from which no further step is planned. */
    readonly ratingsLimit: number;
    /** Whether no worker has room for a step. */
    readonly isUnmet: (waiting: WaitingStep) => boolean;
    /** Plans a step although its tasks may disturb serving tasks. */
    readonly attempt: (waiting: WaitingStep) => StarvedAttempt;
}

/** Describes the pool of each service once, when it is first needed. */
function createPoolReader({ candidatesByService }: StarvedPass): (service: string) => StarvedPool {
    const pools = new Map<string, StarvedPool>();
    return service => {
        const pool = pools.get(service)
            ?? describeStarvedPool((candidatesByService.get(service) ?? []).map(({ state }) => state));
        pools.set(service, pool);
        return pool;
    };
}

/** Plans starts of starved steps at `nowMs`, wall-clock time in milliseconds: of each job one task or one gang. */
export function planStarvedSteps(
    memory: StarvationMemory,
    waitingSteps: readonly WaitingStep[],
    pass: StarvedPass,
    nowMs: number,
): void {
    const started = new Set(pass.startedJobs);
    started.forEach(job => forgetStarvation(memory, job));
    const findPool = createPoolReader(pass);
    const starved = listStarvedSteps(memory, waitingSteps, findPool, nowMs);
    const overdueJobs = countOverdueJobs(starved);
    let ratings = 0;
    for (const step of starved) {
        if (ratings >= pass.ratingsLimit) {
            return;
        }
        const { waiting, starvation } = step;
        const { job } = waiting;
        if (started.has(job) || pass.isUnmet(waiting) || !canStartStarved(memory, step, nowMs)) {
            continue;
        }
        // Also after an attempt without a start, so that others get their turn.
        starvation.triedAtMs = nowMs;
        const attempt = pass.attempt(waiting);
        ratings = attempt.ratings;
        if (attempt.tasks > 0) {
            started.add(job);
            const { service } = job.queue;
            const { workers } = findPool(service);
            recordStarvedStart(memory, step, workers, overdueJobs.get(service) ?? 0, attempt.tasks, nowMs);
        }
    }
}
