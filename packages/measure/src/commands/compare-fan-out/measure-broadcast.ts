import { type BroadcastMethod, planSends } from "./broadcast-plan.js";

/** Conditions of one simulated broadcast. */
export interface BroadcastConditions {
    readonly method: BroadcastMethod;
    /** Number of ranks: the receivers and the root. */
    readonly count: number;
    /** Ranks that neither receive nor send; never 0, the root. */
    readonly failedRanks: ReadonlySet<number>;
    /** Ring neighbours on each side to which a rank sends correction messages. */
    readonly distance: number;
    /** Time a sender spends on one message, in milliseconds. */
    readonly sendCostMs: number;
    /** One-way delay in milliseconds. */
    readonly delayMs: number;
}

/** Cost and coverage of one broadcast. */
export interface BroadcastResult {
    readonly messages: number;
    /** Messages sent by the root alone. */
    readonly rootMessages: number;
    /** Time until the last receiver that was reached had the message, in milliseconds. */
    readonly latencyMs: number;
    /** Live receivers that the message never reached. */
    readonly missed: number;
}

interface Arrival {
    readonly atMs: number;
    readonly rank: number;
    readonly fromTree: boolean;
}

/** Simulates the broadcast of one message by the plan of its method; arrivals are handled in order of time. */
export function measureBroadcast(conditions: BroadcastConditions): BroadcastResult {
    const { method, count, failedRanks, distance, sendCostMs, delayMs } = conditions;
    const reachedAtMs = new Map<number, number>();
    const hasSent = new Set<number>();
    const arrivals: Arrival[] = [{ atMs: 0, rank: 0, fromTree: true }];
    let messages = 0;
    let rootMessages = 0;
    while (arrivals.length > 0) {
        const arrival = takeEarliest(arrivals);
        if (failedRanks.has(arrival.rank)) {
            continue;
        }
        if (!reachedAtMs.has(arrival.rank)) {
            reachedAtMs.set(arrival.rank, arrival.atMs);
        }
        // As in the paper, a rank reached only by correction messages sends nothing until a tree message reaches it.
        if (!arrival.fromTree || hasSent.has(arrival.rank)) {
            continue;
        }
        hasSent.add(arrival.rank);
        const treeSendCount =
            planSends(method === "correctedTree" ? "tree" : method, arrival.rank, count, distance).length;
        for (const [position, target] of planSends(method, arrival.rank, count, distance).entries()) {
            messages += 1;
            rootMessages += arrival.rank === 0 ? 1 : 0;
            const atMs = arrival.atMs + (position + 1) * sendCostMs + delayMs;
            addArrival(arrivals, { atMs, rank: target, fromTree: position < treeSendCount });
        }
    }
    const liveCount = count - failedRanks.size;
    return {
        messages,
        rootMessages,
        latencyMs: Math.max(...reachedAtMs.values()),
        missed: liveCount - reachedAtMs.size,
    };
}

function addArrival(heap: Arrival[], arrival: Arrival): void {
    let index = heap.push(arrival) - 1;
    while (index > 0) {
        const parent = (index - 1) >> 1;
        if (heap[parent]!.atMs <= arrival.atMs) {
            break;
        }
        heap[index] = heap[parent]!;
        heap[parent] = arrival;
        index = parent;
    }
}

function takeEarliest(heap: Arrival[]): Arrival {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) {
        return first;
    }
    heap[0] = last;
    let index = 0;
    while (true) {
        const left = 2 * index + 1;
        const right = left + 1;
        let least = index;
        if (left < heap.length && heap[left]!.atMs < heap[least]!.atMs) {
            least = left;
        }
        if (right < heap.length && heap[right]!.atMs < heap[least]!.atMs) {
            least = right;
        }
        if (least === index) {
            return first;
        }
        [heap[index], heap[least]] = [heap[least]!, heap[index]!];
        index = least;
    }
}
