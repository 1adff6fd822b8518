/**
 * Health of a worker by how its runs end. It guards against two faults: a worker that fails all its runs stays empty,
 * so that the planner would send it task after task; a worker on which runs stall or are very slow delays urgent tasks.
 */
export interface WorkerHealth {
    /** Consecutive runs that failed, stalled or took far too long. */
    badRunsInRow: number;
    /** Jobs of these runs; a job that fails on every worker is no sign of a bad worker. */
    readonly jobsWithBadRuns: Set<string>;
    /** Monotonic time in milliseconds until which the worker gets no tasks; undefined while it is trusted. */
    suspectedUntilMs: number | undefined;
    /** How often the worker was suspected since its last good run. */
    suspicions: number;
}

/** What the end of a run shows about its worker. */
export type RunQuality =
    | { readonly kind: "good"; }
    | { readonly kind: "failed"; }
    | { readonly kind: "stoodStill"; }
    | { readonly kind: "slow"; };

/** Consecutive bad runs after which a worker is suspected; even on a good worker one run in 20 fails. */
const badRunsToSuspect = 3;
/** Number of jobs to which these runs must belong. */
const jobsToSuspect = 2;
/** First pause in which a suspected worker gets no tasks, in milliseconds; it doubles with each further suspicion. */
const firstPauseMs = 1_000;
/** Longest such pause, in milliseconds. */
const longestPauseMs = 8_000;
/** Runs at a time that a suspected worker gets once its pause is over. */
const probationRuns = 1;

/** Creates the health record of a trusted worker. */
export function createWorkerHealth(): WorkerHealth {
    return { badRunsInRow: 0, jobsWithBadRuns: new Set(), suspectedUntilMs: undefined, suspicions: 0 };
}

/**
 * Records how a run of a job ended; true if the worker has become suspected or trusted again by it. `nowMs` is
 * monotonic time in milliseconds.
 */
export function recordRunQuality(
    health: WorkerHealth,
    job: string,
    quality: RunQuality,
    nowMs: number,
): boolean {
    if (quality.kind === "good") {
        const wasSuspected = health.suspectedUntilMs !== undefined;
        health.badRunsInRow = 0;
        health.jobsWithBadRuns.clear();
        health.suspectedUntilMs = undefined;
        health.suspicions = 0;
        return wasSuspected;
    }
    health.badRunsInRow += 1;
    health.jobsWithBadRuns.add(job);
    const isOnProbation = health.suspectedUntilMs !== undefined && nowMs >= health.suspectedUntilMs;
    const hasEnoughBadRuns = health.badRunsInRow >= badRunsToSuspect && health.jobsWithBadRuns.size >= jobsToSuspect;
    if (isOnProbation || (hasEnoughBadRuns && health.suspectedUntilMs === undefined)) {
        health.suspectedUntilMs = nowMs + Math.min(longestPauseMs, firstPauseMs * 2 ** health.suspicions);
        health.suspicions += 1;
        return true;
    }
    return false;
}

/**
 * Counts the runs that may start on a worker now besides those in progress; undefined if there is no limit.
 * `probationRunsInProgress` are those that started after the pause.
 */
export function countAllowedStarts(
    health: WorkerHealth,
    probationRunsInProgress: number,
    nowMs: number,
): number | undefined {
    if (health.suspectedUntilMs === undefined) {
        return undefined;
    }
    return nowMs < health.suspectedUntilMs ? 0 : Math.max(0, probationRuns - probationRunsInProgress);
}
