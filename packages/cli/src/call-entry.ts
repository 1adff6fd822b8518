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

/**
 * After which transient failures a call is sent again: with `always` after each one, because the call carries an id
 * or only reads; with `whenNotRun` only when the call certainly had no effect.
 */
export type ResendRule = "always" | "whenNotRun";

/**
 * Timeout of one attempt with the rule `always`, in milliseconds; an entry host that does not respond leaves time
 * to try the others. With `whenNotRun` a timeout allows no resend, so each attempt has all the remaining time.
 */
const attemptTimeoutMs = 3_000;
/** Pause after a round in which all entry hosts failed, in milliseconds. */
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

function canResend(failure: RpcFailure, rule: ResendRule): boolean {
    return failure.transient && (rule === "always" || failure.notRun);
}

/**
 * Calls the entry hosts in turn until one answers, a failure is not transient or the timeout is reached. The caller
 * puts the same request id into each attempt.
 */
export const callEntry = Effect.fnUntraced(function*<Reply>(
    settings: CallSettings,
    rule: ResendRule,
    call: (clients: EntryClients, limits: AttemptLimits) => Promise<Reply>,
) {
    const clients = settings.entries.map(createEntryClients);
    const deadlineMs = (yield* readMonotonicMs) + settings.timeoutMs;
    for (let attempt = 0;; attempt += 1) {
        const entryClients = clients[attempt % clients.length];
        if (entryClients === undefined) {
            return yield* Effect.die(new Error("the call settings contain no entry host"));
        }
        const remainingMs = Math.max(1, deadlineMs - (yield* readMonotonicMs));
        const timeoutMs = rule === "always" ? Math.min(attemptTimeoutMs, remainingMs) : remainingMs;
        const result = yield* Effect.result(Effect.tryPromise({
            try: signal => call(entryClients, { signal, timeoutMs }),
            catch: thrown => mapRpcFailure(thrown, entryClients.address),
        }));
        if (result._tag === "Success") {
            return result.success;
        }
        const failure = result.failure;
        const isRoundOver = attempt % clients.length === clients.length - 1;
        const pauseMs = isRoundOver ? Math.max(roundPauseMs, failure.retryAfterMs) : 0;
        if (!canResend(failure, rule) || (yield* readMonotonicMs) + pauseMs >= deadlineMs) {
            return yield* Effect.fail(failure);
        }
        yield* Effect.sleep(pauseMs);
    }
});
