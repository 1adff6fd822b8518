import type { ClusterState, TaskRecord, UsageSample, WorkerId, WorkerReport, WorkSpec } from "@chestnutspool/types";
import type { PlacerMemory } from "./placement-pass.js";
import type { ClassCount } from "./slowdown-model.js";
import type { SizedWork } from "./usage-model.js";
import { getTaskClass } from "./worker-views.js";

/**
 * The latest report of each worker, kept until the next pass because only the state tells which work a task belongs to.
 */
export type PendingReports = Map<WorkerId, WorkerReport>;

/** A usage sample with the records of its task and work. */
interface TaskSample {
    readonly sample: UsageSample;
    readonly task: TaskRecord;
    readonly spec: WorkSpec;
    readonly sized: SizedWork;
    readonly classId: number;
}

function listTaskSamples(memory: PlacerMemory, state: ClusterState, usage: readonly UsageSample[]): TaskSample[] {
    return usage.flatMap(sample => {
        const task = state.tasks.get(sample.task);
        const spec = task === undefined ? undefined : state.works.get(task.work)?.spec;
        // A sample of an earlier attempt describes another worker.
        return task === undefined || spec === undefined || task.token !== sample.token
            ? []
            : [{
                sample,
                task,
                spec,
                sized: { work: spec.name, interferenceClass: spec.interferenceClass, resources: spec.resources },
                classId: memory.slowdowns.findClassId(spec.interferenceClass),
            }];
    });
}

/** Processor time that the tasks used, as a share of the processors of the worker. */
function computeLoad(state: ClusterState, worker: WorkerId, usage: readonly UsageSample[]): number {
    const used = usage.reduce((sum, sample) => sum + sample.milliCpu, 0);
    return used / Math.max(1, state.workers.get(worker)?.capacity.milliCpu ?? 0);
}

/** Neighbours of a task of the class, without the task itself. */
function listNeighbours(counts: ReadonlyMap<number, number>, classId: number): ClassCount[] {
    return [...counts].map(([other, count]) => ({ classId: other, count: other === classId ? count - 1 : count }));
}

/** Learns slowdowns from the samples of one report, whose tasks are each other's neighbours. */
function observeSlowdowns(memory: PlacerMemory, samples: readonly TaskSample[], processorSpeed: number): void {
    const counts = new Map<number, number>();
    for (const { task, classId } of samples) {
        counts.set(classId, (counts.get(classId) ?? 0) + task.throttlePercent / 100);
    }
    const neighboursByClass = new Map<number, readonly ClassCount[]>();
    for (const { sample, task, classId } of samples) {
        if (task.throttlePercent === 100 && sample.speedPercent !== undefined && sample.speedPercent > 0) {
            let neighbours = neighboursByClass.get(classId);
            if (neighbours === undefined) {
                neighbours = listNeighbours(counts, classId);
                neighboursByClass.set(classId, neighbours);
            }
            const slowdown = processorSpeed * 100 / sample.speedPercent - 1;
            memory.slowdowns.observeSlowdown(classId, neighbours, Math.max(0, slowdown));
        }
    }
}

/** Mean slowdown of the urgent tasks of one report; 0 without any, so that throttling on the worker is lifted. */
function computeUrgentSlowdown(samples: readonly TaskSample[]): number {
    let sum = 0;
    let count = 0;
    for (const { sample, spec } of samples) {
        if (getTaskClass(spec.kind) === "latencyCritical" && (sample.speedPercent ?? 0) > 0) {
            sum += Math.max(0, 100 / (sample.speedPercent ?? 100) - 1);
            count += 1;
        }
    }
    return count === 0 ? 0 : sum / count;
}

/** Updates the models with the pending reports and clears them. */
export function observeReports(memory: PlacerMemory, state: ClusterState, reports: PendingReports): void {
    for (const { worker, usage } of reports.values()) {
        const samples = listTaskSamples(memory, state, usage);
        for (const { sample, task, sized } of samples) {
            if (task.throttlePercent === 100) {
                memory.usage.observeUsage(sized, sample);
            }
        }
        const load = computeLoad(state, worker, usage);
        // Above the capacity all tasks share the processors; single neighbours do not cause that part of the slowdown.
        observeSlowdowns(memory, samples, 1 / Math.max(1, load));
        memory.mitigator.recordSlowdown(worker, computeUrgentSlowdown(samples), load);
        memory.views.forgetExpected(worker);
    }
    reports.clear();
}
