import type {
    DisturbanceEstimate,
    JobDefinition,
    JobId,
    JobPhase,
    QueueConfiguration,
    QueueSettings,
    Resources,
    StepSpec,
    UpkeepWave,
    WorkerId,
    WorkerInfo,
} from "@chestnutspool/types";

/** A run that a worker may have, from the record of its start to the record of its end. */
export interface PlacedRun {
    readonly run: number;
    readonly worker: WorkerId;
}

/** One task. */
export interface JobTask {
    readonly position: number;
    isDone: boolean;
    /** Number of the last start. */
    lastRun: number;
    /** Runs that ended as failed. */
    failures: number;
    /** Progress from which the next run resumes; empty when there is none. */
    checkpoint: string;
    /** Runs in progress; more than one only for speculative steps. */
    runs: readonly PlacedRun[];
}

/** One step of an occurrence. */
export interface JobStep {
    readonly spec: StepSpec;
    readonly position: number;
    readonly tasks: readonly JobTask[];
    /** Tasks that are not done. */
    tasksLeft: number;
    /** Tasks that are neither done nor placed. */
    readonly waiting: Set<number>;
    /** Runs of a gang that ended because a member failed, and the number of the last such run. */
    gangFailures: number;
    lastFailedGangRun: number;
}

/** One occurrence of a job's steps. */
export interface JobOccurrence {
    readonly number: number;
    /** Wall-clock time before which nothing starts; undefined: at once. */
    readonly dueAtMs: number | undefined;
    readonly steps: readonly JobStep[];
    /** Steps with a task that is not done. */
    stepsLeft: number;
}

/** A job. */
export interface JobRecord {
    readonly id: JobId;
    /** Emptied when the job is over, because only its phase is still asked for. */
    definition: JobDefinition;
    /** The queue as it was when the job was accepted. */
    readonly queue: QueueSettings;
    phase: JobPhase;
    readonly acceptedAtMs: number;
    endedAtMs: number | undefined;
    /** Occurrences that are not complete; emptied when the job ends and its last run has ended. */
    readonly occurrences: Map<number, JobOccurrence>;
    /** Number of runs in progress. */
    runsInProgress: number;
}

/** A worker and the runs placed on it. */
export interface WorkerState {
    readonly info: WorkerInfo;
    isDraining: boolean;
    /** What its runs reserve. */
    used: Resources;
    /** Keys of the runs on it, by `formatRunKey`. */
    readonly runs: Map<string, WorkerRun>;
}

/** A run as its worker's record refers to it. */
export interface WorkerRun {
    readonly job: JobRecord;
    readonly occurrence: JobOccurrence;
    readonly step: JobStep;
    readonly task: JobTask;
    readonly run: number;
}

/** A wave of upkeep and the hosts whose upkeep has begun. */
export interface WaveState {
    readonly wave: UpkeepWave;
    readonly requestedAtMs: number;
    readonly begun: Set<string>;
}

/** The whole state; changed by the state machine only. */
export interface JobModel {
    /** Highest wall-clock time seen in a command, in milliseconds since the epoch. */
    clockMs: number;
    configuration: QueueConfiguration | undefined;
    readonly jobs: Map<JobId, JobRecord>;
    /** Jobs that have not ended or still have a run in progress, in order of acceptance. */
    readonly openJobs: Map<JobId, JobRecord>;
    /** Jobs that are over, in the order in which they closed. */
    readonly closedJobs: Set<JobId>;
    readonly workers: Map<WorkerId, WorkerState>;
    readonly waves: Map<number, WaveState>;
    /** What leaders have learnt of pairs of images, by both names; the pairs that were recorded longest ago come first. */
    readonly disturbances: Map<string, DisturbanceEstimate>;
    /** Services to which a queue was ever sent, by host name and path of the queue. */
    readonly servicesByQueue: Map<string, Set<string>>;
}

/** Creates the empty state. */
export function createModel(): JobModel {
    return {
        clockMs: 0,
        configuration: undefined,
        jobs: new Map(),
        openJobs: new Map(),
        closedJobs: new Set(),
        workers: new Map(),
        waves: new Map(),
        disturbances: new Map(),
        servicesByQueue: new Map(),
    };
}

/** What one task of a step reserves on a worker; idle processor time is not reserved. */
export function computeReservation(spec: StepSpec): Resources {
    return spec.usesIdleCpu ? { ...spec.resources, milliCpu: 0 } : spec.resources;
}

/** Whether a job takes no further starts. */
export function isJobEnded(job: JobRecord): boolean {
    return job.phase === "completed" || job.phase === "failed" || job.phase === "cancelled";
}

/** Whether all steps on which a step depends are done. */
export function isStepReady(occurrence: JobOccurrence, step: JobStep): boolean {
    return step.spec.dependsOn.every(position => occurrence.steps[position]?.tasksLeft === 0);
}

function createStep(spec: StepSpec, position: number): JobStep {
    const tasks: JobTask[] = [];
    const waiting = new Set<number>();
    for (let index = 0; index < spec.count; index += 1) {
        tasks.push({ position: index, isDone: false, lastRun: 0, failures: 0, checkpoint: "", runs: [] });
        waiting.add(index);
    }
    return { spec, position, tasks, tasksLeft: spec.count, waiting, gangFailures: 0, lastFailedGangRun: 0 };
}

/** Creates an occurrence of which nothing has run. */
export function createOccurrence(definition: JobDefinition, number: number): JobOccurrence {
    const { firstAtMs, intervalMs, steps } = definition;
    return {
        number,
        dueAtMs: firstAtMs === undefined ? undefined : firstAtMs + number * intervalMs,
        steps: steps.map(createStep),
        stepsLeft: steps.length,
    };
}

/** What is left of a definition when the job is over. */
export function createEndedDefinition(id: JobId): JobDefinition {
    return { id, payload: "", steps: [], occurrences: 0, firstAtMs: undefined, intervalMs: 0 };
}

/** Creates the record of a job that was just accepted. */
export function createJob(definition: JobDefinition, queue: QueueSettings, acceptedAtMs: number): JobRecord {
    const occurrences = new Map<number, JobOccurrence>();
    for (let number = 0; number < definition.occurrences; number += 1) {
        occurrences.set(number, createOccurrence(definition, number));
    }
    return {
        id: definition.id,
        definition,
        queue,
        phase: "queued",
        acceptedAtMs,
        endedAtMs: undefined,
        occurrences,
        runsInProgress: 0,
    };
}
