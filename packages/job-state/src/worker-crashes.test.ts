import type { RunKey } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeStep, makeWorker, type TestMachine, testStartMs } from "./fakes/index.js";
import { createJobMachine } from "./job-machine.js";

function makeKey(position: number, run = 1): RunKey {
    return { job: "a", occurrence: 0, step: 0, position, run };
}

function start(machine: TestMachine, position: number, run = 1): void {
    machine.apply({ kind: "startRuns", starts: [{ ...makeKey(position, run), worker: "w1" }] });
}

function crash(machine: TestMachine, suspectedRuns: readonly RunKey[], nowMs = testStartMs): void {
    machine.apply(
        {
            kind: "expireWorker",
            worker: "w1",
            isGone: false,
            checkpoints: [],
            crash: { suspectedRuns, isCertain: suspectedRuns.length === 1, clearedRuns: [] },
        },
        nowMs,
    );
}

function listCrashes(machine: Pick<TestMachine, "state">) {
    const tasks = machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks ?? [];
    return tasks.map(({ crashes }) => crashes);
}

function setUp(): TestMachine {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    machine.submit(makeJob("a", [makeStep({ count: 2 })]));
    start(machine, 0);
    start(machine, 1);
    return machine;
}

test("a crash counts for all runs on the worker, a suspicion for the suspected ones", () => {
    const machine = setUp();
    crash(machine, [makeKey(0)]);
    assert.deepEqual(listCrashes(machine), [
        { crashes: 1, suspicions: 1, certain: 1, run: 1 },
        { crashes: 1, suspicions: 0, certain: 0, run: 1 },
    ]);
    start(machine, 0, 2);
    crash(machine, [makeKey(0, 2)]);
    assert.deepEqual(listCrashes(machine)[0], { crashes: 2, suspicions: 2, certain: 2, run: 2 });
});

test("the crash of a worker clears the runs that have proved themselves", () => {
    const machine = setUp();
    crash(machine, [makeKey(0), makeKey(1)]);
    [0, 1].forEach(position => start(machine, position, 2));
    const clearing = { suspectedRuns: [], isCertain: false, clearedRuns: [makeKey(0, 2)] };
    machine.apply({ kind: "expireWorker", worker: "w1", isGone: false, checkpoints: [], crash: clearing });
    assert.deepEqual(listCrashes(machine), [undefined, { crashes: 2, suspicions: 1, certain: 0, run: 2 }]);
});

// Guards against a run that goes on because its start may yet be carried out, and was blamed for the next crash as well.
test("a run counts for one crash of its worker only", () => {
    const machine = setUp();
    for (let crashes = 0; crashes < 3; crashes += 1) {
        machine.apply({
            kind: "expireWorker",
            worker: "w1",
            isGone: false,
            checkpoints: [],
            kept: [makeKey(0)],
            crash: { suspectedRuns: [makeKey(0)], isCertain: true, clearedRuns: [] },
        });
    }
    assert.deepEqual(listCrashes(machine)[0], { crashes: 1, suspicions: 1, certain: 1, run: 1 });
    assert.deepEqual([...machine.state.workers.get("w1")?.runs.keys() ?? []], ["a.0.0.0#1"]);
});

test("a run that ends by itself clears the crashes of its task", () => {
    const machine = setUp();
    crash(machine, [makeKey(0), makeKey(1)]);
    [0, 1].forEach(position => start(machine, position, 2));
    machine.apply({
        kind: "endRuns",
        worker: "w1",
        ends: [
            { ...makeKey(0, 2), outcome: "failed", checkpoint: "" },
            { ...makeKey(1, 2), outcome: "stopped", checkpoint: "" },
        ],
    });
    assert.deepEqual(listCrashes(machine), [undefined, { crashes: 1, suspicions: 1, certain: 0, run: 1 }]);
});

test("the crash of a worker does not count for a run that has worked for a long time", () => {
    const machine = setUp();
    crash(machine, [makeKey(0)], testStartMs + 30_000);
    assert.deepEqual(listCrashes(machine), [undefined, undefined]);
});

test("an expiry that an earlier build recorded counts no crash", () => {
    const machine = setUp();
    machine.apply({ kind: "expireWorker", worker: "w1", isGone: true, checkpoints: [] });
    assert.deepEqual(listCrashes(machine), [undefined, undefined]);
});

test("crashes, times of starts and the reason of a failure are kept in a snapshot", () => {
    const machine = setUp();
    crash(machine, [makeKey(0)]);
    start(machine, 1, 2);
    machine.submit(makeJob("b"));
    const failure = { reason: "workerCrashes", task: "b.0.0.0" } as const;
    machine.apply({ kind: "cancelJob", job: "b", failure });
    const restored = createJobMachine();
    restored.restoreSnapshot(machine.takeSnapshot());
    assert.deepEqual(listCrashes(restored), listCrashes(machine));
    assert.deepEqual(
        [...restored.state.workers.get("w1")?.runs.values() ?? []].map(({ startedAtMs }) => startedAtMs),
        [testStartMs],
    );
    assert.equal(restored.state.jobs.get("b")?.phase, "failed");
    assert.deepEqual(restored.state.jobs.get("b")?.failure, failure);
});

// Guards against a task that is suspected because of a run whose order was never sent, and against taking back other crashes with it.
test("a crash that was counted for a run that has not run is taken back, earlier ones stay", () => {
    const machine = setUp();
    crash(machine, [makeKey(0)]);
    const before = listCrashes(machine)[0];
    start(machine, 0, 2);
    for (const kept of [[makeKey(0, 2)], []]) {
        machine.apply({
            kind: "expireWorker",
            worker: "w1",
            isGone: false,
            checkpoints: [],
            kept,
            crash: { suspectedRuns: [makeKey(0, 2)], isCertain: true, clearedRuns: [] },
        });
        assert.equal(listCrashes(machine)[0]?.crashes, 2);
    }
    const end = { ...makeKey(0, 2), outcome: "neverStarted", checkpoint: "", hasNotRun: true } as const;
    machine.apply({ kind: "endRuns", worker: "w1", ends: [end] });
    assert.deepEqual(listCrashes(machine)[0], { ...before, run: 2 });
    machine.apply({ kind: "endRuns", worker: "w1", ends: [end] });
    assert.deepEqual(listCrashes(machine)[0], { ...before, run: 2 });
});

test("the end of a run that may have run takes nothing back", () => {
    const machine = setUp();
    const key = makeKey(0);
    machine.apply({
        kind: "expireWorker",
        worker: "w1",
        isGone: false,
        checkpoints: [],
        kept: [key],
        crash: { suspectedRuns: [key], isCertain: true, clearedRuns: [] },
    });
    machine.apply({ kind: "endRuns", worker: "w1", ends: [{ ...key, outcome: "neverStarted", checkpoint: "" }] });
    assert.deepEqual(listCrashes(machine)[0], { crashes: 1, suspicions: 1, certain: 1, run: 1 });
});
