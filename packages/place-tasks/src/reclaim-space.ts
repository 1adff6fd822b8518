import {
    addResources,
    findShortage,
    type Resources,
    subtractResources,
    type TaskRecord,
    type WorkSpec,
} from "@chestnutspool/types";
import { evictTask, isUrgent, type PlacementPass } from "./placement-pass.js";
import { getTaskClass, type TaskView, type WorkerView } from "./worker-views.js";

/** Run time that an eviction loses besides the work done, in milliseconds: stopping, waiting and starting again. */
const evictionOverheadMs = 10_000;
/** Additional loss for each earlier eviction of a task, in milliseconds, so that the same task is not evicted again. */
const repeatedEvictionMs = 60_000;
/** Share of the checkpoint interval that a watch loses when it is asked for a checkpoint before it stops. */
const watchLossShare = 0.1;

interface Victim {
    readonly task: TaskRecord;
    readonly loss: number;
}

interface ReclaimPlan {
    readonly view: WorkerView;
    readonly victims: readonly Victim[];
    readonly loss: number;
}

/** Processor time that an eviction of the task loses, in core milliseconds. */
export function estimateEvictionLoss(task: TaskRecord, spec: WorkSpec, nowMs: number): number {
    const ranMs = task.startedAtMs === undefined ? 0 : Math.max(0, nowMs - task.startedAtMs);
    const lostMs = spec.kind === "watch" && task.checkpoint !== undefined
        ? Math.min(ranMs, spec.checkpointIntervalMs * watchLossShare)
        : ranMs;
    const overheadMs = evictionOverheadMs + repeatedEvictionMs * task.evictions;
    return (lostMs + overheadMs) * Math.max(1, task.charged.milliCpu) / 1000;
}

/**
 * The task with its loss, if it may be evicted for the claimant: a batch task of another tenant that borrows, or of the
 * same tenant if the claimant is urgent.
 */
function findVictim(pass: PlacementPass, taskView: TaskView, claimant: TaskView): Victim | undefined {
    const own = taskView.tenant === claimant.tenant;
    const allowed = getTaskClass(taskView.kind) === "batch"
        && (own ? isUrgent(claimant) : pass.shares.isBorrowing(taskView.tenant));
    if (!allowed) {
        return undefined;
    }
    const task = pass.state.tasks.get(taskView.id);
    const spec = pass.state.works.get(taskView.work)?.spec;
    const running = task?.phase === "running" || task?.phase === "starting";
    if (task === undefined || spec === undefined || !running || pass.memory.inFlight.hasTask(task.id)) {
        return undefined;
    }
    return { task, loss: estimateEvictionLoss(task, spec, pass.nowMs) };
}

/** Resources of the stopping tasks of a worker, which become free without another eviction. */
function sumStopping(pass: PlacementPass, view: WorkerView): Resources {
    let sum: Resources = { milliCpu: 0, memoryMib: 0, accelerators: 0 };
    for (const id of view.placed.keys()) {
        const task = pass.state.tasks.get(id);
        sum = task?.phase === "stopping" ? addResources(sum, task.charged) : sum;
    }
    return sum;
}

function planVictims(pass: PlacementPass, view: WorkerView, claimant: TaskView): ReclaimPlan | undefined {
    let missing = subtractResources(claimant.resources, addResources(view.free, sumStopping(pass, view)));
    const nothing = { milliCpu: 0, memoryMib: 0, accelerators: 0 };
    const candidates = [...view.placed.values()].flatMap(taskView => findVictim(pass, taskView, claimant) ?? [])
        .sort((left, right) => left.loss - right.loss || (left.task.id < right.task.id ? -1 : 1));
    const victims: Victim[] = [];
    for (const victim of candidates) {
        const shortage = findShortage(missing, nothing);
        if (shortage === undefined) {
            break;
        }
        if (victim.task.charged[shortage] > 0) {
            victims.push(victim);
            missing = subtractResources(missing, victim.task.charged);
        }
    }
    return findShortage(missing, nothing) === undefined
        ? { view, victims, loss: victims.reduce((sum, victim) => sum + victim.loss, 0) }
        : undefined;
}

/**
 * Reclaims space for a pending task on the worker where evictions of batch tasks lose least, and claims the space. Does
 * nothing when no worker can make room or when that worker needs more than `evictionLimit` evictions. Returns whether a
 * claim was made.
 */
export function reclaimSpace(pass: PlacementPass, claimant: TaskView, evictionLimit: number): boolean {
    const { claims } = pass.memory;
    let best: ReclaimPlan | undefined;
    for (const view of pass.usable) {
        if (pass.probation.has(view) || claims.findByWorker(view.record.id) !== undefined) {
            continue;
        }
        const plan = planVictims(pass, view, claimant);
        if (plan !== undefined && plan.loss < (best?.loss ?? Infinity)) {
            best = plan;
        }
    }
    if (best === undefined || best.victims.length > evictionLimit) {
        return false;
    }
    claims.addClaim({
        task: claimant.id,
        worker: best.view.record.id,
        resources: claimant.resources,
        urgent: isUrgent(claimant),
        sinceMs: pass.nowMs,
    });
    for (const { task } of best.victims) {
        evictTask(pass, task.id, `space on ${best.view.record.id} is taken back for ${claimant.id}`);
    }
    return true;
}
