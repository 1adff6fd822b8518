import {
    addResources,
    type DisturbanceEstimate,
    type JobDefinition,
    type JobFailure,
    type JobPhase,
    type MaintenanceWave,
    noResources,
    type QueueConfiguration,
    type QueueSettings,
    type Resources,
    type WorkerInfo,
} from "@chestnutspool/types";
import { Packr } from "msgpackr";
import {
    computeReservation,
    createEmptyDefinition,
    createJob,
    type JobOccurrence,
    type JobRecord,
    type JobState,
    type JobStep,
    type JobTask,
    type RecentCrash,
    type RecordedSpeed,
} from "./job-state.js";
import { moveJobs, recordServices } from "./queue-services.js";
import { formatRunKey } from "./run-keys.js";

const packr = new Packr({ useRecords: false, moreTypes: false, encodeUndefinedAsNil: false });

/** Run and worker of a run in progress, and the time of its start, which earlier builds do not write. */
type SavedRun = readonly [run: number, worker: string, startedAtMs?: number];

/** Crashes, suspicions, certain ones, and the run that was counted last. */
type SavedCrashes = readonly [number, number, number, number];

/** Crashes, evidence, age, and the run that was counted last. */
type SavedHistory = readonly [number, number, number, number];

/**
 * Position, last run, failures, checkpoint, runs, crashes and their history of a task that is no longer in its initial state. Tasks
 * without crashes and those that earlier builds write end with the runs, or with the crashes.
 */
type SavedTask = readonly [
    number,
    number,
    number,
    string,
    readonly SavedRun[],
    (SavedCrashes | undefined)?,
    SavedHistory?,
];

interface SavedStep {
    /** Positions of the tasks that are done. */
    readonly done: readonly number[];
    readonly tasks: readonly SavedTask[];
    readonly gangFailures: number;
    readonly lastFailedGangRun: number;
    /** Absent unless the step is done; earlier builds never write it. */
    readonly doneAtMs?: number;
}

interface SavedOccurrence {
    readonly number: number;
    readonly steps: readonly SavedStep[];
}

interface SavedJob {
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
     * Completed occurrences with a run that is not needed any more but still in progress. Absent without such runs; earlier
     * builds neither write nor read it.
     */
    readonly completedOccurrences?: readonly SavedOccurrence[];
}

interface SavedWorker {
    readonly info: WorkerInfo;
    readonly isDraining: boolean;
    /** Earlier builds write neither of these. */
    readonly largestCapacity?: Resources;
    readonly sequence?: number;
    /** Absent for false; earlier builds do not write it. */
    readonly mayOmitEnds?: true;
}

interface SavedModel {
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

function isChanged(task: JobTask): boolean {
    return task.lastRun > 0 || task.failures > 0 || task.checkpoint !== "";
}

function saveCrashes({ crashes }: JobTask): SavedCrashes | undefined {
    return crashes === undefined ? undefined : [crashes.crashes, crashes.suspicions, crashes.certain, crashes.run];
}

function saveTask(task: JobTask): SavedTask {
    const runs = task.runs.map(({ run, worker, startedAtMs }) => [run, worker, startedAtMs] as const);
    const saved = [task.position, task.lastRun, task.failures, task.checkpoint, runs] as const;
    const crashes = saveCrashes(task);
    if (task.crashHistory !== undefined) {
        const { crashes: count, evidence, ageMs, run } = task.crashHistory;
        return [...saved, crashes, [count, evidence, ageMs, run]];
    }
    return crashes === undefined ? saved : [...saved, crashes];
}

function saveStep(step: JobStep): SavedStep {
    return {
        done: step.tasks.filter(task => task.isDone).map(task => task.position),
        tasks: step.tasks.filter(isChanged).map(saveTask),
        gangFailures: step.gangFailures,
        lastFailedGangRun: step.lastFailedGangRun,
        ...(step.doneAtMs === undefined ? {} : { doneAtMs: step.doneAtMs }),
    };
}

function saveOccurrence({ number, steps }: JobOccurrence): SavedOccurrence {
    return { number, steps: steps.map(saveStep) };
}

/** Completed occurrences that still have a run in progress, by job. */
type CompletedOccurrences = ReadonlyMap<JobRecord, ReadonlySet<JobOccurrence>>;

/** Lists the completed occurrences that the jobs no longer hold but whose runs still take up capacity. */
function listCompletedOccurrences(state: JobState): CompletedOccurrences {
    const completed = new Map<JobRecord, Set<JobOccurrence>>();
    for (const { runs } of state.workers.values()) {
        for (const { job, occurrence } of runs.values()) {
            if (!job.occurrences.has(occurrence.number)) {
                const ofJob = completed.get(job) ?? new Set<JobOccurrence>();
                completed.set(job, ofJob.add(occurrence));
            }
        }
    }
    return completed;
}

function saveJob(job: JobRecord, isOpen: boolean, completed: ReadonlySet<JobOccurrence> | undefined): SavedJob {
    return {
        id: job.id,
        queue: job.queue,
        phase: job.phase,
        ...(job.phase === "running" && !job.hasBegun ? { hasBegun: false as const } : {}),
        acceptedAtMs: job.acceptedAtMs,
        endedAtMs: job.endedAtMs,
        ...(job.failure === undefined ? {} : { failure: job.failure }),
        definition: isOpen ? job.definition : undefined,
        occurrences: isOpen ? [...job.occurrences.values()].map(saveOccurrence) : [],
        ...(completed === undefined
            ? {}
            // In the order of their numbers, so that equal states give equal bytes.
            : {
                completedOccurrences: [...completed].sort((left, right) => left.number - right.number)
                    .map(saveOccurrence),
            }),
    };
}

/** Encoded closed jobs, which no longer change; they are most of the state, and encoding them blocks the process. */
const encodedClosedJobs = new WeakMap<JobRecord, Uint8Array>();

function encodeJob(job: JobRecord, isOpen: boolean, completed: CompletedOccurrences): Uint8Array {
    if (isOpen) {
        return packr.pack(saveJob(job, true, completed.get(job)));
    }
    const known = encodedClosedJobs.get(job);
    if (known !== undefined) {
        return known;
    }
    // A copy, because the encoder returns a part of a larger buffer, which would stay in memory as a whole.
    const encoded = new Uint8Array(packr.pack(saveJob(job, false, undefined)));
    encodedClosedJobs.set(job, encoded);
    return encoded;
}

/** Header of a MessagePack array (`array 32`). */
function encodeArrayHeader(length: number): Uint8Array {
    const header = Buffer.alloc(5);
    header.writeUInt8(0xdd, 0);
    header.writeUInt32BE(length, 1);
    return header;
}

/** Header of a MessagePack map with up to 15 keys (`fixmap`). */
function encodeMapHeader(keys: number): Uint8Array {
    return Uint8Array.of(0x80 + keys);
}

/** Encodes the state as MessagePack; the parts are those of a `SavedModel`. */
export function encodeSnapshot(state: JobState): Uint8Array {
    const saved: Omit<SavedModel, "jobs"> = {
        clockMs: state.clockMs,
        configuration: state.configuration,
        closed: [...state.closedJobs],
        workers: [...state.workers.values()].map(({ info, isDraining, largestCapacity, sequence, mayOmitEnds }) => ({
            info,
            isDraining,
            largestCapacity,
            sequence,
            ...(mayOmitEnds ? { mayOmitEnds } : {}),
        })),
        evacuatedZones: [...state.evacuatedZones],
        waves: [...state.waves.values()].map(({ wave, requestedAtMs, begun }) => ({
            wave,
            requestedAtMs,
            begun: [...begun],
        })),
        disturbances: [...state.disturbances.values()],
        workerSpeeds: [...state.workerSpeeds.values()],
        ...(state.workerRestarts === 0 ? {} : { workerRestarts: state.workerRestarts }),
        recentCrashes: state.recentCrashes,
        services: [...state.servicesByQueue].map(([queue, services]) => [queue, [...services]]),
        cancelledSubmissions: [...state.cancelledSubmissions],
    };
    const fields = Object.entries(saved);
    const parts: Uint8Array[] = [encodeMapHeader(fields.length + 1)];
    for (const [key, value] of fields) {
        parts.push(packr.pack(key), packr.pack(value));
    }
    parts.push(packr.pack("jobs" satisfies keyof SavedModel), encodeArrayHeader(state.jobs.size));
    const completed = listCompletedOccurrences(state);
    for (const job of state.jobs.values()) {
        parts.push(encodeJob(job, state.openJobs.has(job.id), completed));
    }
    return Buffer.concat(parts);
}

function restoreTask(
    state: JobState,
    owner: { readonly job: JobRecord; readonly occurrence: JobOccurrence; readonly step: JobStep; },
    [position, lastRun, failures, checkpoint, runs, saved, history]: SavedTask,
): void {
    const task = owner.step.tasks[position];
    if (task === undefined) {
        return;
    }
    Object.assign(task, { lastRun, failures, checkpoint });
    if (saved !== undefined) {
        const [crashes, suspicions, certain, run] = saved;
        task.crashes = { crashes, suspicions, certain, run };
    }
    if (history !== undefined) {
        const [crashes, evidence, ageMs, run] = history;
        task.crashHistory = { crashes, evidence, ageMs, run };
    }
    task.runs = runs.map(([run, worker, startedAtMs = 0]) => ({ run, worker, startedAtMs }));
    for (const { run, worker, startedAtMs } of task.runs) {
        owner.step.waiting.delete(position);
        owner.job.runsInProgress += 1;
        const key = formatRunKey({
            job: owner.job.id,
            occurrence: owner.occurrence.number,
            step: owner.step.position,
            position,
            run,
        });
        const workerState = state.workers.get(worker);
        if (workerState !== undefined) {
            workerState.runs.set(key, { ...owner, task, run, startedAtMs });
            workerState.used = addResources(workerState.used, computeReservation(owner.step.spec));
        }
    }
}

function restoreStep(
    state: JobState,
    job: JobRecord,
    occurrence: JobOccurrence,
    step: JobStep,
    saved: SavedStep,
): void {
    step.gangFailures = saved.gangFailures;
    step.lastFailedGangRun = saved.lastFailedGangRun;
    step.doneAtMs = saved.doneAtMs;
    for (const position of saved.done) {
        const task = step.tasks[position];
        if (task !== undefined) {
            task.isDone = true;
            step.waiting.delete(position);
        }
    }
    step.tasksLeft = step.tasks.length - saved.done.length;
    saved.tasks.forEach(task => restoreTask(state, { job, occurrence, step }, task));
}

function restoreJob(state: JobState, saved: SavedJob): void {
    const { id, queue, acceptedAtMs } = saved;
    const job = createJob(saved.definition ?? createEmptyDefinition(id), queue, acceptedAtMs);
    job.phase = saved.phase;
    job.hasBegun = saved.phase !== "queued" && saved.hasBegun !== false;
    job.endedAtMs = saved.endedAtMs;
    job.failure = saved.failure;
    const savedByNumber = new Map(saved.occurrences.map(occurrence => [occurrence.number, occurrence]));
    const completedByNumber = new Map(saved.completedOccurrences?.map(occurrence => [occurrence.number, occurrence]));
    for (const occurrence of [...job.occurrences.values()]) {
        const found = savedByNumber.get(occurrence.number) ?? completedByNumber.get(occurrence.number);
        if (found === undefined) {
            job.occurrences.delete(occurrence.number);
            continue;
        }
        occurrence.steps.forEach((step, position) => {
            const savedStep = found.steps[position];
            if (savedStep !== undefined) {
                restoreStep(state, job, occurrence, step, savedStep);
            }
        });
        occurrence.stepsLeft = occurrence.steps.filter(step => step.tasksLeft > 0).length;
        if (completedByNumber.has(occurrence.number)) {
            // Only its runs refer to it.
            job.occurrences.delete(occurrence.number);
        }
    }
    state.jobs.set(id, job);
    if (saved.definition !== undefined) {
        state.openJobs.set(id, job);
    }
}

/** Replaces the state with the one in an encoded snapshot. */
export function restoreSnapshot(state: JobState, bytes: Uint8Array): void {
    const saved = packr.unpack(bytes) as SavedModel;
    for (
        const collection of [
            state.jobs,
            state.openJobs,
            state.closedJobs,
            state.workers,
            state.evacuatedZones,
            state.waves,
            state.disturbances,
            state.workerSpeeds,
            state.servicesByQueue,
            state.cancelledSubmissions,
        ]
    ) {
        collection.clear();
    }
    state.clockMs = saved.clockMs;
    state.configuration = saved.configuration ?? undefined;
    state.workerRestarts = saved.workerRestarts ?? 0;
    state.recentCrashes = saved.recentCrashes ?? [];
    for (
        const { info, isDraining, largestCapacity = info.capacity, sequence = 0, mayOmitEnds = false } of saved.workers
    ) {
        const used = noResources;
        state.workers.set(info.id, { info, isDraining, largestCapacity, sequence, mayOmitEnds, used, runs: new Map() });
    }
    saved.evacuatedZones?.forEach(zone => state.evacuatedZones.add(zone));
    saved.jobs.forEach(job => restoreJob(state, job));
    saved.closed.forEach(id => state.closedJobs.add(id));
    for (const { wave, requestedAtMs, begun } of saved.waves) {
        state.waves.set(wave.wave, { wave, requestedAtMs, begun: new Set(begun) });
    }
    for (const pair of saved.disturbances) {
        state.disturbances.set(`${pair.image} ${pair.other}`, pair);
    }
    saved.workerSpeeds?.forEach(recorded => state.workerSpeeds.set(recorded.estimate.worker, recorded));
    for (const [queue, services] of saved.services) {
        state.servicesByQueue.set(queue, new Set(services));
    }
    saved.cancelledSubmissions?.forEach(([target, atMs]) => state.cancelledSubmissions.set(target, atMs));
    if (state.configuration !== undefined) {
        // Earlier builds write the services in the order of their first configuration, and do not move jobs.
        recordServices(state, state.configuration);
        moveJobs(state);
    }
}
