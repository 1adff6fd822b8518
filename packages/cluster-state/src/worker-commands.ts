import {
    type ControlCommand,
    type ErrorData,
    findShortage,
    noResources,
    type Resources,
    subtractResources,
    type TaskRecord,
    type WorkerId,
    type ZoneAdmission,
} from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";
import { checkResources } from "./check-operator-change.js";
import { addEvent, type Model, type ModelWorker, setTask } from "./model.js";
import { releaseAttempt } from "./task-commands.js";

/** Number of replaced incarnations that are kept, so that a late message from one does not register it again. */
const formerIncarnationLimit = 8;
/** Maximum number of draining workers that are kept after their lease has expired. */
const absentWorkerLimit = 2_000;

type CommandOf<Kind extends ControlCommand["kind"]> = Extract<ControlCommand, { readonly kind: Kind; }>;

function listAttempts(model: Model, worker: WorkerId): TaskRecord[] {
    const ids = [...(model.tasksByWorker.get(worker) ?? [])];
    return ids.flatMap(id => model.tasks.get(id) ?? []).sort((left, right) => left.token - right.token);
}

function releaseAttempts(model: Model, worker: WorkerId, reason: string): void {
    for (const task of listAttempts(model, worker)) {
        releaseAttempt(model, task, "lost", reason);
    }
}

/** Evicts the most recently placed tasks until the others fit, when the capacity of a worker was reduced. */
function evictExcessTasks(model: Model, worker: ModelWorker): void {
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

/** Makes impossible tasks pending again when a worker registers that has the capacity for them. */
function retryImpossibleTasks(model: Model, capacity: Resources): void {
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
                    allowed: "a non-empty string",
                },
        );
    }
    const previous = model.workers.get(id);
    if (previous?.formerIncarnations.includes(incarnation) === true) {
        return Left({ kind: "staleToken", subject: `worker ${id}, incarnation ${incarnation}`, seen: 0, current: 0 });
    }
    const replaced = previous !== undefined && previous.incarnation !== incarnation;
    if (replaced) {
        releaseAttempts(model, id, "worker restarted");
    }
    const former = replaced && previous.incarnation !== ""
        ? [...previous.formerIncarnations, previous.incarnation].slice(-formerIncarnationLimit)
        : previous?.formerIncarnations ?? [];
    const current = model.workers.get(id);
    const record: ModelWorker = {
        id,
        incarnation,
        availabilityZone,
        rack,
        capacity,
        used: current?.used ?? noResources,
        admission: current?.admission ?? "open",
        failuresInRow: current?.failuresInRow ?? 0,
        formerIncarnations: former,
    };
    model.workers.set(id, record);
    evictExcessTasks(model, record);
    if (previous === undefined || replaced) {
        addEvent(model, "workerJoined", id, incarnation);
    }
    retryImpossibleTasks(model, capacity);
    return Right(0);
}

function forgetAbsentWorkers(model: Model): void {
    const absent = [...model.workers.values()].filter(worker => worker.incarnation === "");
    for (const worker of absent.slice(0, Math.max(0, absent.length - absentWorkerLimit))) {
        model.workers.delete(worker.id);
    }
}

/**
 * Ends all attempts on a worker whose lease has certainly expired and removes the worker. A draining worker is kept
 * without an incarnation, so that the operator's drain survives a restart of the host.
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
    releaseAttempts(model, worker.id, "worker lost");
    model.workers.delete(worker.id);
    if (worker.admission === "draining") {
        model.workers.set(worker.id, { ...worker, incarnation: "", capacity: noResources, used: noResources });
        forgetAbsentWorkers(model);
    }
    addEvent(model, "workerExpired", worker.id, worker.incarnation);
    return Right(0);
}

/** Excludes a failing worker from placement or admits it again; does not override an operator's drain. */
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

/** Sets the admission of a worker at an operator's request. */
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

function isKnownZone(model: Model, zone: string): boolean {
    if (model.evacuatedZones.has(zone)) {
        return true;
    }
    for (const records of [model.workers, model.entries, model.minions]) {
        for (const { availabilityZone } of records.values()) {
            if (availabilityZone === zone) {
                return true;
            }
        }
    }
    return false;
}

/** Sets whether the workers of an availability zone take new tasks; the tasks that run there go on. */
export function setZoneAdmission(
    model: Model,
    zone: string,
    admission: ZoneAdmission,
): Either<ErrorData, number> {
    if (!isKnownZone(model, zone)) {
        return Left({ kind: "notFound", object: "availability zone", id: zone });
    }
    if (admission === "evacuated") {
        model.evacuatedZones.add(zone);
    }
    else {
        model.evacuatedZones.delete(zone);
    }
    addEvent(model, "zoneChanged", zone, `admission ${admission}`);
    return Right(0);
}
