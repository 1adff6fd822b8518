import type { ClusterState, WorkerId, WorkerRecord } from "@chestnutspool/types";
import type { PlacementDecision } from "./decision.js";
import type { InFlightDecisions } from "./in-flight.js";
import type { WorkerView } from "./worker-views.js";

/** Starts that fail in a row before a worker is set aside; fewer would punish a worker for one bad job. */
export const failuresBeforeSetAside = 3;
/** Time until the first probe of a worker that was set aside, in milliseconds. */
const firstProbeMs = 30_000;
/** Longest time between probes, in milliseconds. */
const longestProbeMs = 30 * 60_000;
/** Share of the workers that may be set aside; a job that fails everywhere must not take the cluster out of use. */
const setAsideLimitPercent = 25;

interface SetAsideRecord {
    readonly sinceMs: number;
    readonly waitMs: number;
    readonly failuresInRow: number;
    readonly incarnation: string;
}

/** Sets aside workers whose starts fail in a row and probes them with one task after a growing time. */
export interface SetAsidePolicy {
    readonly planSetAside: (
        state: ClusterState,
        inFlight: InFlightDecisions,
        nowMs: number,
    ) => readonly PlacementDecision[];
}

/** Whether a worker may take one more task: it is open, and one on probation holds a single task. */
export function isWorkerUsable(view: WorkerView): boolean {
    return view.record.admission === "open"
        && (view.record.failuresInRow < failuresBeforeSetAside || view.seated.size === 0);
}

/** Creates the policy without any record. */
export function createSetAsidePolicy(): SetAsidePolicy {
    const records = new Map<WorkerId, SetAsideRecord>();

    function planWorker(worker: WorkerRecord, mayAdd: boolean, nowMs: number): PlacementDecision | undefined {
        const known = records.get(worker.id);
        const record = known?.incarnation === worker.incarnation ? known : undefined;
        if (worker.admission === "setAside") {
            if (record === undefined) {
                // Set aside by an operator or an earlier leader; the first probe comes after the first wait.
                const { failuresInRow, incarnation } = worker;
                records.set(worker.id, { sinceMs: nowMs, waitMs: firstProbeMs, failuresInRow, incarnation });
                return undefined;
            }
            return worker.failuresInRow > 0 && Math.abs(nowMs - record.sinceMs) >= record.waitMs
                ? { kind: "setAsideWorker", worker: worker.id, setAside: false }
                : undefined;
        }
        if (worker.failuresInRow === 0) {
            records.delete(worker.id);
            return undefined;
        }
        const failedAgain = worker.failuresInRow >= failuresBeforeSetAside
            && worker.failuresInRow > (record?.failuresInRow ?? 0);
        if (worker.admission !== "open" || !failedAgain || !mayAdd) {
            return undefined;
        }
        records.set(worker.id, {
            sinceMs: nowMs,
            waitMs: record === undefined ? firstProbeMs : Math.min(longestProbeMs, record.waitMs * 2),
            failuresInRow: worker.failuresInRow,
            incarnation: worker.incarnation,
        });
        return { kind: "setAsideWorker", worker: worker.id, setAside: true };
    }

    return {
        planSetAside: (state, inFlight, nowMs) => {
            const decisions: PlacementDecision[] = [];
            const limit = Math.floor(state.workers.size * setAsideLimitPercent / 100);
            let setAside = 0;
            for (const worker of state.workers.values()) {
                setAside += worker.admission === "setAside" ? 1 : 0;
            }
            for (const worker of state.workers.values()) {
                if (inFlight.hasWorker(worker.id)) {
                    continue;
                }
                const decision = planWorker(worker, setAside < limit, nowMs);
                if (decision !== undefined) {
                    decisions.push(decision);
                    setAside += decision.kind === "setAsideWorker" && decision.setAside ? 1 : 0;
                }
            }
            for (const id of records.keys()) {
                if (!state.workers.has(id)) {
                    records.delete(id);
                }
            }
            return decisions;
        },
    };
}
