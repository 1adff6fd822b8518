import type { ClusterState, TaskRecord, WorkerId } from "@chestnutspool/types";
import type { SlowdownTable, TaskTruth } from "./trace.js";

/** Factor by which tasks slow down while the memory of their worker is overcommitted. */
const swapSlowdown = 3;

/** What the replay knows and the placer does not: how tasks behave in truth. */
export interface GroundTruth {
    readonly slowdown: SlowdownTable;
    readonly truthByWork: Map<string, TaskTruth>;
    /** Load of an interference class in percent; 100 when absent. */
    readonly loadByClass: Map<string, number>;
}

/** A running task with its true use and speed. */
export interface MeasuredTask {
    readonly task: TaskRecord;
    readonly truth: TaskTruth;
    /** Speed as a share of the speed alone, throttling included. */
    readonly speed: number;
}

interface Neighbour {
    readonly task: TaskRecord;
    readonly truth: TaskTruth;
    readonly interferenceClass: string;
    readonly share: number;
}

function listNeighbours(state: ClusterState, truth: GroundTruth, worker: WorkerId): Neighbour[] {
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

/** True use and speed of all tasks that run on a worker. */
export function listMeasuredTasks(state: ClusterState, truth: GroundTruth, worker: WorkerId): MeasuredTask[] {
    const capacity = state.workers.get(worker)?.capacity;
    if (capacity === undefined) {
        return [];
    }
    const neighbours = listNeighbours(state, truth, worker);
    let milliCpu = 0;
    let memoryMib = 0;
    for (const neighbour of neighbours) {
        milliCpu += neighbour.truth.milliCpu * neighbour.share;
        memoryMib += neighbour.truth.memoryMib;
    }
    const cpuSpeed = Math.min(1, capacity.milliCpu / Math.max(1, milliCpu))
        / (memoryMib > capacity.memoryMib ? swapSlowdown : 1);
    return neighbours.map(victim => {
        let added = 0;
        for (const other of neighbours) {
            const percent = truth.slowdown[victim.interferenceClass]?.[other.interferenceClass] ?? 0;
            if (other !== victim) {
                added += percent / 100 * other.share * (truth.loadByClass.get(other.interferenceClass) ?? 100) / 100;
            }
        }
        return { task: victim.task, truth: victim.truth, speed: victim.share * cpuSpeed / (1 + added) };
    });
}
