import type { StarvationSummary } from "@chestnutspool/plan-jobs";
import { Effect } from "effect";

/** Work of the leader whose time is measured apart: parts of a pass of the planner, reports of workers, and paces. */
export type LoadPart = "stops" | "starts" | "preemptions" | "copies" | "reports" | "paces";

/** Work of a leader since its last line about it. Durations are in milliseconds. */
export interface TermLoad {
    passes: number;
    passMs: number;
    longestPassMs: number;
    commits: number;
    commitMs: number;
    longestCommitMs: number;
    starts: number;
    /** Planned starts that the state machine refused, because the state had changed. */
    refusedStarts: number;
    unconfirmedStarts: number;
    renewals: number;
    failedRenewals: number;
    paces: number;
    /** Best-effort jobs without a run, as the last pass found them. */
    jobsWithoutRun: number;
    /** Longest time for which such a job has had no run. */
    longestWithoutRunMs: number;
    /** Tasks that were started although they disturb serving tasks, because their jobs had no run. */
    starvedStarts: number;
    /** Runs that were stopped because they made no progress, and those among them that were the only run of their job. */
    stalledStops: number;
    onlyRunsStopped: number;
    /** Time for which each part has kept the thread. */
    readonly partMs: Record<LoadPart, number>;
    /** Longest time by which a timer fired late; the event loop was busy for at least this time. */
    longestDelayMs: number;
}

/** Creates a record without any work. */
export function createTermLoad(): TermLoad {
    return {
        passes: 0,
        passMs: 0,
        longestPassMs: 0,
        commits: 0,
        commitMs: 0,
        longestCommitMs: 0,
        starts: 0,
        refusedStarts: 0,
        unconfirmedStarts: 0,
        renewals: 0,
        failedRenewals: 0,
        paces: 0,
        jobsWithoutRun: 0,
        longestWithoutRunMs: 0,
        starvedStarts: 0,
        stalledStops: 0,
        onlyRunsStopped: 0,
        partMs: { stops: 0, starts: 0, preemptions: 0, copies: 0, reports: 0, paces: 0 },
        longestDelayMs: 0,
    };
}

const nanosecondsPerMillisecond = 1_000_000;

/** Runs work of a part without giving up the thread, and records the time that it took; returns both. */
export function measurePart<Value>(
    load: TermLoad,
    part: LoadPart,
    runPart: () => Value,
): Effect.Effect<{ readonly value: Value; readonly tookMs: number; }> {
    return Effect.clockWith(clock =>
        Effect.sync(() => {
            const startedNanos = clock.monotonicTimeNanosUnsafe();
            const value = runPart();
            const tookMs = Number(clock.monotonicTimeNanosUnsafe() - startedNanos) / nanosecondsPerMillisecond;
            load.partMs[part] += tookMs;
            return { value, tookMs };
        })
    );
}

/** Records a pass that planned for `tookMs`. */
export function recordPass(load: TermLoad, tookMs: number): void {
    load.passes += 1;
    load.passMs += tookMs;
    load.longestPassMs = Math.max(load.longestPassMs, tookMs);
}

/** Records the best-effort jobs that a pass found without a run. */
export function recordStarvation(load: TermLoad, { jobs, longestMs, starts }: StarvationSummary): void {
    load.jobsWithoutRun = jobs;
    load.longestWithoutRunMs = Math.max(load.longestWithoutRunMs, longestMs);
    load.starvedStarts += starts;
}

/** Records that a run without progress is stopped; `runsOfJob` counts the runs of its job until then. */
export function recordStalledStop(load: TermLoad, runsOfJob: number): void {
    load.stalledStops += 1;
    load.onlyRunsStopped += runsOfJob === 1 ? 1 : 0;
}

/** Records a command that was committed `tookMs` after it was proposed. */
export function recordCommit(load: TermLoad, tookMs: number): void {
    load.commits += 1;
    load.commitMs += tookMs;
    load.longestCommitMs = Math.max(load.longestCommitMs, tookMs);
}
