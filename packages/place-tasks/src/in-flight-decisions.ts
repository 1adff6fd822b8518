import type { ClusterState, TaskId, WorkerId } from "@chestnutspool/types";
import type { PlacementDecision } from "./placement-decision.js";

/**
 * Time after which a decision that is not visible in the state counts as refused, in milliseconds. A commit takes a few
 * milliseconds; a repeated decision is refused because of its token, so a short time is safe and keeps urgent starts
 * fast.
 */
export const decisionTimeoutMs = 500;

interface InFlightDecision {
    readonly decision: PlacementDecision;
    readonly atMs: number;
}

/** Decisions that were returned to the caller and are not visible in the state yet. */
export interface InFlightDecisions {
    readonly hasTask: (task: TaskId) => boolean;
    readonly hasWorker: (worker: WorkerId) => boolean;
    readonly addDecision: (decision: PlacementDecision, nowMs: number) => void;
    /** Removes the decisions that are applied, superseded or timed out, and returns them. */
    readonly dropSettled: (state: ClusterState, nowMs: number) => readonly PlacementDecision[];
    /** Worker on which a placement in flight starts the task; `undefined` without one. */
    readonly findPlacement: (task: TaskId) => WorkerId | undefined;
    readonly listPlacements: () => readonly Extract<PlacementDecision, { kind: "placeTask"; }>[];
}

function formatDecisionKey(decision: PlacementDecision): string {
    return decision.kind === "setAsideWorker" ? `worker:${decision.worker}` : `task:${decision.task}`;
}

function isSettled(decision: PlacementDecision, state: ClusterState): boolean {
    if (decision.kind === "setAsideWorker") {
        const worker = state.workers.get(decision.worker);
        return worker === undefined || (worker.admission === "setAside") === decision.setAside;
    }
    const task = state.tasks.get(decision.task);
    if (task === undefined) {
        return true;
    }
    switch (decision.kind) {
        case "placeTask":
            return task.phase !== "pending" || task.token !== decision.previousToken;
        case "rejectTask":
            return task.phase !== "pending";
        case "requestEviction":
            return task.token !== decision.token || (task.phase !== "running" && task.phase !== "starting");
        case "throttleTask":
            return task.token !== decision.token || task.throttlePercent === decision.percent;
    }
}

/** Creates an empty list of decisions in flight. */
export function createInFlightDecisions(): InFlightDecisions {
    const decisions = new Map<string, InFlightDecision>();
    return {
        hasTask: task => decisions.has(`task:${task}`),
        hasWorker: worker => decisions.has(`worker:${worker}`),
        addDecision: (decision, nowMs) => {
            decisions.set(formatDecisionKey(decision), { decision, atMs: nowMs });
        },
        dropSettled: (state, nowMs) => {
            const dropped: PlacementDecision[] = [];
            for (const [key, { decision, atMs }] of decisions) {
                // The wall clock may be set back, so the absolute difference is compared.
                if (Math.abs(nowMs - atMs) >= decisionTimeoutMs || isSettled(decision, state)) {
                    decisions.delete(key);
                    dropped.push(decision);
                }
            }
            return dropped;
        },
        findPlacement: task => {
            const decision = decisions.get(`task:${task}`)?.decision;
            return decision?.kind === "placeTask" ? decision.worker : undefined;
        },
        listPlacements: () =>
            [...decisions.values()].flatMap(({ decision }) => decision.kind === "placeTask" ? [decision] : []),
    };
}
