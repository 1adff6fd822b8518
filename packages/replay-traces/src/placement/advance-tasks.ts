import type { TaskRecord, UsageSample, WorkerId, WorkerReport, WorkSpec } from "@chestnutspool/types";
import type { AttemptProgress, Replay } from "./replay.js";
import { listMeasuredTasks, type MeasuredTask } from "./truth.js";

/** Largest error of a reported figure in percent. */
const reportNoisePercent = 15;

function findProgress(replay: Replay, task: TaskRecord, nowMs: number): AttemptProgress {
    const known = replay.progress.get(task.id);
    if (known?.token === task.token) {
        return known;
    }
    // A new attempt of a watch continues from its checkpoint; one of a job begins anew.
    const savedMs = known?.savedMs ?? 0;
    const progress = { token: task.token, doneMs: savedMs, savedMs, checkpointAtMs: nowMs };
    replay.progress.set(task.id, progress);
    return progress;
}

function endTask(replay: Replay, task: TaskRecord, outcome: "succeeded" | "failed" | "stopped", nowMs: number): void {
    replay.applyCommand({ kind: "endTask", task: task.id, token: task.token, outcome, reason: outcome }, nowMs);
}

function takeCheckpoint(replay: Replay, task: TaskRecord, progress: AttemptProgress, nowMs: number): void {
    progress.savedMs = progress.doneMs;
    progress.checkpointAtMs = nowMs;
    replay.applyCommand({
        kind: "recordCheckpoint",
        task: task.id,
        token: task.token,
        checkpoint: `${progress.savedMs}`,
    }, nowMs);
}

function stopTask(replay: Replay, { task, truth }: MeasuredTask, spec: WorkSpec, nowMs: number): void {
    const progress = findProgress(replay, task, nowMs);
    if (spec.kind === "watch") {
        takeCheckpoint(replay, task, progress, nowMs);
    }
    replay.lostCoreMs += spec.kind === "service" ? 0 : (progress.doneMs - progress.savedMs) * truth.milliCpu / 1000;
    endTask(replay, task, "stopped", nowMs);
}

function advanceTask(replay: Replay, measured: MeasuredTask, spec: WorkSpec, nowMs: number, stepMs: number): void {
    const { task, truth, speed } = measured;
    const progress = findProgress(replay, task, nowMs);
    progress.doneMs += stepMs * speed;
    if (spec.kind === "service") {
        replay.slowdowns.push(1 / speed);
    }
    if (truth.fails) {
        endTask(replay, task, "failed", nowMs);
    }
    else if (truth.runMs !== undefined && progress.doneMs >= truth.runMs) {
        replay.keptCoreMs += truth.runMs * truth.milliCpu / 1000;
        endTask(replay, task, "succeeded", nowMs);
    }
    else if (spec.kind === "watch" && nowMs - progress.checkpointAtMs >= spec.checkpointIntervalMs) {
        takeCheckpoint(replay, task, progress, nowMs);
    }
}

function startTask(replay: Replay, task: TaskRecord, worker: WorkerId, nowMs: number): void {
    if (replay.failingWorkers.has(worker)) {
        replay.wastedStarts += 1;
        endTask(replay, task, "failed", nowMs);
        return;
    }
    replay.applyCommand({ kind: "confirmStart", task: task.id, token: task.token }, nowMs);
    findProgress(replay, task, nowMs);
}

/** Advances the tasks of all workers by one step; starts and stops take one step. */
export function advanceTasks(replay: Replay, nowMs: number, stepMs: number): void {
    const { state } = replay.machine;
    for (const worker of [...state.workers.keys()]) {
        const starting = [...state.tasksByWorker.get(worker) ?? []].flatMap(id => {
            const task = state.tasks.get(id);
            return task?.phase === "starting" ? [task] : [];
        });
        for (const measured of listMeasuredTasks(state, replay.truth, worker)) {
            const spec = state.works.get(measured.task.work)?.spec;
            if (spec !== undefined) {
                if (measured.task.phase === "stopping") {
                    stopTask(replay, measured, spec, nowMs);
                }
                else {
                    advanceTask(replay, measured, spec, nowMs, stepMs);
                }
            }
        }
        for (const task of starting) {
            startTask(replay, task, worker, nowMs);
        }
    }
}

/** The reports of all workers at this time; the figures have errors. */
export function takeReports(replay: Replay, lagMs: number): WorkerReport[] {
    const { state } = replay.machine;
    const addNoise = (value: number): number =>
        Math.max(0, Math.round(value * (1 + replay.takeNoise() * reportNoisePercent / 100)));
    const buildSample = ({ task, truth, speed }: MeasuredTask): UsageSample => ({
        task: task.id,
        token: task.token,
        ageMs: lagMs,
        milliCpu: addNoise(truth.milliCpu * task.throttlePercent / 100),
        memoryMib: addNoise(truth.memoryMib),
        accelerators: 0,
        speedPercent: Math.min(100, addNoise(speed * 100)),
    });
    return [...state.workers.keys()].map(worker => ({
        worker,
        usage: listMeasuredTasks(state, replay.truth, worker).map(buildSample),
    }));
}
