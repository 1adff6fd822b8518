import type { ClusterState, WorkerId, WorkerRecord } from "@chestnutspool/types";
import type { InFlightDecisions } from "./in-flight-decisions.js";
import type { PlacementDecision } from "./placement-decision.js";
import type { WorkerView } from "./worker-views.js";

/** Starts that fail in a row before a worker is set aside; with fewer, one faulty job would be enough. */
export const failuresBeforeSetAside = 3;
/** Time until the first probe of a worker that was set aside, in milliseconds. */
const firstProbeMs = 30_000;
/** Longest time between probes, in milliseconds. */
const longestProbeMs = 30 * 60_000;
/** Share of the workers that may be set aside; a job that fails on every worker must not disable the cluster. */
const setAsideLimitPercent = 25;

/** Time without a failure after which the probation of a worker ends, in milliseconds. */
const probationMs = 60_000;
/**
 * Time after a worker was opened again until its record is removed if it was not set aside since, in milliseconds. Its
 * next wait then has the first length again.
 */
const recordLifetimeMs = 30 * 60_000;

interface SetAsideRecord {
    readonly incarnation: string;
    readonly sinceMs: number;
    readonly waitMs: number;
    /**
     * Lowest number of failures in a row since the worker was opened again, and the current number before that; a
     * higher number means a new failure.
     */
    failuresInRow: number;
    /** Time at which the worker was opened again; undefined while it is set aside. */
    reopenedAtMs: number | undefined;
    /** Number of tasks on the worker when it was opened again; on probation it may hold one more. */
    placedAtReopening: number;
    passedProbation: boolean;
}

/** Sets aside workers whose starts fail in a row, and probes them with one task after waits that grow. */
export interface SetAsidePolicy {
    readonly planSetAside: (
        state: ClusterState,
        inFlight: InFlightDecisions,
        nowMs: number,
    ) => readonly PlacementDecision[];
    /** Whether a worker may take one more task. */
    readonly isUsable: (view: WorkerView) => boolean;
    /** Whether a worker may hold only a single new task, as a probe. */
    readonly isOnProbation: (view: WorkerView) => boolean;
}

/** Creates the policy without any record. */
export function createSetAsidePolicy(): SetAsidePolicy {
    const records = new Map<WorkerId, SetAsideRecord>();

    function findRecord(worker: WorkerRecord): SetAsideRecord | undefined {
        const known = records.get(worker.id);
        return known?.incarnation === worker.incarnation ? known : undefined;
    }

    function startWait(worker: WorkerRecord, nowMs: number): void {
        const known = findRecord(worker);
        records.set(worker.id, {
            incarnation: worker.incarnation,
            sinceMs: nowMs,
            waitMs: known === undefined ? firstProbeMs : Math.min(longestProbeMs, known.waitMs * 2),
            failuresInRow: worker.failuresInRow,
            reopenedAtMs: undefined,
            placedAtReopening: 0,
            passedProbation: false,
        });
    }

    function planSetAsideWorker(
        state: ClusterState,
        worker: WorkerRecord,
        nowMs: number,
    ): PlacementDecision | undefined {
        const record = findRecord(worker);
        if (record === undefined) {
            // The worker was set aside under an earlier leader or incarnation.
            startWait(worker, nowMs);
            return undefined;
        }
        // Tasks that started before may still fail or succeed; neither counts as a probe.
        record.failuresInRow = worker.failuresInRow;
        if (Math.abs(nowMs - record.sinceMs) < record.waitMs) {
            return undefined;
        }
        record.placedAtReopening = state.tasksByWorker.get(worker.id)?.size ?? 0;
        record.reopenedAtMs = nowMs;
        return { kind: "setAsideWorker", worker: worker.id, setAside: false };
    }

    function planOpenWorker(worker: WorkerRecord, mayAdd: boolean, nowMs: number): PlacementDecision | undefined {
        const record = findRecord(worker);
        const limit = record === undefined || record.passedProbation ? failuresBeforeSetAside : 1;
        const failures = worker.failuresInRow - (record?.failuresInRow ?? 0);
        if (mayAdd && failures >= limit) {
            startWait(worker, nowMs);
            return { kind: "setAsideWorker", worker: worker.id, setAside: true };
        }
        if (record !== undefined) {
            record.failuresInRow = Math.min(record.failuresInRow, worker.failuresInRow);
            const sinceMs = Math.abs(nowMs - (record.reopenedAtMs ?? nowMs));
            record.passedProbation ||= sinceMs >= probationMs;
            if (sinceMs >= recordLifetimeMs) {
                records.delete(worker.id);
            }
        }
        return undefined;
    }

    function isOnProbation({ record: worker }: WorkerView): boolean {
        const record = findRecord(worker);
        return worker.admission === "open"
            && (record === undefined ? worker.failuresInRow >= failuresBeforeSetAside : !record.passedProbation);
    }

    return {
        planSetAside: (state, inFlight, nowMs) => {
            const decisions: PlacementDecision[] = [];
            const limit = Math.max(1, Math.floor(state.workers.size * setAsideLimitPercent / 100));
            let setAside = 0;
            const watched: WorkerRecord[] = [];
            for (const worker of state.workers.values()) {
                setAside += worker.admission === "setAside" ? 1 : 0;
                const suspect = worker.failuresInRow > 0 || worker.admission === "setAside" || records.has(worker.id);
                if (suspect && !inFlight.hasWorker(worker.id)) {
                    watched.push(worker);
                }
            }
            watched.sort((left, right) => right.failuresInRow - left.failuresInRow || (left.id < right.id ? -1 : 1));
            for (const worker of watched) {
                const decision = worker.admission === "setAside"
                    ? planSetAsideWorker(state, worker, nowMs)
                    : worker.admission === "open"
                    ? planOpenWorker(worker, setAside < limit, nowMs)
                    : undefined;
                if (decision !== undefined) {
                    decisions.push(decision);
                    setAside += worker.admission === "open" ? 1 : 0;
                }
            }
            for (const id of records.keys()) {
                if (!state.workers.has(id)) {
                    records.delete(id);
                }
            }
            return decisions;
        },
        isUsable: view =>
            view.record.admission === "open"
            && (!isOnProbation(view) || view.placed.size <= (findRecord(view.record)?.placedAtReopening ?? 0)),
        isOnProbation,
    };
}
