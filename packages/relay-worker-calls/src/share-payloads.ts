import type { RelayedCall } from "@chestnutspool/types";

/** Calls of a message, and the payloads that its start orders share. */
export interface SharedCalls {
    readonly calls: readonly RelayedCall[];
    readonly payloads: readonly string[];
}

/**
 * Takes the payloads out of the start orders: the tasks of a step have the same one, which is most of an order. The
 * orders name it by its position in `payloads`.
 */
export function takePayloads(calls: readonly RelayedCall[]): SharedCalls {
    const positions = new Map<string, number>();
    const shared = calls.map((relayed): RelayedCall => {
        const { call } = relayed;
        if (call.kind !== "startRun") {
            return relayed;
        }
        const { payload } = call.order;
        const payloadPosition = positions.get(payload) ?? positions.size;
        positions.set(payload, payloadPosition);
        return { ...relayed, call: { kind: "startRun", order: { ...call.order, payload: "" } }, payloadPosition };
    });
    return { calls: shared, payloads: [...positions.keys()] };
}

/** Puts the payload back into a call; undefined if the message does not have it. */
export function restorePayload(relayed: RelayedCall, payloads: readonly string[] | undefined): RelayedCall | undefined {
    const { call, payloadPosition } = relayed;
    if (payloadPosition === undefined || call.kind !== "startRun") {
        return relayed;
    }
    const payload = payloads?.[payloadPosition];
    return payload === undefined
        ? undefined
        : { ...relayed, call: { kind: "startRun", order: { ...call.order, payload } } };
}
