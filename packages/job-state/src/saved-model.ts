import type {
    DisturbanceEstimate,
    JobDefinition,
    JobFailure,
    JobPhase,
    MaintenanceWave,
    QueueConfiguration,
    QueueSettings,
    Resources,
    WorkerInfo,
} from "@chestnutspool/types";
import type { RecentCrash, RecordedSpeed } from "./job-state.js";

/** Run and worker of a run in progress, and the time of its start, which earlier builds do not write. */
export type SavedRun = readonly [run: number, worker: string, startedAtMs?: number];

/** Crashes, suspicions, certain ones, and the run that was counted last. */
export type SavedCrashes = readonly [number, number, number, number];

/** Crashes, evidence, age, and the run that was counted last. */
export type SavedHistory = readonly [number, number, number, number];

/**
 * Position, last run, failures, checkpoint, runs, crashes and their history of a task that is no longer in its initial state. Tasks
 * without crashes and those that earlier builds write end with the runs, or with the crashes.
 */
export type SavedTask = readonly [
    number,
    number,
    number,
    string,
    readonly SavedRun[],
    (SavedCrashes | undefined)?,
    SavedHistory?,
];

/** A step of an occurrence in a snapshot. */
export interface SavedStep {
    /** Positions of the tasks that are done. */
    readonly done: readonly number[];
    readonly tasks: readonly SavedTask[];
    readonly gangFailures: number;
    readonly lastFailedGangRun: number;
    /** Absent unless the step is done; earlier builds never write it. */
    readonly doneAtMs?: number;
}

/** An occurrence in a snapshot. */
export interface SavedOccurrence {
    readonly number: number;
    readonly steps: readonly SavedStep[];
}

/** A job in a snapshot. */
export interface SavedJob {
    readonly id: string;
    readonly queue: QueueSettings;
    readonly phase: JobPhase;
    /**
     * Present for a running job of which no worker has listed or confirmed a run. Earlier builds do not write it; their running
     * jobs count as begun, so that none is shown as queued again.
     */
    readonly hasBegun?: false;
    readonly acceptedAtMs: number;
    readonly endedAtMs: number | undefined;
    /** Earlier builds do not write it. */
    readonly failure?: JobFailure;
    /** Undefined for a closed job, whose steps are no longer needed. */
    readonly definition: JobDefinition | undefined;
    readonly occurrences: readonly SavedOccurrence[];
    /**
     * Number from which on no occurrence has changed; these are not listed. Absent if there are none. Earlier builds list all
     * occurrences, and take those that are not listed for complete.
     */
    readonly unchangedFrom?: number;
    /**
     * Completed occurrences with a run that is not needed any more but still in progress. Absent without such runs; earlier
     * builds neither write nor read it.
     */
    readonly completedOccurrences?: readonly SavedOccurrence[];
}

/** A worker in a snapshot; its runs are with their tasks. */
export interface SavedWorker {
    readonly info: WorkerInfo;
    readonly isDraining: boolean;
    /** Earlier builds write neither of these. */
    readonly largestCapacity?: Resources;
    readonly sequence?: number;
    /** Absent for false; earlier builds do not write it. */
    readonly mayOmitEnds?: true;
}

/** The fields of a snapshot. */
export interface SavedModel {
    readonly clockMs: number;
    readonly configuration: QueueConfiguration | undefined;
    readonly jobs: readonly SavedJob[];
    /** Ids of the closed jobs, in the order in which they closed. */
    readonly closed: readonly string[];
    readonly workers: readonly SavedWorker[];
    /** Earlier builds do not write it. */
    readonly evacuatedZones?: readonly string[];
    readonly waves: readonly {
        readonly wave: MaintenanceWave;
        readonly requestedAtMs: number;
        readonly begun: readonly string[];
    }[];
    readonly disturbances: readonly DisturbanceEstimate[];
    /** Earlier builds do not write it. */
    readonly workerSpeeds?: readonly RecordedSpeed[];
    /** Absent if there are none; earlier builds do not write it. */
    readonly workerRestarts?: number;
    /** Earlier builds do not write it. */
    readonly recentCrashes?: readonly RecentCrash[];
    readonly services: readonly (readonly [string, readonly string[]])[];
    /** Earlier builds do not write it. */
    readonly cancelledSubmissions?: readonly (readonly [string, number])[];
}
