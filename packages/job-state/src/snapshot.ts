import { addResources, noResources, type QueueConfiguration, type QueueSettings } from "@chestnutspool/types";
import { createEmptyDefinition, createJobRecord, createOccurrence } from "./create-job.js";
import {
    arrayHeader,
    arrayHeaderBytes,
    decodeSnapshot,
    jobsKey,
    mapHeader,
    packr,
    type SavedFields,
    unlistedMarker,
} from "./decode-snapshot.js";
import { cancellationBytes } from "./estimate-sizes.js";
import { setCheckpoint } from "./gang-checkpoints.js";
import { updateHeldConfiguration, updateHeldJob } from "./held-jobs.js";
import {
    computeReservation,
    type JobOccurrence,
    type JobRecord,
    type JobState,
    type JobStep,
    type JobTask,
} from "./job-state.js";
import { moveJobs, recordServices } from "./queue-services.js";
import { formatRunKey } from "./run-keys.js";
import type { SavedCrashes, SavedJob, SavedOccurrence, SavedStep, SavedTask } from "./saved-model.js";

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
    const changed = [...job.occurrences.values()].filter(({ number }) => number < job.changedUntil);
    return {
        id: job.id,
        queue: job.queue,
        phase: job.phase,
        ...(job.phase === "running" && !job.hasBegun ? { hasBegun: false as const } : {}),
        acceptedAtMs: job.acceptedAtMs,
        endedAtMs: job.endedAtMs,
        ...(job.failure === undefined ? {} : { failure: job.failure }),
        definition: isOpen ? job.definition : undefined,
        occurrences: isOpen ? changed.map(saveOccurrence) : [],
        ...(isOpen && job.changedUntil < job.definition.occurrences ? { unchangedFrom: job.changedUntil } : {}),
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
    const encoded = Buffer.from(packr.pack(saveJob(job, false, undefined)));
    encodedClosedJobs.set(job, encoded);
    return encoded;
}

/** Header of a MessagePack array (`array 32`). */
function encodeArrayHeader(length: number): Uint8Array {
    const header = Buffer.alloc(arrayHeaderBytes);
    header.writeUInt8(arrayHeader, 0);
    header.writeUInt32BE(length, 1);
    return header;
}

/** Header of a MessagePack map with up to 15 keys (`fixmap`). */
function encodeMapHeader(keys: number): Uint8Array {
    return Uint8Array.of(mapHeader + keys);
}

function hasUnlistedOccurrences({ openJobs }: JobState): boolean {
    for (const { changedUntil, definition } of openJobs.values()) {
        if (changedUntil < definition.occurrences) {
            return true;
        }
    }
    return false;
}

/** Encodes the state as MessagePack; the parts are those of a `SavedModel`. */
export function encodeSnapshot(state: JobState): Uint8Array {
    const saved: SavedFields = {
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
    const marker = hasUnlistedOccurrences(state) ? [Uint8Array.of(unlistedMarker)] : [];
    const parts: Uint8Array[] = [...marker, encodeMapHeader(fields.length + 1)];
    for (const [key, value] of fields) {
        parts.push(packr.pack(key), packr.pack(value));
    }
    parts.push(packr.pack(jobsKey), encodeArrayHeader(state.jobs.size));
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
    Object.assign(task, { lastRun, failures });
    setCheckpoint(owner.job, task, checkpoint);
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

function isUnchanged({ steps }: SavedOccurrence): boolean {
    return steps.every(({ done, tasks, gangFailures }) =>
        done.length === 0 && tasks.length === 0 && gangFailures === 0
    );
}

/** Finds the number from which on no occurrence has changed; earlier builds list these occurrences too. */
function findUnchangedFrom(saved: SavedJob, job: JobRecord): number {
    if (saved.unchangedFrom !== undefined || job.changedUntil > 0) {
        return saved.unchangedFrom ?? job.changedUntil;
    }
    let from = job.definition.occurrences;
    for (const occurrence of [...saved.occurrences].reverse()) {
        if (occurrence.number !== from - 1 || !isUnchanged(occurrence)) {
            break;
        }
        from -= 1;
    }
    return from;
}

function restoreOccurrence(state: JobState, job: JobRecord, saved: SavedOccurrence): JobOccurrence {
    const occurrence = createOccurrence(job.definition, saved.number);
    occurrence.steps.forEach((step, position) => {
        const savedStep = saved.steps[position];
        if (savedStep !== undefined) {
            restoreStep(state, job, occurrence, step, savedStep);
        }
    });
    occurrence.stepsLeft = occurrence.steps.filter(step => step.tasksLeft > 0).length;
    return occurrence;
}

function restoreJob(state: JobState, saved: SavedJob, queue: QueueSettings): void {
    const { id, acceptedAtMs } = saved;
    const job = createJobRecord(saved.definition ?? createEmptyDefinition(id), queue, acceptedAtMs);
    job.phase = saved.phase;
    job.hasBegun = saved.phase !== "queued" && saved.hasBegun !== false;
    job.endedAtMs = saved.endedAtMs;
    job.failure = saved.failure;
    job.changedUntil = findUnchangedFrom(saved, job);
    job.createdUntil = job.changedUntil;
    for (const occurrence of saved.occurrences) {
        if (occurrence.number < job.changedUntil) {
            job.occurrences.set(occurrence.number, restoreOccurrence(state, job, occurrence));
        }
    }
    // Only their runs refer to them.
    saved.completedOccurrences?.forEach(occurrence => restoreOccurrence(state, job, occurrence));
    state.jobs.set(id, job);
    if (saved.definition !== undefined) {
        state.openJobs.set(id, job);
    }
    updateHeldJob(state, job);
}

/** Shares equal settings of queues, as in a state that was not restored: each job refers to those of its queue. */
function createQueueSharing(configuration: QueueConfiguration | undefined): (queue: QueueSettings) => QueueSettings {
    const known = new Map(configuration?.queues.map(queue => [JSON.stringify(queue), queue]));
    return queue => {
        const text = JSON.stringify(queue);
        const shared = known.get(text) ?? queue;
        known.set(text, shared);
        return shared;
    };
}

/** Replaces the state with the one in an encoded snapshot. */
export function restoreSnapshot(state: JobState, bytes: Uint8Array): void {
    const { fields: saved, listJobs } = decodeSnapshot(bytes);
    for (
        const collection of [
            state.jobs,
            state.openJobs,
            state.activeJobs,
            state.scheduledJobs,
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
    state.nextDueMs = Number.POSITIVE_INFINITY;
    state.heldBytes = cancellationBytes * (saved.cancelledSubmissions?.length ?? 0);
    state.clockMs = saved.clockMs;
    state.configuration = saved.configuration ?? undefined;
    updateHeldConfiguration(state, undefined, state.configuration);
    state.workerRestarts = saved.workerRestarts ?? 0;
    state.recentCrashes = saved.recentCrashes ?? [];
    for (
        const { info, isDraining, largestCapacity = info.capacity, sequence = 0, mayOmitEnds = false } of saved.workers
    ) {
        const used = noResources;
        state.workers.set(info.id, { info, isDraining, largestCapacity, sequence, mayOmitEnds, used, runs: new Map() });
    }
    saved.evacuatedZones?.forEach(zone => state.evacuatedZones.add(zone));
    const shareQueue = createQueueSharing(state.configuration);
    listJobs(job => restoreJob(state, job, shareQueue(job.queue)));
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
