import { formatRunKey, type WorkerState } from "@chestnutspool/job-state";
import type { RunEnd, RunKey, RunProgress, UnacknowledgedEnd } from "@chestnutspool/types";

/** How far the start of a run has got. */
export type StartState =
    /** The order was not answered yet. */
    | "ordered"
    /** The order had no answer; it may be carried out at any time. */
    | "unanswered"
    /** The worker has confirmed the start or listed the run. */
    | "confirmed"
    /** The order certainly never takes effect, because the worker refused it or has carried out a stop. */
    | "excluded";

/** What the leader knows of one run on a worker. */
export interface RunView {
    readonly key: RunKey;
    readonly orderedAtMs: number;
    start: StartState;
    /** When the state of the start last changed. */
    startChangedAtMs: number;
    /** When a stop was first wanted; undefined while the run may go on. */
    stopWantedAtMs: number | undefined;
    /** When the worker answered a stop. */
    stoppedAtMs: number | undefined;
    progressPercent: number;
    /** When the progress last changed. */
    progressAtMs: number;
    checkpoint: string;
    /** Last tail of the response time or processor time in use, and when it arrived. */
    lastReading: number | undefined;
    readAtMs: number;
    /** Share of its speed that the run was told to keep, in percent. */
    pacePercent: number;
    /** When that last changed. */
    paceChangedAtMs: number;
    /** Lowest pace so far in percent, and for how long the run was below full pace until the last change. */
    lowestPacePercent: number;
    slowedMs: number;
}

/** The views of one worker by run key. */
export type RunViews = Map<string, RunView>;

/** Creates the view of a run whose start is about to be ordered, or was recorded by an earlier leader. */
export function createRunView(key: RunKey, start: StartState, nowMs: number): RunView {
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
        lastReading: undefined,
        readAtMs: nowMs,
        pacePercent: 100,
        paceChangedAtMs: nowMs,
        lowestPacePercent: 100,
        slowedMs: 0,
    };
}

/**
 * Time after which a start without an answer is given up, in milliseconds. Reports follow each other within a second, so that a run
 * that has started is listed by then.
 */
const unansweredLimitMs = 1_500;

/** Whether the start of a run had no answer for so long that it is to be stopped, after which it certainly never takes effect. */
export function isStartTimedOut(view: RunView, nowMs: number): boolean {
    return view.start === "unanswered" && view.stopWantedAtMs === undefined
        && nowMs - view.startChangedAtMs > unansweredLimitMs;
}

/** A report of a worker. */
export interface WorkerReport {
    readonly running: readonly RunProgress[];
    readonly ended: readonly UnacknowledgedEnd[];
    readonly isComplete: boolean;
}

/** What a report changes. */
export interface ReportOutcome {
    /** Ends that are to be recorded before they are acknowledged. */
    readonly ends: readonly RunEnd[];
    /** Highest sequence number that may be acknowledged once the ends are recorded. */
    readonly lastSequence: number;
    /** Runs that the worker lists and that are not recorded for it; they have to be stopped. */
    readonly orphanedRuns: readonly RunKey[];
}

function recordProgress(view: RunView, progress: RunProgress, nowMs: number): void {
    if (view.start !== "confirmed") {
        view.start = "confirmed";
        view.startChangedAtMs = nowMs;
    }
    if (view.progressPercent !== progress.progressPercent) {
        view.progressPercent = progress.progressPercent;
        view.progressAtMs = nowMs;
    }
    view.checkpoint = progress.checkpoint;
    view.lastReading = progress.lastReading;
    view.readAtMs = nowMs;
}

/** Whether a run that a report does not list can be taken for one that never started or has left no trace. */
function isSettledBefore(view: RunView | undefined, sentAtMs: number): boolean {
    if (view === undefined) {
        return false;
    }
    switch (view.start) {
        case "ordered":
        case "unanswered":
            return view.stoppedAtMs !== undefined && view.stoppedAtMs < sentAtMs;
        case "confirmed":
        case "excluded":
            return view.startChangedAtMs < sentAtMs;
    }
}

/**
 * Compares a report with the runs that are recorded for the worker. `sentAtMs` is when the renewal that it answers was sent:
 * a run that it does not list is over only if its start was settled before. The report of a worker that has seen this
 * leader's token settles all starts of earlier leaders.
 */
export function applyReport(
    state: WorkerState,
    views: RunViews,
    report: WorkerReport,
    sentAtMs: number,
    nowMs: number,
): ReportOutcome {
    const listed = new Set<string>();
    const orphanedRuns: RunKey[] = [];
    for (const progress of report.running) {
        const key = formatRunKey(progress);
        listed.add(key);
        const view = views.get(key);
        if (view === undefined || !state.runs.has(key)) {
            orphanedRuns.push(progress);
        }
        else {
            recordProgress(view, progress, nowMs);
        }
    }
    const ends: RunEnd[] = [];
    let lastSequence = 0;
    for (const end of report.ended) {
        const key = formatRunKey(end);
        lastSequence = Math.max(lastSequence, end.sequence);
        listed.add(key);
        if (state.runs.has(key)) {
            ends.push(end);
        }
    }
    if (report.isComplete) {
        for (const [key, run] of state.runs) {
            const view = views.get(key);
            if (!listed.has(key) && isSettledBefore(view, sentAtMs) && view !== undefined) {
                const outcome = view.start === "confirmed" ? "lapsed" : "neverStarted";
                ends.push({ ...view.key, run: run.run, outcome, checkpoint: view.checkpoint });
            }
        }
    }
    return { ends, lastSequence, orphanedRuns };
}
