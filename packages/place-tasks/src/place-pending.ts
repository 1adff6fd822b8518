import { resourceNames, type Resources, type TaskRecord } from "@chestnutspool/types";
import { chooseWorker } from "./choose-worker.js";
import { computeHarmLimit } from "./order-works.js";
import { isUrgent, type Pass } from "./pass.js";
import type { PendingWork } from "./pending.js";
import { reclaimSpace } from "./reclaim.js";
import { addSeatedTask, buildSeatedTask, findTaskClass, readSeatedClasses, type SeatedTask } from "./worker-views.js";

/** Tasks for which a pass takes back space at most; clearing a worker looks at all of its tasks. */
const reclaimsPerPass = 4;
/** Time that a batch task waits for space that comes free by itself before it takes some back, in milliseconds. */
const batchPatienceMs = 10_000;

/**
 * Share of the cluster that borrowing batch work leaves free when only tail latency has a weight, in percent. Without it
 * each urgent start in a full cluster costs an eviction, and a burst of starts waits for the eviction budget.
 */
const largestHeadroomPercent = 10;
/** Wait after which a borrowing task may use the headroom, in milliseconds; a large task might never start otherwise. */
const headroomPatienceMs = 600_000;

interface Waiting {
    readonly task: TaskRecord;
    readonly seated: SeatedTask;
    /** Weighted slowdown that the task may add to urgent ones where it starts. */
    readonly harmLimit: number;
}

/** Sizes that did not fit anywhere in this pass, by class; what is at least as large need not be tried. */
interface FailedSizes {
    readonly urgent: Resources[];
    readonly batch: Resources[];
    /** Works whose tasks wait, because they would slow urgent tasks down too much wherever they fit. */
    readonly deferredWorks: Set<string>;
    /** Works whose tasks find no worker with enough memory beside what its tasks really use. */
    readonly worksWithoutMemory: Set<string>;
}

function isAtLeast(left: Resources, right: Resources): boolean {
    return resourceNames.every(name => left[name] >= right[name]);
}

type PlaceResult = "placed" | "noRoom" | "deferred";

/** Places a task if it fits and harms no urgent task too much. */
function placeTask(pass: Pass, { task, seated, harmLimit }: Waiting, failed: FailedSizes): PlaceResult {
    const sizes = isUrgent(seated) ? failed.urgent : failed.batch;
    const hasClaim = pass.memory.claims.findByTask(task.id) !== undefined;
    if (!hasClaim && sizes.some(size => isAtLeast(seated.resources, size))) {
        return "noRoom";
    }
    if (failed.worksWithoutMemory.has(task.work)) {
        return "noRoom";
    }
    const choice = failed.deferredWorks.has(task.work)
        ? { kind: "deferred" as const }
        : chooseWorker(pass, seated, harmLimit);
    switch (choice.kind) {
        case "noRoom":
            sizes.push(seated.resources);
            return "noRoom";
        case "noMemory":
            failed.worksWithoutMemory.add(task.work);
            return "noRoom";
        case "deferred":
            failed.deferredWorks.add(task.work);
            return "deferred";
        case "found":
            break;
    }
    const { view } = choice;
    pass.memory.claims.removeClaim(task.id);
    addSeatedTask(view, seated);
    pass.shares.addUse(seated.tenant, seated.resources);
    pass.addDecision({ kind: "placeTask", task: task.id, worker: view.record.id, previousToken: task.token });
    return "placed";
}

function listWaiting(pass: Pass, works: readonly PendingWork[]): Waiting[] {
    return works.flatMap(work => {
        const harmLimit = computeHarmLimit(pass.memory.settings, work, pass.memory.runTimes, pass.nowMs);
        return work.tasks.map(task => ({
            task,
            seated: buildSeatedTask(task.id, work.spec, work.spec.resources),
            harmLimit,
        }));
    });
}

/** Places what stays within the quotas; returns the tasks that would borrow and those that found no room. */
function placeWithinQuota(pass: Pass, waiting: readonly Waiting[], failed: FailedSizes) {
    const borrowers: Waiting[] = [];
    const unplaced: Waiting[] = [];
    for (const item of waiting) {
        if (!pass.shares.isWithinQuota(item.seated.tenant, item.seated.resources)) {
            borrowers.push(item);
        }
        else if (placeTask(pass, item, failed) === "noRoom") {
            unplaced.push(item);
        }
    }
    return { borrowers, unplaced };
}

/** Share of the cluster that borrowing batch work leaves free; none in a cluster without urgent tasks. */
function computeHeadroomShare(pass: Pass): number {
    const { settings, slowdowns } = pass.memory;
    const { tailLatencyWeight, batchThroughputWeight } = settings;
    const weights = tailLatencyWeight + batchThroughputWeight;
    const hasUrgent = pass.usable.some(view => readSeatedClasses(view, slowdowns).urgent.length > 0);
    return hasUrgent && weights > 0 ? largestHeadroomPercent / 100 * tailLatencyWeight / weights : 0;
}

/** Whether the headroom is left when the task starts, or the task has waited too long for it. */
function keepsHeadroom(pass: Pass, { task, seated }: Waiting, share: number): boolean {
    const { capacity, free } = pass.shares;
    const waitedMs = pass.nowMs - Math.max(task.createdAtMs, task.endedAtMs ?? 0);
    return isUrgent(seated) || waitedMs >= headroomPatienceMs
        || (free().milliCpu - seated.resources.milliCpu >= capacity.milliCpu * share
            && free().memoryMib - seated.resources.memoryMib >= capacity.memoryMib * share);
}

/** Places borrowing tasks, always of the tenant that would have borrowed least; returns those that found no room. */
function placeBorrowers(pass: Pass, waiting: readonly Waiting[], failed: FailedSizes): Waiting[] {
    const queues = new Map<string, Waiting[]>();
    for (const item of [...waiting].reverse()) {
        const queue = queues.get(item.seated.tenant) ?? [];
        queue.push(item);
        queues.set(item.seated.tenant, queue);
    }
    const unplaced: Waiting[] = [];
    const headroomShare = computeHeadroomShare(pass);
    while (queues.size > 0) {
        let chosen: { readonly tenant: string; readonly queue: Waiting[]; readonly borrowed: number; } | undefined;
        for (const [tenant, queue] of queues) {
            const next = queue.at(-1);
            const borrowed = next === undefined ? Infinity : pass.shares.computeBorrowed(tenant, next.seated.resources);
            if (chosen === undefined || borrowed < chosen.borrowed) {
                chosen = { tenant, queue, borrowed };
            }
        }
        const item = chosen?.queue.pop();
        if (chosen === undefined || item === undefined) {
            break;
        }
        if (chosen.queue.length === 0) {
            queues.delete(chosen.tenant);
        }
        if (keepsHeadroom(pass, item, headroomShare) && placeTask(pass, item, failed) === "noRoom") {
            unplaced.push(item);
        }
    }
    return unplaced;
}

function reclaimFor(pass: Pass, waiting: readonly Waiting[]): void {
    let left = reclaimsPerPass;
    for (const { task, seated } of waiting) {
        const patient = !isUrgent(seated)
            && pass.nowMs - Math.max(task.createdAtMs, task.endedAtMs ?? 0, task.notBeforeMs) < batchPatienceMs;
        if (left === 0 || pass.memory.budget.countLeft() === 0) {
            return;
        }
        if (!patient && pass.memory.claims.findByTask(task.id) === undefined) {
            reclaimSpace(pass, seated);
            left -= 1;
        }
    }
}

/**
 * Places the pending works, which are sorted by urgency, in four tiers: urgent tasks within the quota of their tenant,
 * urgent tasks beyond it, batch tasks within it, batch tasks beyond it. Then takes back space for urgent tasks and for
 * batch tasks within their quota that found no room.
 */
export function placePending(pass: Pass, works: readonly PendingWork[]): void {
    const failed: FailedSizes = { urgent: [], batch: [], deferredWorks: new Set(), worksWithoutMemory: new Set() };
    const listClass = (name: "latencyCritical" | "batch"): Waiting[] =>
        listWaiting(pass, works.filter(({ spec }) => findTaskClass(spec.kind) === name));
    const urgent = placeWithinQuota(pass, listClass("latencyCritical"), failed);
    const urgentBorrowers = placeBorrowers(pass, urgent.borrowers, failed);
    reclaimFor(pass, [...urgent.unplaced, ...urgentBorrowers]);
    const batch = placeWithinQuota(pass, listClass("batch"), failed);
    reclaimFor(pass, batch.unplaced);
    placeBorrowers(pass, batch.borrowers, failed);
}
