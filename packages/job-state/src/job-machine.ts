import {
    compareStarts,
    computeLargest,
    type JobCommand,
    type JobResult,
    noResources,
    type SetZoneAdmission,
    type StateMachine,
} from "@chestnutspool/types";
import { cancelJob, cancelSubmission, setConfiguration, submitJob } from "./change-jobs.js";
import { beginJobs, completeLateRun, endRun, expireRuns, startRuns } from "./change-runs.js";
import { createJobState, type JobState, type WorkerRun } from "./job-state.js";
import { moveJobs } from "./queue-services.js";
import { encodeSnapshot, restoreSnapshot } from "./snapshot.js";

/** Maximum number of image pairs whose interference estimates are kept. */
const disturbanceLimit = 5_000;

/** The state machine of jobs. */
export interface JobMachine extends StateMachine<JobCommand, JobResult> {
    /** The current state, which callers must not change; the same object for the lifetime of the machine. */
    readonly state: JobState;
    /** Number of commands applied and snapshots restored since the machine was created. */
    readonly countChanges: () => number;
}

function registerWorker(state: JobState, command: Extract<JobCommand, { kind: "registerWorker"; }>): void {
    const { worker, sequence = 0, mayOmitEnds = false } = command;
    const known = state.workers.get(worker.id);
    // Of an earlier start only those runs are left whose start may yet be carried out.
    const same = known !== undefined && compareStarts(worker, known.info) === "same" ? known : undefined;
    state.workers.set(worker.id, {
        info: worker,
        largestCapacity: computeLargest(worker.capacity, same?.largestCapacity ?? noResources),
        sequence: Math.max(sequence, same?.sequence ?? 0),
        mayOmitEnds,
        isDraining: same?.isDraining ?? false,
        used: known?.used ?? noResources,
        runs: known?.runs ?? new Map<string, WorkerRun>(),
    });
}

function expireWorker(state: JobState, command: Extract<JobCommand, { kind: "expireWorker"; }>): void {
    expireRuns(state, command);
    if (command.hasRestarted === true) {
        state.workerRestarts += 1;
    }
    if (command.isGone) {
        state.workers.delete(command.worker);
        state.workerSpeeds.delete(command.worker);
    }
}

function drainWorker(state: JobState, command: Extract<JobCommand, { kind: "drainWorker"; }>): void {
    const worker = state.workers.get(command.worker);
    if (worker !== undefined) {
        worker.isDraining = true;
    }
}

function setZoneAdmission(state: JobState, { availabilityZone, isEvacuated }: SetZoneAdmission): void {
    if (isEvacuated) {
        state.evacuatedZones.add(availabilityZone);
    }
    else {
        state.evacuatedZones.delete(availabilityZone);
    }
}

/** Adds a maintenance wave. A known wave is not changed, so that a repeated request has no effect. */
function startWave(state: JobState, command: Extract<JobCommand, { kind: "startWave"; }>): void {
    if (!state.waves.has(command.wave.wave)) {
        state.waves.set(command.wave.wave, {
            wave: command.wave,
            requestedAtMs: state.clockMs,
            begun: new Set(),
        });
    }
}

function recordDisturbances(state: JobState, command: Extract<JobCommand, { kind: "recordDisturbances"; }>): void {
    for (const pair of command.pairs) {
        const key = `${pair.image} ${pair.other}`;
        state.disturbances.delete(key);
        state.disturbances.set(key, pair);
    }
    for (const key of state.disturbances.keys()) {
        if (state.disturbances.size <= disturbanceLimit) {
            break;
        }
        state.disturbances.delete(key);
    }
}

function recordWorkerSpeeds(state: JobState, command: Extract<JobCommand, { kind: "recordWorkerSpeeds"; }>): void {
    for (const estimate of command.estimates) {
        // Each entry belongs to a known worker, so that there are never more of them than workers.
        if (state.workers.has(estimate.worker)) {
            state.workerSpeeds.set(estimate.worker, { estimate, recordedAtMs: command.nowMs });
        }
    }
}

function applyCommand(state: JobState, command: JobCommand): JobResult {
    state.clockMs = Math.max(state.clockMs, command.nowMs);
    switch (command.kind) {
        case "submitJob":
            return submitJob(state, command);
        case "cancelJob":
            return cancelJob(state, command);
        case "cancelSubmission":
            return cancelSubmission(state, command);
        case "startRuns":
            return startRuns(state, command);
        case "beginJobs":
            beginJobs(state, command);
            return { kind: "done" };
        case "endRuns":
            command.ends.forEach(end => endRun(state, command.worker, end));
            command.lateSuccesses?.forEach(key => completeLateRun(state, key));
            return { kind: "done" };
        case "registerWorker":
            registerWorker(state, command);
            moveJobs(state);
            return { kind: "done" };
        case "drainWorker":
            drainWorker(state, command);
            return { kind: "done" };
        case "expireWorker":
            expireWorker(state, command);
            return { kind: "done" };
        case "setConfiguration":
            return setConfiguration(state, command.configuration);
        case "startWave":
            startWave(state, command);
            return { kind: "done" };
        case "setZoneAdmission":
            setZoneAdmission(state, command);
            moveJobs(state);
            return { kind: "done" };
        case "recordUpkeep":
            state.waves.get(command.wave)?.begun.add(command.host);
            return { kind: "done" };
        case "recordDisturbances":
            recordDisturbances(state, command);
            return { kind: "done" };
        case "recordWorkerSpeeds":
            recordWorkerSpeeds(state, command);
            return { kind: "done" };
    }
}

/** Creates the state machine with an empty state, of which the leader keeps the memory within `budgetBytes`. */
export function createJobMachine(budgetBytes = Number.POSITIVE_INFINITY): JobMachine {
    const state = createJobState(budgetBytes);
    let changes = 0;
    return {
        state: state,
        countChanges: () => changes,
        applyCommand: (index, command) => {
            changes += 1;
            return applyCommand(state, command);
        },
        takeSnapshot: () => encodeSnapshot(state),
        restoreSnapshot: bytes => {
            changes += 1;
            restoreSnapshot(state, bytes);
        },
    };
}
