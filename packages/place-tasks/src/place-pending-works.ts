import type { Resources, TaskClass, TaskRecord } from "@chestnutspool/types";
import { chooseWorker } from "./choose-worker.js";
import { computeAddedSlowdownLimit } from "./order-works.js";
import type { PendingWork } from "./pending-works.js";
import { isUrgent, type PlacementPass } from "./placement-pass.js";
import { reclaimSpace } from "./reclaim-space.js";
import { addPlacedTask, buildTaskView, getTaskClass, readPlacedClasses, type TaskView } from "./worker-views.js";

/** Largest numbers of tasks for which a pass reclaims space; each search visits the tasks of all workers. */
const urgentReclaimsPerPass = 16;
const batchReclaimsPerPass = 4;
/** Time that a batch task waits for space to become free without evictions, in milliseconds. */
const batchReclaimDelayMs = 10_000;

/**
 * Share of the cluster that batch work leaves free when only tail latency has a weight, in percent. Without it
 * each urgent start in a full cluster costs an eviction, and a burst of starts waits for the eviction budget.
 */
const largestHeadroomPercent = 10;
/** Wait after which a batch task may use the headroom, in milliseconds; otherwise a large task might never start. */
const headroomWaitLimitMs = 600_000;

/** Largest number of batch tasks that a pass places, so that a backlog of them does not delay the next urgent task. */
const batchPlacementsPerPass = 400;
/** Largest number of unplaced tasks of one work for which space may be reclaimed in one pass. */
const reclaimsPerWork = 8;
/**
 * Time after which a batch work that could not be placed is retried, in milliseconds; its slack changes over minutes.
 */
const batchRetryMs = 1_000;
/** Time after which reclaiming space for an urgent work is retried, in milliseconds. */
const urgentReclaimRetryMs = 250;

/** Share of the eviction budget that is reserved for urgent tasks, in percent. */
const reservedBudgetPercent = 20;

/** A pending task with the view of it that placement uses. */
interface WaitingTask {
    readonly task: TaskRecord;
    readonly taskView: TaskView;
}

/** A work with pending tasks. */
interface WaitingWork {
    readonly work: PendingWork;
    /** Weighted slowdown that a task may add to the urgent tasks of the worker where it starts. */
    readonly addedSlowdownLimit: number;
    /** Position of the first task that was not tried yet. */
    next: number;
}

/** Progress of one pass: sizes that fit nowhere, and the number of batch tasks that may still be placed. */
interface PassProgress {
    /** Sizes for which no worker had room, by class; a task that is at least as large need not be tried. */
    readonly unfitUrgentSizes: Resources[];
    readonly unfitBatchSizes: Resources[];
    batchPlacementsLeft: number;
}

type PlaceResult = "placed" | "noRoom" | "waits";

function isAtLeast(left: Resources, right: Resources): boolean {
    return left.milliCpu >= right.milliCpu && left.memoryMib >= right.memoryMib
        && left.accelerators >= right.accelerators;
}

function buildWaitingTask({ work }: WaitingWork, task: TaskRecord): WaitingTask {
    return { task, taskView: buildTaskView(task.id, work.spec, work.spec.resources) };
}

/** Places a task on a worker that has room and whose urgent tasks it does not slow down beyond the limit. */
function placeTask(
    pass: PlacementPass,
    { task, taskView }: WaitingTask,
    addedSlowdownLimit: number,
    progress: PassProgress,
): PlaceResult {
    const urgent = isUrgent(taskView);
    const sizes = urgent ? progress.unfitUrgentSizes : progress.unfitBatchSizes;
    const hasClaim = pass.memory.claims.findByTask(task.id) !== undefined;
    if (!hasClaim && sizes.some(size => isAtLeast(taskView.resources, size))) {
        return "noRoom";
    }
    if (
        !urgent
        && (progress.batchPlacementsLeft === 0 || pass.nowMs < (pass.memory.placementRetryAtMs.get(task.work) ?? 0))
    ) {
        return "waits";
    }
    const choice = chooseWorker(pass, taskView, addedSlowdownLimit);
    switch (choice.kind) {
        case "noRoom":
            sizes.push(taskView.resources);
            return "noRoom";
        case "noMemory":
            pass.memory.placementRetryAtMs.set(task.work, pass.nowMs + batchRetryMs);
            return "noRoom";
        case "deferred":
            pass.memory.placementRetryAtMs.set(task.work, pass.nowMs + batchRetryMs);
            return "waits";
        case "found":
            break;
    }
    progress.batchPlacementsLeft -= urgent ? 0 : 1;
    pass.memory.claims.removeClaim(task.id);
    addPlacedTask(choice.view, taskView);
    pass.shares.addUse(taskView.tenant, taskView.resources);
    const worker = choice.view.record.id;
    pass.addDecision({ kind: "placeTask", task: task.id, worker, previousToken: task.token });
    return "placed";
}

/** The works of a class. Their tasks that have a claim come first, because space was freed for them. */
function listWaitingWorks(pass: PlacementPass, works: readonly PendingWork[], taskClass: TaskClass): WaitingWork[] {
    const { claims, settings, runTimes } = pass.memory;
    const hasClaim = (task: TaskRecord): boolean => claims.findByTask(task.id) !== undefined;
    return works.filter(({ spec }) => getTaskClass(spec.kind) === taskClass).map(work => {
        const sorted = claims.hasClaims() && work.tasks.some(hasClaim)
            ? {
                ...work,
                tasks: [...work.tasks].sort((left, right) => Number(hasClaim(right)) - Number(hasClaim(left))),
            }
            : work;
        return {
            work: sorted,
            addedSlowdownLimit: computeAddedSlowdownLimit(settings, work, runTimes, pass.nowMs),
            next: 0,
        };
    });
}

/** Unplaced tasks of a work, at most as many as space may be reclaimed for. */
function listUnplacedTasks(waiting: WaitingWork): WaitingTask[] {
    const { work, next } = waiting;
    return work.tasks.slice(next, next + reclaimsPerWork).map(task => buildWaitingTask(waiting, task));
}

/** Places tasks within the quotas; returns the works that would borrow and the tasks for which there was no room. */
function placeWithinQuota(pass: PlacementPass, works: readonly WaitingWork[], progress: PassProgress) {
    const borrowers: WaitingWork[] = [];
    const headroomShare = works.length === 0 ? 0 : computeHeadroomShare(pass);
    const unplaced: WaitingTask[] = [];
    for (const waiting of works) {
        const { tenant, resources } = waiting.work.spec;
        // The tasks of a work have the same size; if one cannot be placed, those after it cannot either.
        for (let task = waiting.work.tasks[0]; task !== undefined; task = waiting.work.tasks[waiting.next]) {
            if (!pass.shares.isWithinQuota(tenant, resources)) {
                borrowers.push(waiting);
                break;
            }
            const item = buildWaitingTask(waiting, task);
            const result = isWithinHeadroomLimit(pass, item, headroomShare)
                ? placeTask(pass, item, waiting.addedSlowdownLimit, progress)
                : "noRoom";
            if (result !== "placed") {
                unplaced.push(...result === "noRoom" ? listUnplacedTasks(waiting) : []);
                break;
            }
            waiting.next += 1;
        }
    }
    return { borrowers, unplaced };
}

/** Share of the cluster that batch work leaves free; 0 where that is too small for the largest placed urgent task. */
function computeHeadroomShare(pass: PlacementPass): number {
    const { settings, slowdowns } = pass.memory;
    const { tailLatencyWeight, batchThroughputWeight } = settings;
    const weights = tailLatencyWeight + batchThroughputWeight;
    const share = weights > 0 ? largestHeadroomPercent / 100 * tailLatencyWeight / weights : 0;
    let largest = 0;
    for (const view of pass.usable) {
        largest = Math.max(largest, readPlacedClasses(view, slowdowns).largestUrgentMilliCpu);
    }
    return largest > 0 && pass.shares.capacity.milliCpu * share >= largest ? share : 0;
}

/**
 * Whether the headroom allows a task to start: it allows urgent tasks, tasks that leave the headroom free, and tasks
 * that have waited for `headroomWaitLimitMs` or have a claim.
 */
function isWithinHeadroomLimit(pass: PlacementPass, { task, taskView }: WaitingTask, share: number): boolean {
    const { capacity, free } = pass.shares;
    const waitedMs = pass.nowMs - Math.max(task.createdAtMs, task.endedAtMs ?? 0);
    return isUrgent(taskView) || waitedMs >= headroomWaitLimitMs || pass.memory.claims.findByTask(task.id) !== undefined
        || (free().milliCpu - taskView.resources.milliCpu >= capacity.milliCpu * share
            && free().memoryMib - taskView.resources.memoryMib >= capacity.memoryMib * share);
}

/** The tenant whose weighted borrowed share would be the smallest after its next task. */
function chooseBorrower(pass: PlacementPass, queues: ReadonlyMap<string, readonly WaitingWork[]>): string | undefined {
    let chosen: string | undefined;
    let least = Infinity;
    for (const [tenant, queue] of queues) {
        const next = queue[0]?.work.spec.resources;
        const borrowed = next === undefined ? Infinity : pass.shares.computeBorrowed(tenant, next);
        if (chosen === undefined || borrowed < least) {
            chosen = tenant;
            least = borrowed;
        }
    }
    return chosen;
}

/**
 * Places tasks that borrow, each time from the tenant whose weighted borrowed share would be the smallest. Returns the
 * tasks for which there was no room.
 */
function placeBorrowers(pass: PlacementPass, works: readonly WaitingWork[], progress: PassProgress): WaitingTask[] {
    const queues = new Map<string, WaitingWork[]>();
    for (const waiting of works) {
        const { tenant } = waiting.work.spec;
        const queue = queues.get(tenant) ?? [];
        queue.push(waiting);
        queues.set(tenant, queue);
    }
    const unplaced: WaitingTask[] = [];
    const headroomShare = works.length === 0 ? 0 : computeHeadroomShare(pass);
    for (let tenant = chooseBorrower(pass, queues); tenant !== undefined; tenant = chooseBorrower(pass, queues)) {
        const queue = queues.get(tenant) ?? [];
        const [waiting] = queue;
        const task = waiting?.work.tasks[waiting.next];
        if (waiting === undefined || task === undefined) {
            queue.shift();
            if (queue.length === 0) {
                queues.delete(tenant);
            }
            continue;
        }
        const item = buildWaitingTask(waiting, task);
        const result = isWithinHeadroomLimit(pass, item, headroomShare)
            ? placeTask(pass, item, waiting.addedSlowdownLimit, progress)
            : "waits";
        if (result === "noRoom") {
            unplaced.push(...listUnplacedTasks(waiting));
        }
        waiting.next = result === "placed" ? waiting.next + 1 : waiting.work.tasks.length;
    }
    return unplaced;
}

function reclaimSpaceForTasks(pass: PlacementPass, waiting: readonly WaitingTask[], limit: number): void {
    const reserved = Math.ceil(pass.memory.settings.evictionsPerMinute * reservedBudgetPercent / 100);
    let left = limit;
    for (const { task, taskView } of waiting) {
        const mustWait = !isUrgent(taskView)
            && pass.nowMs - Math.max(task.createdAtMs, task.endedAtMs ?? 0, task.notBeforeMs) < batchReclaimDelayMs;
        const budget = pass.memory.budget.countLeft() - (isUrgent(taskView) ? 0 : reserved);
        if (left === 0 || budget <= 0) {
            return;
        }
        const { claims, reclaimRetryAtMs: reclaimAtMs } = pass.memory;
        const mayTry = !mustWait && pass.nowMs >= (reclaimAtMs.get(task.work) ?? 0);
        if (mayTry && claims.findByTask(task.id) === undefined) {
            left -= 1;
            if (!reclaimSpace(pass, taskView, budget)) {
                reclaimAtMs.set(task.work, pass.nowMs + (isUrgent(taskView) ? urgentReclaimRetryMs : batchRetryMs));
            }
        }
    }
}

/** Removes the times that have passed, and those too far in the future because the wall clock was set back. */
function forgetPastTimes(times: Map<string, number>, nowMs: number): void {
    for (const [work, atMs] of times) {
        if (atMs <= nowMs || atMs > nowMs + batchRetryMs) {
            times.delete(work);
        }
    }
}

/**
 * Places the pending works, which are sorted by urgency, in four tiers: urgent tasks within the quota of their tenant,
 * urgent tasks beyond it, batch tasks within it, batch tasks beyond it. Reclaims space for urgent tasks, and for batch
 * tasks within their quota, for which there was no room.
 */
export function placePendingWorks(pass: PlacementPass, works: readonly PendingWork[]): void {
    const progress: PassProgress = {
        unfitUrgentSizes: [],
        unfitBatchSizes: [],
        batchPlacementsLeft: batchPlacementsPerPass,
    };
    const urgent = placeWithinQuota(pass, listWaitingWorks(pass, works, "latencyCritical"), progress);
    const urgentBorrowers = placeBorrowers(pass, urgent.borrowers, progress);
    reclaimSpaceForTasks(pass, [...urgent.unplaced, ...urgentBorrowers], urgentReclaimsPerPass);
    const batch = placeWithinQuota(pass, listWaitingWorks(pass, works, "batch"), progress);
    reclaimSpaceForTasks(pass, batch.unplaced, batchReclaimsPerPass);
    placeBorrowers(pass, batch.borrowers, progress);
    forgetPastTimes(pass.memory.placementRetryAtMs, pass.nowMs);
    forgetPastTimes(pass.memory.reclaimRetryAtMs, pass.nowMs);
}
