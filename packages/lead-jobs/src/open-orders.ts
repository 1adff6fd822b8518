import { formatRunKey } from "@chestnutspool/job-state";
import type { RunStatus } from "@chestnutspool/track-workers";
import type { RunKey, WorkerId } from "@chestnutspool/types";

/** Time for which a start without an answer may still be under way, in milliseconds; delays of seconds have been seen. */
const underWayMs = 30_000;

/** The start of a run, and when it was ordered, in monotonic milliseconds. */
interface OpenOrder {
    readonly key: RunKey;
    readonly orderedAtMs: number;
}

/**
 * Starts without an answer whose run has ended, by worker and run. The worker rejects them if they arrive late, but forgets this
 * when it starts again.
 */
export type OpenOrders = Map<WorkerId, Map<string, OpenOrder>>;

function forgetOldOrders(openOrders: OpenOrders, nowMs: number): void {
    for (const [worker, orders] of openOrders) {
        for (const [key, { orderedAtMs }] of orders) {
            if (nowMs - orderedAtMs > underWayMs) {
                orders.delete(key);
            }
        }
        if (orders.size === 0) {
            openOrders.delete(worker);
        }
    }
}

/** Records the start of a run that was stopped or has ended, if the order may yet arrive at the worker. */
export function recordOpenOrder(openOrders: OpenOrders, worker: WorkerId, status: RunStatus, nowMs: number): void {
    switch (status.start) {
        case "confirmed":
        case "excluded":
            return;
        case "ordered":
        case "unanswered": {
            forgetOldOrders(openOrders, nowMs);
            const ofWorker = openOrders.get(worker) ?? new Map<string, OpenOrder>();
            ofWorker.set(formatRunKey(status.key), { key: status.key, orderedAtMs: status.orderedAtMs });
            openOrders.set(worker, ofWorker);
        }
    }
}

/** Lists the recorded starts that may yet arrive at a worker. */
export function listOpenOrders(openOrders: OpenOrders, worker: WorkerId, nowMs: number): RunKey[] {
    forgetOldOrders(openOrders, nowMs);
    return [...openOrders.get(worker)?.values() ?? []].map(({ key }) => key);
}
