import type { TaskRecord, UsageSample, WorkerId, WorkerReport, WorkSpec } from "@chestnutspool/types";
import { listSimulatedTasks, type SimulatedTask } from "./ground-truth.js";
import type { AttemptProgress, Replay } from "./replay-state.js";

/** Largest error of a reported figure in percent. */
const reportErrorPercent = 15;

function findProgress(replay: Replay, task: TaskRecord, nowMs: number): AttemptProgress {
    const known = replay.progress.get(task.id);
    if (known?.token === task.token) {
        return known;
    }
    // A new attempt of a watch continues from its checkpoint; a new attempt of a job starts from the beginning.
    const checkpointedMs = known?.checkpointedMs ?? 0;
    const progress = { token: task.token, doneMs: checkpointedMs, checkpointedMs, checkpointAtMs: nowMs };
    replay.progress.set(task.id, progress);
    return progress;
}

function endTask(replay: Replay, task: TaskRecord, outcome: "succeeded" | "failed" | "stopped", nowMs: number): void {
    replay.applyCommand({ kind: "endTask", task: task.id, token: task.token, outcome, reason: outcome }, nowMs);
}

function takeCheckpoint(replay: Replay, task: TaskRecord, progress: AttemptProgress, nowMs: number): void {
    progress.checkpointedMs = progress.doneMs;
    progress.checkpointAtMs = nowMs;
    replay.applyCommand({
        kind: "recordCheckpoint",
        task: task.id,
        token: task.token,
        checkpoint: `${progress.checkpointedMs}`,
    }, nowMs);
}

function stopTask(replay: Replay, { task, truth }: SimulatedTask, spec: WorkSpec, nowMs: number): void {
    const progress = findProgress(replay, task, nowMs);
    if (spec.kind === "watch") {
        takeCheckpoint(replay, task, progress, nowMs);
    }
    replay.lostCoreMs += spec.kind === "service"
        ? 0
        : (progress.doneMs - progress.checkpointedMs) * truth.milliCpu / 1000;
    endTask(replay, task, "stopped", nowMs);
}

function advanceTask(replay: Replay, simulated: SimulatedTask, spec: WorkSpec, nowMs: number, stepMs: number): void {
    const { task, truth, speed } = simulated;
    const progress = findProgress(replay, task, nowMs);
    progress.doneMs += stepMs * speed;
    if (spec.kind === "service") {
        replay.slowdowns.push(1 / speed);
    }
    if (truth.fails) {
        endTask(replay, task, "failed", nowMs);
    }
    else if (truth.runMs !== undefined && progress.doneMs >= truth.runMs) {
        replay.completedCoreMs += truth.runMs * truth.milliCpu / 1000;
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
        for (const simulated of listSimulatedTasks(state, replay.truth, worker)) {
            const spec = state.works.get(simulated.task.work)?.spec;
            if (spec !== undefined) {
                if (simulated.task.phase === "stopping") {
                    stopTask(replay, simulated, spec, nowMs);
                }
                else {
                    advanceTask(replay, simulated, spec, nowMs, stepMs);
                }
            }
        }
        for (const task of starting) {
            startTask(replay, task, worker, nowMs);
        }
    }
}

/** Builds the usage reports of all workers, with random errors in the figures. */
export function buildReports(replay: Replay, delayMs: number): WorkerReport[] {
    const { state } = replay.machine;
    const addError = (value: number): number =>
        Math.max(0, Math.round(value * (1 + replay.drawNoise() * reportErrorPercent / 100)));
    const buildSample = ({ task, truth, speed }: SimulatedTask): UsageSample => ({
        task: task.id,
        token: task.token,
        ageMs: delayMs,
        milliCpu: addError(truth.milliCpu * task.throttlePercent / 100),
        memoryMib: addError(truth.memoryMib),
        accelerators: 0,
        speedPercent: Math.min(100, addError(speed * 100)),
    });
    return [...state.workers.keys()].map(worker => ({
        worker,
        usage: listSimulatedTasks(state, replay.truth, worker).map(buildSample),
    }));
}
