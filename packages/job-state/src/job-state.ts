import type {
    DisturbanceEstimate,
    JobDefinition,
    JobFailure,
    JobId,
    JobPhase,
    MaintenanceWave,
    QueueConfiguration,
    QueueSettings,
    Resources,
    RunKey,
    StepSpec,
    WorkerId,
    WorkerInfo,
    WorkerSpeedEstimate,
} from "@chestnutspool/types";

/** A run that may be executing on a worker: its start is recorded and its end is not. */
export interface RunInProgress {
    readonly run: number;
    readonly worker: WorkerId;
    /** Wall-clock time of the command that started it, in milliseconds since the epoch; 0 if an earlier build did. */
    readonly startedAtMs: number;
}

/** Crashes of workers under the latest runs of a task; a run that passes its trial or ends by itself clears them. */
export interface TaskCrashes {
    /** Runs in succession whose worker crashed soon after their start. */
    readonly crashes: number;
    /** Number of these crashes for which the task is suspected. */
    readonly suspicions: number;
    /** Number of these for which no other task is suspected and its run had certainly started. */
    readonly certain: number;
    /**
     * The last run that was counted. It may outlast the crash, because its start may yet be carried out, and then says nothing
     * about the next one.
     */
    readonly run: number;
}

/** Crashes of workers under a task in its life, weighed by likelihood; a run that ends by itself clears them. */
export interface CrashHistory {
    readonly crashes: number;
    /** How far they speak for the task as their cause: decimal logarithm of the factor on the odds, in hundredths; above 0. */
    readonly evidence: number;
    /** Longest time from a start until the worker fell silent, in milliseconds, up to a minute. */
    readonly ageMs: number;
    /** The last run that was counted. */
    readonly run: number;
}

/** A run on a worker that has crashed, and what the crash added to the counts of its task. */
export interface CountedRun {
    readonly key: RunKey;
    /** As in `RunInProgress`. */
    readonly startedAtMs: number;
    readonly crashes: number;
    readonly suspicions: number;
    readonly certain: number;
    /** Added to the crashes and the evidence of its history. */
    readonly historyCrashes: number;
    readonly evidence: number;
}

/** Crash of a worker. Earlier builds do not record the optional fields. */
export interface RecentCrash {
    /** Wall-clock time at which it was recorded, in milliseconds since the epoch. */
    readonly atMs: number;
    readonly service: string;
    /** Probability that one of its tasks was the cause, in percent. */
    readonly explainedPercent: number;
    /** The same before the crash was counted. */
    readonly expectedPercent?: number;
    readonly worker?: WorkerId;
    readonly availabilityZone?: string;
    readonly rack?: string | undefined;
    /** Wall-clock time from which the worker was silent, in milliseconds since the epoch. */
    readonly crashedAtMs?: number;
    /** Whether a run on the worker was suspected. */
    readonly hasSuspects?: boolean;
    /** Absent once the crash is too old to be part of an outage. */
    readonly runs?: readonly CountedRun[] | undefined;
    /** Workers that crashed in the same outage of their zone or rack; absent if it is not part of one. */
    readonly outageWorkers?: number;
    /** Suspected tasks, by their text form, that are not blamed, because the crash is part of an outage. */
    readonly sparedTasks?: readonly string[];
}

/** State of one task of a step. */
export interface JobTask {
    readonly position: number;
    isDone: boolean;
    /** Number of the last run that was started. */
    lastRun: number;
    /** Number of runs that ended as failed. */
    failures: number;
    /** Undefined unless a worker crashed under the last run. */
    crashes: TaskCrashes | undefined;
    /** Undefined unless a worker crashed under a run; earlier builds do not record it. */
    crashHistory: CrashHistory | undefined;
    /** Checkpoint from which the next run resumes; empty when there is none. */
    checkpoint: string;
    /** Runs in progress; more than one only for speculative steps. */
    runs: readonly RunInProgress[];
}

/** State of one step of an occurrence. */
export interface JobStep {
    readonly spec: StepSpec;
    readonly position: number;
    readonly tasks: readonly JobTask[];
    /** Number of tasks that are not done. */
    tasksLeft: number;
    /** Positions of the tasks that are not done and have no run in progress. */
    readonly waiting: Set<number>;
    /** Number of runs of a gang that ended because a member failed, and the number of the last such run. */
    gangFailures: number;
    lastFailedGangRun: number;
    /**
     * Wall-clock time at which its last task was done, in milliseconds since the epoch; undefined while one is not, and if an
     * earlier build recorded it.
     */
    doneAtMs: number | undefined;
}

/** State of one occurrence of a job, which runs all its steps once. */
export interface JobOccurrence {
    readonly number: number;
    /** Wall-clock time before which no run starts, in milliseconds since the epoch; undefined: at once. */
    readonly dueAtMs: number | undefined;
    readonly steps: readonly JobStep[];
    /** Number of steps with a task that is not done. */
    stepsLeft: number;
}

/** State of a job. */
export interface JobRecord {
    readonly id: JobId;
    /** Replaced by an empty definition when the job closes, because only its phase is read after that. */
    definition: JobDefinition;
    /** Settings of the queue at the time when the job was accepted; only the service follows the queue, see `moveJobs`. */
    queue: QueueSettings;
    /** "running" from its first recorded start on; `findShownPhase` tells what callers see. */
    phase: JobPhase;
    /** Whether a worker is known to have listed or confirmed one of its runs. */
    hasBegun: boolean;
    readonly acceptedAtMs: number;
    endedAtMs: number | undefined;
    /** Why the job has failed; undefined unless it has. */
    failure: JobFailure | undefined;
    /** Occurrences that are created and not complete; emptied when the job ends and its last run has ended. */
    readonly occurrences: Map<number, JobOccurrence>;
    /** Number of the first occurrence that is not created yet. Replicas may differ in it. */
    createdUntil: number;
    /** Number from which on no command has changed an occurrence, so that those need no record. */
    changedUntil: number;
    /** Number of runs in progress. */
    runsInProgress: number;
    /** Estimated memory of its definition and of one of its occurrences, in bytes. */
    sizes: JobSizes;
    /** Estimated memory of the checkpoints of its tasks, in bytes. */
    checkpointBytes: number;
    /** Estimated memory of the job with what is created of it, in bytes; part of `JobState.heldBytes`. */
    heldBytes: number;
}

/** Estimated memory of parts of a job, in bytes. */
export interface JobSizes {
    readonly definitionBytes: number;
    readonly occurrenceBytes: number;
}

/** A worker and the runs placed on it. */
export interface WorkerState {
    readonly info: WorkerInfo;
    /** Largest capacity that it has had; jobs that need it may run once the capacity has grown again. */
    readonly largestCapacity: Resources;
    /** Sequence number of the heartbeat that `info` is from; 0 if it is not known. */
    readonly sequence: number;
    /**
     * Whether it may not list its first ends, because an acknowledgement to an earlier start may have reached it and it has listed
     * none yet; earlier builds do not record it.
     */
    readonly mayOmitEnds: boolean;
    isDraining: boolean;
    /** Resources that its runs reserve. */
    used: Resources;
    /** Runs on the worker, by `formatRunKey`. */
    readonly runs: Map<string, WorkerRun>;
}

/** A run on a worker with the job, occurrence, step and task that it belongs to. */
export interface WorkerRun {
    readonly job: JobRecord;
    readonly occurrence: JobOccurrence;
    readonly step: JobStep;
    readonly task: JobTask;
    readonly run: number;
    /** As in `RunInProgress`. */
    readonly startedAtMs: number;
}

/** A maintenance wave and the hosts on which maintenance has begun. */
export interface WaveState {
    readonly wave: MaintenanceWave;
    readonly requestedAtMs: number;
    readonly begun: Set<string>;
}

/** Speed of a worker and when a leader recorded it, in milliseconds of wall-clock time since the epoch. */
export interface RecordedSpeed {
    readonly estimate: WorkerSpeedEstimate;
    readonly recordedAtMs: number;
}

/** The whole state of jobs; only the state machine changes it. */
export interface JobState {
    /** Highest wall-clock time seen in a command, in milliseconds since the epoch. */
    clockMs: number;
    configuration: QueueConfiguration | undefined;
    readonly jobs: Map<JobId, JobRecord>;
    /** Jobs that have not ended or still have a run in progress, in the order in which they were accepted. */
    readonly openJobs: Map<JobId, JobRecord>;
    /** Open jobs with an occurrence that is created and not complete, or with a run in progress. */
    readonly activeJobs: Map<JobId, JobRecord>;
    /** Open jobs with an occurrence that is not created yet. */
    readonly scheduledJobs: Map<JobId, JobRecord>;
    /** Wall-clock time before which no further occurrence is due, in milliseconds since the epoch. */
    nextDueMs: number;
    /** Estimated memory of the state, in bytes. Replicas may differ in it. */
    heldBytes: number;
    /** Memory that this process has for the state, in bytes. A leader accepts no job beyond it. */
    readonly budgetBytes: number;
    /** Closed jobs, which have ended and have no run in progress, in the order in which they closed. */
    readonly closedJobs: Set<JobId>;
    readonly workers: Map<WorkerId, WorkerState>;
    /** Availability zones in which no run starts. */
    readonly evacuatedZones: Set<string>;
    readonly waves: Map<number, WaveState>;
    /** Interference estimates for pairs of images, by both image names, least recently recorded first. */
    readonly disturbances: Map<string, DisturbanceEstimate>;
    /** Speeds of workers as the last leaders recorded them, by worker. */
    readonly workerSpeeds: Map<WorkerId, RecordedSpeed>;
    /**
     * Restarts of workers under their identities. Leaders add it to their term, so that the token of a session is above those of all
     * orders to earlier starts of the worker; earlier builds do not record it.
     */
    workerRestarts: number;
    /** Crashes of the last minute; earlier builds do not record them. */
    recentCrashes: readonly RecentCrash[];
    /** All services that a queue has ever been configured with, the latest one last, by `formatQueueKey`. */
    readonly servicesByQueue: Map<string, Set<string>>;
    /**
     * Wall-clock time at which jobs were cancelled that were not known, in milliseconds since the epoch, by `formatJobKey`, the
     * earliest first; earlier builds do not record them.
     */
    readonly cancelledSubmissions: Map<string, number>;
}

/** Creates the empty state of a process that has `budgetBytes` of memory for it. */
export function createJobState(budgetBytes: number): JobState {
    return {
        clockMs: 0,
        configuration: undefined,
        jobs: new Map(),
        openJobs: new Map(),
        activeJobs: new Map(),
        scheduledJobs: new Map(),
        nextDueMs: Number.POSITIVE_INFINITY,
        heldBytes: 0,
        budgetBytes,
        closedJobs: new Set(),
        workers: new Map(),
        evacuatedZones: new Set(),
        waves: new Map(),
        disturbances: new Map(),
        workerSpeeds: new Map(),
        workerRestarts: 0,
        recentCrashes: [],
        servicesByQueue: new Map(),
        cancelledSubmissions: new Map(),
    };
}

/** Computes what one task of a step reserves on a worker; best-effort tasks reserve no processors. */
export function computeReservation(spec: StepSpec): Resources {
    return spec.usesIdleCpu ? { ...spec.resources, milliCpu: 0 } : spec.resources;
}

/** Whether the scheduler may start runs on a worker, by the recorded state. */
export function acceptsStarts({ evacuatedZones }: JobState, { info, isDraining }: WorkerState): boolean {
    return !isDraining && !evacuatedZones.has(info.availabilityZone);
}

/** Whether a job has ended, so that no further run starts. */
export function isJobEnded(job: JobRecord): boolean {
    return job.phase === "completed" || job.phase === "failed" || job.phase === "cancelled";
}

/** Finds the phase that callers see: a job whose starts were only recorded, or rejected by workers, is still queued. */
export function findShownPhase({ phase, hasBegun }: JobRecord): JobPhase {
    return phase === "running" && !hasBegun ? "queued" : phase;
}

/** Whether all steps on which a step depends are done. */
export function isStepReady(occurrence: JobOccurrence, step: JobStep): boolean {
    return step.spec.dependsOn.every(position => occurrence.steps[position]?.tasksLeft === 0);
}

/**
 * Finds when a step could first start, in milliseconds since the epoch: when its occurrence was due, or when the last of
 * the steps on which it depends was done. A step that an earlier build recorded as done counts as done at acceptance.
 */
export function findReadyAtMs(job: JobRecord, occurrence: JobOccurrence, step: JobStep): number {
    const dueAtMs = occurrence.dueAtMs ?? job.acceptedAtMs;
    let readyAtMs = dueAtMs;
    for (const position of step.spec.dependsOn) {
        readyAtMs = Math.max(readyAtMs, occurrence.steps[position]?.doneAtMs ?? dueAtMs);
    }
    return readyAtMs;
}
