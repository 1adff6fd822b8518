import { makeMachine, makeQueue, makeWorker, type TestMachine } from "@chestnutspool/job-state/fakes";
import { type Logger, silentLogger } from "@chestnutspool/logger";
import { createMetrics, type Metrics } from "@chestnutspool/record-metrics";
import {
    type JobCommand,
    type JobDefinition,
    type JobReply,
    type JobRequest,
    type JobResult,
    type QueueSettings,
    readMonotonicMs,
    type ReplicatedLog,
    type WorkerInfo,
} from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { type Leadership, startLeadership } from "../start-leadership.js";
import type { LeaderLimits } from "../term.js";
import { createFakeWorkers } from "./fake-workers.js";
import { createTestLog, type TestLog } from "./test-log.js";
import { type FakeWorkers, type StartedRun, testLeaseMs } from "./worker-types.js";

/** Step by which simulated time advances, in milliseconds. */
const stepMs = 10;

/** Pause before a heartbeat that no leader received is sent again, in milliseconds. */
const heartbeatRetryMs = 200;

/** Two replicas, one of which leads, and fake workers in simulated time. */
export interface TestSystem {
    readonly machine: TestMachine;
    readonly workers: FakeWorkers;
    readonly log: TestLog;
    readonly ask: (request: JobRequest) => Effect.Effect<JobReply>;
    /** Asks one replica, `a` or `b`. */
    readonly askReplica: (self: string, request: JobRequest) => Effect.Effect<JobReply>;
    readonly submit: (definition: JobDefinition) => Effect.Effect<JobReply>;
    readonly addWorker: (info: WorkerInfo, clockRate?: number) => Effect.Effect<void>;
    readonly heartbeat: (
        info: WorkerInfo,
        draining?: boolean,
        coldRemainingMs?: number,
    ) => Effect.Effect<JobReply>;
    /** Sends heartbeats of a worker until the leader has received one; others advance the time meanwhile. */
    readonly announce: (info: WorkerInfo) => Effect.Effect<void>;
    /** Advances simulated time in small steps. */
    readonly pass: (milliseconds: number) => Effect.Effect<void>;
    readonly readStartedRuns: Effect.Effect<readonly StartedRun[]>;
}

/** Advances simulated time until an effect has completed. */
const passWhile = Effect.fnUntraced(function*<Value>(effect: Effect.Effect<Value>) {
    const result: { value: Value | undefined; isDone: boolean; } = { value: undefined, isDone: false };
    yield* Effect.forkScoped(Effect.map(effect, value => {
        result.value = value;
        result.isDone = true;
    }));
    while (!result.isDone) {
        yield* TestClock.adjust(stepMs);
    }
    return result.value as Value;
});

/** Lets a wrapped function throw while a test sets it so. */
export interface FaultSwitch {
    isFailing: boolean;
}

/** Wraps a function so that it throws while the switch is set. */
export function failWhile<Parameters extends readonly unknown[], Result>(
    fault: FaultSwitch,
    call: (...parameters: Parameters) => Result,
): (...parameters: Parameters) => Result {
    return (...parameters) => {
        if (fault.isFailing) {
            throw new Error("no answer");
        }
        return call(...parameters);
    };
}

/** Parts of a test system that a test replaces. */
export interface TestParts {
    readonly wrapLog?: (log: ReplicatedLog<JobCommand, JobResult>) => ReplicatedLog<JobCommand, JobResult>;
    readonly logger?: Logger;
    readonly metrics?: Metrics;
    readonly limits?: Partial<LeaderLimits>;
    /** Memory for the state in bytes; without a limit by default. */
    readonly budgetBytes?: number;
    /** By default one queue, `main`. */
    readonly queues?: readonly QueueSettings[];
    /** By default it is not known for how long the event loop has been busy. */
    readonly readBusyMs?: () => number;
}

/** Starts a system without workers in which replica `a` leads; `wrapPort` may observe the calls to workers. */
export const startTestSystemWith = Effect.fnUntraced(function*(
    wrapPort: (port: FakeWorkers["port"]) => FakeWorkers["port"],
    {
        wrapLog = log => log,
        logger = silentLogger,
        metrics = createMetrics(),
        limits = {},
        budgetBytes,
        queues = [makeQueue()],
        readBusyMs,
    }: TestParts = {},
) {
    const machine = makeMachine([], queues, budgetBytes);
    const workers = yield* createFakeWorkers;
    const log = createTestLog(machine);
    const leaderships = new Map<string, Leadership>();
    for (const self of ["a", "b"]) {
        leaderships.set(
            self,
            yield* startLeadership({
                log: wrapLog(log.createReplica(self)),
                machine,
                workers: wrapPort(workers.port),
                limits: { longestLeaseMs: testLeaseMs, stopMs: 200, availabilityZones: ["z", "z2"], ...limits },
                logger,
                metrics,
                readBusyMs,
            }),
        );
    }
    log.setLeader("a");
    const sequences = new Map<string, number>();
    const ask = (request: JobRequest): Effect.Effect<JobReply> =>
        Effect.scoped(passWhile(Effect.gen(function*() {
            for (const leadership of leaderships.values()) {
                const reply = yield* leadership.handleRequest(request);
                if (reply.kind !== "notLeader") {
                    return reply;
                }
            }
            return { kind: "notLeader", leader: undefined } satisfies JobReply;
        })));
    const heartbeat = (worker: WorkerInfo, draining = false, coldRemainingMs?: number): Effect.Effect<JobReply> => {
        const sequence = (sequences.get(worker.id) ?? 0) + 1;
        sequences.set(worker.id, sequence);
        return ask({
            kind: "recordHeartbeat",
            heartbeat: { worker, draining, remainingMs: undefined, sequence, clockMs: undefined, coldRemainingMs },
        });
    };
    const announce = Effect.fnUntraced(function*(worker: WorkerInfo) {
        for (let sequence = 1;; sequence += 1) {
            for (const leadership of leaderships.values()) {
                const reply = yield* leadership.handleRequest({
                    kind: "recordHeartbeat",
                    heartbeat: { worker, draining: false, remainingMs: undefined, sequence, clockMs: undefined },
                });
                if (reply.kind === "done") {
                    return;
                }
            }
            yield* Effect.sleep(heartbeatRetryMs);
        }
    });
    const pass = Effect.fnUntraced(function*(milliseconds: number) {
        for (let passedMs = 0; passedMs < milliseconds; passedMs += stepMs) {
            yield* TestClock.adjust(stepMs);
        }
    });
    const system: TestSystem = {
        machine,
        workers,
        log,
        ask,
        askReplica: (self, request) =>
            Effect.scoped(passWhile(leaderships.get(self)?.handleRequest(request) ?? Effect.never)),
        submit: spec => ask({ kind: "submitJob", spec, hostName: "jobs.example", path: `/main/${spec.id}` }),
        addWorker: (info, clockRate) =>
            Effect.asVoid(Effect.suspend(() => {
                workers.addWorker(info, clockRate);
                return heartbeat(info);
            })),
        heartbeat,
        announce,
        pass,
        readStartedRuns: Effect.map(readMonotonicMs, nowMs => workers.readStartedRuns(nowMs)),
    };
    return system;
});

/** Starts a system without workers in which replica `a` leads. */
export const startTestSystem = startTestSystemWith(port => port);

/** Lists pairs of runs of one task that were in progress at the same time. */
export function listOverlaps(runs: readonly StartedRun[]): string[] {
    const overlaps: string[] = [];
    runs.forEach((run, position) => {
        for (const other of runs.slice(position + 1)) {
            const endsBefore = (run.endedAtMs ?? Number.POSITIVE_INFINITY) <= other.startedAtMs
                || (other.endedAtMs ?? Number.POSITIVE_INFINITY) <= run.startedAtMs;
            if (run.task === other.task && !endsBefore) {
                overlaps.push(`${run.task}: run ${run.run} on ${run.worker}, run ${other.run} on ${other.worker}`);
            }
        }
    });
    return overlaps;
}

/** Lists the runs that started after a run of their task had succeeded and this end was acknowledged. */
export function listRepeated(runs: readonly StartedRun[]): string[] {
    return runs.filter(run =>
        runs.some(other =>
            other.task === run.task && other.outcome === "succeeded" && other.isAcknowledged
            && (other.endedAtMs ?? Number.POSITIVE_INFINITY) <= run.startedAtMs
        )
    ).map(({ task, run, worker }) => `${task}: run ${run} on ${worker}`);
}

export { makeWorker };
