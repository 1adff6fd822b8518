import { type JobCommand, type JobResult, noResources, type StateMachine } from "@chestnutspool/types";
import { cancelJob, setConfiguration, submitJob } from "./change-jobs.js";
import { endRun, expireRuns, startRuns } from "./change-runs.js";
import { createModel, type JobModel, type WorkerRun } from "./model.js";
import { encodeSnapshot, restoreSnapshot } from "./snapshot.js";

/** Maximum number of image pairs whose interference estimates are kept. */
const disturbanceLimit = 5_000;

/** The state machine of jobs. */
export interface JobMachine extends StateMachine<JobCommand, JobResult> {
    /** The current state, which callers must not change; the same object for the lifetime of the machine. */
    readonly state: JobModel;
    /** Number of commands applied and snapshots restored since the machine was created. */
    readonly countChanges: () => number;
}

function registerWorker(model: JobModel, command: Extract<JobCommand, { kind: "registerWorker"; }>): void {
    const { worker } = command;
    const known = model.workers.get(worker.id);
    model.workers.set(worker.id, {
        info: worker,
        isDraining: known?.isDraining ?? false,
        used: known?.used ?? noResources,
        runs: known?.runs ?? new Map<string, WorkerRun>(),
    });
}

function expireWorker(model: JobModel, command: Extract<JobCommand, { kind: "expireWorker"; }>): void {
    expireRuns(model, command);
    if (command.isGone) {
        model.workers.delete(command.worker);
    }
}

function drainWorker(model: JobModel, command: Extract<JobCommand, { kind: "drainWorker"; }>): void {
    const worker = model.workers.get(command.worker);
    if (worker !== undefined) {
        worker.isDraining = true;
    }
}

/** Adds a wave of upkeep. A known wave is not changed, so that a repeated request has no effect. */
function startWave(model: JobModel, command: Extract<JobCommand, { kind: "startWave"; }>): void {
    if (!model.waves.has(command.wave.wave)) {
        model.waves.set(command.wave.wave, {
            wave: command.wave,
            requestedAtMs: model.clockMs,
            begun: new Set(),
        });
    }
}

function recordDisturbances(model: JobModel, command: Extract<JobCommand, { kind: "recordDisturbances"; }>): void {
    for (const pair of command.pairs) {
        const key = `${pair.image} ${pair.other}`;
        model.disturbances.delete(key);
        model.disturbances.set(key, pair);
    }
    for (const key of model.disturbances.keys()) {
        if (model.disturbances.size <= disturbanceLimit) {
            break;
        }
        model.disturbances.delete(key);
    }
}

function applyCommand(model: JobModel, command: JobCommand): JobResult {
    model.clockMs = Math.max(model.clockMs, command.nowMs);
    switch (command.kind) {
        case "submitJob":
            return submitJob(model, command);
        case "cancelJob":
            return cancelJob(model, command);
        case "startRuns":
            return startRuns(model, command);
        case "endRuns":
            command.ends.forEach(end => endRun(model, command.worker, end));
            return { kind: "done" };
        case "registerWorker":
            registerWorker(model, command);
            return { kind: "done" };
        case "drainWorker":
            drainWorker(model, command);
            return { kind: "done" };
        case "expireWorker":
            expireWorker(model, command);
            return { kind: "done" };
        case "setConfiguration":
            return setConfiguration(model, command.configuration);
        case "startWave":
            startWave(model, command);
            return { kind: "done" };
        case "recordUpkeep":
            model.waves.get(command.wave)?.begun.add(command.host);
            return { kind: "done" };
        case "recordDisturbances":
            recordDisturbances(model, command);
            return { kind: "done" };
    }
}

/** Creates the state machine with an empty state. */
export function createJobMachine(): JobMachine {
    const model = createModel();
    let changes = 0;
    return {
        state: model,
        countChanges: () => changes,
        applyCommand: (index, command) => {
            changes += 1;
            return applyCommand(model, command);
        },
        takeSnapshot: () => encodeSnapshot(model),
        restoreSnapshot: bytes => {
            changes += 1;
            restoreSnapshot(model, bytes);
        },
    };
}
