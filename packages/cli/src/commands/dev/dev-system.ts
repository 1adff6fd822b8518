import {
    type StandInWorkerOptions,
    startStandInMinion,
    startStandInWorker,
    type WorkerApi,
} from "@chestnutspool/stand-ins";
import { type ErrorData, readWallMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type CliFailure, mapErrorToFailure } from "../../failure.js";
import { createProcess, entryKey, logKey } from "../../process/create-process.js";
import { createDevSettings } from "./dev-settings.js";

/** The running system of `dev`. */
export interface DevSystem {
    readonly rpcAddress: string;
    /** Requests the eviction of a task with the command that the scheduler uses. */
    readonly evictTask: (task: string, token: number) => Effect.Effect<void, CliFailure>;
    /** Checkpoints from which the stand-in workers started a task, in the order of the tokens; "" for a start without one. */
    readonly listStartCheckpoints: (task: string) => readonly string[];
}

const services = ["stock-check", "plume-check"];
const minionsPerService = 2;
const minionSlots = 8;
const minionConnections = 64;
const workerCount = 3;
const workerCapacity = { milliCpu: 8000, memoryMib: 16_384, accelerators: 1 };
/** Retries of the start; one is needed only when another program binds a reserved port first, which is rare. */
const startRetryLimit = 5;

const openDataFolder = Effect.acquireRelease(
    Effect.sync(() => mkdtempSync(join(tmpdir(), "chestnutspool-dev-"))),
    folder => Effect.sync(() => rmSync(folder, { recursive: true, force: true })),
);

const startProcess = Effect.gen(function*() {
    const dataFolder = yield* openDataFolder;
    const { kernel } = createProcess(yield* createDevSettings(dataFolder));
    yield* Effect.acquireRelease(kernel.startAll, () => kernel.stopAll);
    return kernel;
});

function createWorkerOptions(rpcAddress: string, ordinal: number): StandInWorkerOptions {
    return {
        worker: `worker-${ordinal}`,
        addresses: [rpcAddress],
        availabilityZone: "dev-a",
        rack: `rack-${ordinal}`,
        capacity: workerCapacity,
    };
}

function listStartCheckpoints(workers: readonly WorkerApi[], task: string): readonly string[] {
    return workers.flatMap(worker => worker.listEvents())
        .flatMap(event => event.task === task && event.kind === "started" ? [event] : [])
        .sort((left, right) => Number(left.token - right.token))
        .map(event => event.resumedFrom ?? "");
}

/** Starts a process with both roles, stand-in minions and stand-in workers; they stop with the scope. */
export const startDevSystem = Effect.gen(function*() {
    const kernel = yield* Effect.retry(startProcess, { times: startRetryLimit });
    const { rpcAddress } = kernel.findService(entryKey);
    for (const service of services) {
        for (let ordinal = 1; ordinal <= minionsPerService; ordinal += 1) {
            yield* startStandInMinion({
                minion: `${service}-${ordinal}`,
                service,
                addresses: [rpcAddress],
                availabilityZone: "dev-a",
                slots: minionSlots,
                connections: minionConnections,
            });
        }
    }
    const workers: WorkerApi[] = [];
    for (let ordinal = 1; ordinal <= workerCount; ordinal += 1) {
        workers.push(yield* startStandInWorker(createWorkerOptions(rpcAddress, ordinal)));
    }
    const { log } = kernel.findService(logKey);
    const system: DevSystem = {
        rpcAddress,
        evictTask: Effect.fnUntraced(function*(task: string, token: number) {
            const nowMs = yield* readWallMs;
            const command = { kind: "requestEviction", task, token, reason: "asked for by dev", nowMs } as const;
            const result = yield* Effect.mapError(log.proposeCommand(command), mapErrorToFailure);
            if (result.kind === "refused") {
                return yield* Effect.fail(mapErrorToFailure(result.error));
            }
        }),
        listStartCheckpoints: task => listStartCheckpoints(workers, task),
    };
    return system;
}).pipe(Effect.mapError((error: ErrorData) => mapErrorToFailure(error)));
