import { formatRunKey } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeStep, type TestMachine, testStartMs } from "@chestnutspool/job-state/fakes";
import type { RunKey } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRunStatus, type RunStatus, type RunStatuses } from "./run-statuses.js";
import { countUnprovedRuns, findCrashSuspects, hasTrial, isDeadly } from "./worker-crashes.js";

const worker = "w1";
const resources = { milliCpu: 100, memoryMib: 10, accelerators: 0 };

function makeKey(position: number, run = 1): RunKey {
    return { job: "a", occurrence: 0, step: 0, position, run };
}

/** A machine with a job of ten tasks and the worker `w1`. */
function setUp(): TestMachine {
    const machine = makeMachine();
    machine.submit(makeJob("a", [makeStep({ count: 10, resources })]));
    return machine;
}

function start(machine: TestMachine, positions: readonly number[], nowMs: number, run = 1): void {
    machine.apply(
        { kind: "startRuns", starts: positions.map(position => ({ ...makeKey(position, run), worker })) },
        nowMs,
    );
}

function getWorker(machine: TestMachine) {
    const state = machine.state.workers.get(worker);
    assert.ok(state !== undefined);
    return state;
}

/** Statuses of the runs on a worker whose starts were just confirmed. */
function makeStatuses(machine: TestMachine): RunStatuses {
    return new Map([...getWorker(machine).runs].map(([key, { task, run }]) => [
        key,
        createRunStatus(makeKey(task.position, run), "confirmed", 0),
    ]));
}

function getStatus(statuses: RunStatuses, position: number, run = 1): RunStatus {
    const status = statuses.get(formatRunKey(makeKey(position, run)));
    assert.ok(status !== undefined);
    return status;
}

/** Ends a worker that fell silent 20 ms after the orders of its last runs; returns the positions of the suspected tasks. */
function crash(
    machine: TestMachine,
    nowMs: number,
    statuses = makeStatuses(machine),
    silentSinceMs = 20,
): number[] {
    const found = findCrashSuspects(getWorker(machine), statuses, silentSinceMs);
    machine.apply({ kind: "expireWorker", worker, isGone: false, checkpoints: [], crash: found }, nowMs);
    return found.suspectedRuns.map(({ position }) => position);
}

const isTaskDeadly = (machine: TestMachine, position: number): boolean => {
    const task = machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks[position];
    return task !== undefined && isDeadly(task);
};

test("the runs that started last are suspected of a crash, those that the worker has reported for a while are not", () => {
    const machine = setUp();
    start(machine, [0, 1], testStartMs);
    start(machine, [2, 3, 4], testStartMs + 5_000);
    const statuses = makeStatuses(machine);
    getStatus(statuses, 3).readAtMs = 200;
    assert.deepEqual(crash(machine, testStartMs + 8_000, statuses), [2, 4]);
});

test("no run is suspected when all have been reported for a while", () => {
    const machine = setUp();
    start(machine, [0, 1], testStartMs);
    const statuses = makeStatuses(machine);
    statuses.forEach(status => {
        status.readAtMs = 1_000;
    });
    assert.deepEqual(crash(machine, testStartMs + 3_000, statuses, 3_000), []);
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
    assert.deepEqual(crash(machine, testStartMs + 4_100), [0]);
    assert.deepEqual([0, 1, 2].map(position => isTaskDeadly(machine, position)), [true, false, false]);
});

test("two tasks that are suspected alike are not given up before one of them crashes two workers alone", () => {
    const machine = setUp();
    start(machine, [0, 1], testStartMs);
    crash(machine, testStartMs + 100);
    for (const run of [2, 3]) {
        start(machine, [0], testStartMs + 4_000 * run, run);
        assert.deepEqual([0, 1].map(position => isTaskDeadly(machine, position)), [false, false]);
        crash(machine, testStartMs + 4_000 * run + 100);
    }
    assert.deepEqual([0, 1].map(position => isTaskDeadly(machine, position)), [true, false]);
});

// Guards against giving up a task that never started: of several starts without an answer, another one crashed the worker.
test("a crash is not certain for a task while another start on the worker has no answer", () => {
    const machine = setUp();
    const crashWithOpenStarts = (positions: readonly number[], run: number): void => {
        start(machine, positions, testStartMs + 4_000 * run, run);
        const statuses = makeStatuses(machine);
        statuses.forEach(status => {
            status.start = "unanswered";
        });
        crash(machine, testStartMs + 4_000 * run + 100, statuses);
    };
    crashWithOpenStarts([0, 1], 1);
    crashWithOpenStarts([0], 2);
    assert.equal(isTaskDeadly(machine, 0), false);
    crashWithOpenStarts([0], 3);
    assert.equal(isTaskDeadly(machine, 0), true);
});

// Guards against blaming a task whose run may have ended long before its worker crashed, because an earlier leader ordered it or
// this one was held up.
test("a run is not suspected unless this leader knows that it started just before the worker fell silent", () => {
    for (const [startState, silentSinceMs] of [["excluded", 20], ["confirmed", 5_000]] as const) {
        const machine = setUp();
        start(machine, [0], testStartMs);
        const statuses = makeStatuses(machine);
        getStatus(statuses, 0).start = startState;
        assert.deepEqual(crash(machine, testStartMs + 6_000, statuses, silentSinceMs), []);
    }
});

// Guards against tasks that crash their worker some time after the start, beside others that have just started.
test("a task that crashes its worker after a while is found out on trial", () => {
    const machine = setUp();
    let crashes = 0;
    for (let run = 1; !isTaskDeadly(machine, 0); run += 1) {
        const startMs = testStartMs + run * 10_000;
        start(machine, [0], startMs, run);
        let statuses = makeStatuses(machine);
        getStatus(statuses, 0, run).readAtMs = 2_000;
        if (!hasTrial(getWorker(machine), statuses)) {
            start(machine, [run], startMs + 2_000);
            statuses = makeStatuses(machine);
            getStatus(statuses, 0, run).readAtMs = 2_000;
        }
        crash(machine, startMs + 2_050, statuses, 2_050);
        crashes += 1;
        assert.ok(crashes < 6);
    }
    assert.equal(crashes, 3);
});

// Guards against a task that is started without end because each of its crashes is seen by the next leader only.
test("a task is given up after four crashes in succession of which nothing else is known", () => {
    const machine = setUp();
    for (let run = 1; run <= 4; run += 1) {
        assert.equal(isTaskDeadly(machine, 0), false);
        start(machine, [0], testStartMs + 4_000 * run, run);
        crash(machine, testStartMs + 4_000 * run + 3_000, new Map());
    }
    assert.equal(isTaskDeadly(machine, 0), true);
});

test("a task whose run has passed its trial is not blamed for the crash of the worker later on", () => {
    const machine = setUp();
    start(machine, [0], testStartMs);
    crash(machine, testStartMs + 100);
    start(machine, [0], testStartMs + 4_000, 2);
    const statuses = makeStatuses(machine);
    getStatus(statuses, 0, 2).readAtMs = 500;
    assert.deepEqual(crash(machine, testStartMs + 6_000, statuses, 2_000), []);
    start(machine, [0], testStartMs + 8_000, 3);
    assert.equal(hasTrial(getWorker(machine), new Map()), false);
});

test("a trial ends once the worker has reported the run for a while", () => {
    const machine = setUp();
    start(machine, [0], testStartMs);
    crash(machine, testStartMs + 100);
    start(machine, [0], testStartMs + 4_000, 2);
    const statuses = makeStatuses(machine);
    const state = getWorker(machine);
    assert.deepEqual([hasTrial(state, statuses), countUnprovedRuns(state, statuses)], [true, 1]);
    getStatus(statuses, 0, 2).readAtMs = 500;
    assert.deepEqual([hasTrial(state, statuses), countUnprovedRuns(state, statuses)], [false, 0]);
});

// Guards against a task that is blamed for the crash of a worker on which its start was ordered later.
test("a run that was ordered after the crash is not suspected, and the crash does not count for it", () => {
    const machine = setUp();
    start(machine, [0], testStartMs);
    start(machine, [1], testStartMs + 50);
    const statuses: RunStatuses = new Map([[0, 0], [1, 50]].map(([position = 0, orderedAtMs = 0]) => {
        const key = makeKey(position);
        return [formatRunKey(key), createRunStatus(key, "unanswered", orderedAtMs)];
    }));
    const found = findCrashSuspects(getWorker(machine), statuses, 20, 50);
    assert.deepEqual(found.suspectedRuns, [makeKey(0)]);
    assert.deepEqual(found.laterRuns, [makeKey(1)]);
    assert.equal(found.isCertain, true);
    machine.apply({ kind: "expireWorker", worker, isGone: false, checkpoints: [], crash: found });
    const tasks = machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks;
    assert.deepEqual([0, 1].map(position => tasks?.[position]?.crashes?.crashes), [1, undefined]);
    assert.deepEqual([0, 1].map(position => tasks?.[position]?.crashHistory?.crashes), [1, undefined]);
});

test("a crash before which no run on the worker was ordered counts for none", () => {
    const machine = setUp();
    start(machine, [0], testStartMs);
    const found = findCrashSuspects(getWorker(machine), makeStatuses(machine), 20, 0);
    assert.deepEqual(found.suspectedRuns, []);
    assert.equal(found.isCertain, false);
    machine.apply({ kind: "expireWorker", worker, isGone: false, checkpoints: [], crash: found });
    const task = machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks[0];
    assert.deepEqual([task?.crashes, task?.crashHistory], [undefined, undefined]);
    assert.deepEqual(
        machine.state.recentCrashes.map(({ runs, explainedPercent }) => ({ runs, explainedPercent })),
        [{ runs: [], explainedPercent: 0 }],
    );
});

// Guards against a job that is given up because its starts were ordered on workers that had fallen silent before.
test("a crash is certain for a run without an answer only if the order was broken off", () => {
    for (
        const [state, changedAtMs, isCertain] of [
            ["confirmed", 1, true],
            ["unanswered", 10, true],
            ["unanswered", 1_000, false],
            ["ordered", 0, false],
        ] as const
    ) {
        const machine = setUp();
        start(machine, [0], testStartMs);
        const status = { ...createRunStatus(makeKey(0), state, 0), startChangedAtMs: changedAtMs };
        const found = findCrashSuspects(getWorker(machine), new Map([[formatRunKey(makeKey(0)), status]]), 20);
        assert.deepEqual(found.suspectedRuns, [makeKey(0)]);
        assert.equal(found.isCertain, isCertain, `${state} after ${changedAtMs} ms`);
    }
});

// Guards against a job that is given up for crashes that have other causes: a task without another suspect counts as the certain cause,
// also where workers crash without it, or under a task that is less suspected.
test("a task is given up after certain crashes only if they are unlikely without it", () => {
    const machine = setUp();
    const task = machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks[0];
    assert.ok(task !== undefined);
    for (const [crashes, certain] of [[2, 2], [3, 1], [3, 3]] as const) {
        task.crashes = { crashes, suspicions: crashes, certain, run: crashes };
        const given = [undefined, 150, 290, 310].map((evidence): boolean => {
            task.crashHistory = evidence === undefined ? undefined : { crashes, evidence, ageMs: 100, run: crashes };
            return isDeadly(task);
        });
        assert.deepEqual(given, [false, false, false, true]);
    }
});
