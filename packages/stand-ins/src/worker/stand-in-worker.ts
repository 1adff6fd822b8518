import { create } from "@bufbuild/protobuf";
import {
    ResourceAmountsSchema,
    type SyncRequest,
    SyncRequestSchema,
    type SyncResponse,
    WorkerService,
} from "@chestnutspool/schema";
import { type ErrorData, readMonotonicMs, type Resources } from "@chestnutspool/types";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Effect, type Scope } from "effect";
import { randomUUID } from "node:crypto";
import { parseTaskBehaviour, type TaskBehaviour } from "./behaviour.js";
import type { TaskEvent } from "./task-event.js";
import { createWorkerTasks, type WorkerTasks } from "./worker-tasks.js";

/** Settings of a stand-in worker; times are in milliseconds. */
export interface StandInWorkerOptions {
    readonly worker: string;
    /** RPC addresses of the entry hosts as IP address and port, tried in order. */
    readonly addresses: readonly string[];
    readonly availabilityZone: string;
    readonly rack: string;
    readonly capacity: Resources;
    /** Finds how the tasks of a command behave; the default is `parseTaskBehaviour`, which reads it from the command. */
    readonly findBehaviour?: (command: string, task: string) => TaskBehaviour;
    /** Age of usage samples; default 2,000. */
    readonly usageLagMs?: number;
    /** Timeout of one sync call; default 5,000, because control may delay its response by up to 3,000. */
    readonly callLimitMs?: number;
    /** Delay before the retry of a failed call; default 100. */
    readonly retryMs?: number;
    /** Interval at which tasks advance and the lease is checked; default 20. */
    readonly tickMs?: number;
}

/** Handle of a running stand-in worker. */
export interface WorkerApi {
    readonly worker: string;
    readonly readIncarnation: () => string;
    /** All events since the start, those of earlier incarnations included. */
    readonly listEvents: () => readonly TaskEvent[];
    readonly countRunning: () => number;
    /** Simulates a network partition: the worker runs its tasks without syncs and stops them when its lease ends. */
    readonly setPartitioned: (partitioned: boolean) => void;
    /** Simulates a frozen host: no call, no progress of tasks and no check of the lease until it continues. */
    readonly setFrozen: (frozen: boolean) => Effect.Effect<void>;
    /** Makes every further start of a task fail, or succeed again. */
    readonly setFailing: (failing: boolean) => void;
    /** Ends the process with all its tasks at once and starts it again with a new incarnation. */
    readonly restart: Effect.Effect<void>;
}

/** The state of one run of the worker's process. */
interface WorkerRun {
    readonly incarnation: string;
    readonly tasks: WorkerTasks;
    /** Monotonic time at which the lease ends; 0 before the first sync. */
    leaseEndMs: number;
    /** Number of syncs sent. */
    syncs: bigint;
}

/** Stops all tasks when the lease has ended; returns whether the lease is still valid. */
function checkLease(run: WorkerRun, nowMs: number): boolean {
    if (nowMs < run.leaseEndMs) {
        return true;
    }
    run.tasks.stopAll("leaseEnded", nowMs);
    return false;
}

function applyResponse(run: WorkerRun, response: SyncResponse, sentAtMs: number, nowMs: number): void {
    checkLease(run, nowMs);
    run.tasks.updateTasks(nowMs);
    run.tasks.forgetEnded(response.acknowledged);
    run.leaseEndMs = Math.max(run.leaseEndMs, sentAtMs + response.leaseMs);
    if (!checkLease(run, nowMs)) {
        return;
    }
    for (const directive of response.directives) {
        run.tasks.applyDirective(directive, nowMs);
    }
}

/** Creates the sync call to one address; a failed call is an error of kind `peerUnavailable`. */
function createSyncCall(address: string, limitMs: number) {
    const client = createClient(
        WorkerService,
        createConnectTransport({ baseUrl: `http://${address}`, httpVersion: "1.1" }),
    );
    return (request: SyncRequest): Effect.Effect<SyncResponse, ErrorData> =>
        Effect.tryPromise({
            try: signal => client.sync(request, { signal, timeoutMs: limitMs }),
            catch: (): ErrorData => ({ kind: "peerUnavailable", peer: address }),
        });
}

/**
 * Starts a worker that syncs with control through the entry hosts and simulates its tasks; it ends with the scope. Fails
 * with `invalidArgument` without any address.
 */
export const startStandInWorker: (
    options: StandInWorkerOptions,
) => Effect.Effect<WorkerApi, ErrorData, Scope.Scope> = Effect.fnUntraced(function*(options) {
    if (options.addresses.length === 0) {
        return yield* Effect.fail<ErrorData>({
            kind: "invalidArgument",
            field: "addresses",
            seen: "an empty list",
            allowed: "at least one RPC address",
        });
    }
    const syncCalls = options.addresses.map(address => createSyncCall(address, options.callLimitMs ?? 5000));
    const events: TaskEvent[] = [];
    let failing = false;
    let partitioned = false;
    let frozen = false;
    let addressIndex = 0;

    const createRun = (): WorkerRun => {
        const incarnation = randomUUID();
        const tasks = createWorkerTasks({
            worker: options.worker,
            incarnation,
            usageLagMs: options.usageLagMs ?? 2000,
            findBehaviour: options.findBehaviour ?? parseTaskBehaviour,
            recordEvent: event => {
                events.push(event);
            },
        });
        tasks.setFailing(failing);
        return { incarnation, tasks, leaseEndMs: 0, syncs: 0n };
    };
    let run = createRun();

    const buildRequest = (nowMs: number): SyncRequest => {
        run.syncs += 1n;
        return create(SyncRequestSchema, {
            sequence: run.syncs,
            worker: options.worker,
            incarnation: run.incarnation,
            availabilityZone: options.availabilityZone,
            rack: options.rack,
            capacity: create(ResourceAmountsSchema, options.capacity),
            running: run.tasks.listRunning(),
            ended: run.tasks.listEnded(),
            usage: run.tasks.listUsage(nowMs),
        });
    };

    const syncOnce = Effect.fnUntraced(function*() {
        const call = syncCalls[addressIndex % syncCalls.length] as (typeof syncCalls)[number];
        const runAtSend = run;
        const sentAtMs = yield* readMonotonicMs;
        const response = yield* call(buildRequest(sentAtMs));
        const nowMs = yield* readMonotonicMs;
        // Drops a response to an earlier incarnation, and one that arrives while the worker is partitioned or frozen.
        if (runAtSend === run && !partitioned && !frozen) {
            applyResponse(run, response, sentAtMs, nowMs);
        }
    });

    const keepSyncing = Effect.gen(function*() {
        while (true) {
            if (partitioned || frozen) {
                yield* Effect.sleep(options.tickMs ?? 20);
                continue;
            }
            yield* syncOnce().pipe(Effect.catch(() => {
                addressIndex += 1;
                return Effect.sleep(options.retryMs ?? 100);
            }));
        }
    });

    const keepUpdatingTasks = Effect.gen(function*() {
        while (true) {
            yield* Effect.sleep(options.tickMs ?? 20);
            const nowMs = yield* readMonotonicMs;
            if (!frozen) {
                checkLease(run, nowMs);
                run.tasks.updateTasks(nowMs);
            }
        }
    });

    const endRun = Effect.gen(function*() {
        run.tasks.stopAll("crashed", yield* readMonotonicMs);
    });
    yield* Effect.addFinalizer(() => endRun);
    yield* Effect.forkScoped(keepSyncing);
    yield* Effect.forkScoped(keepUpdatingTasks);

    const api: WorkerApi = {
        worker: options.worker,
        readIncarnation: () => run.incarnation,
        listEvents: () => events,
        countRunning: () => run.tasks.listRunning().length,
        setPartitioned: value => {
            partitioned = value;
        },
        setFrozen: value =>
            Effect.gen(function*() {
                const nowMs = yield* readMonotonicMs;
                frozen = value;
                if (!value) {
                    checkLease(run, nowMs);
                }
                run.tasks.setPaused(value, nowMs);
            }),
        setFailing: value => {
            failing = value;
            run.tasks.setFailing(value);
        },
        restart: Effect.gen(function*() {
            yield* endRun;
            run = createRun();
        }),
    };
    return api;
});
