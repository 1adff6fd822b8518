import { CallerService, RequestClass } from "@chestnutspool/schema";
import { createClient } from "@connectrpc/connect";
import { createEntryTransport } from "../call-entry.js";
import { mapRpcFailure } from "../failure.js";

/** A request of a load; its body asks a stand-in minion for an answer of some length. */
export interface LoadRequest {
    readonly id: string;
    readonly service: string;
    readonly idempotent: boolean;
    readonly body: Uint8Array;
}

/** Outcome of a request as its caller knows it. */
export type LoadOutcome =
    | { readonly kind: "answered"; readonly answer: Uint8Array; }
    | { readonly kind: "notRun"; readonly reason: string; }
    | { readonly kind: "unknown"; readonly reason: string; };

const deadlineMs = 30_000;
const runMs = 20;
const bodySizes = [0, 1, 1_000, 70_000, 400_000];
const answerSizes = [0, 1, 100, 65_536, 300_000];

/** Makes a request of a load; its size depends on the index, and every third one is not idempotent. */
export function makeRequest(prefix: string, service: string, index: number): LoadRequest {
    const id = `${prefix}-${index}`;
    const padding = "x".repeat(bodySizes[index % bodySizes.length] ?? 0);
    const answerBytes = answerSizes[Math.floor(index / bodySizes.length) % answerSizes.length] ?? 0;
    const body = Buffer.from(JSON.stringify({ key: id, runMs, answerBytes, padding }));
    return { id, service, idempotent: index % 3 !== 0, body };
}

/** Makes requests of mixed sizes, the same ones on every run. */
export function makeRequests(prefix: string, service: string, count: number): readonly LoadRequest[] {
    return Array.from({ length: count }, (unused, index) => makeRequest(prefix, service, index));
}

/** Sends a request once and returns the outcome as the caller knows it. */
export async function sendLoadRequest(address: string, request: LoadRequest): Promise<LoadOutcome> {
    const client = createClient(CallerService, createEntryTransport(address));
    try {
        const response = await client.submit({
            tenant: "moreno",
            service: request.service,
            class: RequestClass.URGENT,
            deadlineMs,
            idempotent: request.idempotent,
            requestId: request.id,
            body: request.body,
        });
        return { kind: "answered", answer: response.answer };
    }
    catch (error) {
        const failure = mapRpcFailure(error, address);
        const reason = `${failure.kind}: ${failure.text}`;
        return { kind: failure.notRun ? "notRun" : "unknown", reason };
    }
}

/** Runs the items, at most `limit` at a time, and returns the results in the order of the items. */
export async function runConcurrently<Item, Value>(
    items: readonly Item[],
    limit: number,
    run: (item: Item, index: number) => Promise<Value>,
): Promise<readonly Value[]> {
    const results: Value[] = [];
    const remaining = [...items.entries()].reverse();
    const runRemaining = async (): Promise<void> => {
        for (let next = remaining.pop(); next !== undefined; next = remaining.pop()) {
            const [index, item] = next;
            results[index] = await run(item, index);
        }
    };
    await Promise.all(Array.from({ length: limit }, runRemaining));
    return results;
}
