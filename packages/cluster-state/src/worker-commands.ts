import {
    type ControlCommand,
    type ErrorData,
    findShortage,
    noResources,
    type Resources,
    subtractResources,
    type TaskRecord,
    type WorkerId,
} from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";
import { checkResources } from "./check-change.js";
import { addEvent, type Model, type ModelWorker, setTask } from "./model.js";
import { releaseAttempt } from "./task-commands.js";

/** Replaced incarnations that are remembered, so that a late message of one does not bring it back. */
const formerIncarnationLimit = 8;
/** Drained workers without a process that are remembered. */
const absentDrainedLimit = 2_000;

type CommandOf<Kind extends ControlCommand["kind"]> = Extract<ControlCommand, { readonly kind: Kind; }>;

function listAttempts(model: Model, worker: WorkerId): TaskRecord[] {
    const ids = [...(model.tasksByWorker.get(worker) ?? [])];
    return ids.flatMap(id => model.tasks.get(id) ?? []).sort((left, right) => left.token - right.token);
}

function releaseAll(model: Model, worker: WorkerId, reason: string): void {
    for (const task of listAttempts(model, worker)) {
        releaseAttempt(model, task, "lost", reason);
    }
}

/** Stops the latest tasks until the others fit, when a worker offers less than before. */
function shrinkUse(model: Model, worker: ModelWorker): void {
    let used = worker.used;
    for (const task of listAttempts(model, worker.id).reverse()) {
        if (findShortage(used, worker.capacity) === undefined) {
            return;
        }
        used = subtractResources(used, task.charged);
        if (task.phase !== "stopping") {
            setTask(model, { ...task, phase: "stopping" });
            addEvent(model, "taskEvicted", task.id, `worker ${worker.id} offers less than before`);
        }
    }
}

/** Tasks that could not run anywhere are considered again when a worker appears that can carry them. */
function reviveImpossible(model: Model, capacity: Resources): void {
    for (const id of [...model.impossibleTasks]) {
        const task = model.tasks.get(id);
        const spec = task === undefined ? undefined : model.works.get(task.work)?.spec;
        if (task !== undefined && spec !== undefined && findShortage(spec.resources, capacity) === undefined) {
            setTask(model, { ...task, phase: "pending", reason: "", endedAtMs: undefined });
        }
    }
}

/** Adds a worker or updates it; a new incarnation ends all tasks of the earlier one. */
export function registerWorker(model: Model, command: CommandOf<"registerWorker">): Either<ErrorData, number> {
    const { worker: id, incarnation, availabilityZone, rack, capacity } = command;
    const fault = checkResources("capacity", capacity, 0);
    if (fault !== undefined || id === "" || incarnation === "") {
        return Left(
            fault
                ?? {
                    kind: "invalidArgument",
                    field: id === "" ? "worker" : "incarnation",
                    seen: "\"\"",
                    allowed: "a text",
                },
        );
    }
    const previous = model.workers.get(id);
    if (previous?.formerIncarnations.includes(incarnation) === true) {
        return Left({ kind: "staleToken", subject: `worker ${id}, incarnation ${incarnation}`, seen: 0, current: 0 });
    }
    const replaced = previous !== undefined && previous.incarnation !== incarnation;
    if (replaced) {
        releaseAll(model, id, "worker restarted");
    }
    const former = replaced && previous.incarnation !== ""
        ? [...previous.formerIncarnations, previous.incarnation].slice(-formerIncarnationLimit)
        : previous?.formerIncarnations ?? [];
    const present = model.workers.get(id);
    const record: ModelWorker = {
        id,
        incarnation,
        availabilityZone,
        rack,
        capacity,
        used: present?.used ?? noResources,
        admission: present?.admission ?? "open",
        failuresInRow: present?.failuresInRow ?? 0,
        formerIncarnations: former,
    };
    model.workers.set(id, record);
    shrinkUse(model, record);
    if (previous === undefined || replaced) {
        addEvent(model, "workerJoined", id, incarnation);
    }
    reviveImpossible(model, capacity);
    return Right(0);
}

function forgetAbsentDrained(model: Model): void {
    const absent = [...model.workers.values()].filter(worker => worker.incarnation === "");
    for (const worker of absent.slice(0, Math.max(0, absent.length - absentDrainedLimit))) {
        model.workers.delete(worker.id);
    }
}

/**
 * Ends all tasks of a worker whose lease has certainly ended and forgets the worker. A drained one is kept without an
 * incarnation, so that the operator's decision outlives a restart of the host.
 */
export function expireWorker(model: Model, command: CommandOf<"expireWorker">): Either<ErrorData, number> {
    const worker = model.workers.get(command.worker);
    if (worker === undefined || worker.incarnation !== command.incarnation || worker.incarnation === "") {
        return Left({
            kind: "notFound",
            object: "worker",
            id: `${command.worker}, incarnation ${command.incarnation}`,
        });
    }
    releaseAll(model, worker.id, "worker lost");
    model.workers.delete(worker.id);
    if (worker.admission === "draining") {
        model.workers.set(worker.id, { ...worker, incarnation: "", capacity: noResources, used: noResources });
        forgetAbsentDrained(model);
    }
    addEvent(model, "workerExpired", worker.id, worker.incarnation);
    return Right(0);
}

/** Excludes a failing worker from placement, or takes it back; an operator's drain is not overridden. */
export function setAsideWorker(model: Model, command: CommandOf<"setAsideWorker">): Either<ErrorData, number> {
    const worker = model.workers.get(command.worker);
    if (worker === undefined) {
        return Left({ kind: "notFound", object: "worker", id: command.worker });
    }
    if (worker.admission !== "draining") {
        model.workers.set(worker.id, { ...worker, admission: command.setAside ? "setAside" : "open" });
        addEvent(model, "workerSetAside", worker.id, command.setAside ? "set aside" : "taken back");
    }
    return Right(0);
}

/** Sets the admission that an operator asks for. */
export function setWorkerAdmission(
    model: Model,
    id: WorkerId,
    admission: "open" | "draining",
): Either<ErrorData, number> {
    const worker = model.workers.get(id);
    if (worker === undefined) {
        return Left({ kind: "notFound", object: "worker", id });
    }
    if (worker.incarnation === "" && admission === "open") {
        model.workers.delete(id);
    }
    else {
        model.workers.set(id, { ...worker, admission, failuresInRow: admission === "open" ? 0 : worker.failuresInRow });
    }
    addEvent(model, "workerSetAside", id, `admission ${admission}`);
    return Right(0);
}
