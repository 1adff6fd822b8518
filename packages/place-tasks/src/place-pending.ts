import type { Resources, TaskClass, TaskRecord } from "@chestnutspool/types";
import { chooseWorker } from "./choose-worker.js";
import { computeAddedSlowdownLimit } from "./order-works.js";
import { isUrgent, type PlacementPass } from "./pass.js";
import type { PendingWork } from "./pending.js";
import { reclaimSpace } from "./reclaim.js";
import { addPlacedTask, buildTaskView, getTaskClass, readPlacedClasses, type TaskView } from "./worker-views.js";

/** Tasks for which a pass takes back space at most; the search looks at the tasks of all workers. */
const urgentReclaimsPerPass = 16;
const batchReclaimsPerPass = 4;
/** Time that a batch task waits for space that comes free by itself before it takes some back, in milliseconds. */
const batchPatienceMs = 10_000;

/**
 * Share of the cluster that batch work leaves free when only tail latency has a weight, in percent. Without it
 * each urgent start in a full cluster costs an eviction, and a burst of starts waits for the eviction budget.
 */
const largestHeadroomPercent = 10;
/** Wait after which a batch task may use the headroom, in milliseconds; a large task might never start otherwise. */
const headroomPatienceMs = 600_000;

/** Batch tasks that a pass places at most, so that a flood of them does not hold up the next urgent task. */
const batchPlacementsPerPass = 400;
/** Unplaced tasks of one work for which space may be taken back in one pass. */
const unplacedPerWork = 8;
/** Time after which batch work that found no place is tried again, in milliseconds; its slack changes in minutes. */
const retryMs = 1_000;
/** Time after which an urgent work that could not take back space tries again, in milliseconds. */
const urgentReclaimRetryMs = 250;

/** Share of the eviction budget that batch work leaves to urgent tasks, in percent. */
const reservedBudgetPercent = 20;

interface Waiting {
    readonly task: TaskRecord;
    readonly taskView: TaskView;
}

/** A work of which some tasks wait. */
interface WaitingWork {
    readonly work: PendingWork;
    /** Weighted slowdown that a task may add to urgent ones where it starts. */
    readonly addedSlowdownLimit: number;
    /** Position of the first task that was not tried yet. */
    next: number;
}

/** What one pass has found so far. */
interface Attempts {
    /** Sizes that did not fit anywhere, by class; what is at least as large need not be tried. */
    readonly urgentSizes: Resources[];
    readonly batchSizes: Resources[];
    batchLeft: number;
}

type PlaceResult = "placed" | "noRoom" | "waits";

function isAtLeast(left: Resources, right: Resources): boolean {
    return left.milliCpu >= right.milliCpu && left.memoryMib >= right.memoryMib
        && left.accelerators >= right.accelerators;
}

function buildWaiting({ work }: WaitingWork, task: TaskRecord): Waiting {
    return { task, taskView: buildTaskView(task.id, work.spec, work.spec.resources) };
}

/** Places a task if it fits and harms no urgent task too much. */
function placeTask(
    pass: PlacementPass,
    { task, taskView }: Waiting,
    addedSlowdownLimit: number,
    attempts: Attempts,
): PlaceResult {
    const urgent = isUrgent(taskView);
    const sizes = urgent ? attempts.urgentSizes : attempts.batchSizes;
    const hasClaim = pass.memory.claims.findByTask(task.id) !== undefined;
    if (!hasClaim && sizes.some(size => isAtLeast(taskView.resources, size))) {
        return "noRoom";
    }
    if (!urgent && (attempts.batchLeft === 0 || pass.nowMs < (pass.memory.retryAtMs.get(task.work) ?? 0))) {
        return "waits";
    }
    const choice = chooseWorker(pass, taskView, addedSlowdownLimit);
    switch (choice.kind) {
        case "noRoom":
            sizes.push(taskView.resources);
            return "noRoom";
        case "noMemory":
            pass.memory.retryAtMs.set(task.work, pass.nowMs + retryMs);
            return "noRoom";
        case "deferred":
            pass.memory.retryAtMs.set(task.work, pass.nowMs + retryMs);
            return "waits";
        case "found":
            break;
    }
    attempts.batchLeft -= urgent ? 0 : 1;
    pass.memory.claims.removeClaim(task.id);
    addPlacedTask(choice.view, taskView);
    pass.shares.addUse(taskView.tenant, taskView.resources);
    const worker = choice.view.record.id;
    pass.addDecision({ kind: "placeTask", task: task.id, worker, previousToken: task.token });
    return "placed";
}

/** The works of a class with their tasks; those that claim space come first, because it was cleared for them. */
function listWaitingWorks(pass: PlacementPass, works: readonly PendingWork[], name: TaskClass): WaitingWork[] {
    const { claims, settings, runTimes } = pass.memory;
    const hasClaim = (task: TaskRecord): boolean => claims.findByTask(task.id) !== undefined;
    return works.filter(({ spec }) => getTaskClass(spec.kind) === name).map(work => {
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

/** Tasks of a work that found no room, as many as may take back space. */
function listUnplaced(waiting: WaitingWork): Waiting[] {
    const { work, next } = waiting;
    return work.tasks.slice(next, next + unplacedPerWork).map(task => buildWaiting(waiting, task));
}

/** Places what stays within the quotas; returns the works that would borrow and tasks that found no room. */
function placeWithinQuota(pass: PlacementPass, works: readonly WaitingWork[], attempts: Attempts) {
    const borrowers: WaitingWork[] = [];
    const headroomShare = works.length === 0 ? 0 : computeHeadroomShare(pass);
    const unplaced: Waiting[] = [];
    for (const waiting of works) {
        const { tenant, resources } = waiting.work.spec;
        // The tasks of a work are alike, so that what holds for one holds for those after it.
        for (let task = waiting.work.tasks[0]; task !== undefined; task = waiting.work.tasks[waiting.next]) {
            if (!pass.shares.isWithinQuota(tenant, resources)) {
                borrowers.push(waiting);
                break;
            }
            const item = buildWaiting(waiting, task);
            const result = keepsHeadroom(pass, item, headroomShare)
                ? placeTask(pass, item, waiting.addedSlowdownLimit, attempts)
                : "noRoom";
            if (result !== "placed") {
                unplaced.push(...result === "noRoom" ? listUnplaced(waiting) : []);
                break;
            }
            waiting.next += 1;
        }
    }
    return { borrowers, unplaced };
}

/** Share of the cluster that batch work leaves free; none where it could not hold the largest urgent task that runs. */
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

/** Whether the headroom is left when the task starts, or the task has waited too long for it or took back its space. */
function keepsHeadroom(pass: PlacementPass, { task, taskView }: Waiting, share: number): boolean {
    const { capacity, free } = pass.shares;
    const waitedMs = pass.nowMs - Math.max(task.createdAtMs, task.endedAtMs ?? 0);
    return isUrgent(taskView) || waitedMs >= headroomPatienceMs || pass.memory.claims.findByTask(task.id) !== undefined
        || (free().milliCpu - taskView.resources.milliCpu >= capacity.milliCpu * share
            && free().memoryMib - taskView.resources.memoryMib >= capacity.memoryMib * share);
}

/** The tenant that would have borrowed least after its next task. */
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

/** Places borrowing tasks, always of the tenant that would have borrowed least; returns tasks that found no room. */
function placeBorrowers(pass: PlacementPass, works: readonly WaitingWork[], attempts: Attempts): Waiting[] {
    const queues = new Map<string, WaitingWork[]>();
    for (const waiting of works) {
        const { tenant } = waiting.work.spec;
        const queue = queues.get(tenant) ?? [];
        queue.push(waiting);
        queues.set(tenant, queue);
    }
    const unplaced: Waiting[] = [];
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
        const item = buildWaiting(waiting, task);
        const result = keepsHeadroom(pass, item, headroomShare)
            ? placeTask(pass, item, waiting.addedSlowdownLimit, attempts)
            : "waits";
        if (result === "noRoom") {
            unplaced.push(...listUnplaced(waiting));
        }
        waiting.next = result === "placed" ? waiting.next + 1 : waiting.work.tasks.length;
    }
    return unplaced;
}

function reclaimFor(pass: PlacementPass, waiting: readonly Waiting[], limit: number): void {
    const reserved = Math.ceil(pass.memory.settings.evictionsPerMinute * reservedBudgetPercent / 100);
    let left = limit;
    for (const { task, taskView } of waiting) {
        const patient = !isUrgent(taskView)
            && pass.nowMs - Math.max(task.createdAtMs, task.endedAtMs ?? 0, task.notBeforeMs) < batchPatienceMs;
        const budget = pass.memory.budget.countLeft() - (isUrgent(taskView) ? 0 : reserved);
        if (left === 0 || budget <= 0) {
            return;
        }
        const { claims, reclaimAtMs } = pass.memory;
        const mayTry = !patient && pass.nowMs >= (reclaimAtMs.get(task.work) ?? 0);
        if (mayTry && claims.findByTask(task.id) === undefined) {
            left -= 1;
            if (!reclaimSpace(pass, taskView, budget)) {
                reclaimAtMs.set(task.work, pass.nowMs + (isUrgent(taskView) ? urgentReclaimRetryMs : retryMs));
            }
        }
    }
}

/** Forgets the times that have come, and those that a wall clock set back has moved too far away. */
function forgetPast(times: Map<string, number>, nowMs: number): void {
    for (const [work, atMs] of times) {
        if (atMs <= nowMs || atMs > nowMs + retryMs) {
            times.delete(work);
        }
    }
}

/**
 * Places the pending works, which are sorted by urgency, in four tiers: urgent tasks within the quota of their tenant,
 * urgent tasks beyond it, batch tasks within it, batch tasks beyond it. Then takes back space for urgent tasks and for
 * batch tasks within their quota that found no room.
 */
export function placePending(pass: PlacementPass, works: readonly PendingWork[]): void {
    const attempts: Attempts = { urgentSizes: [], batchSizes: [], batchLeft: batchPlacementsPerPass };
    const urgent = placeWithinQuota(pass, listWaitingWorks(pass, works, "latencyCritical"), attempts);
    const urgentBorrowers = placeBorrowers(pass, urgent.borrowers, attempts);
    reclaimFor(pass, [...urgent.unplaced, ...urgentBorrowers], urgentReclaimsPerPass);
    const batch = placeWithinQuota(pass, listWaitingWorks(pass, works, "batch"), attempts);
    reclaimFor(pass, batch.unplaced, batchReclaimsPerPass);
    placeBorrowers(pass, batch.borrowers, attempts);
    forgetPast(pass.memory.retryAtMs, pass.nowMs);
    forgetPast(pass.memory.reclaimAtMs, pass.nowMs);
}
