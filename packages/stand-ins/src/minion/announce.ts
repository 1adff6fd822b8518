import { type AnnounceResponse, TargetService } from "@chestnutspool/schema";
import type { ErrorData } from "@chestnutspool/types";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Effect } from "effect";

/** What a minion announces. */
export interface AnnouncementFields {
    readonly minion: string;
    readonly service: string;
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly connections: number;
    readonly runningAttempts: string[];
    readonly incarnation: string;
    readonly sequence: bigint;
    readonly highestEpoch: bigint;
}

/** Calls of a minion to the entry hosts; a failed call goes to the next one. */
export interface Announcer {
    readonly announce: (fields: AnnouncementFields) => Effect.Effect<AnnounceResponse, ErrorData>;
    /** Number of attempts that were in progress when the owner stopped new work. */
    readonly leave: (minion: string, incarnation: string) => Effect.Effect<number, ErrorData>;
}

const callLimitMs = 5_000;

/** Creates the calls to a list of entry hosts, given as IP numbers and ports. */
export function createAnnouncer(addresses: readonly string[]): Announcer {
    const clients = addresses.map(address => ({
        address,
        client: createClient(
            TargetService,
            createConnectTransport({ baseUrl: `http://${address}`, httpVersion: "1.1" }),
        ),
    }));
    let turn = 0;
    const callOne = <Value>(
        call: (client: (typeof clients)[number]["client"], signal: AbortSignal) => Promise<Value>,
    ): Effect.Effect<Value, ErrorData> =>
        Effect.suspend(() => {
            const chosen = clients[turn % clients.length];
            return chosen === undefined
                ? Effect.fail<ErrorData>({ kind: "notFound", object: "entry host", id: "any" })
                : Effect.tryPromise({
                    try: signal => call(chosen.client, signal),
                    catch: (): ErrorData => {
                        turn += 1;
                        return { kind: "peerUnavailable", peer: chosen.address };
                    },
                });
        });
    /** Tries each host once. */
    const callAny = <Value>(
        call: (client: (typeof clients)[number]["client"], signal: AbortSignal) => Promise<Value>,
    ): Effect.Effect<Value, ErrorData> => Effect.retry(callOne(call), { times: Math.max(0, clients.length - 1) });
    return {
        announce: fields => callAny((client, signal) => client.announce(fields, { signal, timeoutMs: callLimitMs })),
        leave: (minion, incarnation) =>
            Effect.map(
                callAny((client, signal) => client.leave({ minion, incarnation }, { signal, timeoutMs: callLimitMs })),
                response => response.attemptsInProgress,
            ),
    };
}
