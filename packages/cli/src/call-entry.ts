import { CallerService, OperatorService } from "@chestnutspool/schema";
import { readMonotonicMs } from "@chestnutspool/types";
import { type Client, createClient, type Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Effect } from "effect";
import { mapRpcFailure, type RpcFailure } from "./failure.js";
import type { CallSettings } from "./read-options.js";

/** Clients of the services of one entry host. */
export interface EntryClients {
    readonly address: string;
    readonly operator: Client<typeof OperatorService>;
    readonly caller: Client<typeof CallerService>;
}

/** Limits of one attempt. */
export interface AttemptLimits {
    readonly signal: AbortSignal;
    readonly timeoutMs: number;
}

/** Whether a failed call may be sent again: always, because it carries an id or only reads, or only when it had no effect. */
export type ResendRule = "always" | "whenNotRun";

/** Time for one attempt in milliseconds, so that a silent entry host leaves time for the others. */
const attemptLimitMs = 3_000;
/** Pause after all entry hosts have failed, in milliseconds. */
const roundPauseMs = 300;

/** Creates the transport to an entry host. */
export function createEntryTransport(address: string): Transport {
    return createConnectTransport({ baseUrl: `http://${address}`, httpVersion: "1.1" });
}

/** Creates the clients of an entry host. */
export function createEntryClients(address: string): EntryClients {
    const transport = createEntryTransport(address);
    return {
        address,
        operator: createClient(OperatorService, transport),
        caller: createClient(CallerService, transport),
    };
}

function mayResend(failure: RpcFailure, rule: ResendRule): boolean {
    return failure.transient && (rule === "always" || failure.notRun);
}

/**
 * Calls the entry hosts in turn until one answers, the failure is final or the time is up. The caller puts the same
 * request id into each attempt.
 */
export const callEntry = Effect.fnUntraced(function*<Reply>(
    settings: CallSettings,
    rule: ResendRule,
    call: (clients: EntryClients, limits: AttemptLimits) => Promise<Reply>,
) {
    const clients = settings.entries.map(createEntryClients);
    const endMs = (yield* readMonotonicMs) + settings.timeoutMs;
    for (let attempt = 0;; attempt += 1) {
        const target = clients[attempt % clients.length];
        if (target === undefined) {
            return yield* Effect.die(new Error("the options name no entry host"));
        }
        const leftMs = Math.max(1, endMs - (yield* readMonotonicMs));
        const timeoutMs = rule === "always" ? Math.min(attemptLimitMs, leftMs) : leftMs;
        const result = yield* Effect.result(Effect.tryPromise({
            try: signal => call(target, { signal, timeoutMs }),
            catch: thrown => mapRpcFailure(thrown, target.address),
        }));
        if (result._tag === "Success") {
            return result.success;
        }
        const failure = result.failure;
        const isRoundOver = attempt % clients.length === clients.length - 1;
        const pauseMs = isRoundOver ? Math.max(roundPauseMs, failure.retryAfterMs) : 0;
        if (!mayResend(failure, rule) || (yield* readMonotonicMs) + pauseMs >= endMs) {
            return yield* Effect.fail(failure);
        }
        yield* Effect.sleep(pauseMs);
    }
});
