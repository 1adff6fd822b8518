import { formatRunKey } from "@chestnutspool/job-state";
import {
    makeJob,
    makeMachine,
    makeStep,
    makeWorker,
    type TestMachine,
    testStartMs,
} from "@chestnutspool/job-state/fakes";
import { createRunStatus, findCrashSuspects } from "@chestnutspool/track-workers";
import type { RunStart, StepSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { makeRunStart } from "./fakes/make-run-start.js";
import { createPlanMemory } from "./plan-memory.js";
import { planStarts } from "./plan-starts.js";

function planNow(machine: TestMachine): RunStart[] {
    const starts = planStarts(makePlanInput(machine.state), testStartMs);
    machine.apply({ kind: "startRuns", starts });
    return starts;
}

/** Workers, and a job whose tasks are all suspected of a crash. */
function setUpSuspects(
    workers: number,
    tasks: number,
    changes: Partial<StepSpec> = {},
    isCertain = false,
): TestMachine {
    const machine = makeMachine(Array.from({ length: workers }, (item, number) => makeWorker(`w${number}`)));
    machine.submit(makeJob("suspects", [makeStep({ count: tasks, ...changes })]));
    const starts = planNow(machine);
    for (const worker of new Set(starts.map(start => start.worker))) {
        const suspectedRuns = starts.filter(start => start.worker === worker);
        const crash = { suspectedRuns, isCertain, clearedRuns: [] };
        machine.apply({ kind: "expireWorker", worker, isGone: false, checkpoints: [], crash });
    }
    return machine;
}

test("a task on trial gets a worker that no other run gets meanwhile", () => {
    const machine = setUpSuspects(2, 1);
    const [trial] = planNow(machine);
    machine.submit(makeJob("others", [makeStep({ count: 8 })]));
    const others = planNow(machine);
    assert.equal(trial?.job, "suspects");
    assert.equal(others.length, 4);
    assert.ok(others.every(({ worker }) => worker !== trial.worker));
});

test("a task on trial starts on the worker with the fewest runs", () => {
    const machine = setUpSuspects(3, 1);
    const busy = ["w0", "w2"].map((worker, position): RunStart => ({
        job: "others",
        occurrence: 0,
        step: 0,
        position,
        run: 1,
        worker,
    }));
    machine.submit(makeJob("others", [makeStep({ count: 2 })]));
    machine.apply({ kind: "startRuns", starts: busy });
    assert.deepEqual(planNow(machine).map(({ worker }) => worker), ["w1"]);
});

// Guards against tasks that crash their workers and take a whole service down at once.
test("half of the workers of a service, but always one, have tasks on trial at the same time", () => {
    for (const [workers, tasks, expected] of [[1, 4, 1], [3, 6, 1], [8, 6, 4]] as const) {
        const machine = setUpSuspects(workers, tasks);
        assert.equal(planNow(machine).length, expected);
        assert.equal(planNow(machine).length, 0);
    }
});

// Guards against tasks that wait for their trial behind those that have almost certainly crashed a worker.
test("tasks that have certainly crashed a worker are on trial on a quarter of the workers only", () => {
    const machine = setUpSuspects(8, 6, {}, true);
    assert.equal(planNow(machine).length, 2);
    machine.submit(makeJob("others", [makeStep({ count: 1 })]));
    const [other] = planNow(machine);
    assert.ok(other !== undefined);
    const crash = { suspectedRuns: [other], isCertain: false, clearedRuns: [] };
    machine.apply({ kind: "expireWorker", worker: other.worker, isGone: false, checkpoints: [], crash });
    assert.deepEqual(planNow(machine).map(({ job }) => job), ["others"]);
});

test("all suspected members of a gang are on trial at the same time, and no other task starts beside them", () => {
    const machine = setUpSuspects(4, 3, { gang: true });
    const starts = planNow(machine);
    assert.deepEqual(starts.map(({ job, run }) => [job, run]), Array.from({ length: 3 }, () => ["suspects", 2]));
    machine.submit(makeJob("others", [makeStep({ count: 16 })]));
    const trialWorkers = new Set(starts.map(({ worker }) => worker));
    const others = planNow(machine);
    assert.equal(others.length, (4 - trialWorkers.size) * 4);
    assert.ok(others.every(({ worker }) => !trialWorkers.has(worker)));
});

test("a gang whose suspected members find no workers takes none", () => {
    const machine = setUpSuspects(2, 5, { gang: true });
    machine.apply({ kind: "drainWorker", worker: "w1" });
    machine.submit(makeJob("others", [makeStep({ count: 4 })]));
    assert.deepEqual(planNow(machine).map(({ job }) => job), Array.from({ length: 4 }, () => "others"));
});

// Guards against a gang that never starts again after a crash, because each suspected member needed a worker of its own.
test("a gang with more suspected members than workers that can take a trial starts again", () => {
    const cases: readonly [workers: number, members: number, changes: Partial<StepSpec>][] = [
        [1, 2, {}],
        [1, 4, { longRunning: true }],
        [8, 10, {}],
        [8, 10, { longRunning: true }],
        [3, 6, { perWorkerLimit: 2 }],
        [8, 8, { perWorkerLimit: 1 }],
        [9, 12, { requiredLabel: "r0" }],
        [9, 36, { longRunning: true }],
        [10, 36, { usesIdleCpu: true, resources: { milliCpu: 1_000, memoryMib: 100, accelerators: 0 } }],
        [12, 30, { perWorkerLimit: 3, longRunning: true, prefersOneRack: true }],
    ];
    for (const [workers, members, changes] of cases) {
        for (const isCertain of [false, true]) {
            const machine = setUpSuspects(workers, members, { gang: true, ...changes }, isCertain);
            const starts = planNow(machine);
            const started = new Set(starts.map(({ position }) => position)).size;
            assert.equal(started, members, `${members} members on ${workers} workers, ${JSON.stringify(changes)}`);
            for (const { worker } of starts) {
                const onWorker = starts.filter(start => start.worker === worker).length;
                assert.ok(onWorker <= (changes.perWorkerLimit ?? 4), `${onWorker} members on one worker`);
            }
        }
    }
});

// Guards against a gang that waits without end because only some of its members are suspected, and these occupy all workers.
test("members of a gang that are not suspected start beside those on trial", () => {
    const machine = makeMachine([makeWorker("w0"), makeWorker("w1")]);
    machine.submit(makeJob("suspects", [makeStep({ count: 8, gang: true })]));
    const starts = planNow(machine);
    for (const worker of ["w0", "w1"]) {
        const ofWorker = starts.filter(start => start.worker === worker);
        const crash = { suspectedRuns: ofWorker.slice(0, 2), isCertain: false, clearedRuns: [] };
        machine.apply({ kind: "expireWorker", worker, isGone: false, checkpoints: [], crash });
    }
    assert.equal(planNow(machine).length, 8);
});

test("a crash under the trial of a gang is certain for the gang", () => {
    const machine = makeMachine([makeWorker("w0")]);
    machine.submit(makeJob("suspects", [makeStep({ count: 3, gang: true })]));
    const planned = planNow(machine);
    const worker = machine.state.workers.get("w0");
    assert.ok(worker !== undefined);
    const statuses = new Map(planned.map(start => [formatRunKey(start), createRunStatus(start, "confirmed", 0)]));
    const { suspectedRuns, isCertain } = findCrashSuspects(worker, statuses, 20);
    assert.deepEqual([suspectedRuns.length, isCertain], [3, true]);
});

// Guards against a task whose trial goes after the other steps in each pass without end, because these take each place that becomes free.
test("a deferred trial takes its turn before a backlog after a second", () => {
    const machine = makeMachine([makeWorker("w0"), makeWorker("w1")]);
    const whole = { milliCpu: 4_000, memoryMib: 10, accelerators: 0 };
    machine.submit(makeJob("suspects", [makeStep({ count: 2, resources: whole })]));
    const suspectedRuns = [makeRunStart("suspects", 1, "w1")];
    machine.apply({ kind: "startRuns", starts: [makeRunStart("suspects", 0, "w0"), ...suspectedRuns] });
    const crash = { suspectedRuns, isCertain: false, clearedRuns: [] };
    machine.apply({ kind: "expireWorker", worker: "w1", isGone: false, checkpoints: [], crash });
    machine.submit(makeJob("backlog", [makeStep({ count: 100, resources: whole })]));
    const memory = createPlanMemory();
    const planned: (readonly string[])[] = [];
    for (let atMs = 0; atMs <= 1_000; atMs += 100) {
        const starts = planStarts(makePlanInput(machine.state), testStartMs + atMs, memory);
        machine.apply({ kind: "startRuns", starts });
        planned.push(starts.map(({ job }) => job));
        const ends = starts.filter(({ job }) => job === "backlog")
            .map(({ job, occurrence, step, position, run }) => ({
                job,
                occurrence,
                step,
                position,
                run,
                outcome: "succeeded" as const,
                checkpoint: "",
            }));
        machine.apply({ kind: "endRuns", worker: "w1", ends });
    }
    assert.deepEqual(planned, [...Array.from({ length: 10 }, () => ["backlog"]), ["suspects"]]);
});
