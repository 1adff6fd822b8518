import type { ClusterState, TaskRecord, UsageSample, WorkerId, WorkerReport, WorkSpec } from "@chestnutspool/types";
import type { PlacerMemory } from "./pass.js";
import type { ClassCount } from "./slowdown-model.js";
import type { SizedWork } from "./usage-model.js";
import { getTaskClass } from "./worker-views.js";

/** Reports wait here for the next pass, because only the state tells what the tasks are; the last of each worker stays. */
export type ReportQueue = Map<WorkerId, WorkerReport>;

interface KnownSample {
    readonly sample: UsageSample;
    readonly task: TaskRecord;
    readonly spec: WorkSpec;
    readonly sized: SizedWork;
    readonly classId: number;
}

function listKnownSamples(memory: PlacerMemory, state: ClusterState, usage: readonly UsageSample[]): KnownSample[] {
    return usage.flatMap(sample => {
        const task = state.tasks.get(sample.task);
        const spec = task === undefined ? undefined : state.works.get(task.work)?.spec;
        // A sample of an earlier attempt tells about another worker.
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

/** Neighbours of a task of the class; it is not its own neighbour. */
function listNeighbours(counts: ReadonlyMap<number, number>, classId: number): ClassCount[] {
    return [...counts].map(([other, count]) => ({ classId: other, count: other === classId ? count - 1 : count }));
}

/** Learns slowdowns from samples that were taken together, so that each names the neighbours of the others. */
function observeSlowdowns(memory: PlacerMemory, known: readonly KnownSample[], processorSpeed: number): void {
    const counts = new Map<number, number>();
    for (const { task, classId } of known) {
        counts.set(classId, (counts.get(classId) ?? 0) + task.throttlePercent / 100);
    }
    const neighboursByClass = new Map<number, readonly ClassCount[]>();
    for (const { sample, task, classId } of known) {
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

/** Mean slowdown of the urgent tasks of one report; 0 without any, so that throttling of their neighbours is lifted. */
function computeUrgentSlowdown(known: readonly KnownSample[]): number {
    let sum = 0;
    let count = 0;
    for (const { sample, spec } of known) {
        if (getTaskClass(spec.kind) === "latencyCritical" && (sample.speedPercent ?? 0) > 0) {
            sum += Math.max(0, 100 / (sample.speedPercent ?? 100) - 1);
            count += 1;
        }
    }
    return count === 0 ? 0 : sum / count;
}

/** Takes the waiting reports into the models. */
export function observeReports(memory: PlacerMemory, state: ClusterState, reports: ReportQueue): void {
    for (const { worker, usage } of reports.values()) {
        const known = listKnownSamples(memory, state, usage);
        for (const { sample, task, sized } of known) {
            if (task.throttlePercent === 100) {
                memory.usage.observeUsage(sized, sample);
            }
        }
        const load = computeLoad(state, worker, usage);
        // Beyond the capacity all tasks share the processors, which is not the doing of single neighbours.
        observeSlowdowns(memory, known, 1 / Math.max(1, load));
        memory.mitigator.recordSlowdown(worker, computeUrgentSlowdown(known), load);
        memory.views.forgetExpected(worker);
    }
    reports.clear();
}
