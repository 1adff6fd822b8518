import type { ErrorData } from "@chestnutspool/types";
import { Clock, Effect, type Scope } from "effect";
import { randomUUID } from "node:crypto";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAnnouncer } from "./announce.js";
import { createRunRecords, type RunRecord } from "./run-records.js";
import { type MinionBehaviour, type MinionFault, serveRun } from "./serve-run.js";

/** Settings of a stand-in minion. */
export interface StandInMinionOptions {
    readonly minion: string;
    readonly service: string;
    /** RPC addresses of the entry hosts as IP address and port, tried in order. */
    readonly addresses: readonly string[];
    readonly availabilityZone: string;
    readonly slots: number;
    readonly connections: number;
    /** Run time of a body that contains none, in milliseconds; default 10. */
    readonly defaultRunMs?: number;
    /** Time after which a run notices that its connection has closed, in milliseconds; default 0. */
    readonly closeNoticeMs?: number;
    /** IP address to listen on; default 127.0.0.1. */
    readonly listenHost?: string;
    /** Maximum interval between announcements in milliseconds; default 1,000. */
    readonly announceIntervalMs?: number;
}

/** Handle of a running stand-in minion. */
export interface MinionApi {
    readonly minion: string;
    /** IP address and port of its HTTP server. */
    readonly address: string;
    readonly listRuns: () => readonly RunRecord[];
    /** Attempts that run now. */
    readonly listRunning: () => readonly string[];
    /** Highest number of concurrent runs. */
    readonly readHighestRunning: () => number;
    /** Highest number of concurrently open connections. */
    readonly readHighestConnections: () => number;
    readonly readHighestEpoch: () => number;
    /** Number of announcements that entry hosts accepted. */
    readonly countAnnounced: () => number;
    readonly setSpeed: (factor: number) => void;
    readonly setFault: (fault: MinionFault) => void;
    /** Freezes or unfreezes the minion. A frozen one starts no run and sends no announcement; runs in progress still end. */
    readonly setFrozen: (frozen: boolean) => void;
    /** Stops announcements without notice to an entry host, or resumes them. */
    readonly setSilent: (silent: boolean) => void;
    /** Closes all connections, even in the middle of an answer. */
    readonly dropConnections: () => void;
    /** Leaves the service; succeeds with the number of attempts in progress once the owner sends no new work. */
    readonly leave: Effect.Effect<number, ErrorData>;
}

/** Pause after an announcement that no entry host accepted, and between checks while silent or frozen, in milliseconds. */
const retryPauseMs = 50;
const defaultRunMs = 10;
const defaultAnnounceIntervalMs = 1_000;
const nanosecondsPerMillisecond = 1_000_000;

function listen(server: Server, host: string): Effect.Effect<number, ErrorData> {
    return Effect.callback(resume => {
        server.once(
            "error",
            error => resume(Effect.fail({ kind: "serviceFailed", service: "stand-in minion", detail: error.message })),
        );
        server.listen(0, host, () => resume(Effect.succeed((server.address() as AddressInfo).port)));
    });
}

function countConnections(server: Server): () => number {
    let open = 0;
    let highest = 0;
    server.on("connection", socket => {
        open += 1;
        highest = Math.max(highest, open);
        socket.once("close", () => {
            open -= 1;
        });
    });
    return () => highest;
}

/** Starts a minion that announces itself and serves runs until the scope closes. */
export const startStandInMinion: (
    options: StandInMinionOptions,
) => Effect.Effect<MinionApi, ErrorData, Scope.Scope> = Effect.fnUntraced(function*(options) {
    const scope = yield* Effect.scope;
    const clock = yield* Clock.Clock;
    const readNowMs = (): number => Number(clock.monotonicTimeNanosUnsafe()) / nanosecondsPerMillisecond;
    const runFork = Effect.runForkWith(yield* Effect.context<never>());
    const records = createRunRecords();
    const behaviour: MinionBehaviour = {
        fault: "none",
        speed: 1,
        frozen: false,
        highestEpoch: 0,
        defaultRunMs: options.defaultRunMs ?? defaultRunMs,
        closeNoticeMs: options.closeNoticeMs ?? 0,
    };
    let silent = false;
    let hasLeft = false;
    let announcementCount = 0;

    const server = createServer((request, response) => {
        runFork(Effect.forkIn(serveRun(request, response, behaviour, records, readNowMs), scope));
    });
    const readHighestConnections = countConnections(server);
    const host = options.listenHost ?? "127.0.0.1";
    const port = yield* listen(server, host);
    yield* Effect.addFinalizer(() =>
        Effect.sync(() => {
            server.close();
            server.closeAllConnections();
        })
    );

    const address = `${host}:${port}`;
    const incarnation = randomUUID();
    const announcer = createAnnouncer(options.addresses);
    let sequence = 0n;
    const announceOnce = Effect.suspend(() => {
        sequence += 1n;
        const { minion, service, availabilityZone, slots, connections } = options;
        return announcer.announce({
            minion,
            service,
            address,
            availabilityZone,
            slots,
            connections,
            runningAttempts: [...records.listRunning()],
            incarnation,
            sequence,
            highestEpoch: BigInt(behaviour.highestEpoch),
        });
    });
    const intervalMs = options.announceIntervalMs ?? defaultAnnounceIntervalMs;
    const announceAndPause = Effect.matchEffect(announceOnce, {
        onFailure: () => Effect.succeed(retryPauseMs),
        onSuccess: response =>
            Effect.sync(() => {
                announcementCount += 1;
                behaviour.highestEpoch = Math.max(behaviour.highestEpoch, Number(response.epoch));
                return Math.min(intervalMs, response.announceAgainMs);
            }),
    });
    yield* Effect.forkScoped(Effect.gen(function*() {
        while (!hasLeft) {
            const pauseMs = silent || behaviour.frozen ? retryPauseMs : yield* announceAndPause;
            yield* Effect.sleep(pauseMs);
        }
    }));

    const api: MinionApi = {
        minion: options.minion,
        address,
        listRuns: records.listRuns,
        listRunning: records.listRunning,
        readHighestRunning: records.readHighestRunning,
        readHighestConnections,
        readHighestEpoch: () => behaviour.highestEpoch,
        countAnnounced: () => announcementCount,
        setSpeed: factor => {
            behaviour.speed = factor;
        },
        setFault: fault => {
            behaviour.fault = fault;
        },
        setFrozen: frozen => {
            behaviour.frozen = frozen;
        },
        setSilent: value => {
            silent = value;
        },
        dropConnections: () => server.closeAllConnections(),
        leave: Effect.suspend(() => {
            hasLeft = true;
            return announcer.leave(options.minion, incarnation);
        }),
    };
    return api;
});
