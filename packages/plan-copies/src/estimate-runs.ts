import type { WorkerRun } from "@chestnutspool/job-state";
import type { RunStatus } from "@chestnutspool/track-workers";

/** Run time of a run, and the rack that it ran in. */
export interface RunTime {
    readonly tookMs: number;
    readonly rack: string;
}

/** State of a run in progress as far as its reports tell, in milliseconds. */
export interface RunEstimate {
    /** Time since its start. */
    readonly elapsedMs: number;
    /** Whole time that the run is expected to take, at least the time since its start. */
    readonly totalMs: number;
    /** Time until its expected end. */
    readonly leftMs: number;
}

/**
 * Age up to which a report counts as recent, in milliseconds. Reports come at least every 900 ms; the progress in an older one
 * is taken for that of the present moment, because the worker may have stopped working.
 */
const recentReportMs = 1_300;

/**
 * Computes the time since the start of a run, in milliseconds. The times are those of the order and, for a run that an earlier
 * leader started, of the command in the log; earlier builds did not record the latter.
 */
export function computeElapsedMs(
    { startedAtMs }: Pick<WorkerRun, "startedAtMs">,
    { orderedAtMs }: RunStatus,
    nowMs: number,
    wallMs: number,
): number {
    return Math.max(nowMs - orderedAtMs, startedAtMs === 0 ? 0 : wallMs - startedAtMs);
}

/** Estimates when a run ends from its progress; without any progress, it is expected to run as long again as it has run. */
export function estimateRun(status: RunStatus, elapsedMs: number, nowMs: number): RunEstimate {
    const { progressPercent, readAtMs } = status;
    const reportAgeMs = nowMs - readAtMs;
    const workedMs = reportAgeMs <= recentReportMs ? elapsedMs - reportAgeMs : elapsedMs;
    if (progressPercent <= 0) {
        return { elapsedMs, totalMs: 2 * elapsedMs, leftMs: elapsedMs };
    }
    // Reports cut off fractions of a percent.
    const totalMs = Math.max(elapsedMs, workedMs * 100 / Math.min(100, progressPercent + 1));
    return { elapsedMs, totalMs, leftMs: totalMs - elapsedMs };
}
