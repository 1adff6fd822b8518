import { makeJob, makeQueue, makeStep } from "@chestnutspool/job-state/fakes";
import { readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { makeWorker, type TestSystem, testSystem } from "./fakes/index.js";

const oldWorkers = ["w1", "w2"].map(id => makeWorker(id));
const newWorker = makeWorker("n1", { service: "other" });

/** Longest time from the end of a run until its long-running task runs again, in milliseconds. */
const restartMs = 6_000;

const moveQueue = Effect.fnUntraced(function*(system: TestSystem) {
    const { configuration } = system.machine.state;
    assert.ok(configuration !== undefined);
    const version = configuration.version + 1;
    const pools = configuration.pools.map(pool => ({ ...pool, name: "other" }));
    const moved = { ...configuration, version, pools, queues: [makeQueue({ service: "other" })] };
    const reply = yield* system.ask({ kind: "setConfiguration", configuration: moved });
    assert.deepEqual(reply, { kind: "configuration", version, document: undefined });
});

/** A worker drains, announces its end and is gone. */
const leave = Effect.fnUntraced(function*(system: TestSystem, id: string) {
    yield* system.heartbeat(makeWorker(id), true);
    yield* system.pass(2_000);
    yield* system.ask({ kind: "removeWorker", worker: id });
    system.workers.removeWorker(id, yield* readMonotonicMs);
    yield* system.pass(restartMs);
});

const listRunning = (system: TestSystem) =>
    Effect.map(system.readStartedRuns, runs => runs.filter(({ endedAtMs }) => endedAtMs === undefined));

// Guards against a long-running task that has no run after its queue moved to another service and the workers of the earlier one left.
testSystem(
    "a long-running job goes on with the workers of another service after its queue has moved there",
    system =>
        Effect.gen(function*() {
            system.workers.setBehaviour(() => ({ runMs: 3_600_000, outcome: "succeeded" }));
            yield* Effect.forEach([...oldWorkers, newWorker], info => system.addWorker(info));
            yield* system.submit(makeJob("a", [makeStep({ count: 2, longRunning: true })]));
            yield* system.pass(1_000);
            yield* moveQueue(system);
            yield* system.pass(2_000);
            yield* leave(system, "w1");
            yield* leave(system, "w2");
            const running = yield* listRunning(system);
            assert.deepEqual(running.map(({ worker }) => worker), ["n1", "n1"]);
        }),
);
