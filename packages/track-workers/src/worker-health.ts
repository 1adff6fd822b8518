/**
 * Whether the runs of a worker end as runs do elsewhere. The faults it answers: a worker that fails all that it starts stays empty
 * and would draw task after task; one on which tasks stand still or crawl holds what is urgent.
 */
export interface WorkerHealth {
    /** Runs in a row that failed, stood still or took far too long. */
    strikes: number;
    /** Jobs of these runs; a job that fails everywhere says nothing of a worker. */
    readonly jobsWithStrikes: Set<string>;
    /** Until when it gets no tasks, in monotonic milliseconds; undefined while it is trusted. */
    suspectedUntilMs: number | undefined;
    /** Times that it was suspected without a good run between. */
    suspicions: number;
}

/** How a run ended, as far as it says something of its worker. */
export type RunQuality =
    | { readonly kind: "good"; }
    | { readonly kind: "failed"; }
    | { readonly kind: "stoodStill"; }
    | { readonly kind: "slow"; };

/** Strikes of two jobs or more after which a worker is suspected; by chance one run in 20 fails. */
const strikesToSuspect = 3;
const jobsToSuspect = 2;
/** First time without tasks in milliseconds, doubled with each further suspicion up to a limit. */
const firstPauseMs = 1_000;
const longestPauseMs = 8_000;
/** Runs that a worker under suspicion gets at a time once its pause is over. */
const probationRuns = 1;

/** Creates the record of a worker that is trusted. */
export function createWorkerHealth(): WorkerHealth {
    return { strikes: 0, jobsWithStrikes: new Set(), suspectedUntilMs: undefined, suspicions: 0 };
}

/** Records how a run of a job ended; true when the worker is trusted no longer, or again. `nowMs` is monotonic time. */
export function recordRunQuality(
    health: WorkerHealth,
    job: string,
    quality: RunQuality,
    nowMs: number,
): boolean {
    if (quality.kind === "good") {
        const wasSuspected = health.suspectedUntilMs !== undefined;
        health.strikes = 0;
        health.jobsWithStrikes.clear();
        health.suspectedUntilMs = undefined;
        health.suspicions = 0;
        return wasSuspected;
    }
    health.strikes += 1;
    health.jobsWithStrikes.add(job);
    const onProbation = health.suspectedUntilMs !== undefined && nowMs >= health.suspectedUntilMs;
    const isConvincing = health.strikes >= strikesToSuspect && health.jobsWithStrikes.size >= jobsToSuspect;
    if (onProbation || (isConvincing && health.suspectedUntilMs === undefined)) {
        health.suspectedUntilMs = nowMs + Math.min(longestPauseMs, firstPauseMs * 2 ** health.suspicions);
        health.suspicions += 1;
        return true;
    }
    return false;
}

/** Runs that a worker may start now beside those in progress; undefined: no limit. */
export function countAllowedStarts(
    health: WorkerHealth,
    runsInProgress: number,
    nowMs: number,
): number | undefined {
    if (health.suspectedUntilMs === undefined) {
        return undefined;
    }
    return nowMs < health.suspectedUntilMs ? 0 : Math.max(0, probationRuns - runsInProgress);
}
