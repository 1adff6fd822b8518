import type {
    ClusterState,
    Resources,
    TaskRecord,
    TenantRecord,
    WorkerRecord,
    WorkRecord,
    WorkSpec,
} from "@chestnutspool/types";

/** Records that a test gives; the derived collections of the state are computed from them. */
export interface StateParts {
    readonly works: readonly WorkSpec[];
    readonly tasks: readonly TaskRecord[];
    readonly workers: readonly Omit<WorkerRecord, "used">[];
    readonly tenants?: readonly TenantRecord[];
}

/** A task record in phase `pending`, with some fields replaced. */
export function buildTask(work: WorkSpec, ordinal: number, changes: Partial<TaskRecord> = {}): TaskRecord {
    return {
        id: `${work.name}/${ordinal}`,
        work: work.name,
        tenant: work.tenant,
        phase: "pending",
        token: 0,
        worker: undefined,
        charged: { milliCpu: 0, memoryMib: 0, accelerators: 0 },
        checkpoint: undefined,
        failures: 0,
        evictions: 0,
        notBeforeMs: 0,
        throttlePercent: 100,
        reason: "",
        createdAtMs: 0,
        startedAtMs: undefined,
        endedAtMs: undefined,
        ...changes,
    };
}

/** A worker record without the used resources, with some fields replaced. */
export function buildWorker(id: string, capacity: Resources, changes: Partial<WorkerRecord> = {}) {
    return {
        id,
        incarnation: "1",
        availabilityZone: "a",
        rack: "r1",
        capacity,
        admission: "open" as const,
        failuresInRow: 0,
        ...changes,
    };
}

function sumCharged(tasks: readonly TaskRecord[]): Resources {
    const sum = { milliCpu: 0, memoryMib: 0, accelerators: 0 };
    for (const { charged } of tasks) {
        sum.milliCpu += charged.milliCpu;
        sum.memoryMib += charged.memoryMib;
        sum.accelerators += charged.accelerators;
    }
    return sum;
}

function groupBy<Value>(values: readonly Value[], readKey: (value: Value) => string | undefined): Map<string, Value[]> {
    const groups = new Map<string, Value[]>();
    for (const value of values) {
        const key = readKey(value);
        if (key !== undefined) {
            groups.set(key, [...groups.get(key) ?? [], value]);
        }
    }
    return groups;
}

/** The parts of a state that placement does not read. */
export function buildEmptyRegistry() {
    return {
        evacuatedZones: new Set<string>(),
        entries: new Map(),
        minions: new Map(),
        ownership: new Map(),
        ownershipVersion: 0,
        requests: new Map(),
        operatorRequests: new Map(),
        configuration: { revision: 0, entries: {}, changedBy: "", acceptedAtMs: 0 },
        configurationHistory: [],
        events: [],
    };
}

/** A state with the given records and all derived collections. */
export function buildState(parts: StateParts): ClusterState {
    const byWorker = groupBy(parts.tasks, task => task.worker);
    const byTenant = groupBy(parts.tasks.filter(task => task.worker !== undefined), task => task.tenant);
    const buildWork = (spec: WorkSpec): WorkRecord => ({
        spec,
        revision: 1,
        cancelled: false,
        changedBy: "test",
        createdAtMs: 0,
    });
    return {
        index: 1,
        clockMs: 0,
        works: new Map(parts.works.map(spec => [spec.name, buildWork(spec)])),
        tasks: new Map(parts.tasks.map(task => [task.id, task])),
        pendingTasks: new Set(parts.tasks.filter(task => task.phase === "pending").map(task => task.id)),
        tasksByWorker: new Map([...byWorker].map(([worker, tasks]) => [worker, new Set(tasks.map(task => task.id))])),
        usedByTenant: new Map([...byTenant].map(([tenant, tasks]) => [tenant, sumCharged(tasks)])),
        workers: new Map(
            parts.workers.map(worker => [worker.id, { ...worker, used: sumCharged(byWorker.get(worker.id) ?? []) }]),
        ),
        tenants: new Map((parts.tenants ?? []).map(tenant => [tenant.id, tenant])),
        ...buildEmptyRegistry(),
    };
}
