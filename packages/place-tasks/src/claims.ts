import type { ClusterState, Resources, TaskId, WorkerId } from "@chestnutspool/types";

/** Time after which a claim is dropped even if its space has not become free, in milliseconds. */
const claimTimeoutMs = 30_000;

/** Space on a worker that is reserved for a pending task while the tasks in it are evicted. */
export interface Claim {
    readonly task: TaskId;
    readonly worker: WorkerId;
    readonly resources: Resources;
    /** The claim of an urgent task excludes all other tasks, that of a batch task only other batch tasks. */
    readonly urgent: boolean;
    readonly sinceMs: number;
}

/** Claims of pending tasks, at most one on each worker. */
export interface Claims {
    /** Drops the claims that timed out, and those whose task is no longer pending or whose worker is gone. */
    readonly dropStaleClaims: (state: ClusterState, nowMs: number) => void;
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
        dropStaleClaims: (state, nowMs) => {
            for (const claim of byTask.values()) {
                const stale = !state.pendingTasks.has(claim.task) || !state.workers.has(claim.worker)
                    || Math.abs(nowMs - claim.sinceMs) >= claimTimeoutMs;
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
