import type { StarvationSummary, Urgency } from "@chestnutspool/plan-jobs";
import { Effect } from "effect";

/** Work of the leader whose time is measured apart: parts of a pass of the planner, reports of workers, and paces. */
export type LoadPart = "stops" | "starts" | "preemptions" | "copies" | "reports" | "paces";

/** A stage on the way from the end of a task to the start of the next one. */
export type HandoverStage =
    /** From the arrival of a report with an end to the commit of the end. */
    | "reportCommit"
    /** From the proposal of the end that a step waited for, or of its job, to the commit of the first start of a task. */
    | "startCommit"
    /** From the order to start a task to the answer of its worker. */
    | "startOrder";

/** Number and total duration of what was measured. */
export interface DurationSum {
    count: number;
    totalMs: number;
}

/** Work of a leader since its last line about it. Durations are in milliseconds. */
export interface TermLoad {
    passes: number;
    passMs: number;
    longestPassMs: number;
    /** Passes over urgent tasks alone; the others are not counted here. */
    urgentPasses: number;
    urgentPassMs: number;
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
    /** Raised paces that were not ordered in a round because the ration was spent. */
    heldRaises: number;
    /** Best-effort jobs without a run, as the last pass found them. */
    jobsWithoutRun: number;
    /** Longest time for which such a job has had no run. */
    longestWithoutRunMs: number;
    /** Tasks that were started although they disturb serving tasks, because their jobs had no run. */
    starvedStarts: number;
    /** Runs that were stopped because they made no progress, and those among them that were the only run of their job. */
    stalledStops: number;
    onlyRunsStopped: number;
    /** Starts of tasks by urgency; `starts` counts both. */
    readonly startsByUrgency: Record<Urgency, number>;
    readonly stages: Record<Urgency, Record<HandoverStage, DurationSum>>;
    /** Time for which each part has kept the thread. */
    readonly partMs: Record<LoadPart, number>;
    /** Longest time by which a timer fired late; the event loop was busy for at least this time. */
    longestDelayMs: number;
}

function createStages(): Record<HandoverStage, DurationSum> {
    const createSum = (): DurationSum => ({ count: 0, totalMs: 0 });
    return { reportCommit: createSum(), startCommit: createSum(), startOrder: createSum() };
}

/** Creates a record without any work. */
export function createTermLoad(): TermLoad {
    return {
        passes: 0,
        passMs: 0,
        longestPassMs: 0,
        urgentPasses: 0,
        urgentPassMs: 0,
        commits: 0,
        commitMs: 0,
        longestCommitMs: 0,
        starts: 0,
        refusedStarts: 0,
        unconfirmedStarts: 0,
        renewals: 0,
        failedRenewals: 0,
        paces: 0,
        heldRaises: 0,
        jobsWithoutRun: 0,
        longestWithoutRunMs: 0,
        starvedStarts: 0,
        stalledStops: 0,
        onlyRunsStopped: 0,
        startsByUrgency: { urgent: 0, deferrable: 0 },
        stages: { urgent: createStages(), deferrable: createStages() },
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

/** Records a pass over urgent tasks alone that planned for `tookMs`. */
export function recordUrgentPass(load: TermLoad, tookMs: number): void {
    load.urgentPasses += 1;
    load.urgentPassMs += tookMs;
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

/** Records how long a stage has taken for work of an urgency. */
export function recordStage(load: TermLoad, urgency: Urgency, stage: HandoverStage, tookMs: number): void {
    const sum = load.stages[urgency][stage];
    sum.count += 1;
    sum.totalMs += tookMs;
}

/** Records a command that was committed `tookMs` after it was proposed. */
export function recordCommit(load: TermLoad, tookMs: number): void {
    load.commits += 1;
    load.commitMs += tookMs;
    load.longestCommitMs = Math.max(load.longestCommitMs, tookMs);
}
