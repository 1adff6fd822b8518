import type { PlacementPass } from "./placement-pass.js";
import type { TaskView, WorkerView } from "./worker-views.js";

/** Cost of having all tasks of a work in one failure domain, as a multiple of the weight of tail latency. */
const workerCost = 0.4;
const rackCost = 3;
const availabilityZoneCost = 1;

/** Tasks of one work by failure domain; the loss of a domain ends the tasks in it. */
export interface WorkSpread {
    readonly tasks: number;
    readonly byWorker: ReadonlyMap<string, number>;
    readonly byRack: ReadonlyMap<string, number>;
    readonly byAvailabilityZone: ReadonlyMap<string, number>;
}

function addOne(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** Counts the tasks of the work that are placed or whose placement is in flight, by failure domain. */
export function countSpread(pass: PlacementPass, task: TaskView): WorkSpread {
    const byWorker = new Map<string, number>();
    const byRack = new Map<string, number>();
    const byAvailabilityZone = new Map<string, number>();
    const spec = pass.state.works.get(task.work)?.spec;
    const tasks = spec?.kind === "service" ? spec.replicas : 1;
    for (let ordinal = 0; ordinal < tasks; ordinal += 1) {
        const id = `${task.work}/${ordinal}`;
        const worker = pass.state.tasks.get(id)?.worker ?? pass.memory.inFlight.findPlacement(id);
        const view = worker === undefined ? undefined : pass.memory.views.findView(worker);
        if (view !== undefined) {
            addOne(byWorker, view.record.id);
            addOne(byRack, view.rackKey);
            addOne(byAvailabilityZone, view.record.availabilityZone);
        }
    }
    return { tasks, byWorker, byRack, byAvailabilityZone };
}

/** Cost of adding a task of the work to a worker, from 0 to the sum of the costs of the domains. */
export function computeSpreadCost(spread: WorkSpread, view: WorkerView): number {
    if (spread.byWorker.size === 0) {
        return 0;
    }
    const cost = (spread.byWorker.get(view.record.id) ?? 0) * workerCost
        + (spread.byRack.get(view.rackKey) ?? 0) * rackCost
        + (spread.byAvailabilityZone.get(view.record.availabilityZone) ?? 0) * availabilityZoneCost;
    return cost / Math.max(1, spread.tasks);
}
