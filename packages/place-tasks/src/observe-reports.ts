import type { ClusterState, UsageSample, WorkerId, WorkerReport } from "@chestnutspool/types";
import type { PlacerMemory } from "./pass.js";

/** Reports wait here for the next pass, because only the state tells what the tasks are; the last of each worker stays. */
export type ReportQueue = Map<WorkerId, WorkerReport>;

function observeSample(memory: PlacerMemory, state: ClusterState, sample: UsageSample): void {
    const task = state.tasks.get(sample.task);
    // A sample of an earlier attempt tells about another worker.
    if (task === undefined || task.token !== sample.token) {
        return;
    }
    if (task.throttlePercent === 100) {
        memory.uses.observeUse(task.work, sample);
    }
}

/** Takes the waiting reports into the models. */
export function observeReports(memory: PlacerMemory, state: ClusterState, reports: ReportQueue): void {
    for (const { worker, usage } of reports.values()) {
        usage.forEach(sample => {
            observeSample(memory, state, sample);
        });
        memory.views.forgetExpected(worker);
    }
    reports.clear();
}
