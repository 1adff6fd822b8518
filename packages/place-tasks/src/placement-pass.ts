import type { ClusterState, PlacementSection, Resources, TaskId } from "@chestnutspool/types";
import type { Claims } from "./claims.js";
import type { EvictionBudget } from "./eviction-budget.js";
import type { InFlightDecisions } from "./in-flight-decisions.js";
import type { InterferenceMitigator } from "./mitigate-interference.js";
import type { PlacementDecision } from "./placement-decision.js";
import type { RunTimeModel } from "./run-time-model.js";
import type { SetAsidePolicy } from "./set-aside-policy.js";
import type { SlowdownModel } from "./slowdown-model.js";
import type { TenantShares } from "./tenant-shares.js";
import type { UsageModel } from "./usage-model.js";
import type { WorkCosts } from "./work-costs.js";
import { getTaskClass, type TaskView, type WorkerView, type WorkerViews } from "./worker-views.js";

/** What the placer keeps between passes. */
export interface PlacerMemory {
    readonly settings: PlacementSection;
    readonly inFlight: InFlightDecisions;
    readonly views: WorkerViews;
    readonly claims: Claims;
    readonly budget: EvictionBudget;
    readonly setAside: SetAsidePolicy;
    /** Batch works whose tasks could not be placed, with the time from which placement is retried. */
    readonly placementRetryAtMs: Map<string, number>;
    /** Works for which no space could be reclaimed, with the time from which that is retried. */
    readonly reclaimRetryAtMs: Map<string, number>;
    readonly runTimes: RunTimeModel;
    readonly usage: UsageModel;
    readonly slowdowns: SlowdownModel;
    readonly mitigator: InterferenceMitigator;
}

/** One pass of the placer. */
export interface PlacementPass {
    readonly memory: PlacerMemory;
    readonly state: ClusterState;
    readonly nowMs: number;
    /** Workers that may take a task in this pass. */
    readonly usable: readonly WorkerView[];
    /** Those of them that are on probation and take a single task. */
    readonly probation: ReadonlySet<WorkerView>;
    /** Costs of the workers for a task of a work, computed in this pass. */
    readonly costs: Map<string, WorkCosts>;
    readonly shares: TenantShares;
    readonly addDecision: (decision: PlacementDecision) => void;
}

/** Whether a task counts as urgent. */
export function isUrgent(task: TaskView): boolean {
    return getTaskClass(task.kind) === "latencyCritical";
}

/** Whether a usable worker may still take a task; one on probation may have got its single task in this pass. */
export function isWorkerUsable(pass: PlacementPass, view: WorkerView): boolean {
    return !pass.probation.has(view) || pass.memory.setAside.isUsable(view);
}

/** Whether a worker has room for a task besides the claim of another one. */
export function hasRoomFor(pass: PlacementPass, view: WorkerView, task: TaskView): boolean {
    const { claims } = pass.memory;
    const claim = claims.hasClaims() ? claims.findByWorker(view.record.id) : undefined;
    const blocks = claim !== undefined && claim.task !== task.id && (claim.urgent || !isUrgent(task));
    return hasAmount(view.free, task.resources, blocks ? claim.resources : undefined);
}

function hasAmount(free: Resources, wanted: Resources, claimed: Resources | undefined): boolean {
    return wanted.milliCpu <= free.milliCpu - (claimed?.milliCpu ?? 0)
        && wanted.memoryMib <= free.memoryMib - (claimed?.memoryMib ?? 0)
        && wanted.accelerators <= free.accelerators - (claimed?.accelerators ?? 0);
}

/** Requests the eviction of a task within the budget; false when the budget is used up or the task is unknown. */
export function evictTask(pass: PlacementPass, task: TaskId, reason: string): boolean {
    const record = pass.state.tasks.get(task);
    if (record === undefined || pass.memory.budget.countLeft() === 0) {
        return false;
    }
    pass.memory.budget.recordEviction(pass.nowMs);
    pass.shares.addReclaimed(record.tenant, record.charged);
    pass.addDecision({ kind: "requestEviction", task, token: record.token, reason });
    return true;
}
