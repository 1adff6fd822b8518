import {
    addResources,
    type ControlCommand,
    type ErrorData,
    findShortage,
    noResources,
    type TaskOutcome,
    type TaskRecord,
} from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";
import { addEvent, isDesired, type Model, setTask } from "./model.js";

/** Backoff after the first failure of a task; doubled with each further failure. */
const firstBackoffMs = 1_000;
const longestBackoffMs = 300_000;
/** An attempt of this length shows that the task can run, so that its earlier failures no longer count. */
const steadyRunMs = 600_000;

type CommandOf<Kind extends ControlCommand["kind"]> = Extract<ControlCommand, { readonly kind: Kind; }>;

function createStaleTokenError(subject: string, seen: number, current: number): ErrorData {
    return { kind: "staleToken", subject, seen, current };
}

/** Finds a task whose current attempt has the token and holds resources of a worker. */
function findAttempt(model: Model, id: string, token: number): Either<ErrorData, TaskRecord> {
    const task = model.tasks.get(id);
    if (task === undefined) {
        return Left({ kind: "notFound", object: "task", id });
    }
    if (task.token !== token || task.worker === undefined) {
        return Left(createStaleTokenError(`task ${id}`, token, task.token));
    }
    return Right(task);
}

function checkAdmission(model: Model, worker: string): ErrorData | undefined {
    const record = model.workers.get(worker);
    if (record === undefined || record.incarnation === "") {
        return { kind: "notFound", object: "worker", id: worker };
    }
    const held = model.tasksByWorker.get(worker)?.size ?? 0;
    // A worker that is set aside gets one task at a time as a probe of whether it works again.
    const isAdmitted = record.admission === "open" || (record.admission === "setAside" && held === 0);
    const isEvacuated = model.evacuatedZones.has(record.availabilityZone);
    return isAdmitted && !isEvacuated
        ? undefined
        : {
            kind: "invalidArgument",
            field: "worker",
            seen: isEvacuated ? "evacuated" : record.admission,
            allowed: "a worker that takes new tasks",
        };
}

/** Charges a pending task to a worker and gives it a new token. */
export function placeTask(model: Model, command: CommandOf<"placeTask">): Either<ErrorData, number> {
    const task = model.tasks.get(command.task);
    const spec = task === undefined ? undefined : model.works.get(task.work)?.spec;
    if (task === undefined || spec === undefined) {
        return Left({ kind: "notFound", object: "task", id: command.task });
    }
    if (task.phase !== "pending" || task.token !== command.previousToken) {
        return Left(createStaleTokenError(`task ${task.id}`, command.previousToken, task.token));
    }
    const refusal = checkAdmission(model, command.worker);
    const worker = model.workers.get(command.worker);
    if (refusal !== undefined || worker === undefined) {
        return Left(refusal ?? { kind: "notFound", object: "worker", id: command.worker });
    }
    const shortage = findShortage(addResources(worker.used, spec.resources), worker.capacity);
    if (shortage !== undefined) {
        return Left({ kind: "capacityExceeded", worker: worker.id, resource: shortage });
    }
    setTask(model, {
        ...task,
        phase: "starting",
        token: model.sequence,
        worker: worker.id,
        charged: spec.resources,
        throttlePercent: 100,
        startedAtMs: undefined,
        endedAtMs: undefined,
    });
    addEvent(model, "taskPlaced", task.id, worker.id);
    return Right(0);
}

/** Records that a worker runs the attempt. */
export function confirmStart(model: Model, command: CommandOf<"confirmStart">): Either<ErrorData, number> {
    return findAttempt(model, command.task, command.token).map(task => {
        if (task.phase === "starting") {
            setTask(model, { ...task, phase: "running", startedAtMs: model.clockMs });
        }
        return 0;
    });
}

/** Records the last complete checkpoint of the current attempt. */
export function recordCheckpoint(model: Model, command: CommandOf<"recordCheckpoint">): Either<ErrorData, number> {
    return findAttempt(model, command.task, command.token).map(task => {
        setTask(model, { ...task, checkpoint: command.checkpoint });
        return 0;
    });
}

/** Requests the end of the current attempt, after which the task is placed again. */
export function requestEviction(model: Model, command: CommandOf<"requestEviction">): Either<ErrorData, number> {
    return findAttempt(model, command.task, command.token).map(task => {
        if (task.phase !== "stopping") {
            setTask(model, { ...task, phase: "stopping" });
            addEvent(model, "taskEvicted", task.id, command.reason);
        }
        return 0;
    });
}

/** Sets the percentage of processor time that the current attempt may use. */
export function throttleTask(model: Model, command: CommandOf<"throttleTask">): Either<ErrorData, number> {
    if (!Number.isSafeInteger(command.percent) || command.percent < 1 || command.percent > 100) {
        return Left({ kind: "invalidArgument", field: "percent", seen: String(command.percent), allowed: "1 to 100" });
    }
    return findAttempt(model, command.task, command.token).map(task => {
        setTask(model, { ...task, throttlePercent: command.percent });
        return 0;
    });
}

/** Records that a pending task can never run with the current workers and quota. */
export function rejectTask(model: Model, command: CommandOf<"rejectTask">): Either<ErrorData, number> {
    const task = model.tasks.get(command.task);
    if (task === undefined) {
        return Left({ kind: "notFound", object: "task", id: command.task });
    }
    if (task.phase !== "pending") {
        return Left(createStaleTokenError(`task ${task.id}`, 0, task.token));
    }
    setTask(model, { ...task, phase: "impossible", reason: command.reason, endedAtMs: model.clockMs });
    addEvent(model, "taskImpossible", task.id, command.reason);
    return Right(0);
}

/** Creates the record of a task without an attempt: no worker, no charged resources. */
function createReleased(model: Model, task: TaskRecord, changes: Partial<TaskRecord>): TaskRecord {
    return {
        ...task,
        worker: undefined,
        charged: noResources,
        throttlePercent: 100,
        endedAtMs: model.clockMs,
        ...changes,
    };
}

function createFailed(model: Model, task: TaskRecord, reason: string): TaskRecord {
    const ranMs = task.startedAtMs === undefined ? 0 : model.clockMs - task.startedAtMs;
    const failures = ranMs >= steadyRunMs ? 1 : task.failures + 1;
    const spec = model.works.get(task.work)?.spec;
    if (spec?.kind === "job" && failures >= spec.maxAttempts) {
        return createReleased(model, task, { phase: "failed", failures, reason });
    }
    const backoffMs = Math.min(longestBackoffMs, firstBackoffMs * 2 ** Math.min(failures - 1, 20));
    return createReleased(model, task, {
        phase: "pending",
        failures,
        reason,
        notBeforeMs: model.commandMs + backoffMs,
    });
}

function createStopped(model: Model, task: TaskRecord): TaskRecord {
    return createReleased(model, task, { phase: "pending", evictions: task.evictions + 1 });
}

function createEnded(model: Model, task: TaskRecord, outcome: TaskOutcome, reason: string): TaskRecord {
    // A service is meant to run until it is cancelled, so that an exit without an error also leads to a restart.
    const isEndless = model.works.get(task.work)?.spec.kind === "service";
    if (outcome === "succeeded" && !isEndless) {
        return createReleased(model, task, { phase: "succeeded", reason: "" });
    }
    if (!isDesired(model, task)) {
        return createReleased(model, task, { phase: "cancelled", reason });
    }
    switch (outcome) {
        case "succeeded":
        case "failed":
            return createFailed(model, task, reason);
        case "stopped":
            return createStopped(model, task);
        case "lost":
            return createReleased(model, task, { phase: "pending" });
    }
}

function countFailuresInRow(current: number, outcome: TaskOutcome): number {
    switch (outcome) {
        case "failed":
            return current + 1;
        case "succeeded":
        case "stopped":
            return 0;
        case "lost":
            return current;
    }
}

/** Ends a task that holds no resources, or asks its worker to stop it. */
export function cancelTask(model: Model, task: TaskRecord, reason: string): void {
    switch (task.phase) {
        case "pending":
        case "impossible":
            setTask(model, { ...task, phase: "cancelled", reason, endedAtMs: model.clockMs });
            break;
        case "starting":
        case "running":
            setTask(model, { ...task, phase: "stopping" });
            break;
        case "stopping":
        case "succeeded":
        case "failed":
        case "cancelled":
            break;
    }
}

/** Cancels the tasks of a work that are beyond those it should have. */
export function cancelExcessTasks(model: Model, workName: string, reason: string): void {
    const work = model.works.get(workName);
    for (let ordinal = 0; ordinal < (work?.taskCount ?? 0); ordinal += 1) {
        const task = model.tasks.get(`${workName}/${ordinal}`);
        if (task !== undefined && !isDesired(model, task)) {
            cancelTask(model, task, reason);
        }
    }
}

/** Ends the current attempt of a task and releases its resources. */
export function releaseAttempt(model: Model, task: TaskRecord, outcome: TaskOutcome, reason: string): void {
    const worker = task.worker === undefined ? undefined : model.workers.get(task.worker);
    if (worker !== undefined) {
        const failuresInRow = countFailuresInRow(worker.failuresInRow, outcome);
        model.workers.set(worker.id, { ...worker, failuresInRow });
    }
    const ended = createEnded(model, task, outcome, reason);
    setTask(model, ended);
    addEvent(model, "taskEnded", task.id, reason === "" ? outcome : `${outcome}: ${reason}`);
    const work = model.works.get(task.work);
    if (ended.phase === "failed" && work !== undefined) {
        model.works.set(task.work, { ...work, failedTask: task.id });
        cancelExcessTasks(model, task.work, `task ${task.id} failed`);
    }
}

/** Records the confirmed end of an attempt. A repetition is refused, so that the resources are released only once. */
export function endTask(model: Model, command: CommandOf<"endTask">): Either<ErrorData, number> {
    return findAttempt(model, command.task, command.token).map(task => {
        releaseAttempt(model, task, command.outcome, command.reason);
        return 0;
    });
}
