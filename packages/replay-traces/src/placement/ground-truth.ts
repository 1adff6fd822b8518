import type { ClusterState, TaskRecord, WorkerId } from "@chestnutspool/types";
import type { SlowdownTable, TaskTruth } from "./trace.js";

/** Factor by which tasks slow down while the memory of their worker is overcommitted. */
const swapSlowdown = 3;

/** True behaviour of the tasks, known to the replay but not to the placer. */
export interface GroundTruth {
    readonly slowdown: SlowdownTable;
    readonly truthByWork: Map<string, TaskTruth>;
    /** Load of an interference class in percent; 100 when absent. */
    readonly loadByClass: Map<string, number>;
}

/** A running task with its true resource use and speed. */
export interface SimulatedTask {
    readonly task: TaskRecord;
    readonly truth: TaskTruth;
    /** Speed as a share of the speed when running alone; includes throttling. */
    readonly speed: number;
}

interface ColocatedTask {
    readonly task: TaskRecord;
    readonly truth: TaskTruth;
    readonly interferenceClass: string;
    readonly share: number;
}

function listColocatedTasks(state: ClusterState, truth: GroundTruth, worker: WorkerId): ColocatedTask[] {
    return [...state.tasksByWorker.get(worker) ?? []].flatMap(id => {
        const task = state.tasks.get(id);
        const spec = task === undefined ? undefined : state.works.get(task.work)?.spec;
        const known = task === undefined ? undefined : truth.truthByWork.get(task.work);
        if (task === undefined || spec === undefined || known === undefined || task.phase === "starting") {
            return [];
        }
        return [{ task, truth: known, interferenceClass: spec.interferenceClass, share: task.throttlePercent / 100 }];
    });
}

/** True resource use and speed of all tasks that run on a worker. */
export function listSimulatedTasks(state: ClusterState, truth: GroundTruth, worker: WorkerId): SimulatedTask[] {
    const capacity = state.workers.get(worker)?.capacity;
    if (capacity === undefined) {
        return [];
    }
    const colocatedTasks = listColocatedTasks(state, truth, worker);
    let milliCpu = 0;
    let memoryMib = 0;
    for (const colocated of colocatedTasks) {
        milliCpu += colocated.truth.milliCpu * colocated.share;
        memoryMib += colocated.truth.memoryMib;
    }
    const cpuSpeed = Math.min(1, capacity.milliCpu / Math.max(1, milliCpu))
        / (memoryMib > capacity.memoryMib ? swapSlowdown : 1);
    return colocatedTasks.map(affected => {
        let addedSlowdown = 0;
        for (const other of colocatedTasks) {
            const percent = truth.slowdown[affected.interferenceClass]?.[other.interferenceClass] ?? 0;
            if (other !== affected) {
                addedSlowdown += percent / 100 * other.share * (truth.loadByClass.get(other.interferenceClass) ?? 100)
                    / 100;
            }
        }
        return { task: affected.task, truth: affected.truth, speed: affected.share * cpuSpeed / (1 + addedSlowdown) };
    });
}
