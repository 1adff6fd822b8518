import { planSends, type SpreadMethod } from "./spread-plan.js";

/** Conditions of one spread. */
export interface SpreadConditions {
    readonly method: SpreadMethod;
    /** Receivers and the root. */
    readonly count: number;
    /** Ranks that take nothing and send nothing; never 0. */
    readonly failedRanks: ReadonlySet<number>;
    /** Neighbours on each side that correction covers. */
    readonly distance: number;
    /** Time a sender spends on one message, in milliseconds. */
    readonly sendCostMs: number;
    /** One-way delay in milliseconds. */
    readonly delayMs: number;
}

/** What one spread took. */
export interface SpreadResult {
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

/** Sends one message through the plan of its method and counts what it takes; the arrivals are handled in order of time. */
export function spreadMessage(conditions: SpreadConditions): SpreadResult {
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
        // A rank that is reached by correction only sends nothing, as in the paper; one that the tree reaches later does.
        if (!arrival.fromTree || hasSent.has(arrival.rank)) {
            continue;
        }
        hasSent.add(arrival.rank);
        const treeSends = planSends(method === "correctedTree" ? "tree" : method, arrival.rank, count, distance).length;
        for (const [position, target] of planSends(method, arrival.rank, count, distance).entries()) {
            messages += 1;
            rootMessages += arrival.rank === 0 ? 1 : 0;
            const atMs = arrival.atMs + (position + 1) * sendCostMs + delayMs;
            addArrival(arrivals, { atMs, rank: target, fromTree: position < treeSends });
        }
    }
    const live = count - failedRanks.size;
    return { messages, rootMessages, latencyMs: Math.max(...reachedAtMs.values()), missed: live - reachedAtMs.size };
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
