import type { ClusterState, TaskRecord, UsageSample, WorkerId, WorkerReport, WorkSpec } from "@chestnutspool/types";
import type { PlacerMemory } from "./pass.js";

/** Reports wait here for the next pass, because only the state tells what the tasks are; the last of each worker stays. */
export type ReportQueue = Map<WorkerId, WorkerReport>;

interface KnownSample {
    readonly sample: UsageSample;
    readonly task: TaskRecord;
    readonly spec: WorkSpec;
    readonly classId: number;
}

function listKnownSamples(memory: PlacerMemory, state: ClusterState, usage: readonly UsageSample[]): KnownSample[] {
    return usage.flatMap(sample => {
        const task = state.tasks.get(sample.task);
        const spec = task === undefined ? undefined : state.works.get(task.work)?.spec;
        // A sample of an earlier attempt tells about another worker.
        return task === undefined || spec === undefined || task.token !== sample.token
            ? []
            : [{ sample, task, spec, classId: memory.slowdowns.findClassId(spec.interferenceClass) }];
    });
}

/** Speed that the processors of the worker allow to all tasks together, 1 when they suffice. */
function computeProcessorSpeed(state: ClusterState, worker: WorkerId, usage: readonly UsageSample[]): number {
    const wanted = usage.reduce((sum, sample) => sum + sample.milliCpu, 0);
    const capacity = state.workers.get(worker)?.capacity.milliCpu ?? 0;
    return capacity > 0 && wanted > capacity ? capacity / wanted : 1;
}

/** Learns slowdowns from samples that were taken together, so that each names the neighbours of the others. */
function observeSlowdowns(memory: PlacerMemory, known: readonly KnownSample[], processorSpeed: number): void {
    const counts = new Map<number, number>();
    for (const { task, classId } of known) {
        counts.set(classId, (counts.get(classId) ?? 0) + task.throttlePercent / 100);
    }
    for (const { sample, task, classId } of known) {
        if (task.throttlePercent === 100 && sample.speedPercent !== undefined && sample.speedPercent > 0) {
            const neighbours = [...counts].map(([other, count]) => ({
                classId: other,
                count: other === classId ? count - 1 : count,
            }));
            const slowdown = processorSpeed * 100 / sample.speedPercent - 1;
            memory.slowdowns.observeSlowdown(classId, neighbours, Math.max(0, slowdown));
        }
    }
}

/** Takes the waiting reports into the models. */
export function observeReports(memory: PlacerMemory, state: ClusterState, reports: ReportQueue): void {
    for (const { worker, usage } of reports.values()) {
        const known = listKnownSamples(memory, state, usage);
        for (const { sample, task, spec } of known) {
            if (task.throttlePercent === 100) {
                memory.uses.observeUse(spec, sample);
            }
        }
        observeSlowdowns(memory, known, computeProcessorSpeed(state, worker, usage));
        memory.views.forgetExpected(worker);
    }
    reports.clear();
}
