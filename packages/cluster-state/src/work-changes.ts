import { type ErrorData, findShortage, noResources, type OperatorChange, type TaskRecord } from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";
import { createFieldError } from "./check-operator-change.js";
import { addEvent, countDesiredTasks, isDesired, type Model, type ModelWork, removeTask, setTask } from "./model.js";
import { cancelExcessTasks } from "./task-commands.js";

/** Time for which ended work stays readable. */
const finishedWorkRetentionMs = 86_400_000;
/** Maximum number of ended works that stay readable; those that ended first are removed first. */
const finishedWorkLimit = 50_000;

type ChangeOf<Kind extends OperatorChange["kind"]> = Extract<OperatorChange, { readonly kind: Kind; }>;

function createTask(model: Model, work: ModelWork, ordinal: number): TaskRecord {
    return {
        id: `${work.spec.name}/${ordinal}`,
        work: work.spec.name,
        tenant: work.spec.tenant,
        phase: "pending",
        token: 0,
        worker: undefined,
        charged: noResources,
        checkpoint: undefined,
        failures: 0,
        evictions: 0,
        notBeforeMs: 0,
        throttlePercent: 100,
        reason: "",
        createdAtMs: model.clockMs,
        startedAtMs: undefined,
        endedAtMs: undefined,
    };
}

/** Makes a task that ended without success pending again after its work was changed. */
function restartTask(model: Model, task: TaskRecord): void {
    if (task.phase === "failed" || task.phase === "cancelled" || task.phase === "impossible") {
        setTask(model, {
            ...task,
            phase: "pending",
            failures: 0,
            notBeforeMs: 0,
            reason: "",
            startedAtMs: undefined,
            endedAtMs: undefined,
        });
    }
}

/** Raises the ownership version for a service, because entry hosts get its `maxRunMs` with the ownership map. */
function announceService(model: Model, work: ModelWork): void {
    if (work.spec.kind === "service") {
        model.ownershipVersion += 1;
    }
}

function updateTasks(model: Model, work: ModelWork): void {
    const wanted = countDesiredTasks(work);
    for (let ordinal = 0; ordinal < wanted; ordinal += 1) {
        const task = model.tasks.get(`${work.spec.name}/${ordinal}`);
        if (task === undefined) {
            setTask(model, createTask(model, work, ordinal));
        }
        else {
            restartTask(model, task);
        }
    }
    cancelExcessTasks(model, work.spec.name, "no longer asked for");
}

/** Checks the revision, and that kind and tenant stay the same, because the tasks of the work keep both. */
function checkReplacement(previous: ModelWork, change: ChangeOf<"applyWork">): ErrorData | undefined {
    const { spec } = change;
    if (previous.revision !== change.expectedRevision) {
        return {
            kind: "revisionConflict",
            object: `work ${spec.name}`,
            expected: change.expectedRevision,
            actual: previous.revision,
            changedBy: previous.changedBy,
        };
    }
    if (previous.spec.kind !== spec.kind) {
        return createFieldError("kind", spec.kind, `${previous.spec.kind}, as at creation`);
    }
    return previous.spec.tenant === spec.tenant
        ? undefined
        : createFieldError("tenant", spec.tenant, `${previous.spec.tenant}, as at creation`);
}

/** Creates or replaces work and its tasks; returns the new revision. */
export function applyWork(model: Model, change: ChangeOf<"applyWork">, changedBy: string): Either<ErrorData, number> {
    const { spec, expectedRevision } = change;
    const previous = model.works.get(spec.name);
    if (previous === undefined && expectedRevision !== 0) {
        return Left({ kind: "notFound", object: "work", id: spec.name });
    }
    if (!model.tenants.has(spec.tenant)) {
        return Left({ kind: "notFound", object: "tenant", id: spec.tenant });
    }
    const fault = previous === undefined ? undefined : checkReplacement(previous, change);
    if (fault !== undefined) {
        return Left(fault);
    }
    const work: ModelWork = {
        spec,
        revision: expectedRevision + 1,
        cancelled: false,
        changedBy,
        createdAtMs: previous?.createdAtMs ?? model.clockMs,
        taskCount: previous?.taskCount ?? 0,
        failedTask: undefined,
    };
    const taskCount = Math.max(work.taskCount, countDesiredTasks(work));
    model.works.set(spec.name, { ...work, taskCount });
    updateTasks(model, { ...work, taskCount });
    announceService(model, work);
    addEvent(model, "workChanged", spec.name, `revision ${work.revision} by ${changedBy}`);
    return Right(work.revision);
}

/** Cancels works atomically: all of them, or none when one is unknown. */
export function cancelWorks(
    model: Model,
    change: ChangeOf<"cancelWorks">,
    changedBy: string,
): Either<ErrorData, number> {
    const unknown = change.names.find(name => !model.works.has(name));
    if (unknown !== undefined) {
        return Left({ kind: "notFound", object: "work", id: unknown });
    }
    for (const name of change.names) {
        const work = model.works.get(name);
        if (work === undefined || work.cancelled) {
            continue;
        }
        model.works.set(name, { ...work, cancelled: true, revision: work.revision + 1, changedBy });
        cancelExcessTasks(model, name, `cancelled by ${changedBy}`);
        announceService(model, work);
        if (!model.openTasksByWork.has(name) && !model.finishedWorks.has(name)) {
            model.finishedWorks.set(name, model.clockMs);
        }
        addEvent(model, "workChanged", name, `cancelled by ${changedBy}`);
    }
    return Right(0);
}

function forgetWork(model: Model, name: string): void {
    const work = model.works.get(name);
    for (let ordinal = 0; ordinal < (work?.taskCount ?? 0); ordinal += 1) {
        const task = model.tasks.get(`${name}/${ordinal}`);
        if (task !== undefined) {
            removeTask(model, task);
        }
    }
    model.works.delete(name);
}

/**
 * Removes work whose tasks ended long ago, and the oldest ended work beyond the limit, so that the state stays bounded.
 * A service that is not cancelled stays.
 */
export function forgetFinishedWorks(model: Model): void {
    for (const [name, endedAtMs] of model.finishedWorks) {
        const isOld = endedAtMs + finishedWorkRetentionMs < model.clockMs;
        if (!isOld && model.finishedWorks.size <= finishedWorkLimit) {
            return;
        }
        model.finishedWorks.delete(name);
        const work = model.works.get(name);
        if (work !== undefined && (work.cancelled || work.spec.kind !== "service")) {
            forgetWork(model, name);
        }
    }
}

/** Creates or replaces a tenant with its quota; returns the new revision. */
export function applyTenant(
    model: Model,
    change: ChangeOf<"applyTenant">,
    changedBy: string,
): Either<ErrorData, number> {
    const previous = model.tenants.get(change.tenant);
    const actual = previous?.revision ?? 0;
    if (change.expectedRevision !== actual) {
        return previous === undefined
            ? Left({ kind: "notFound", object: "tenant", id: change.tenant })
            : Left({
                kind: "revisionConflict",
                object: `tenant ${change.tenant}`,
                expected: change.expectedRevision,
                actual,
                changedBy: previous.changedBy,
            });
    }
    const { tenant: id, quota, weight } = change;
    model.tenants.set(id, { id, quota, weight, revision: actual + 1, changedBy });
    addEvent(model, "tenantChanged", id, `revision ${actual + 1} by ${changedBy}`);
    for (const taskId of [...model.impossibleTasks]) {
        const task = model.tasks.get(taskId);
        const spec = task === undefined ? undefined : model.works.get(task.work)?.spec;
        // A task that exceeded the former quota becomes pending again when the new quota allows it.
        if (task?.tenant === id && spec !== undefined && findShortage(spec.resources, quota) === undefined) {
            if (isDesired(model, task)) {
                restartTask(model, task);
            }
        }
    }
    return Right(actual + 1);
}
