import {
    addResources,
    type ClusterState,
    type JobSpec,
    noResources,
    type Resources,
    type ServiceSpec,
    subtractResources,
    type TaskId,
    type TaskRecord,
    type TenantId,
    type WorkerId,
    type WorkerRecord,
    type WorkerReport,
    type WorkRecord,
    type WorkSpec,
} from "@chestnutspool/types";
import { buildEmptyRegistry, buildTask } from "../fakes/build-state.js";
import type { PlacementDecision } from "../placement-decision.js";

/** Size of the target cluster: 1,300 workers, 3,300 urgent and 13,000 batch tasks, 2,400 accelerators, 32 tenants. */
const urgentPerWorker = 3300 / 1300;
const batchPerWorker = 10;
const tenantCount = 32;
/** Share of the cluster that the quotas guarantee; the rest is lent. */
const quotaShare = 0.85;
const workersPerRack = 11;
const tasksPerJob = 20;
const classNames = Array.from({ length: 24 }, (unused, ordinal) => `class-${ordinal}`);
const workerCapacity = { milliCpu: 32_000, memoryMib: 128_000 };
const urgentSize: Resources = { milliCpu: 2000, memoryMib: 8000, accelerators: 0 };
/** One task in six needs an accelerator, 2,167 of 13,000. */
const batchSizes: readonly Resources[] = [
    { milliCpu: 1500, memoryMib: 6000, accelerators: 0 },
    { milliCpu: 2000, memoryMib: 9000, accelerators: 0 },
    { milliCpu: 2500, memoryMib: 9000, accelerators: 0 },
    { milliCpu: 1500, memoryMib: 6000, accelerators: 0 },
    { milliCpu: 2000, memoryMib: 9000, accelerators: 0 },
    { milliCpu: 2500, memoryMib: 10_000, accelerators: 1 },
];

/** A state that the benchmark changes in place, as the state machine does: records are replaced, maps stay. */
export interface BenchmarkCluster {
    readonly state: ClusterState;
    readonly addWork: (kind: "service" | "job", tasks: number) => readonly TaskId[];
    readonly applyDecisions: (decisions: readonly PlacementDecision[], nowMs: number) => void;
    /** Ends running batch tasks, the oldest first. */
    readonly endBatchTasks: (count: number, nowMs: number) => void;
    readonly buildReports: () => WorkerReport[];
    /** Adds works and tasks in proportion to the workers. */
    readonly addTargetLoad: () => void;
}

/** Creates a cluster of the given number of workers without tasks. */
export function createBenchmarkCluster(workerCount: number): BenchmarkCluster {
    const works = new Map<string, WorkRecord>();
    const tasks = new Map<TaskId, TaskRecord>();
    const workers = new Map<WorkerId, WorkerRecord>();
    const pendingTasks = new Set<TaskId>();
    const tasksByWorker = new Map<WorkerId, Set<TaskId>>();
    const usedByTenant = new Map<TenantId, Resources>();
    const runningBatch = new Set<TaskId>();
    let token = 0;
    let workCount = 0;

    for (let ordinal = 0; ordinal < workerCount; ordinal += 1) {
        const rack = Math.floor(ordinal / workersPerRack);
        const id = `worker-${String(ordinal).padStart(5, "0")}`;
        workers.set(id, {
            id,
            incarnation: "1",
            availabilityZone: `zone-${rack % 3}`,
            rack: `rack-${rack}`,
            capacity: { ...workerCapacity, accelerators: ordinal % 13 < 12 ? 2 : 0 },
            used: noResources,
            admission: "open",
            failuresInRow: 0,
        });
        tasksByWorker.set(id, new Set());
    }

    function buildSpec(kind: "service" | "job", name: string, ordinal: number, count: number): WorkSpec {
        const base = {
            name,
            tenant: `tenant-${ordinal % tenantCount}`,
            interferenceClass: classNames[ordinal % classNames.length] ?? "class-0",
            command: "",
        };
        const resources = batchSizes[ordinal % batchSizes.length] ?? urgentSize;
        const service: ServiceSpec = {
            ...base,
            kind: "service",
            resources: urgentSize,
            replicas: count,
            maxRunMs: 1000,
        };
        const job: JobSpec = {
            ...base,
            kind: "job",
            resources,
            tasks: count,
            deadlineAtMs: 10_000_000 + ordinal * 1000,
            expectedRunMs: 60_000,
            maxAttempts: 3,
        };
        return kind === "service" ? service : job;
    }

    function addWork(kind: "service" | "job", count: number): TaskId[] {
        workCount += 1;
        const name = `${kind}-${workCount}`;
        const spec = buildSpec(kind, name, workCount, count);
        works.set(name, { spec, revision: 1, cancelled: false, changedBy: "measure", createdAtMs: 0 });
        return Array.from({ length: count }, (unused, ordinal) => {
            const id = `${name}/${ordinal}`;
            pendingTasks.add(id);
            tasks.set(id, buildTask(spec, ordinal));
            return id;
        });
    }

    function charge(worker: WorkerRecord, tenant: TenantId, used: Resources): void {
        workers.set(worker.id, { ...worker, used: addResources(worker.used, used) });
        usedByTenant.set(tenant, addResources(usedByTenant.get(tenant) ?? noResources, used));
    }

    function placeTask(task: TaskRecord, worker: WorkerRecord, nowMs: number): void {
        const spec = works.get(task.work)?.spec;
        if (spec === undefined) {
            return;
        }
        token += 1;
        const charged = spec.resources;
        tasks.set(task.id, { ...task, phase: "running", token, worker: worker.id, charged, startedAtMs: nowMs });
        pendingTasks.delete(task.id);
        tasksByWorker.get(worker.id)?.add(task.id);
        charge(worker, task.tenant, charged);
        if (spec.kind === "job") {
            runningBatch.add(task.id);
        }
    }

    function endTask(task: TaskRecord, phase: "succeeded" | "pending", nowMs: number): void {
        const worker = workers.get(task.worker ?? "");
        if (worker !== undefined) {
            tasksByWorker.get(worker.id)?.delete(task.id);
            charge(worker, task.tenant, subtractResources(noResources, task.charged));
        }
        tasks.set(task.id, { ...task, phase, worker: undefined, charged: noResources, endedAtMs: nowMs });
        runningBatch.delete(task.id);
        if (phase === "pending") {
            pendingTasks.add(task.id);
        }
    }

    const state: ClusterState = {
        index: 1,
        clockMs: 0,
        works,
        tasks,
        pendingTasks,
        tasksByWorker,
        usedByTenant,
        workers,
        tenants: new Map(Array.from({ length: tenantCount }, (unused, ordinal) => {
            const quota = {
                milliCpu: Math.round(workerCount * workerCapacity.milliCpu * quotaShare / tenantCount),
                memoryMib: Math.round(workerCount * workerCapacity.memoryMib * quotaShare / tenantCount),
                accelerators: Math.round(workerCount * 2 * quotaShare / tenantCount),
            };
            const id = `tenant-${ordinal}`;
            return [id, { id, quota, weight: 1, revision: 1, changedBy: "measure" }];
        })),
        ...buildEmptyRegistry(),
    };

    return {
        state,
        addWork,
        applyDecisions: (decisions, nowMs) => {
            for (const decision of decisions) {
                const task = decision.kind === "setAsideWorker" ? undefined : tasks.get(decision.task);
                const worker = decision.kind === "placeTask" ? workers.get(decision.worker) : undefined;
                if (task !== undefined && worker !== undefined) {
                    placeTask(task, worker, nowMs);
                }
                else if (task !== undefined && decision.kind === "requestEviction") {
                    endTask(task, "pending", nowMs);
                }
            }
        },
        endBatchTasks: (count, nowMs) => {
            for (const id of [...runningBatch].slice(0, count)) {
                const task = tasks.get(id);
                if (task !== undefined) {
                    endTask(task, "succeeded", nowMs);
                }
            }
        },
        buildReports: () =>
            [...tasksByWorker].map(([worker, ids]) => ({
                worker,
                usage: [...ids].flatMap(id => {
                    const task = tasks.get(id);
                    return task === undefined ? [] : [{
                        task: id,
                        token: task.token,
                        ageMs: 2000,
                        milliCpu: task.charged.milliCpu * 0.8,
                        memoryMib: task.charged.memoryMib * 0.8,
                        accelerators: 0,
                        speedPercent: 85,
                    }];
                }),
            })),
        addTargetLoad: () => {
            for (let left = Math.round(workerCount * urgentPerWorker); left > 0; left -= 10) {
                addWork("service", Math.min(10, left));
            }
            for (let left = workerCount * batchPerWorker; left > 0; left -= tasksPerJob) {
                addWork("job", Math.min(tasksPerJob, left));
            }
        },
    };
}
