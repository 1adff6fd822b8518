import type {
    ClusterState,
    JobSpec,
    Resources,
    ServiceSpec,
    TaskPhase,
    TaskRecord,
    TenantRecord,
    WatchSpec,
    WorkerRecord,
    WorkSpec,
} from "@chestnutspool/types";
import fc from "fast-check";
import { buildState, buildTask, buildWorker } from "./build-state.js";

const tenantNames = ["ash", "bolt", "cord"];

const size: fc.Arbitrary<Resources> = fc.record({
    milliCpu: fc.integer({ min: 0, max: 4000 }),
    memoryMib: fc.integer({ min: 0, max: 4000 }),
    accelerators: fc.integer({ min: 0, max: 1 }),
});

const capacity: fc.Arbitrary<Resources> = fc.record({
    milliCpu: fc.integer({ min: 0, max: 8000 }),
    memoryMib: fc.integer({ min: 0, max: 8000 }),
    accelerators: fc.integer({ min: 0, max: 2 }),
});

interface WorkShape {
    readonly kind: WorkSpec["kind"];
    readonly tenant: string;
    readonly resources: Resources;
    readonly interferenceClass: string;
    readonly deadlineAtMs: number | undefined;
    /** Random values from which the state of each task is built. */
    readonly tasks: readonly { readonly place: number; readonly phase: TaskPhase; readonly notBeforeMs: number; }[];
}

const workShape: fc.Arbitrary<WorkShape> = fc.record({
    kind: fc.constantFrom("service", "job", "watch"),
    tenant: fc.constantFrom(...tenantNames),
    resources: size,
    interferenceClass: fc.constantFrom("quiet", "noisy"),
    deadlineAtMs: fc.option(fc.integer({ min: 0, max: 2_000_000 }), { nil: undefined }),
    tasks: fc.array(
        fc.record({
            place: fc.nat({ max: 40 }),
            phase: fc.constantFrom("pending", "starting", "running", "stopping", "succeeded"),
            notBeforeMs: fc.constantFrom(0, 0, 0, 2_000_000),
        }),
        { minLength: 1, maxLength: 6 },
    ),
});

function buildSpec(shape: WorkShape, name: string): WorkSpec {
    const { tenant, resources, interferenceClass, deadlineAtMs } = shape;
    const base = { name, tenant, resources, interferenceClass, command: "" };
    const service: ServiceSpec = { ...base, kind: "service", replicas: shape.tasks.length, maxRunMs: 1000 };
    const watch: WatchSpec = { ...base, kind: "watch", checkpointIntervalMs: 60_000 };
    const job: JobSpec = {
        ...base,
        kind: "job",
        tasks: shape.tasks.length,
        deadlineAtMs,
        expectedRunMs: 60_000,
        maxAttempts: 3,
    };
    return shape.kind === "service" ? service : shape.kind === "watch" ? watch : job;
}

type WorkerShape = Omit<WorkerRecord, "used">;

/** The tasks of the works on their workers; a task that does not fit on its worker is pending instead. */
function placeTasks(works: readonly WorkSpec[], shapes: readonly WorkShape[], workers: readonly WorkerShape[]) {
    const free = workers.map(worker => ({ ...worker.capacity }));
    const tasks: TaskRecord[] = [];
    works.forEach((spec, index) => {
        shapes[index]?.tasks.forEach(({ place, phase, notBeforeMs }, ordinal) => {
            const position = workers.length === 0 ? undefined : place % workers.length;
            const room = position === undefined ? undefined : free[position];
            const { milliCpu, memoryMib, accelerators } = spec.resources;
            const fits = room !== undefined && position !== undefined && milliCpu <= room.milliCpu
                && memoryMib <= room.memoryMib && accelerators <= room.accelerators;
            if (phase === "succeeded") {
                tasks.push(buildTask(spec, ordinal, { phase, token: 1 }));
            }
            else if (phase === "pending" || !fits) {
                tasks.push(buildTask(spec, ordinal, { notBeforeMs, token: place % 3 }));
            }
            else {
                room.milliCpu -= milliCpu;
                room.memoryMib -= memoryMib;
                room.accelerators -= accelerators;
                const worker = workers[position]?.id;
                const startedAtMs = phase === "starting" ? undefined : place * 20_000;
                tasks.push(buildTask(spec, ordinal, { phase, worker, charged: spec.resources, token: 7, startedAtMs }));
            }
        });
    });
    return tasks;
}

/** States of a small cluster in which no worker is overcommitted. */
export const arbitraryState: fc.Arbitrary<ClusterState> = fc.record({
    shapes: fc.array(workShape, { maxLength: 8 }),
    workers: fc.array(
        fc.record({
            capacity,
            admission: fc.constantFrom("open", "open", "open", "draining", "setAside"),
            failuresInRow: fc.constantFrom(0, 0, 0, 3),
            rack: fc.constantFrom("r1", "r2"),
        }),
        { maxLength: 5 },
    ),
    quotas: fc.tuple(capacity, capacity, capacity),
}).map(({ shapes, workers: workerShapes, quotas }) => {
    const works = shapes.map((shape, index) => buildSpec(shape, `work-${index}`));
    const workers = workerShapes.map((shape, index) => buildWorker(`w${index}`, shape.capacity, shape));
    const tenants: TenantRecord[] = tenantNames.map((id, index) => ({
        id,
        quota: quotas[index] ?? quotas[0],
        weight: 1,
        revision: 1,
        changedBy: "test",
    }));
    return buildState({ works, tasks: placeTasks(works, shapes, workers), workers, tenants });
});
