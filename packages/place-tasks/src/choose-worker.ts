import { hasRoomFor, isUrgent, isWorkerUsable, type PlacementPass } from "./placement-pass.js";
import { findWorkCosts, updateWorkCosts } from "./work-costs.js";
import { computeSpreadCost, countSpread } from "./work-spread.js";
import type { TaskView, WorkerView } from "./worker-views.js";

/** A worker on probation is the first choice for batch tasks, which probe it, and the last for urgent ones. */
const batchProbeGain = 1000;
const urgentProbeCost = 1000;

/**
 * Worker on which a task starts, or why there is none: no worker has room for the declared size of the task (`noRoom`)
 * or for its expected memory use (`noMemory`), or it would slow down urgent tasks beyond the limit (`deferred`).
 */
export type WorkerChoice =
    | { readonly kind: "found"; readonly view: WorkerView; }
    | { readonly kind: "noRoom"; }
    | { readonly kind: "noMemory"; }
    | { readonly kind: "deferred"; };

/**
 * Chooses the worker with the least cost; ties go to the first id. A batch task may add a weighted slowdown of at most
 * `addedSlowdownLimit` to the urgent tasks of a worker.
 */
export function chooseWorker(pass: PlacementPass, task: TaskView, addedSlowdownLimit: number): WorkerChoice {
    const urgent = isUrgent(task);
    const costs = findWorkCosts(pass, task);
    const spread = urgent ? countSpread(pass, task) : undefined;
    let best: WorkerView | undefined;
    let bestCost = Infinity;
    let fits = false;
    let deferred = false;
    for (let position = 0; position < pass.usable.length; position += 1) {
        const view = pass.usable[position];
        if (view === undefined || !hasRoomFor(pass, view, task) || !isWorkerUsable(pass, view)) {
            continue;
        }
        fits = true;
        updateWorkCosts(pass, costs, position, view, task);
        const addedSlowdown = costs.addedSlowdowns[position] ?? Infinity;
        if (!urgent && (addedSlowdown === Infinity || addedSlowdown > addedSlowdownLimit)) {
            deferred ||= addedSlowdown !== Infinity;
            continue;
        }
        const spreadCost = spread === undefined ? 0 : computeSpreadCost(spread, view);
        const probeCost = pass.probation.size > 0 && pass.probation.has(view)
            ? urgent ? urgentProbeCost : -batchProbeGain
            : 0;
        const cost = (costs.costs[position] ?? 0) + pass.memory.settings.tailLatencyWeight * spreadCost + probeCost;
        if (cost < bestCost) {
            best = view;
            bestCost = cost;
        }
    }
    if (best !== undefined) {
        return { kind: "found", view: best };
    }
    return { kind: deferred ? "deferred" : fits ? "noMemory" : "noRoom" };
}
