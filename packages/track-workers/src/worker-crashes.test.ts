import { formatRunKey } from "@chestnutspool/job-state";
import {
    makeJob,
    makeMachine,
    makeStep,
    makeWorker,
    type TestMachine,
    testStartMs,
} from "@chestnutspool/job-state/fakes";
import type { RunKey } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRunStatus, type RunStatuses } from "./run-statuses.js";
import { countUnprovedRuns, hasTrial, isDeadly, listSuspectedRuns } from "./worker-crashes.js";

const resources = { milliCpu: 100, memoryMib: 10, accelerators: 0 };

function makeKey(position: number, run = 1): RunKey {
    return { job: "a", occurrence: 0, step: 0, position, run };
}

/** A machine with a job of ten tasks and two workers. */
function setUp(): TestMachine {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    machine.submit(makeJob("a", [makeStep({ count: 10, resources })]));
    return machine;
}

function start(machine: TestMachine, positions: readonly number[], nowMs: number, run = 1, worker = "w1"): void {
    machine.apply(
        { kind: "startRuns", starts: positions.map(position => ({ ...makeKey(position, run), worker })) },
        nowMs,
    );
}

function getWorker(machine: TestMachine, id = "w1") {
    const state = machine.state.workers.get(id);
    assert.ok(state !== undefined);
    return state;
}

function crash(machine: TestMachine, nowMs: number, statuses: RunStatuses = new Map(), worker = "w1"): RunKey[] {
    const suspectedRuns = listSuspectedRuns(getWorker(machine, worker), statuses);
    machine.apply({ kind: "expireWorker", worker, isGone: false, checkpoints: [], crash: { suspectedRuns } }, nowMs);
    return suspectedRuns;
}

/** Statuses of runs that the worker has reported until `reportedMs` after their start. */
function makeStatuses(positions: readonly number[], reportedMs: number): RunStatuses {
    return new Map(positions.map(position => {
        const status = createRunStatus(makeKey(position), "confirmed", 0);
        status.readAtMs = reportedMs;
        return [formatRunKey(status.key), status];
    }));
}

const isTaskDeadly = (machine: TestMachine, position: number): boolean => {
    const task = machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks[position];
    return task !== undefined && isDeadly(task);
};

test("the runs that started last are suspected of a crash, those that the worker has reported for a while are not", () => {
    const machine = setUp();
    start(machine, [0, 1], testStartMs);
    start(machine, [2, 3, 4], testStartMs + 5_000);
    assert.deepEqual(crash(machine, testStartMs + 8_000, makeStatuses([3], 200)).map(key => key.position), [2, 4]);
});

test("no run is suspected when all have been reported for a while", () => {
    const machine = setUp();
    start(machine, [0, 1], testStartMs);
    assert.deepEqual(crash(machine, testStartMs + 3_000, makeStatuses([0, 1], 1_000)), []);
    assert.equal(isTaskDeadly(machine, 0), false);
});

// Guards against blaming new neighbours of a task that is already suspected.
test("only the task with the most suspicions is blamed, and it is deadly after the second crash", () => {
    const machine = setUp();
    start(machine, [0], testStartMs);
    crash(machine, testStartMs + 100);
    start(machine, [0], testStartMs + 4_000, 2);
    start(machine, [1, 2], testStartMs + 4_000);
    assert.equal(hasTrial(getWorker(machine), new Map()), true);
    assert.deepEqual(crash(machine, testStartMs + 4_100), [makeKey(0, 2)]);
    assert.deepEqual([0, 1, 2].map(position => isTaskDeadly(machine, position)), [true, false, false]);
});

test("two tasks that are suspected alike are not given up before one of them crashes a worker alone", () => {
    const machine = setUp();
    start(machine, [0, 1], testStartMs);
    crash(machine, testStartMs + 100);
    start(machine, [0, 1], testStartMs + 4_000, 2);
    crash(machine, testStartMs + 4_100);
    assert.deepEqual([0, 1].map(position => isTaskDeadly(machine, position)), [false, false]);
    start(machine, [0], testStartMs + 8_000, 3);
    start(machine, [1], testStartMs + 8_000, 3, "w2");
    crash(machine, testStartMs + 8_100);
    assert.deepEqual([0, 1].map(position => isTaskDeadly(machine, position)), [true, false]);
});

// Guards against tasks that crash their worker some time after the start, beside others that have just started.
test("a task that crashes its worker after a while is found out on trial", () => {
    const machine = setUp();
    let crashes = 0;
    for (let run = 1; !isTaskDeadly(machine, 0); run += 1) {
        const startMs = testStartMs + run * 10_000;
        start(machine, [0], startMs, run);
        const status = createRunStatus(makeKey(0, run), "confirmed", 0);
        status.readAtMs = 2_000;
        const statuses: RunStatuses = new Map([[formatRunKey(status.key), status]]);
        if (!hasTrial(getWorker(machine), statuses)) {
            start(machine, [run], startMs + 2_000);
        }
        crash(machine, startMs + 2_050, statuses);
        crashes += 1;
        assert.ok(crashes < 6);
    }
    assert.equal(crashes, 4);
});

test("a trial ends once the worker has reported the run for a while", () => {
    const machine = setUp();
    start(machine, [0], testStartMs);
    crash(machine, testStartMs + 100);
    start(machine, [0], testStartMs + 4_000, 2);
    const status = createRunStatus(makeKey(0, 2), "confirmed", 0);
    const statuses: RunStatuses = new Map([[formatRunKey(status.key), status]]);
    assert.deepEqual([hasTrial(getWorker(machine), statuses), countUnprovedRuns(getWorker(machine), statuses)], [
        true,
        1,
    ]);
    status.readAtMs = 500;
    assert.deepEqual([hasTrial(getWorker(machine), statuses), countUnprovedRuns(getWorker(machine), statuses)], [
        false,
        0,
    ]);
});
