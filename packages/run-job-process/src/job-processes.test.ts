import { makeJob, makeQueue, makeWorker } from "@chestnutspool/job-state/fakes";
import type { Kernel } from "@chestnutspool/kernel";
import { createFakeWorkers, type FakeWorkers } from "@chestnutspool/lead-jobs/fakes";
import { silentLogger } from "@chestnutspool/logger";
import { createMetrics } from "@chestnutspool/record-metrics";
import type { ErrorData, JobRequest, QueueConfiguration, WorkerPort, WorkerRef } from "@chestnutspool/types";
import { Effect, Fiber, Scope } from "effect";
import assert from "node:assert/strict";
import { randomInt } from "node:crypto";
import { mkdtemp, rm } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { awaitReplicaFailure, createJobProcess, forwarderKey, logKey, machineKey } from "./create-job-process.js";
import type { JobProcessSettings } from "./process-settings.js";

/** Each process has its own loopback address, because its IP address is its identity. */
const controlHosts = ["127.0.0.11", "127.0.0.12", "127.0.0.13"];
const joiningHost = "127.0.0.14";
const entryHost = "127.0.0.21";
const budgetMs = 20_000;

/** Ports below those that Linux gives to listeners on port 0 and to outgoing connections. */
const portRange = { first: 16_384, end: 32_768 } as const;

/** Finds a port that is free on all addresses, because each process of the cluster listens on its own. */
async function reservePort(): Promise<number> {
    while (true) {
        const server = createServer();
        const port = randomInt(portRange.first, portRange.end);
        const isFree = await new Promise<boolean>((resolve, reject) => {
            server.once(
                "error",
                (error: NodeJS.ErrnoException) => error.code === "EADDRINUSE" ? resolve(false) : reject(error),
            );
            server.listen(port, "0.0.0.0", () => server.close(() => resolve(true)));
        });
        if (isFree) {
            return port;
        }
    }
}

interface Cluster {
    readonly start: (host: string, formsCluster: boolean) => Effect.Effect<Kernel>;
    /** Fails once the replica of a running process has stopped. */
    readonly awaitReplicaFailure: (host: string) => Effect.Effect<never, ErrorData>;
    readonly stop: (host: string) => Effect.Effect<void>;
    readonly workers: FakeWorkers;
    /** Number of starts that each process has carried out, by host. */
    readonly startsByHost: Map<string, number>;
}

/** Counts the starts that a process carries out. */
function countStarts(
    port: WorkerPort<WorkerRef>,
    host: string,
    startsByHost: Map<string, number>,
): WorkerPort<WorkerRef> {
    return {
        ...port,
        startRun: (worker, order, limitMs) =>
            Effect.suspend(() => {
                startsByHost.set(host, (startsByHost.get(host) ?? 0) + 1);
                return port.startRun(worker, order, limitMs);
            }),
    };
}

const openCluster = Effect.gen(function*() {
    const folder = yield* Effect.promise(() => mkdtemp(join(tmpdir(), "job-processes-")));
    yield* Effect.addFinalizer(() => Effect.promise(() => rm(folder, { recursive: true, force: true })));
    const peerPort = yield* Effect.promise(reservePort);
    const workers = yield* createFakeWorkers;
    const running = new Map<string, Kernel>();
    const makeSettings = (host: string, formsCluster: boolean): JobProcessSettings => ({
        id: host,
        hostName: host,
        region: "r",
        availabilityZone: "z",
        peerHost: host,
        peerPort,
        seeds: controlHosts.map(id => ({ id, address: `${id}:${peerPort}` })),
        control: host === entryHost
            ? undefined
            : {
                dataFolder: join(folder, host),
                formsCluster,
                longestLeaseMs: 6_000,
                stopMs: 200,
                availabilityZones: [],
            },
        logLevel: "info",
    });
    const startsByHost = new Map<string, number>();
    const stop = (host: string): Effect.Effect<void> => {
        const kernel = running.get(host);
        running.delete(host);
        return kernel === undefined ? Effect.void : kernel.stopAll;
    };
    yield* Effect.addFinalizer(() => Effect.forEach([...running.keys()], stop, { discard: true }));
    const cluster: Cluster = {
        workers,
        startsByHost,
        stop,
        awaitReplicaFailure: host =>
            Effect.suspend(() =>
                awaitReplicaFailure(running.get(host) ?? assert.fail(`${host} does not run`), makeSettings(host, false))
            ),
        start: (host, formsCluster) =>
            Effect.gen(function*() {
                const kernel = createJobProcess(makeSettings(host, formsCluster), {
                    workers: countStarts(workers.port, host, startsByHost),
                    logger: silentLogger,
                    metrics: createMetrics(),
                });
                running.set(host, kernel);
                yield* Effect.orDie(kernel.startAll);
                return kernel;
            }),
    };
    return cluster;
});

const configuration: QueueConfiguration = {
    version: 1,
    queues: [makeQueue()],
    pools: [{ name: "pool", healthPath: "/health", guardsCapacity: false, isStandby: false }],
    bodyLimitBytes: 1_000,
    document: Buffer.from("text"),
};

function ask(kernel: Kernel, request: JobRequest) {
    return kernel.findService(forwarderKey).forwardRequest(request, budgetMs);
}

const submit = (kernel: Kernel, id: string) =>
    ask(kernel, { kind: "submitJob", spec: makeJob(id), hostName: "jobs.example", path: `/main/${id}` });

const awaitCompletion = Effect.fnUntraced(function*(kernel: Kernel, job: string) {
    const request: JobRequest = { kind: "readJob", job, hostName: "jobs.example", path: `/main/${job}` };
    for (let reply = yield* ask(kernel, request); reply.kind !== "phase" || reply.phase !== "completed";) {
        assert.notEqual(reply.kind, "noJob");
        yield* Effect.sleep(50);
        reply = yield* ask(kernel, request);
    }
});

function testCluster(name: string, run: (cluster: Cluster) => Effect.Effect<void, never, Scope.Scope>): void {
    test(name, { timeout: 120_000 }, () => Effect.runPromise(Effect.scoped(Effect.flatMap(openCluster, run))));
}

testCluster(
    "control processes form a cluster from seeds and run jobs that are submitted through an entry process",
    cluster =>
        Effect.gen(function*() {
            for (const host of controlHosts) {
                yield* cluster.start(host, true);
            }
            const entry = yield* cluster.start(entryHost, false);
            assert.equal((yield* ask(entry, { kind: "setConfiguration", configuration })).kind, "configuration");
            const worker = makeWorker("w1");
            cluster.workers.addWorker(worker);
            const heartbeat = { worker, draining: false, remainingMs: undefined, sequence: 1, clockMs: undefined };
            assert.equal((yield* ask(entry, { kind: "recordHeartbeat", heartbeat })).kind, "done");
            assert.equal((yield* submit(entry, "a")).kind, "accepted");
            yield* awaitCompletion(entry, "a");
        }),
);

testCluster(
    "jobs survive the stop and restart of each control process in turn, and a new process joins the cluster",
    cluster =>
        Effect.gen(function*() {
            for (const host of controlHosts) {
                yield* cluster.start(host, true);
            }
            const entry = yield* cluster.start(entryHost, false);
            yield* ask(entry, { kind: "setConfiguration", configuration });
            for (const host of controlHosts) {
                assert.equal((yield* submit(entry, `before-${host}`)).kind, "accepted");
                yield* cluster.stop(host);
                assert.equal((yield* submit(entry, `without-${host}`)).kind, "accepted");
                yield* cluster.start(host, false);
            }
            const joining = yield* cluster.start(joiningHost, false);
            const worker = makeWorker("w1");
            cluster.workers.addWorker(worker);
            const heartbeat = { worker, draining: false, remainingMs: undefined, sequence: 1, clockMs: undefined };
            assert.equal((yield* ask(joining, { kind: "recordHeartbeat", heartbeat })).kind, "done");
            for (const host of controlHosts) {
                yield* awaitCompletion(entry, `before-${host}`);
                yield* awaitCompletion(entry, `without-${host}`);
            }
            const read = yield* ask(joining, { kind: "readConfiguration" });
            assert.equal(read.kind === "configuration" ? Buffer.from(read.document ?? []).toString() : "", "text");
        }),
);

// Guards against a leader that makes all calls to workers itself, while the other control processes are idle.
testCluster(
    "the control processes that do not lead carry out the calls to workers",
    cluster =>
        Effect.gen(function*() {
            const kernels: Kernel[] = [];
            for (const host of controlHosts) {
                kernels.push(yield* cluster.start(host, true));
            }
            const entry = yield* cluster.start(entryHost, false);
            yield* ask(entry, { kind: "setConfiguration", configuration });
            for (let index = 0; index < 6; index += 1) {
                const worker = makeWorker(`w${index}`);
                cluster.workers.addWorker(worker);
                const heartbeat = { worker, draining: false, remainingMs: undefined, sequence: 1, clockMs: undefined };
                assert.equal((yield* ask(entry, { kind: "recordHeartbeat", heartbeat })).kind, "done");
            }
            const jobs = Array.from({ length: 12 }, (item, index) => `job${index}`);
            for (const job of jobs) {
                assert.equal((yield* submit(entry, job)).kind, "accepted");
            }
            for (const job of jobs) {
                yield* awaitCompletion(entry, job);
            }
            const leader = kernels[0]?.findService(logKey).readStatus().leader;
            const startsByLeader = cluster.startsByHost.get(leader ?? "") ?? 0;
            const starts = [...cluster.startsByHost.values()].reduce((sum, each) => sum + each, 0);
            assert.ok(starts >= jobs.length);
            assert.ok(startsByLeader < starts / 2, `the leader carried out ${startsByLeader} of ${starts} starts`);
        }),
);

// Guards against a process that goes on without its replica, which nobody restarts (issue 25).
testCluster(
    "a process whose replica stops after a failure of its state machine reports it, and the other processes do not",
    cluster =>
        Effect.gen(function*() {
            const kernels = new Map<string, Kernel>();
            for (const host of controlHosts) {
                kernels.set(host, yield* cluster.start(host, true));
            }
            const entry = yield* cluster.start(entryHost, false);
            yield* ask(entry, { kind: "setConfiguration", configuration });
            const [failing = "", ...others] = controlHosts;
            const waits = new Map<string, Fiber.Fiber<never, ErrorData>>();
            for (const host of [...controlHosts, entryHost]) {
                waits.set(host, yield* Effect.forkScoped(cluster.awaitReplicaFailure(host)));
            }
            yield* Effect.yieldNow;
            Object.assign(kernels.get(failing)?.findService(machineKey) ?? {}, {
                applyCommand: () => {
                    throw new Error("a command that cannot be applied");
                },
            });
            yield* submit(entry, "a");
            const wait = waits.get(failing) ?? assert.fail("the wait was not started");
            const error = yield* Effect.flip(Fiber.join(wait));
            assert.equal(error.kind === "serviceFailed" ? error.service : error.kind, "jobLog");
            for (const host of [...others, entryHost]) {
                assert.equal(waits.get(host)?.pollUnsafe(), undefined);
            }
            // A wait that begins after the failure reports it too.
            assert.equal((yield* Effect.flip(cluster.awaitReplicaFailure(failing))).kind, "serviceFailed");
        }),
);
