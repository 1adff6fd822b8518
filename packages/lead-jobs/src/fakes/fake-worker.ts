import type { RunKey, UnacknowledgedEnd, WorkerInfo } from "@chestnutspool/types";
import type { PacedRun } from "./paced-run.js";
import type { StartedRun, WorkerFault } from "./worker-types.js";

/** An end that a worker lists, and the run that it is of. */
export interface ListedEnd {
    readonly end: UnacknowledgedEnd;
    readonly record: StartedRun;
}

/** A run on a fake worker. */
export interface RunInProgress extends PacedRun {
    readonly key: RunKey;
    readonly record: StartedRun;
}

/** State of a fake worker. */
export interface FakeWorker {
    readonly info: WorkerInfo;
    readonly clockRate: number;
    /** When its clock showed 0, in monotonic milliseconds. */
    readonly clockStartMs: number;
    fault: WorkerFault;
    token: number;
    /** End of the lease, as a reading of the worker's clock. */
    leaseUntilMs: number;
    readonly running: Map<string, RunInProgress>;
    /** Highest run number of each task that was stopped or has ended, by task key. */
    readonly highestPastRuns: Map<string, number>;
    ended: ListedEnd[];
    /** Highest sequence number that was acknowledged; ends up to it are not listed. */
    acknowledged: number;
    nextSequence: number;
}

/** Whether a fault concerns starts only. */
export function isStartFault(fault: WorkerFault): boolean {
    return fault === "startsLate" || fault === "startsVeryLate" || fault === "startsLost";
}

/** Creates a worker that has just started; its clock showed 0 at `clockStartMs`, monotonic time in milliseconds. */
export function createFakeWorker(info: WorkerInfo, clockRate: number, clockStartMs: number): FakeWorker {
    return {
        info,
        clockRate,
        clockStartMs,
        fault: "none",
        token: 0,
        leaseUntilMs: 0,
        running: new Map(),
        highestPastRuns: new Map(),
        nextSequence: 1,
        ended: [],
        acknowledged: 0,
    };
}
