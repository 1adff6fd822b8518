import { makeJob, makeMachine, makeQueue, makeStep } from "@chestnutspool/job-state/fakes";
import { silentLogger } from "@chestnutspool/logger";
import { createMetrics } from "@chestnutspool/record-metrics";
import type { ErrorData, JobCommand, JobReply, JobRequest, JobResult, ReplicatedLog } from "@chestnutspool/types";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFakeWorkers } from "./fakes/fake-workers.js";
import { makeWorker } from "./fakes/index.js";
import { createTestLog } from "./fakes/test-log.js";
import { startLeadership } from "./start-leadership.js";

/** Round trip to a worker, in milliseconds. */
const roundTripMs = 4;
const renewPauseMs = 30;

// Guards against a leader that hands over and calls each worker with an ended run without a pause: its log refuses commands
// for up to two seconds while it still leads, and the answer of such a worker comes at once.
test("a worker whose report cannot be recorded is not called again without a pause", () =>
    Effect.runPromise(
        Effect.scoped(Effect.gen(function*() {
            const machine = makeMachine([], [makeQueue()]);
            const workers = yield* createFakeWorkers;
            const testLog = createTestLog(machine);
            let isHandingOver = false;
            let renewals = 0;
            const replica = testLog.createReplica("a");
            const log: ReplicatedLog<JobCommand, JobResult> = {
                ...replica,
                proposeCommand: command =>
                    Effect.suspend((): Effect.Effect<JobResult, ErrorData> =>
                        isHandingOver
                            ? Effect.fail<ErrorData>({ kind: "notLeader", leader: undefined })
                            : replica.proposeCommand(command)
                    ),
            };
            const leadership = yield* startLeadership({
                log,
                machine,
                workers: {
                    ...workers.port,
                    renewLease: (worker, order, limitMs) =>
                        Effect.suspend(() => {
                            renewals += 1;
                            return Effect.delay(workers.port.renewLease(worker, order, limitMs), roundTripMs);
                        }),
                },
                limits: { longestLeaseMs: 6_000, stopMs: 200, availabilityZones: [] },
                logger: silentLogger,
                metrics: createMetrics(),
            });
            testLog.setLeader("a");
            const pass = Effect.fnUntraced(function*(milliseconds: number) {
                for (let passedMs = 0; passedMs < milliseconds; passedMs += 1) {
                    yield* TestClock.adjust(1);
                }
            });
            const ask = Effect.fnUntraced(function*(request: JobRequest) {
                const fiber: Fiber.Fiber<JobReply> = yield* Effect.forkScoped(leadership.handleRequest(request));
                yield* pass(100);
                return yield* Fiber.join(fiber);
            });
            workers.addWorker(makeWorker("w1"));
            yield* ask({
                kind: "recordHeartbeat",
                heartbeat: {
                    worker: makeWorker("w1"),
                    draining: false,
                    remainingMs: undefined,
                    sequence: 1,
                    clockMs: undefined,
                },
            });
            yield* pass(300);
            const spec = makeJob("a", [makeStep({ count: 1 })]);
            const reply = yield* ask({ kind: "submitJob", spec, hostName: "jobs.example", path: "/main/a" });
            assert.deepEqual(reply, { kind: "accepted" });
            yield* pass(500);
            // The run ends after a second.
            isHandingOver = true;
            yield* pass(1_000);
            renewals = 0;
            yield* pass(1_000);
            assert.ok(renewals <= 1_000 / renewPauseMs, `${renewals} calls to one worker in one second`);
        })).pipe(Effect.provide(TestClock.layer())),
    ));
