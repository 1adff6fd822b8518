import { makeMachine, makeQueue, makeWorker, type TestMachine } from "@chestnutspool/job-state/fakes";
import { silentLogger } from "@chestnutspool/logger";
import { createMetrics } from "@chestnutspool/record-metrics";
import {
    type JobDefinition,
    type JobReply,
    type JobRequest,
    readMonotonicMs,
    type WorkerInfo,
} from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { type Leadership, startLeadership } from "../start-leadership.js";
import { createFakeWorkers, type FakeWorkers, type LedgerRun } from "./fake-workers.js";
import { createTestLog, type TestLog } from "./test-log.js";

/** Longest lease of the fake workers, in milliseconds. */
export const testLeaseMs = 6_000;
/** Step by which tests let time pass, in milliseconds. */
const stepMs = 10;

/** Two replicas, of which one leads, and workers. */
export interface TestSystem {
    readonly machine: TestMachine;
    readonly workers: FakeWorkers;
    readonly log: TestLog;
    readonly ask: (request: JobRequest) => Effect.Effect<JobReply>;
    readonly submit: (definition: JobDefinition) => Effect.Effect<JobReply>;
    readonly addWorker: (info: WorkerInfo, clockRate?: number) => Effect.Effect<void>;
    readonly heartbeat: (info: WorkerInfo, draining?: boolean) => Effect.Effect<JobReply>;
    /** Lets time pass in small steps. */
    readonly pass: (milliseconds: number) => Effect.Effect<void>;
    readonly readLedger: Effect.Effect<readonly LedgerRun[]>;
}

/** Lets time pass while an effect that waits for it runs. */
const passWhile = Effect.fnUntraced(function*<Value>(effect: Effect.Effect<Value>) {
    const holder: { value: Value | undefined; isDone: boolean; } = { value: undefined, isDone: false };
    yield* Effect.forkScoped(Effect.map(effect, value => {
        holder.value = value;
        holder.isDone = true;
    }));
    while (!holder.isDone) {
        yield* TestClock.adjust(stepMs);
    }
    return holder.value as Value;
});

/** Starts a system whose replica `a` leads, with no workers. */
export const startTestSystem = Effect.gen(function*() {
    const machine = makeMachine([], [makeQueue()]);
    const workers = yield* createFakeWorkers;
    const log = createTestLog(machine);
    const leaderships: Leadership[] = [];
    for (const self of ["a", "b"]) {
        leaderships.push(
            yield* startLeadership({
                log: log.createReplica(self),
                machine,
                workers: workers.port,
                limits: { longestLeaseMs: testLeaseMs, stopMs: 200 },
                logger: silentLogger,
                metrics: createMetrics(),
            }),
        );
    }
    log.setLeader("a");
    const sequences = new Map<string, number>();
    const ask = (request: JobRequest): Effect.Effect<JobReply> =>
        Effect.scoped(passWhile(Effect.gen(function*() {
            for (const leadership of leaderships) {
                const reply = yield* leadership.handleRequest(request);
                if (reply.kind !== "notLeader") {
                    return reply;
                }
            }
            return { kind: "notLeader", leader: undefined } satisfies JobReply;
        })));
    const heartbeat = (worker: WorkerInfo, draining = false): Effect.Effect<JobReply> => {
        const sequence = (sequences.get(worker.id) ?? 0) + 1;
        sequences.set(worker.id, sequence);
        return ask({
            kind: "recordHeartbeat",
            heartbeat: { worker, draining, remainingMs: undefined, sequence, clockMs: undefined },
        });
    };
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
        submit: spec => ask({ kind: "submitJob", spec, hostName: "jobs.example", path: `/main/${spec.id}` }),
        addWorker: (info, clockRate) =>
            Effect.asVoid(Effect.suspend(() => {
                workers.addWorker(info, clockRate);
                return heartbeat(info);
            })),
        heartbeat,
        pass,
        readLedger: Effect.map(readMonotonicMs, nowMs => workers.readLedger(nowMs)),
    };
    return system;
});

/** Runs of one task that were in progress at the same time. */
export function listOverlaps(ledger: readonly LedgerRun[]): string[] {
    const overlaps: string[] = [];
    ledger.forEach((run, position) => {
        for (const other of ledger.slice(position + 1)) {
            const endsBefore = (run.endedAtMs ?? Number.POSITIVE_INFINITY) <= other.startedAtMs
                || (other.endedAtMs ?? Number.POSITIVE_INFINITY) <= run.startedAtMs;
            if (run.task === other.task && !endsBefore) {
                overlaps.push(`${run.task}: run ${run.run} on ${run.worker}, run ${other.run} on ${other.worker}`);
            }
        }
    });
    return overlaps;
}

export { makeWorker };
