import {
    type ClusterState,
    type Resources,
    type TaskClass,
    type TaskId,
    type WorkerId,
    type WorkerRecord,
    type WorkKind,
    type WorkSpec,
} from "@chestnutspool/types";
import type { PlacementDecision } from "./placement-decision.js";
import type { ClassCount, SlowdownModel } from "./slowdown-model.js";
import type { ExpectedUsage, UsageModel } from "./usage-model.js";

/** The properties of a task that placement uses. */
export interface TaskView {
    readonly id: TaskId;
    readonly work: string;
    readonly tenant: string;
    readonly kind: WorkKind;
    readonly interferenceClass: string;
    readonly resources: Resources;
}

/** Numbers of placed tasks by interference class, separately for urgent and batch tasks. */
export interface PlacedClasses {
    readonly urgent: readonly ClassCount[];
    readonly batch: readonly ClassCount[];
    /** Processors of the largest urgent task, in thousandths of a core; 0 without any. */
    readonly largestUrgentMilliCpu: number;
    /** Processors of all urgent tasks, in thousandths of a core. */
    readonly urgentMilliCpu: number;
}

/** A worker with the tasks charged to it and those whose placement is planned or in flight. */
export interface WorkerView {
    readonly record: WorkerRecord;
    /** Remaining capacity; replaced when a task is added. */
    free: Resources;
    readonly placed: Map<TaskId, TaskView>;
    /** Placed tasks by interference class; undefined until computed for the current tasks. */
    classes: PlacedClasses | undefined;
    /** Expected use of the placed tasks; undefined until computed for the current tasks. */
    expected: ExpectedUsage | undefined;
    /** Availability zone and name of the rack, because racks of two zones may have the same name. */
    readonly rackKey: string;
    /** Raised when a task is added; costs computed for an earlier version are stale. */
    version: number;
}

/** Views of all workers; one is rebuilt only if its record has changed or a placement on it is no longer in flight. */
export interface WorkerViews {
    /** Updates the views; `observeRemoved` is called with each task that no longer occupies its worker. */
    readonly updateViews: (
        state: ClusterState,
        placements: readonly Extract<PlacementDecision, { kind: "placeTask"; }>[],
        dropped: readonly PlacementDecision[],
        observeRemoved: (task: TaskId) => void,
    ) => void;
    readonly listViews: () => readonly WorkerView[];
    readonly findView: (worker: WorkerId) => WorkerView | undefined;
    /** Expected use of all tasks placed on the worker. */
    readonly readExpected: (view: WorkerView, usage: UsageModel) => ExpectedUsage;
    /** Drops the computed expected use of a worker after new reports. */
    readonly forgetExpected: (worker: WorkerId) => void;
}

/** Class of the tasks of a work. */
export function getTaskClass(kind: WorkKind): TaskClass {
    return kind === "service" ? "latencyCritical" : "batch";
}

/** Builds the view of a task. */
export function buildTaskView(id: TaskId, spec: WorkSpec, resources: Resources): TaskView {
    return {
        id,
        work: spec.name,
        tenant: spec.tenant,
        kind: spec.kind,
        interferenceClass: spec.interferenceClass,
        resources,
    };
}

/** Adds a placed task to the view and invalidates what was computed from the earlier tasks. */
export function addPlacedTask(view: WorkerView, task: TaskView): void {
    const { free } = view;
    view.free = {
        milliCpu: free.milliCpu - task.resources.milliCpu,
        memoryMib: free.memoryMib - task.resources.memoryMib,
        accelerators: free.accelerators - task.resources.accelerators,
    };
    view.placed.set(task.id, task);
    view.expected = undefined;
    view.classes = undefined;
    view.version += 1;
}

function buildView(state: ClusterState, record: WorkerRecord): WorkerView {
    const { capacity, used } = record;
    const placed = new Map<TaskId, TaskView>();
    for (const id of state.tasksByWorker.get(record.id) ?? []) {
        const task = state.tasks.get(id);
        const spec = task === undefined ? undefined : state.works.get(task.work)?.spec;
        if (task !== undefined && spec !== undefined) {
            placed.set(id, buildTaskView(id, spec, task.charged));
        }
    }
    return {
        record,
        free: {
            milliCpu: capacity.milliCpu - used.milliCpu,
            memoryMib: capacity.memoryMib - used.memoryMib,
            accelerators: capacity.accelerators - used.accelerators,
        },
        placed,
        expected: undefined,
        classes: undefined,
        rackKey: `${record.availabilityZone}/${record.rack}`,
        version: 1,
    };
}

function addToClass(counts: ClassCount[], classId: number): void {
    const known = counts.find(count => count.classId === classId);
    if (known === undefined) {
        counts.push({ classId, count: 1 });
    }
    else {
        known.count += 1;
    }
}

/** Placed tasks of the worker by interference class, computed when they have changed. */
export function readPlacedClasses(view: WorkerView, slowdowns: SlowdownModel): PlacedClasses {
    if (view.classes === undefined) {
        const urgent: ClassCount[] = [];
        const batch: ClassCount[] = [];
        let largestUrgentMilliCpu = 0;
        let urgentMilliCpu = 0;
        for (const task of view.placed.values()) {
            const isLatencyCritical = getTaskClass(task.kind) === "latencyCritical";
            addToClass(isLatencyCritical ? urgent : batch, slowdowns.findClassId(task.interferenceClass));
            largestUrgentMilliCpu = Math.max(largestUrgentMilliCpu, isLatencyCritical ? task.resources.milliCpu : 0);
            urgentMilliCpu += isLatencyCritical ? task.resources.milliCpu : 0;
        }
        view.classes = { urgent, batch, largestUrgentMilliCpu, urgentMilliCpu };
    }
    return view.classes;
}

function computeExpected(view: WorkerView, usage: UsageModel): ExpectedUsage {
    let milliCpu = 0;
    let memoryMib = 0;
    let meanMemoryMib = 0;
    for (const task of view.placed.values()) {
        const use = usage.estimateUsage(task);
        milliCpu += use.milliCpu;
        memoryMib += use.memoryMib;
        meanMemoryMib += use.meanMemoryMib;
    }
    return { milliCpu, memoryMib, meanMemoryMib };
}

function listRemovedTasks(previous: WorkerView | undefined, current: WorkerView): TaskId[] {
    return [...previous?.placed.keys() ?? []].filter(task => !current.placed.has(task));
}

/** Creates views without workers. */
export function createWorkerViews(): WorkerViews {
    const views = new Map<WorkerId, WorkerView>();
    const positions = new Map<WorkerId, number>();
    let list: WorkerView[] = [];

    /** Sorts the views by id, so that decisions do not depend on the order in which workers registered. */
    function sortList(): void {
        list = [...views.values()].sort((left, right) => left.record.id < right.record.id ? -1 : 1);
        positions.clear();
        list.forEach((view, position) => positions.set(view.record.id, position));
    }

    function addInFlightTasks(
        state: ClusterState,
        placements: readonly Extract<PlacementDecision, { kind: "placeTask"; }>[],
        rebuilt: ReadonlySet<WorkerId>,
    ): void {
        for (const { task, worker } of placements) {
            const view = views.get(worker);
            const record = state.tasks.get(task);
            const spec = record === undefined ? undefined : state.works.get(record.work)?.spec;
            if (view !== undefined && spec !== undefined && rebuilt.has(worker) && !view.placed.has(task)) {
                addPlacedTask(view, buildTaskView(task, spec, spec.resources));
            }
        }
    }

    return {
        updateViews: (state, placements, dropped, observeRemoved) => {
            const rebuilt = new Set<WorkerId>();
            const stale = new Set(dropped.flatMap(decision => decision.kind === "placeTask" ? [decision.worker] : []));
            let changed = false;
            for (const record of state.workers.values()) {
                const previous = views.get(record.id);
                if (previous?.record !== record || stale.has(record.id)) {
                    const view = buildView(state, record);
                    views.set(record.id, view);
                    listRemovedTasks(previous, view).forEach(observeRemoved);
                    rebuilt.add(record.id);
                    const position = positions.get(record.id);
                    if (position === undefined) {
                        changed = true;
                    }
                    else {
                        list[position] = view;
                    }
                }
            }
            for (const id of views.keys()) {
                if (!state.workers.has(id)) {
                    views.delete(id);
                    changed = true;
                }
            }
            addInFlightTasks(state, placements, rebuilt);
            if (changed) {
                sortList();
            }
        },
        listViews: () => list,
        findView: worker => views.get(worker),
        readExpected: (view, usage) => {
            view.expected ??= computeExpected(view, usage);
            return view.expected;
        },
        forgetExpected: worker => {
            const view = views.get(worker);
            if (view !== undefined) {
                view.expected = undefined;
            }
        },
    };
}
