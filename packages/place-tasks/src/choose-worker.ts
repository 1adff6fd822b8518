import { hasRoomFor, isUrgent, isWorkerUsable, type PlacementPass } from "./pass.js";
import { computeSpreadCost, countSpread } from "./spread.js";
import { findWorkCosts, updateWorkCosts } from "./work-costs.js";
import type { TaskView, WorkerView } from "./worker-views.js";

/** A worker that must show that it works again is the first choice of batch tasks and the last of urgent ones. */
const batchProbeGain = 1000;
const urgentProbeCost = 1000;

/**
 * Where a task starts, or why not: it fits nowhere by its declared size, or nowhere by the memory that the tasks really use,
 * or it would slow urgent tasks down more than it may.
 */
export type WorkerChoice =
    | { readonly kind: "found"; readonly view: WorkerView; }
    | { readonly kind: "noRoom"; }
    | { readonly kind: "noMemory"; }
    | { readonly kind: "deferred"; };

/**
 * The worker on which a task starts at the least cost; ties go to the first id. A batch task may add at most `harmLimit` of
 * weighted slowdown to the urgent tasks of a worker.
 */
export function chooseWorker(pass: PlacementPass, task: TaskView, addedSlowdownLimit: number): WorkerChoice {
    const urgent = isUrgent(task);
    const known = findWorkCosts(pass, task);
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
        updateWorkCosts(pass, known, position, view, task);
        const harm = known.harms[position] ?? Infinity;
        if (!urgent && (harm === Infinity || harm > addedSlowdownLimit)) {
            deferred ||= harm !== Infinity;
            continue;
        }
        const spreadCost = spread === undefined ? 0 : computeSpreadCost(spread, view);
        const probeCost = pass.probation.size > 0 && pass.probation.has(view)
            ? urgent ? urgentProbeCost : -batchProbeGain
            : 0;
        const cost = (known.costs[position] ?? 0) + pass.memory.settings.tailLatencyWeight * spreadCost + probeCost;
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
