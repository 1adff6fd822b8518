import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import { readMonotonicMs, type WorkerInfo } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import {
    listOverlaps,
    listRepeated,
    makeWorker,
    type TestSystem,
    testSystem,
    type WorkerFault,
} from "./fakes/index.js";

/** Time until a worker that crashed starts again under its id, in milliseconds; its lease is not over by then. */
const restartMs = 500;

const readPhase = (system: TestSystem, job: string) =>
    system.ask({ kind: "readJob", job, hostName: "jobs.example", path: `/main/${job}` });

/** Workers that start again under their ids, `w1` after it has run and reported eight tasks. */
const setUpWorkers = Effect.fnUntraced(function*(system: TestSystem, count: number) {
    system.workers.setCrashingRuns(
        () => false,
        { afterMs: restartMs, nextInfo: (crashed, nowMs) => ({ ...crashed, bornAtMs: nowMs }) },
        system.announce,
    );
    for (let number = 1; number <= count; number += 1) {
        yield* system.addWorker(makeWorker(`w${number}`, { bornAtMs: 1, labels: [`kind-${number}`, "r0"] }));
    }
    yield* system.submit(makeJob("first", [makeStep({ count: 8, requiredLabel: "kind-1" })]));
    yield* system.pass(4_000);
    assert.deepEqual(yield* readPhase(system, "first"), { kind: "phase", phase: "completed" });
});

const crashWorker = (system: TestSystem, id: string) =>
    Effect.map(readMonotonicMs, nowMs => system.workers.crashWorker(id, nowMs));

const findWorker = (system: TestSystem, id: string): WorkerInfo => {
    const info = system.machine.state.workers.get(id)?.info;
    assert.ok(info !== undefined);
    return info;
};

// Guards against acknowledging the ends of a worker that started again under its id with the cursor of its earlier start: it
// forgot them before they were recorded, and the tasks ran again.
testSystem("the ends of a worker that started again under its id are recorded", system =>
    Effect.gen(function*() {
        yield* setUpWorkers(system, 1);
        yield* crashWorker(system, "w1");
        yield* system.pass(restartMs + 1_000);
        yield* system.submit(makeJob("second", [makeStep({ count: 4, requiredLabel: "kind-1" })]));
        yield* system.pass(5_000);
        assert.deepEqual(listRepeated(yield* system.readStartedRuns), []);
        assert.deepEqual(yield* readPhase(system, "second"), { kind: "phase", phase: "completed" });
    }));

testSystem("the runs of an earlier start end with it and start again", system =>
    Effect.gen(function*() {
        yield* setUpWorkers(system, 1);
        yield* system.submit(makeJob("second", [makeStep({ count: 2, requiredLabel: "kind-1" })]));
        yield* system.pass(500);
        yield* crashWorker(system, "w1");
        yield* system.pass(restartMs + 4_000);
        assert.deepEqual(listRepeated(yield* system.readStartedRuns), []);
        assert.deepEqual(yield* readPhase(system, "second"), { kind: "phase", phase: "completed" });
    }));

testSystem("a new leader tells the starts of a worker apart", system =>
    Effect.gen(function*() {
        yield* setUpWorkers(system, 1);
        yield* system.submit(makeJob("second", [makeStep({ count: 2, requiredLabel: "kind-1" })]));
        yield* system.pass(500);
        yield* crashWorker(system, "w1");
        system.log.setLeader("b");
        yield* system.pass(restartMs + 4_000);
        assert.deepEqual(listRepeated(yield* system.readStartedRuns), []);
        assert.deepEqual(yield* readPhase(system, "second"), { kind: "phase", phase: "completed" });
        assert.ok((findWorker(system, "w1").bornAtMs ?? 0) > 1);
    }));

const sendHeartbeat = (system: TestSystem, worker: WorkerInfo, sequence: number, draining = false) =>
    system.ask({
        kind: "recordHeartbeat",
        heartbeat: { worker, draining, remainingMs: undefined, sequence, clockMs: undefined },
    });

testSystem(
    "a heartbeat of an earlier start changes nothing, one of a later start counts from its first on",
    system =>
        Effect.gen(function*() {
            yield* setUpWorkers(system, 1);
            yield* sendHeartbeat(system, findWorker(system, "w1"), 50);
            yield* crashWorker(system, "w1");
            yield* system.pass(restartMs + 1_000);
            const born = findWorker(system, "w1");
            const small = { milliCpu: 2_000, memoryMib: 500, accelerators: 0 };
            yield* sendHeartbeat(system, { ...born, bornAtMs: 1, capacity: small }, 60, true);
            yield* system.pass(500);
            assert.equal(system.machine.state.workers.get("w1")?.isDraining, false);
            assert.deepEqual(findWorker(system, "w1"), born);
            yield* sendHeartbeat(system, { ...born, capacity: small }, 2);
            assert.deepEqual(findWorker(system, "w1").capacity, small);
        }),
);

testSystem("a worker that drained and starts again under its id gets runs", system =>
    Effect.gen(function*() {
        yield* setUpWorkers(system, 1);
        yield* sendHeartbeat(system, findWorker(system, "w1"), 50, true);
        assert.equal(system.machine.state.workers.get("w1")?.isDraining, true);
        yield* crashWorker(system, "w1");
        yield* system.pass(restartMs + 1_000);
        yield* system.submit(makeJob("second", [makeStep({ count: 2, requiredLabel: "kind-1" })]));
        yield* system.pass(3_000);
        assert.deepEqual(yield* readPhase(system, "second"), { kind: "phase", phase: "completed" });
    }));

testSystem("the announcement that an earlier start leaves does not end a later one", system =>
    Effect.gen(function*() {
        yield* setUpWorkers(system, 1);
        yield* system.ask({ kind: "removeWorker", worker: "w1" });
        yield* crashWorker(system, "w1");
        yield* system.pass(restartMs + 3_000);
        yield* system.submit(makeJob("second", [makeStep({ count: 2, requiredLabel: "kind-1" })]));
        yield* system.pass(3_000);
        assert.deepEqual(yield* readPhase(system, "second"), { kind: "phase", phase: "completed" });
    }));

// Guards against a delayed order to an earlier start that the later one carries out while the task runs elsewhere.
testSystem(
    "a start without an answer is stopped on the later start before the task starts elsewhere",
    system =>
        Effect.gen(function*() {
            yield* setUpWorkers(system, 1);
            yield* system.addWorker(makeWorker("w2", { bornAtMs: 1, labels: ["kind-1", "r0"] }));
            system.workers.setBehaviour(() => ({ runMs: 3_000, outcome: "succeeded" }));
            yield* system.pass(500);
            system.workers.setFault("w1", "startsLate");
            system.workers.setFault("w2", "startsLate");
            yield* system.submit(makeJob("second", [makeStep({ count: 4, requiredLabel: "kind-1" })]));
            yield* system.pass(200);
            yield* crashWorker(system, "w1");
            system.workers.setFault("w2", "none");
            yield* system.pass(20_000);
            assert.deepEqual(listOverlaps(yield* system.readStartedRuns), []);
            assert.deepEqual(yield* readPhase(system, "second"), { kind: "phase", phase: "completed" });
        }),
);

/** A start on `w1`, which then drains, that is delayed and stopped; `w1` crashes `crashMs` after the order. Returns the task's runs. */
const playStoppedStart = Effect.fnUntraced(function*(system: TestSystem, fault: WorkerFault, crashMs: number) {
    yield* setUpWorkers(system, 1);
    system.workers.setBehaviour(() => ({ runMs: 3_000, outcome: "succeeded" }));
    system.workers.setFault("w1", fault);
    yield* system.submit(makeJob("second", [makeStep({ requiredLabel: "kind-1" })]));
    yield* system.addWorker(makeWorker("w2", { bornAtMs: 1, labels: ["kind-1", "r0"] }));
    yield* system.pass(500);
    yield* system.heartbeat(findWorker(system, "w1"), true);
    yield* system.pass(crashMs - 500);
    yield* crashWorker(system, "w1");
    yield* system.pass(10_000);
    const runs = (yield* system.readStartedRuns).filter(({ task }) => task.startsWith("second"));
    assert.deepEqual(listOverlaps(runs), []);
    assert.deepEqual(yield* readPhase(system, "second"), { kind: "phase", phase: "completed" });
    return runs;
});

// Guards against a delayed order that a later start carries out although its stop was confirmed, because the worker forgot the
// stop when it crashed. The task already runs elsewhere.
testSystem(
    "a start whose stop was confirmed before a restart is not carried out after it",
    system =>
        Effect.gen(function*() {
            const runs = yield* playStoppedStart(system, "startsVeryLate", 5_500);
            assert.deepEqual(runs.map(({ worker }) => worker), ["w2"]);
        }),
);

// Guards against the same before a report has shown that the stop had its effect: the task must not start elsewhere until the later
// start has confirmed the stop too.
testSystem(
    "a start whose stop was confirmed right before a restart is not carried out, and its task starts once",
    system =>
        Effect.gen(function*() {
            const runs = yield* playStoppedStart(system, "startsLate", 2_700);
            assert.deepEqual(runs.map(({ run }) => run), [2]);
        }),
);

// Guards against a worker that is ignored for good, because its wall clock was set back before it started again.
testSystem("a worker that starts again with an earlier wall clock gets runs", system =>
    Effect.gen(function*() {
        system.workers.setCrashingRuns(
            () => false,
            { afterMs: restartMs, nextInfo: crashed => ({ ...crashed, bornAtMs: (crashed.bornAtMs ?? 0) - 5_000 }) },
            system.announce,
        );
        yield* system.addWorker(makeWorker("w1", { bornAtMs: 100_000 }));
        yield* system.submit(makeJob("first", [makeStep({ count: 4 })]));
        yield* system.pass(4_000);
        yield* crashWorker(system, "w1");
        yield* system.pass(restartMs + 5_000);
        yield* system.heartbeat(makeWorker("w1", { bornAtMs: 95_000 }));
        yield* system.submit(makeJob("second", [makeStep({ count: 4 })]));
        yield* system.pass(5_000);
        assert.deepEqual(yield* readPhase(system, "second"), { kind: "phase", phase: "completed" });
        assert.deepEqual(listRepeated(yield* system.readStartedRuns), []);
    }));
