import type { Resources, WorkerId } from "./domain.js";

/** Id of a job, chosen by the caller. A job is identified by its queue and its id; at most one queue has a job with an id. */
export type JobId = string;

/** A step of a job: a number of equal tasks. */
export interface StepSpec {
    /** Number of tasks. */
    readonly count: number;
    /** Declared size of one task. */
    readonly resources: Resources;
    /** Declared run time of one task in milliseconds; often inaccurate. */
    readonly expectedRunMs: number;
    /** Positions of earlier steps whose tasks must all have succeeded first. */
    readonly dependsOn: readonly number[];
    /** The tasks save their progress, so that a stopped one can resume. */
    readonly checkpointing: boolean;
    /** All tasks start together and end together. */
    readonly gang: boolean;
    /** The tasks are slower when they run in more than one rack. */
    readonly prefersOneRack: boolean;
    /** Label that a worker must have; undefined when any worker is suitable. */
    readonly requiredLabel: string | undefined;
    /** Rack in which the data is; the tasks are slower elsewhere. */
    readonly rackOfData: string | undefined;
    /** Most tasks of the step on one worker; undefined without a limit. */
    readonly perWorkerLimit: number | undefined;
    /** A task may run in several copies; the first one to finish counts. */
    readonly speculative: boolean;
    /** The tasks run until the job is cancelled and are started again whenever they end. */
    readonly longRunning: boolean;
    /** What the tasks run; tasks of one image behave alike. */
    readonly image: string | undefined;
    /** Target for the tail latency of a serving task, in milliseconds; undefined for other tasks. */
    readonly tailTargetMs: number | undefined;
    /**
     * Whether the tasks are best-effort tasks: they use processor time that other tasks leave idle, and their declared
     * processors are not reserved.
     */
    readonly usesIdleCpu: boolean;
    /** Tasks of a long-running step that the scheduler may interrupt at the same time; undefined without a limit. */
    readonly awayLimit: number | undefined;
}

/** What a caller submits. */
export interface JobDefinition {
    readonly id: JobId;
    /** Opaque text handed to each task. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    /** Number of times that the steps run; 1 for a job without a schedule. */
    readonly occurrences: number;
    /** Wall-clock time of the first occurrence in milliseconds since the epoch; undefined: at once. */
    readonly firstAtMs: number | undefined;
    /** Time between two occurrences in milliseconds. */
    readonly intervalMs: number;
}

/** Advice that a queue requires before its steps are placed. */
export interface AdvicePolicy {
    /** Time that one answer takes, and the additional time for each worker in the request, in milliseconds. */
    readonly decisionMs: number;
    readonly perWorkerMs: number;
    /** How long a ticket is valid, in milliseconds. */
    readonly validityMs: number;
}

/** A queue of jobs as the configuration sets it. */
export interface QueueSettings {
    readonly name: string;
    /** Host name under which callers reach the queue. */
    readonly hostName: string;
    /** Path prefix under which callers reach the queue; the longest matching prefix applies. */
    readonly path: string;
    /** Pool of workers that run the tasks. */
    readonly service: string;
    /** Priority of the queue; 0 is the highest. */
    readonly priority: number;
    /** Failed runs of a task after which the job fails. */
    readonly maxAttempts: number;
    /** A job is on time when it ends within its critical path times this factor plus `targetLatencyMs`. */
    readonly slackFactor: number;
    readonly targetLatencyMs: number;
    readonly timeoutMs: number;
    readonly advice: AdvicePolicy | undefined;
}

/** A pool of workers as the configuration sets it. */
export interface PoolSettings {
    readonly name: string;
    /** Path of the workers' health check. */
    readonly healthPath: string;
    /** The workers refuse tasks that exceed their capacity. */
    readonly guardsCapacity: boolean;
    /** The hosts of the pool are switched off until they are moved to another pool. */
    readonly isStandby: boolean;
}

/** The configuration of the queues and pools; the highest version is in force. */
export interface QueueConfiguration {
    readonly version: number;
    readonly queues: readonly QueueSettings[];
    readonly pools: readonly PoolSettings[];
    /** Largest request of a caller in bytes. */
    readonly bodyLimitBytes: number;
    /** The document as it was received, compressed, so that it is read back unchanged. */
    readonly document: Uint8Array;
}

/** Description of a worker, as it reports it. */
export interface WorkerInfo {
    readonly id: WorkerId;
    /**
     * Wall-clock time of its start in milliseconds since the epoch, which tells apart the starts under one id; undefined if it
     * does not say.
     */
    readonly bornAtMs?: number | undefined;
    /** IP address and port on which it accepts orders. */
    readonly address: string;
    readonly service: string;
    readonly availabilityZone: string;
    /** May shrink and grow while the worker runs. */
    readonly capacity: Resources;
    /** Kind of the worker and its rack, in this order; more may follow. */
    readonly labels: readonly string[];
}

/** One heartbeat of a worker. */
export interface WorkerHeartbeat {
    readonly worker: WorkerInfo;
    readonly draining: boolean;
    /** Least time until a draining worker leaves, in milliseconds. */
    readonly remainingMs: number | undefined;
    /** Raised with each heartbeat of one worker. */
    readonly sequence: number;
    /** Reading of the worker's own clock, in milliseconds. */
    readonly clockMs: number | undefined;
    /** How much longer the worker is slow because it has just started, in milliseconds; undefined if it does not say. */
    readonly coldRemainingMs?: number | undefined;
}

/** Identifies one task: job, occurrence, step and position within the step. */
export interface TaskKey {
    readonly job: JobId;
    readonly occurrence: number;
    readonly step: number;
    readonly position: number;
}

/** Identifies one run of a task. */
export interface RunKey extends TaskKey {
    /** Number of the run; the first run of a task is 1, and each start raises it. */
    readonly run: number;
}

/** How a run ended at its worker. */
export type RunOutcome =
    /** The task succeeded. */
    | "succeeded"
    /** The task or its worker failed. */
    | "failed"
    /** The run was stopped by an order. */
    | "stopped"
    /** The lease of its worker has expired, or the worker is gone. */
    | "lapsed"
    /** Another member of the run's gang ended. */
    | "gangBroken"
    /** The run waited too long for the other members of its gang. */
    | "gangIncomplete"
    /** The run certainly never started. */
    | "neverStarted";

/** End of a run. */
export interface RunEnd extends RunKey {
    readonly outcome: RunOutcome;
    /** Progress from which the next run can resume; empty when there is none. */
    readonly checkpoint: string;
    /**
     * Whether no worker has carried out the order to start the run, so that it has crashed none. Absent if that is not certain; earlier
     * builds neither tell nor use it.
     */
    readonly hasNotRun?: boolean;
}

/** A run that is to start on a worker. */
export interface RunStart extends RunKey {
    readonly worker: WorkerId;
}

/** Crash of a worker. */
export interface WorkerCrash {
    /** Runs of which one may have caused the crash; empty if none is suspected. */
    readonly suspectedRuns: readonly RunKey[];
    /** Whether one run only, or members of one gang only, are suspected and had certainly started. */
    readonly isCertain: boolean;
    /** Runs of tasks that had been suspected before and have proved that they do not crash their worker. */
    readonly clearedRuns: readonly RunKey[];
    /**
     * Runs that were ordered after the crash, so that it says nothing about them; absent if there are none. Replicas of earlier
     * builds count it for them too.
     */
    readonly laterRuns?: readonly RunKey[];
    /** Time for which the worker had been silent, in milliseconds; earlier builds do not tell it. */
    readonly silentMs?: number | undefined;
}

/** State of a job as callers see it. */
export type JobPhase = "queued" | "running" | "completed" | "failed" | "cancelled";

/** Why a job has failed, and the task, by its text form, that failed it. */
export interface JobFailure {
    readonly reason:
        /** A task, or a gang, has failed as often as its queue allows. */
        | "attemptsExhausted"
        /** Workers crashed whenever they started the task. */
        | "workerCrashes";
    readonly task: string;
}

/** Whether runs may start on the workers of an availability zone. */
export interface SetZoneAdmission {
    readonly kind: "setZoneAdmission";
    readonly availabilityZone: string;
    /** No run starts in the zone until it is set to false; what runs there goes on. */
    readonly isEvacuated: boolean;
}

/** A command of the replicated log of jobs; `nowMs` is the leader's wall-clock time in milliseconds since the epoch. */
export type JobCommand =
    & { readonly nowMs: number; }
    & (
        | {
            readonly kind: "submitJob";
            readonly spec: JobDefinition;
            readonly hostName: string;
            readonly path: string;
        }
        | {
            readonly kind: "cancelJob";
            readonly job: JobId;
            /**
             * Set if the scheduler gives the job up, so that it ends as failed. A replica of an earlier build ends it as
             * cancelled.
             */
            readonly failure?: JobFailure;
        }
        /**
         * Cancels a job that is not known, so that a submission of it that arrives later is refused. Replicas of earlier builds
         * ignore it.
         */
        | {
            readonly kind: "cancelSubmission";
            readonly job: JobId;
            readonly hostName: string;
            readonly path: string;
        }
        | { readonly kind: "startRuns"; readonly starts: readonly RunStart[]; }
        /** Jobs of which a worker has listed or confirmed a run. Replicas of earlier builds ignore it. */
        | { readonly kind: "beginJobs"; readonly jobs: readonly JobId[]; }
        | {
            readonly kind: "endRuns";
            readonly worker: WorkerId;
            readonly ends: readonly RunEnd[];
            /**
             * Successes of runs that are not recorded any more, because their start was given up or their worker was silent; absent if
             * there are none. Replicas of earlier builds ignore them.
             */
            readonly lateSuccesses?: readonly RunKey[];
        }
        | {
            /** Records a worker, or what has changed of it. */
            readonly kind: "registerWorker";
            readonly worker: WorkerInfo;
            /** Sequence number of the heartbeat that said so; absent in records of earlier builds. */
            readonly sequence?: number;
            /** As in `WorkerState`; absent for false. Replicas of earlier builds ignore it. */
            readonly mayOmitEnds?: true;
        }
        | { readonly kind: "drainWorker"; readonly worker: WorkerId; }
        | {
            /** The worker is gone, or its lease has certainly expired; all its runs have ended. */
            readonly kind: "expireWorker";
            readonly worker: WorkerId;
            /** False when the worker may come back with the same identity. */
            readonly isGone: boolean;
            /** Last progress that was reported for its runs. */
            readonly checkpoints: readonly RunEnd[];
            /** Runs that go on; absent if none does. Replicas of earlier builds end them too. */
            readonly kept?: readonly RunKey[];
            /**
             * Set if the worker has started again under its identity, so that later orders to it get a higher fencing token. Replicas of
             * earlier builds ignore it.
             */
            readonly hasRestarted?: true;
            /** Set if the worker has certainly crashed. Records of earlier builds do not have it. */
            readonly crash?: WorkerCrash;
        }
        | { readonly kind: "setConfiguration"; readonly configuration: QueueConfiguration; }
        | { readonly kind: "startWave"; readonly wave: MaintenanceWave; }
        /** Replicas of earlier builds do not know it, so that a zone is to be evacuated only once all are upgraded. */
        | SetZoneAdmission
        | { readonly kind: "recordUpkeep"; readonly wave: number; readonly host: string; }
        /** Estimates that the leader has learnt since it last recorded any, so that the next leader has them. */
        | { readonly kind: "recordDisturbances"; readonly pairs: readonly DisturbanceEstimate[]; }
        /** What the leader has learnt of the speeds of workers. Replicas of earlier builds ignore it. */
        | { readonly kind: "recordWorkerSpeeds"; readonly estimates: readonly WorkerSpeedEstimate[]; }
    );

/** Evidence of the leader about the speed of a worker. */
export interface WorkerSpeedEstimate {
    readonly worker: WorkerId;
    /** Speed compared with other workers; 1 is normal, 0.2 is five times slower. */
    readonly speed: number;
    /** Weight of the evidence, in runs. */
    readonly speedWeight: number;
    /** Share of its runs that failed. */
    readonly failureShare: number;
    /** Weight of the evidence about failures, in runs. */
    readonly failureWeight: number;
}

/** Estimated interference between the tasks of one image and the serving tasks of another. */
export interface DisturbanceEstimate {
    readonly image: string;
    readonly other: string;
    /** Decrease of the ratio target / tail latency for each whole worker that the other image uses. */
    readonly disturbance: number;
    readonly variance: number;
}

/** A maintenance wave: `hosts` are maintained within `durationMs`, at most `hostsAtOnce` at the same time. */
export interface MaintenanceWave {
    readonly wave: number;
    readonly hosts: readonly string[];
    readonly durationMs: number;
    readonly hostsAtOnce: number;
}

/** Result of a command of the replicated log of jobs; the same on each replica. */
export type JobResult =
    | { readonly kind: "done"; }
    /** The job is stored, by this command or by an earlier one. */
    | { readonly kind: "accepted"; readonly isRepeat: boolean; }
    /** The job is not stored, because another queue has a job with its id. */
    | { readonly kind: "otherQueue"; }
    /** The job is not stored, because it was cancelled before its submission arrived. */
    | { readonly kind: "cancelled"; }
    | { readonly kind: "noQueue"; }
    | { readonly kind: "noJob"; }
    /** Version of the configuration in force after the command. */
    | { readonly kind: "configuration"; readonly version: number; }
    /** Starts that were refused because the state had changed, by position in the command. */
    | { readonly kind: "started"; readonly refused: readonly number[]; };
