import { isUrgent, type PlacementPass } from "./placement-pass.js";
import type { ExpectedUsage } from "./usage-model.js";
import { readPlacedClasses, type TaskView, type WorkerView } from "./worker-views.js";

/**
 * Costs of starting a task of one work, by position of the usable worker; recomputed when a worker gets another task.
 */
export interface WorkCosts {
    readonly added: ExpectedUsage;
    readonly classId: number;
    readonly versions: Int32Array;
    readonly costs: Float64Array;
    /** Weighted slowdown that the task adds to urgent tasks; infinite where the expected use fills the memory. */
    readonly addedSlowdowns: Float64Array;
}

/** Cost of each unit of load between the high-use limit and the capacity, and beyond the capacity. */
const highUseSlope = 2;
const overloadSlope = 10;
/**
 * Share of the memory up to which expected use counts as fitting; measurement errors must not block tasks that fit
 * exactly.
 */
const memoryTolerance = 1.03;
/** Cost of placing an urgent task on a fully loaded worker; urgent tasks need headroom for their bursts. */
const headroomCost = 0.3;
/** Gain of placing an urgent task on a worker full of urgent tasks; no batch task that interferes has room there. */
const urgentPackingGain = 3;
/** Gain of placing a batch task on a fully loaded worker, so that others stay free for large and urgent tasks. */
const batchPackingGain = 0.05;

/** Cost of a load, where 1 is the capacity. */
function computeLoadCost(load: number, highUse: number): number {
    const high = Math.max(0, Math.min(load, 1) - highUse) * highUseSlope;
    return high + Math.max(0, load - 1) * overloadSlope;
}

/**
 * Whether the memory that the tasks are expected to use, this one included, fits. A worker that swaps slows down all of
 * its tasks, so batch work waits for another worker; an empty worker takes any task whose declared size fits.
 */
function hasMemory(pass: PlacementPass, view: WorkerView, added: ExpectedUsage): boolean {
    const expected = pass.memory.views.readExpected(view, pass.memory.usage);
    const limitMib = view.record.capacity.memoryMib * memoryTolerance;
    return view.placed.size === 0 || expected.meanMemoryMib + added.meanMemoryMib <= limitMib;
}

/** Sum of the slowdowns that the task would add to the urgent tasks of the worker. */
function computeAddedUrgentSlowdown(pass: PlacementPass, view: WorkerView, classId: number): number {
    const { slowdowns } = pass.memory;
    let slowdown = 0;
    for (const { classId: other, count } of readPlacedClasses(view, slowdowns).urgent) {
        slowdown += count * slowdowns.estimateAdded(other, classId);
    }
    return slowdown;
}

/** Sum of the slowdowns that the task would add to the tasks of the worker, and they to it, weighted by class. */
function computeSlowdownCost(pass: PlacementPass, view: WorkerView, task: TaskView, classId: number): number {
    const { settings, slowdowns } = pass.memory;
    const { urgent, batch } = readPlacedClasses(view, slowdowns);
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
function computeCost(
    pass: PlacementPass,
    view: WorkerView,
    task: TaskView,
    added: ExpectedUsage,
    classId: number,
): number {
    const { settings, views, usage } = pass.memory;
    const highUse = settings.highUsePercent / 100;
    const expected = views.readExpected(view, usage);
    const cpuLoad = (expected.milliCpu + added.milliCpu) / Math.max(1, view.record.capacity.milliCpu);
    const memoryLoad = (expected.memoryMib + added.memoryMib) / Math.max(1, view.record.capacity.memoryMib);
    const loadCost = (settings.tailLatencyWeight + settings.batchThroughputWeight)
        * (computeLoadCost(cpuLoad, highUse) + computeLoadCost(memoryLoad, highUse));
    const { urgentMilliCpu } = readPlacedClasses(view, pass.memory.slowdowns);
    const urgentLoad = urgentMilliCpu / Math.max(1, view.record.capacity.milliCpu);
    return loadCost + computeSlowdownCost(pass, view, task, classId) + (isUrgent(task)
        ? settings.tailLatencyWeight * (headroomCost * cpuLoad - urgentPackingGain * urgentLoad)
        : -settings.batchThroughputWeight * batchPackingGain * cpuLoad);
}

/** The costs of a work in this pass; added without values at the first call. */
export function findWorkCosts(pass: PlacementPass, task: TaskView): WorkCosts {
    let known = pass.costs.get(task.work);
    if (known === undefined) {
        known = {
            added: pass.memory.usage.estimateUsage(task),
            classId: pass.memory.slowdowns.findClassId(task.interferenceClass),
            versions: new Int32Array(pass.usable.length),
            costs: new Float64Array(pass.usable.length),
            addedSlowdowns: new Float64Array(pass.usable.length),
        };
        pass.costs.set(task.work, known);
    }
    return known;
}

/** Recomputes the costs of one worker if they belong to an earlier version of its view. */
export function updateWorkCosts(
    pass: PlacementPass,
    known: WorkCosts,
    position: number,
    view: WorkerView,
    task: TaskView,
): void {
    if (known.versions[position] !== view.version) {
        known.versions[position] = view.version;
        known.costs[position] = computeCost(pass, view, task, known.added, known.classId);
        known.addedSlowdowns[position] = isUrgent(task) || hasMemory(pass, view, known.added)
            ? pass.memory.settings.tailLatencyWeight * computeAddedUrgentSlowdown(pass, view, known.classId)
            : Infinity;
    }
}
