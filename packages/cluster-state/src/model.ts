import {
    addResources,
    type ClusterState,
    type ConfigurationRecord,
    type EntryId,
    type EntrySessionRecord,
    type EventKind,
    type EventRecord,
    type MinionInfo,
    noResources,
    type OperatorOutcome,
    type OwnershipRecord,
    type RequestRecord,
    type Resources,
    subtractResources,
    type TaskId,
    type TaskRecord,
    type TenantId,
    type TenantRecord,
    type WorkerId,
    type WorkerRecord,
    type WorkRecord,
} from "@chestnutspool/types";

/** Maximum number of events that are kept. */
export const eventLimit = 10_000;

/** A work record with fields that only the state machine uses. */
export interface ModelWork extends WorkRecord {
    /** Tasks ever created; their ordinals are below this number. */
    readonly taskCount: number;
    /** The task whose failure failed the job; undefined while the job has not failed. */
    readonly failedTask: TaskId | undefined;
}

/** A worker record with fields that only the state machine uses. */
export interface ModelWorker extends WorkerRecord {
    /** The most recent incarnations that were replaced by a later one. */
    readonly formerIncarnations: readonly string[];
}

/** A request record with fields that only the state machine uses. */
export interface ModelRequest extends RequestRecord {
    /** Whether the request may begin again, because it certainly did not run. */
    readonly mayBeginAgain: boolean;
}

/** Request records of one tenant, in the order in which they are removed. */
export interface TenantRequests {
    /** Keys of running records, oldest first. */
    readonly running: Set<string>;
    /** Keys of finished records, in the order in which they finished. */
    readonly finished: Set<string>;
    /** Total size of the kept answers, in bytes. */
    answerBytes: number;
}

/** The mutable state; `ClusterState` is its read-only view. Records are replaced, never changed. */
export interface Model extends ClusterState {
    index: number;
    clockMs: number;
    /** Time of the current command. Unlike `clockMs`, it follows a clock that was set back; not part of a snapshot. */
    commandMs: number;
    /** Number of applied commands, those within batches included. Tokens and epochs are taken from it. */
    sequence: number;
    /** Ordinal of the next event at the current log index. */
    eventOrdinal: number;
    readonly works: Map<string, ModelWork>;
    readonly tasks: Map<TaskId, TaskRecord>;
    readonly pendingTasks: Set<TaskId>;
    readonly impossibleTasks: Set<TaskId>;
    readonly tasksByWorker: Map<WorkerId, Set<TaskId>>;
    readonly usedByTenant: Map<TenantId, Resources>;
    /** Number of tasks that have not ended, by work; derived from `tasks`. */
    readonly openTasksByWork: Map<string, number>;
    /** Times at which the last open task of a work ended or a work without one was cancelled, by name, oldest first. */
    readonly finishedWorks: Map<string, number>;
    readonly workers: Map<WorkerId, ModelWorker>;
    readonly evacuatedZones: Set<string>;
    readonly tenants: Map<TenantId, TenantRecord>;
    readonly entries: Map<EntryId, EntrySessionRecord>;
    readonly minions: Map<string, MinionInfo>;
    readonly ownership: Map<string, OwnershipRecord>;
    ownershipVersion: number;
    /** Times until which attempts of an expired owner may run, by item key, in milliseconds since the epoch. */
    readonly attemptsUnknownUntilMs: Map<string, number>;
    readonly requests: Map<string, ModelRequest>;
    readonly requestsByTenant: Map<TenantId, TenantRequests>;
    readonly operatorRequests: Map<string, OperatorOutcome>;
    configuration: ConfigurationRecord;
    readonly configurationHistory: ConfigurationRecord[];
    readonly events: EventRecord[];
    /** Workers whose tasks changed since the last `takeChangedWorkers`; not part of a snapshot. */
    readonly touchedWorkers: Set<WorkerId>;
}

/** Creates an empty model, without key shards. */
export function createModel(): Model {
    return {
        index: 0,
        clockMs: 0,
        commandMs: 0,
        sequence: 0,
        eventOrdinal: 0,
        works: new Map(),
        tasks: new Map(),
        pendingTasks: new Set(),
        impossibleTasks: new Set(),
        tasksByWorker: new Map(),
        usedByTenant: new Map(),
        openTasksByWork: new Map(),
        finishedWorks: new Map(),
        workers: new Map(),
        evacuatedZones: new Set(),
        tenants: new Map(),
        entries: new Map(),
        minions: new Map(),
        ownership: new Map(),
        ownershipVersion: 0,
        attemptsUnknownUntilMs: new Map(),
        requests: new Map(),
        requestsByTenant: new Map(),
        operatorRequests: new Map(),
        configuration: { revision: 0, entries: {}, changedBy: "", acceptedAtMs: 0 },
        configurationHistory: [],
        events: [],
        touchedWorkers: new Set(),
    };
}

/** Appends an event and drops the oldest beyond the limit. */
export function addEvent(model: Model, kind: EventKind, subject: string, detail: string): void {
    model.events.push({
        index: model.index,
        ordinal: model.eventOrdinal,
        atMs: model.clockMs,
        kind,
        subject,
        detail,
    });
    model.eventOrdinal += 1;
    if (model.events.length > eventLimit) {
        model.events.shift();
    }
}

/** Whether a task will not run again unless its work is changed. */
export function isEnded(task: TaskRecord): boolean {
    return task.phase === "succeeded" || task.phase === "failed" || task.phase === "cancelled"
        || task.phase === "impossible";
}

/** Counts the tasks that a work should have according to its spec and state. */
export function countDesiredTasks(work: ModelWork): number {
    if (work.cancelled || work.failedTask !== undefined) {
        return 0;
    }
    switch (work.spec.kind) {
        case "service":
            return work.spec.replicas;
        case "job":
            return work.spec.tasks;
        case "watch":
            return 1;
    }
}

/** Whether a task is among those that its work should have. */
export function isDesired(model: Model, task: TaskRecord): boolean {
    const work = model.works.get(task.work);
    return work !== undefined && Number(task.id.slice(task.work.length + 1)) < countDesiredTasks(work);
}

function updateMembership(set: Set<TaskId>, task: TaskId, member: boolean): void {
    if (member) {
        set.add(task);
    }
    else {
        set.delete(task);
    }
}

function updateOpenTasks(model: Model, work: string, change: number): void {
    if (change === 0) {
        return;
    }
    const open = (model.openTasksByWork.get(work) ?? 0) + change;
    if (open > 0) {
        model.openTasksByWork.set(work, open);
        model.finishedWorks.delete(work);
        return;
    }
    model.openTasksByWork.delete(work);
    model.finishedWorks.set(work, model.clockMs);
}

function addToTenant(model: Model, tenant: TenantId, change: Resources): void {
    const used = addResources(model.usedByTenant.get(tenant) ?? noResources, change);
    if (used.milliCpu === 0 && used.memoryMib === 0 && used.accelerators === 0) {
        model.usedByTenant.delete(tenant);
    }
    else {
        model.usedByTenant.set(tenant, used);
    }
}

/** Adds a task to the indexes by phase, worker and tenant; does not change `worker.used`. */
export function addToIndexes(model: Model, task: TaskRecord): void {
    updateMembership(model.pendingTasks, task.id, task.phase === "pending");
    updateMembership(model.impossibleTasks, task.id, task.phase === "impossible");
    if (task.worker === undefined) {
        return;
    }
    const tasks = model.tasksByWorker.get(task.worker) ?? new Set();
    tasks.add(task.id);
    model.tasksByWorker.set(task.worker, tasks);
    addToTenant(model, task.tenant, task.charged);
}

function removeFromIndexes(model: Model, task: TaskRecord): void {
    model.pendingTasks.delete(task.id);
    model.impossibleTasks.delete(task.id);
    if (task.worker === undefined) {
        return;
    }
    const tasks = model.tasksByWorker.get(task.worker);
    tasks?.delete(task.id);
    if (tasks?.size === 0) {
        model.tasksByWorker.delete(task.worker);
    }
    addToTenant(model, task.tenant, subtractResources(noResources, task.charged));
}

function updateWorkerUse(model: Model, worker: WorkerId | undefined, change: Resources): void {
    const record = worker === undefined ? undefined : model.workers.get(worker);
    if (record !== undefined) {
        model.workers.set(record.id, { ...record, used: addResources(record.used, change) });
    }
}

/** Replaces or adds a task. The only place where resources are charged to and released from a worker and a tenant. */
export function setTask(model: Model, next: TaskRecord): void {
    const previous = model.tasks.get(next.id);
    for (const worker of [previous?.worker, next.worker]) {
        if (worker !== undefined) {
            model.touchedWorkers.add(worker);
        }
    }
    if (previous !== undefined) {
        if (previous.phase === next.phase && previous.worker === next.worker && previous.charged === next.charged) {
            model.tasks.set(next.id, next);
            return;
        }
        removeFromIndexes(model, previous);
        updateWorkerUse(model, previous.worker, subtractResources(noResources, previous.charged));
    }
    model.tasks.set(next.id, next);
    addToIndexes(model, next);
    updateWorkerUse(model, next.worker, next.charged);
    const openBefore = previous === undefined || isEnded(previous) ? 0 : 1;
    updateOpenTasks(model, next.work, (isEnded(next) ? 0 : 1) - openBefore);
}

/** Removes a task that holds no resources. */
export function removeTask(model: Model, task: TaskRecord): void {
    removeFromIndexes(model, task);
    model.tasks.delete(task.id);
}
