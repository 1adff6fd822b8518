import type { ClusterState, TaskRecord, WorkSpec } from "@chestnutspool/types";
import type { InFlightDecisions } from "./in-flight-decisions.js";

/** A work with those of its tasks that may start now. */
export interface PendingWork {
    readonly spec: WorkSpec;
    readonly tasks: TaskRecord[];
}

/** Groups the tasks that may start now by work; tasks of one work share size, tenant and deadline. */
export function listPendingWorks(state: ClusterState, inFlight: InFlightDecisions, nowMs: number): PendingWork[] {
    const works = new Map<string, PendingWork>();
    for (const id of state.pendingTasks) {
        const task = state.tasks.get(id);
        if (task === undefined || task.phase !== "pending" || task.notBeforeMs > nowMs || inFlight.hasTask(id)) {
            continue;
        }
        let pending = works.get(task.work);
        if (pending === undefined) {
            const work = state.works.get(task.work);
            if (work === undefined || work.cancelled) {
                continue;
            }
            pending = { spec: work.spec, tasks: [] };
            works.set(task.work, pending);
        }
        pending.tasks.push(task);
    }
    return [...works.values()];
}
