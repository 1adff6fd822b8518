import { formatRunKey, type WorkerState } from "@chestnutspool/job-state";
import type { RunEnd, RunKey, RunProgress, UnacknowledgedEnd } from "@chestnutspool/types";

/** State of the start of a run. */
export type StartState =
    /** The order to start it is not answered yet. */
    | "ordered"
    /** The order got no answer; the worker may still carry it out at any time. */
    | "unanswered"
    /** The worker has confirmed the start or listed the run. */
    | "confirmed"
    /** The order can no longer take effect, because the worker refused it or has carried out a stop. */
    | "excluded";

/** State of one run on a worker as tracked by the leader. Times are monotonic, in milliseconds. */
export interface RunStatus {
    readonly key: RunKey;
    /** When it was ordered, or when a later start of the worker has confirmed the order, in monotonic milliseconds. */
    orderedAtMs: number;
    start: StartState;
    /** When `start` last changed. */
    startChangedAtMs: number;
    /** When the leader decided to stop the run; undefined while the run may continue. */
    stopWantedAtMs: number | undefined;
    /** When the worker confirmed the order to stop the run. */
    stoppedAtMs: number | undefined;
    progressPercent: number;
    /** Progress that the first report showed, such as that of a checkpoint; undefined before. */
    firstPercent?: number | undefined;
    /** When the progress last changed. */
    progressAtMs: number;
    checkpoint: string;
    /** When the checkpoint was saved at a guess: half way between the last two reports with different checkpoints. */
    checkpointAtMs: number;
    /**
     * Last reported tail latency of a serving task in milliseconds, or processor time in use by another task in
     * thousandths of a core.
     */
    lastReading: number | undefined;
    /** When the last report that lists the run arrived. */
    readAtMs: number;
    /** Pace that was ordered for the run, in percent of its full speed. */
    pacePercent: number;
    /** Whether an order to change the pace is in progress. */
    isPaceOrdered: boolean;
    /** Whether the worker may have another pace than `pacePercent`, because it has not answered an order. */
    isPaceUncertain: boolean;
    /** When `pacePercent` last changed. */
    paceChangedAtMs: number;
    /** Lowest pace so far, in percent. */
    lowestPacePercent: number;
    /** How long the run was below full pace until the last change of pace, in milliseconds. */
    slowedMs: number;
}

/** Statuses of the runs on one worker, by run key. */
export type RunStatuses = Map<string, RunStatus>;

/** Creates the status of a run whose start is about to be ordered, or was recorded by an earlier leader. */
export function createRunStatus(key: RunKey, start: StartState, nowMs: number): RunStatus {
    return {
        key,
        orderedAtMs: nowMs,
        start,
        startChangedAtMs: nowMs,
        stopWantedAtMs: undefined,
        stoppedAtMs: undefined,
        progressPercent: 0,
        progressAtMs: nowMs,
        checkpoint: "",
        checkpointAtMs: nowMs,
        lastReading: undefined,
        readAtMs: nowMs,
        pacePercent: 100,
        isPaceOrdered: false,
        isPaceUncertain: false,
        paceChangedAtMs: nowMs,
        lowestPacePercent: 100,
        slowedMs: 0,
    };
}

/** Whether the worker may yet carry out the order to start a run. */
export function isStartOpen({ start }: RunStatus): boolean {
    return start === "ordered" || start === "unanswered";
}

/** Progress of a long-running task that is at work, in percent. */
const atWorkPercent = 100;

/** Whether a run of a long-running task is at work, by the last report; a task that is still starting is not. */
export function isAtWork({ progressPercent }: RunStatus): boolean {
    return progressPercent >= atWorkPercent;
}

/**
 * Time after which a start without an answer is given up, in milliseconds. Reports come at least once a second, so that
 * they list a run that has started by then.
 */
const unansweredLimitMs = 1_500;

/**
 * Whether a start without an answer is to be given up. The run is then stopped, so that the start can no longer take
 * effect.
 */
export function isStartTimedOut(status: RunStatus, nowMs: number): boolean {
    return status.start === "unanswered" && status.stopWantedAtMs === undefined
        && nowMs - status.startChangedAtMs > unansweredLimitMs;
}

/** A report of a worker on its runs. */
export interface RunReport {
    readonly running: readonly RunProgress[];
    readonly ended: readonly UnacknowledgedEnd[];
    /** False if the worker may have more ends than the report lists. */
    readonly isComplete: boolean;
}

/** Changes that follow from a report. */
export interface ReportOutcome {
    /** Ends of runs, to be recorded before they are acknowledged. */
    readonly ends: readonly RunEnd[];
    /** Successes of runs that are not recorded for the worker. */
    readonly lateSuccesses: readonly RunKey[];
    /** Highest sequence number that may be acknowledged once the ends are recorded. */
    readonly lastSequence: number;
    /** Runs that the worker lists but that are not recorded for it; they are to be stopped. */
    readonly orphanedRuns: readonly RunKey[];
    /** Runs that had started and that the worker lists neither as running nor as ended; their ends count as lapsed. */
    readonly unlistedRuns: readonly RunKey[];
}

function recordProgress(status: RunStatus, progress: RunProgress, nowMs: number): void {
    if (status.start !== "confirmed") {
        status.start = "confirmed";
        status.startChangedAtMs = nowMs;
    }
    status.firstPercent ??= progress.progressPercent;
    if (status.progressPercent !== progress.progressPercent) {
        status.progressPercent = progress.progressPercent;
        status.progressAtMs = nowMs;
    }
    if (status.checkpoint !== progress.checkpoint) {
        status.checkpoint = progress.checkpoint;
        status.checkpointAtMs = (status.readAtMs + nowMs) / 2;
    }
    status.lastReading = progress.lastReading;
    status.readAtMs = nowMs;
}

/**
 * Whether the outcome of the start was known before the renewal was sent. If so, a run that the report does not list
 * has never started or is over.
 */
function isStartResolvedBefore(status: RunStatus | undefined, sentAtMs: number): boolean {
    if (status === undefined) {
        return false;
    }
    switch (status.start) {
        case "ordered":
        case "unanswered":
            return status.stoppedAtMs !== undefined && status.stoppedAtMs < sentAtMs;
        case "confirmed":
        case "excluded":
            return status.startChangedAtMs < sentAtMs;
    }
}

/**
 * Compares a report with the runs that are recorded for the worker. `sentAtMs` is when the renewal that it answers was
 * sent: a run that it does not list is over only if the outcome of its start was known before. Starts that earlier
 * leaders ordered can no longer take effect on a worker that has seen this leader's fencing token.
 */
export function applyReport(
    state: WorkerState,
    statuses: RunStatuses,
    report: RunReport,
    sentAtMs: number,
    nowMs: number,
): ReportOutcome {
    const listed = new Set<string>();
    const orphanedRuns: RunKey[] = [];
    for (const progress of report.running) {
        const key = formatRunKey(progress);
        listed.add(key);
        const status = statuses.get(key);
        if (status === undefined || !state.runs.has(key)) {
            orphanedRuns.push(progress);
        }
        else {
            recordProgress(status, progress, nowMs);
        }
    }
    const ends: RunEnd[] = [];
    const lateSuccesses: RunKey[] = [];
    const unlistedRuns: RunKey[] = [];
    let lastSequence = 0;
    for (const end of report.ended) {
        const key = formatRunKey(end);
        lastSequence = Math.max(lastSequence, end.sequence);
        listed.add(key);
        if (state.runs.has(key)) {
            ends.push(end);
        }
        else if (end.outcome === "succeeded") {
            lateSuccesses.push(end);
        }
    }
    if (report.isComplete) {
        for (const [key, run] of state.runs) {
            const status = statuses.get(key);
            if (!listed.has(key) && isStartResolvedBefore(status, sentAtMs) && status !== undefined) {
                const outcome = status.start === "confirmed" ? "lapsed" : "neverStarted";
                ends.push({ ...status.key, run: run.run, outcome, checkpoint: status.checkpoint });
                if (outcome === "lapsed") {
                    unlistedRuns.push(status.key);
                }
            }
        }
    }
    return { ends, lateSuccesses, lastSequence, orphanedRuns, unlistedRuns };
}
