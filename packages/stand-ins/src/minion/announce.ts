import { type AnnounceResponse, TargetService } from "@chestnutspool/schema";
import type { ErrorData } from "@chestnutspool/types";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Effect } from "effect";

/** Fields of an announcement of a minion. */
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

/** Calls of a minion to the entry hosts; a failed call is retried with the next host. */
export interface Announcer {
    readonly announce: (fields: AnnouncementFields) => Effect.Effect<AnnounceResponse, ErrorData>;
    /** Returns the number of attempts that were in progress when the owner stopped sending new work. */
    readonly leave: (minion: string, incarnation: string) => Effect.Effect<number, ErrorData>;
}

const callTimeoutMs = 5_000;

/** Creates the calls to a list of entry hosts, given as IP addresses and ports. */
export function createAnnouncer(addresses: readonly string[]): Announcer {
    const clients = addresses.map(address => ({
        address,
        client: createClient(
            TargetService,
            createConnectTransport({ baseUrl: `http://${address}`, httpVersion: "1.1" }),
        ),
    }));
    let hostIndex = 0;
    const callCurrentHost = <Value>(
        call: (client: (typeof clients)[number]["client"], signal: AbortSignal) => Promise<Value>,
    ): Effect.Effect<Value, ErrorData> =>
        Effect.suspend(() => {
            const host = clients[hostIndex % clients.length];
            return host === undefined
                ? Effect.fail<ErrorData>({ kind: "notFound", object: "entry host", id: "any" })
                : Effect.tryPromise({
                    try: signal => call(host.client, signal),
                    catch: (): ErrorData => {
                        hostIndex += 1;
                        return { kind: "peerUnavailable", peer: host.address };
                    },
                });
        });
    /** Calls the hosts in turn until one answers, each at most once. */
    const callHosts = <Value>(
        call: (client: (typeof clients)[number]["client"], signal: AbortSignal) => Promise<Value>,
    ): Effect.Effect<Value, ErrorData> =>
        Effect.retry(callCurrentHost(call), { times: Math.max(0, clients.length - 1) });
    return {
        announce: fields =>
            callHosts((client, signal) => client.announce(fields, { signal, timeoutMs: callTimeoutMs })),
        leave: (minion, incarnation) =>
            Effect.map(
                callHosts((client, signal) =>
                    client.leave({ minion, incarnation }, { signal, timeoutMs: callTimeoutMs })
                ),
                response => response.attemptsInProgress,
            ),
    };
}
