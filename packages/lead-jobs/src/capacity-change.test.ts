import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { makeWorker, type StartedRun, type TestSystem, testSystem } from "./fakes/index.js";

const full = { milliCpu: 4_000, memoryMib: 1_000, accelerators: 0 };
const half = { ...full, milliCpu: 2_000 };

/** Counts the runs that were in progress at the same time at most, of those that started at `fromMs` or later. */
function countAtOnce(runs: readonly StartedRun[], fromMs: number): number {
    const started = runs.filter(({ startedAtMs }) => startedAtMs >= fromMs);
    const atOnce = started.map(run =>
        runs.filter(other =>
            other.startedAtMs <= run.startedAtMs && (other.endedAtMs ?? Number.POSITIVE_INFINITY) > run.startedAtMs
        ).length
    );
    return Math.max(0, ...atOnce);
}

const readLastStartMs = (system: TestSystem) =>
    Effect.map(system.readStartedRuns, runs => Math.max(0, ...runs.map(({ startedAtMs }) => startedAtMs)));

// Guards against starts that bring a worker over a capacity that has shrunk while it runs, because its first heartbeat alone
// was used.
testSystem(
    "a capacity that shrinks and grows again limits the starts from the next heartbeat on",
    system =>
        Effect.gen(function*() {
            yield* system.addWorker(makeWorker("w1", { capacity: full }));
            yield* system.submit(makeJob("a", [makeStep({ count: 12 })]));
            yield* system.pass(500);
            assert.equal(countAtOnce(yield* system.readStartedRuns, 0), 4);
            yield* system.heartbeat(makeWorker("w1", { capacity: half }));
            const shrunkAtMs = (yield* readLastStartMs(system)) + 1;
            yield* system.pass(2_500);
            assert.equal(countAtOnce(yield* system.readStartedRuns, shrunkAtMs), 2);
            yield* system.heartbeat(makeWorker("w1", { capacity: full }));
            const grownAtMs = (yield* readLastStartMs(system)) + 1;
            yield* system.pass(1_500);
            assert.equal(countAtOnce(yield* system.readStartedRuns, grownAtMs), 4);
        }),
);

testSystem(
    "the next leader knows a changed capacity, and a delayed heartbeat does not undo it",
    system =>
        Effect.gen(function*() {
            yield* system.addWorker(makeWorker("w1", { capacity: full }));
            yield* system.pass(500);
            yield* system.heartbeat(makeWorker("w1", { capacity: half }));
            system.log.setLeader("b");
            yield* system.pass(1_000);
            yield* system.ask({
                kind: "recordHeartbeat",
                heartbeat: {
                    worker: makeWorker("w1", { capacity: full }),
                    draining: false,
                    remainingMs: undefined,
                    sequence: 1,
                    clockMs: undefined,
                },
            });
            yield* system.submit(makeJob("a", [makeStep({ count: 6 })]));
            yield* system.pass(3_000);
            assert.equal(countAtOnce(yield* system.readStartedRuns, 0), 2);
        }),
);

testSystem(
    "a job that only fits the capacity before it shrank is accepted and waits",
    system =>
        Effect.gen(function*() {
            yield* system.addWorker(makeWorker("w1", { capacity: full }));
            yield* system.pass(500);
            yield* system.heartbeat(makeWorker("w1", { capacity: half }));
            const large = makeStep({ resources: { milliCpu: 3_000, memoryMib: 100, accelerators: 0 } });
            assert.equal((yield* system.submit(makeJob("a", [large]))).kind, "accepted");
            yield* system.pass(1_000);
            assert.equal((yield* system.readStartedRuns).length, 0);
            yield* system.heartbeat(makeWorker("w1", { capacity: full }));
            yield* system.pass(1_000);
            assert.equal((yield* system.readStartedRuns).length, 1);
        }),
);
