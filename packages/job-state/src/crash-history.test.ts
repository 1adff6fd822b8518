import type { RunStart } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { computeCrashOdds } from "./crash-history.js";
import { makeJob, makeMachine, makeStep, makeWorker, type TestMachine, testStartMs } from "./fakes/index.js";
import { createJobMachine } from "./job-machine.js";
import type { JobTask } from "./job-state.js";

const resources = { milliCpu: 100, memoryMib: 10, accelerators: 0 };

function setUp(gang = false, workers = 8): TestMachine {
    const machine = makeMachine(Array.from({ length: workers }, (item, number) => makeWorker(`w${number}`)));
    machine.submit(makeJob("a", [makeStep({ count: 40, resources, gang })]));
    return machine;
}

function start(machine: TestMachine, positions: readonly number[], run: number, nowMs: number, worker = "w1"): void {
    const starts = positions.map((position): RunStart => ({ job: "a", occurrence: 0, step: 0, position, run, worker }));
    assert.deepEqual(machine.apply({ kind: "startRuns", starts }, nowMs), { kind: "started", refused: [] });
}

function crash(machine: TestMachine, nowMs: number, worker = "w1", silentMs?: number): void {
    machine.apply({
        kind: "expireWorker",
        worker,
        isGone: false,
        checkpoints: [],
        crash: { suspectedRuns: [], isCertain: false, clearedRuns: [], silentMs },
    }, nowMs);
}

function getTask(machine: Pick<TestMachine, "state">, position: number): JobTask {
    const task = machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks[position];
    assert.ok(task !== undefined);
    return task;
}

const computeOdds = (machine: TestMachine, position: number): number => computeCrashOdds(getTask(machine, position));

// Guards against a task whose crashes are forgotten because it passed a trial before each of them.
test("a crash after a passed trial counts in the history of a task", () => {
    const machine = setUp();
    for (let run = 1; run <= 4; run += 1) {
        start(machine, [0], run, testStartMs + run * 10_000);
        const key = { job: "a", occurrence: 0, step: 0, position: 0, run };
        machine.apply({
            kind: "expireWorker",
            worker: "w1",
            isGone: false,
            checkpoints: [],
            crash: { suspectedRuns: [], isCertain: false, clearedRuns: [key] },
        }, testStartMs + run * 10_000 + 4_000);
    }
    assert.equal(getTask(machine, 0).crashes, undefined);
    assert.equal(getTask(machine, 0).crashHistory?.crashes, 4);
    assert.ok(computeOdds(machine, 0) > 1);
});

// Guards against blaming the tasks that share a worker with the cause of its crashes.
test("tasks beside one that has crashed workers before are blamed far less", () => {
    const machine = setUp();
    [1, 2, 3].forEach(run => {
        start(machine, [0], run, testStartMs + run * 10_000);
        crash(machine, testStartMs + run * 10_000 + 1_000);
    });
    start(machine, [0], 4, testStartMs + 50_000);
    start(machine, [1], 1, testStartMs + 50_000);
    crash(machine, testStartMs + 51_000);
    assert.ok(computeOdds(machine, 0) > 100);
    assert.ok(computeOdds(machine, 1) < 0.02);
});

test("tasks that always run together share the blame", () => {
    const machine = setUp();
    const positions = Array.from({ length: 10 }, (item, position) => position);
    for (let run = 1; run <= 20; run += 1) {
        start(machine, positions, run, testStartMs + run * 10_000);
        crash(machine, testStartMs + run * 10_000 + 1_000);
    }
    positions.forEach(position => assert.ok(computeOdds(machine, position) < 0.3));
});

test("the members of a gang are blamed as one", () => {
    const machine = setUp(true);
    const positions = Array.from({ length: 40 }, (item, position) => position);
    for (let run = 1; run <= 3; run += 1) {
        start(machine, positions, run, testStartMs + run * 10_000);
        crash(machine, testStartMs + run * 10_000 + 1_000);
    }
    positions.forEach(position => assert.ok(computeOdds(machine, position) > 1));
});

// Guards against giving up a long-running task that meets a crash of its worker now and then.
test("crashes long after the start lower the evidence", () => {
    const machine = setUp();
    start(machine, [0], 1, testStartMs);
    crash(machine, testStartMs + 1_000);
    assert.ok(computeOdds(machine, 0) > 0.1);
    start(machine, [0], 2, testStartMs + 10_000);
    crash(machine, testStartMs + 10_000_000);
    assert.equal(getTask(machine, 0).crashHistory, undefined);
});

// Guards against giving up sound tasks while workers crash for reasons of their own.
test("a crash counts less while other workers crash without the task", () => {
    const [calm, stormy] = [setUp(), setUp()];
    for (let number = 2; number < 8; number += 1) {
        start(stormy, [number], 1, testStartMs, `w${number}`);
        crash(stormy, testStartMs + 30_000, `w${number}`);
    }
    for (const machine of [calm, stormy]) {
        start(machine, [0], 1, testStartMs + 30_000);
        crash(machine, testStartMs + 40_000);
    }
    assert.ok(computeOdds(stormy, 0) < computeOdds(calm, 0) / 1.5);
});

test("the time for which the worker was silent does not count as work of the run", () => {
    const machine = setUp();
    start(machine, [0], 1, testStartMs);
    crash(machine, testStartMs + 5_000, "w1", 4_000);
    assert.equal(getTask(machine, 0).crashHistory?.ageMs, 1_000);
});

test("the end of a run by itself clears the history of its task", () => {
    const machine = setUp();
    start(machine, [0], 1, testStartMs);
    crash(machine, testStartMs + 1_000);
    start(machine, [0], 2, testStartMs + 10_000);
    const key = { job: "a", occurrence: 0, step: 0, position: 0, run: 2 };
    machine.apply({ kind: "endRuns", worker: "w1", ends: [{ ...key, outcome: "failed", checkpoint: "" }] });
    assert.equal(getTask(machine, 0).crashHistory, undefined);
});

test("histories and recent crashes are kept in a snapshot, with and without latest crashes", () => {
    const machine = setUp();
    start(machine, [0, 1], 1, testStartMs);
    crash(machine, testStartMs + 1_000);
    getTask(machine, 1).crashes = undefined;
    const restored = createJobMachine();
    restored.restoreSnapshot(machine.takeSnapshot());
    for (const position of [0, 1]) {
        const { crashes, crashHistory } = getTask(machine, position);
        assert.ok(crashHistory !== undefined);
        assert.deepEqual(getTask(restored, position).crashes, crashes);
        assert.deepEqual(getTask(restored, position).crashHistory, crashHistory);
    }
    assert.deepEqual(restored.state.recentCrashes, machine.state.recentCrashes);
});

test("the latest crashes that an earlier build counted begin the history", () => {
    const machine = setUp();
    getTask(machine, 0).crashes = { crashes: 2, suspicions: 1, certain: 0, run: 1 };
    start(machine, [0], 2, testStartMs);
    crash(machine, testStartMs + 1_000);
    assert.equal(getTask(machine, 0).crashHistory?.crashes, 3);
});
