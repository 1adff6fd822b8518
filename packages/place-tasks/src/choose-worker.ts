import { hasRoomFor, isUrgent, isWorkerUsable, type Pass } from "./pass.js";
import { computeSpreadCost, countSpread } from "./spread.js";
import type { ExpectedUse } from "./use-model.js";
import { readSeatedClasses, type SeatedTask, type WorkerView } from "./worker-views.js";

/** Cost of each unit of load between the limit and the capacity, and beyond the capacity. */
const highUseSlope = 2;
const overloadSlope = 10;
/** Use of memory up to which measured means count as fitting; errors of measurement must not block exact sizes. */
const memoryTolerance = 1.03;
/** Cost of a fully loaded worker to a new urgent task, which needs headroom for its bursts. */
const headroomCost = 0.3;
/** Gain of packing batch work on loaded workers, so that others stay free for large and urgent tasks. */
const packingGain = 0.05;

/** A worker that must show that it works again is the first choice of batch tasks and the last of urgent ones. */
const batchProbeGain = 1000;
const urgentProbeCost = 1000;

/** Cost of a load, where 1 is the capacity. */
function computeLoadCost(load: number, highUse: number): number {
    const high = Math.max(0, Math.min(load, 1) - highUse) * highUseSlope;
    return high + Math.max(0, load - 1) * overloadSlope;
}

/**
 * Whether the memory that the tasks really use, this one included, fits. A worker that swaps slows all of its tasks down, so
 * that batch work waits for another one; an empty worker takes any task that fits by its declared size.
 */
function hasMemory(pass: Pass, view: WorkerView, added: ExpectedUse): boolean {
    const expected = pass.memory.views.readExpected(view, pass.memory.uses);
    const limitMib = view.record.capacity.memoryMib * memoryTolerance;
    return view.seated.size === 0 || expected.meanMemoryMib + added.meanMemoryMib <= limitMib;
}

/** Slowdown that the task would add to the urgent tasks of the worker together. */
function computeUrgentHarm(pass: Pass, view: WorkerView, classId: number): number {
    const { slowdowns } = pass.memory;
    return readSeatedClasses(view, slowdowns).urgent.reduce(
        (sum, { classId: other, count }) => sum + count * slowdowns.estimateAdded(other, classId),
        0,
    );
}

/** Slowdown that the task would add to the tasks of the worker, and they to it, weighted by class. */
function computeSlowdownCost(pass: Pass, view: WorkerView, task: SeatedTask, classId: number): number {
    const { settings, slowdowns } = pass.memory;
    const { urgent, batch } = readSeatedClasses(view, slowdowns);
    const { tailLatencyWeight, batchThroughputWeight } = settings;
    const ownWeight = isUrgent(task) ? tailLatencyWeight : batchThroughputWeight;
    let cost = 0;
    for (const { classId: other, count } of urgent) {
        cost += count * (tailLatencyWeight * slowdowns.estimateAdded(other, classId)
            + ownWeight * slowdowns.estimateAdded(classId, other));
    }
    for (const { classId: other, count } of batch) {
        cost += count * (batchThroughputWeight * slowdowns.estimateAdded(other, classId)
            + ownWeight * slowdowns.estimateAdded(classId, other));
    }
    return cost;
}

/** Cost of starting the task on the worker; only the differences between workers matter. */
function computeCost(pass: Pass, view: WorkerView, task: SeatedTask, added: ExpectedUse): number {
    const { settings, views, uses } = pass.memory;
    const highUse = settings.highUsePercent / 100;
    const expected = views.readExpected(view, uses);
    const cpuLoad = (expected.milliCpu + added.milliCpu) / Math.max(1, view.record.capacity.milliCpu);
    const memoryLoad = (expected.memoryMib + added.memoryMib) / Math.max(1, view.record.capacity.memoryMib);
    const loadCost = (settings.tailLatencyWeight + settings.batchThroughputWeight)
        * (computeLoadCost(cpuLoad, highUse) + computeLoadCost(memoryLoad, highUse));
    const slowdownCost = computeSlowdownCost(
        pass,
        view,
        task,
        pass.memory.slowdowns.findClassId(task.interferenceClass),
    );
    return loadCost + slowdownCost + (isUrgent(task)
        ? settings.tailLatencyWeight * headroomCost * cpuLoad
        : -settings.batchThroughputWeight * packingGain * cpuLoad);
}

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
export function chooseWorker(pass: Pass, task: SeatedTask, harmLimit: number): WorkerChoice {
    const { uses, slowdowns, settings, setAside } = pass.memory;
    const added = uses.estimateUse({ ...task, name: task.work });
    const classId = slowdowns.findClassId(task.interferenceClass);
    const spread = isUrgent(task) ? countSpread(pass, task) : undefined;
    let best: WorkerView | undefined;
    let bestCost = Infinity;
    let fits = false;
    let deferred = false;
    for (const view of pass.usable) {
        if (!isWorkerUsable(pass, view) || !hasRoomFor(pass, view, task)) {
            continue;
        }
        fits = true;
        if (!isUrgent(task) && !hasMemory(pass, view, added)) {
            continue;
        }
        if (settings.tailLatencyWeight * computeUrgentHarm(pass, view, classId) > harmLimit) {
            deferred = true;
            continue;
        }
        const spreadCost = spread === undefined ? 0 : computeSpreadCost(spread, view);
        const probeCost = setAside.isOnProbation(view) ? isUrgent(task) ? urgentProbeCost : -batchProbeGain : 0;
        const cost = computeCost(pass, view, task, added) + settings.tailLatencyWeight * spreadCost + probeCost;
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
