/** How a run at a minion ended. */
export type RunEnd = "completed" | "leaseEnded" | "connectionClosed";

/** One run of a request at a minion. */
export interface RunRecord {
    readonly attempt: string;
    /** Key of the work, from the body. */
    readonly key: string;
    readonly tenant: string;
    readonly className: string;
    readonly epoch: number;
    /** Monotonic time in milliseconds. */
    readonly startedMs: number;
    /** Undefined while it runs. */
    readonly endedMs: number | undefined;
    readonly end: RunEnd | undefined;
}

/** Records of all runs of a minion, with the highest number of concurrent runs. */
export interface RunRecords {
    readonly startRun: (run: Omit<RunRecord, "endedMs" | "end">) => void;
    readonly endRun: (attempt: string, end: RunEnd, nowMs: number) => void;
    readonly listRuns: () => readonly RunRecord[];
    readonly listRunning: () => readonly string[];
    readonly readHighestRunning: () => number;
}

/** Creates empty records. */
export function createRunRecords(): RunRecords {
    const runs = new Map<string, RunRecord>();
    const running = new Set<string>();
    let highestRunning = 0;
    return {
        startRun: run => {
            runs.set(run.attempt, { ...run, endedMs: undefined, end: undefined });
            running.add(run.attempt);
            highestRunning = Math.max(highestRunning, running.size);
        },
        endRun: (attempt, end, nowMs) => {
            const run = runs.get(attempt);
            if (run !== undefined && running.delete(attempt)) {
                runs.set(attempt, { ...run, endedMs: nowMs, end });
            }
        },
        listRuns: () => [...runs.values()],
        listRunning: () => [...running],
        readHighestRunning: () => highestRunning,
    };
}
