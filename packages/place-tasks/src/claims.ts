import type { ClusterState, Resources, TaskId, WorkerId } from "@chestnutspool/types";

/** Time after which a claim ends although its space did not come free, in milliseconds. */
const claimLimitMs = 30_000;

/** Space on a worker that is being cleared for a pending task. */
export interface Claim {
    readonly task: TaskId;
    readonly worker: WorkerId;
    readonly resources: Resources;
    /** A claim of an urgent task holds against all others, one of a batch task only against batch tasks. */
    readonly urgent: boolean;
    readonly sinceMs: number;
}

/** Claims of pending tasks, at most one on each worker. */
export interface Claims {
    readonly updateClaims: (state: ClusterState, nowMs: number) => void;
    readonly addClaim: (claim: Claim) => void;
    readonly removeClaim: (task: TaskId) => void;
    readonly findByTask: (task: TaskId) => Claim | undefined;
    readonly hasClaims: () => boolean;
    readonly findByWorker: (worker: WorkerId) => Claim | undefined;
}

/** Creates an empty list of claims. */
export function createClaims(): Claims {
    const byTask = new Map<TaskId, Claim>();
    const byWorker = new Map<WorkerId, Claim>();
    const removeClaim = (task: TaskId): void => {
        const claim = byTask.get(task);
        if (claim !== undefined) {
            byTask.delete(task);
            byWorker.delete(claim.worker);
        }
    };
    return {
        updateClaims: (state, nowMs) => {
            for (const claim of byTask.values()) {
                const stale = !state.pendingTasks.has(claim.task) || !state.workers.has(claim.worker)
                    || Math.abs(nowMs - claim.sinceMs) >= claimLimitMs;
                if (stale) {
                    removeClaim(claim.task);
                }
            }
        },
        addClaim: claim => {
            byTask.set(claim.task, claim);
            byWorker.set(claim.worker, claim);
        },
        removeClaim,
        findByTask: task => byTask.get(task),
        hasClaims: () => byTask.size > 0,
        findByWorker: worker => byWorker.get(worker),
    };
}
