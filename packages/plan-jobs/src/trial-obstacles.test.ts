import { makeJob, makeMachine, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import assert from "node:assert/strict";
import { test } from "node:test";
import { describeWait } from "./describe-wait.js";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { makeRunStart } from "./fakes/make-run-start.js";
import { listCandidates } from "./plan-input.js";
import { createPlanMemory, type PlanMemory } from "./plan-memory.js";
import { planStarts } from "./plan-starts.js";
import { listWaitingSteps } from "./waiting-steps.js";

/** What one worker has, in thousandths of a core. */
const workerMilliCpu = 4_000;

function makeLasting(count: number, milliCpu: number) {
    return makeStep({ count, longRunning: true, resources: { milliCpu, memoryMib: 10, accelerators: 0 } });
}

/** Workers, and a job that lasts: its first task runs on w0, the others are suspected of the crash of w1, which is back. */
function setUpLasting(workers: number, tasks: number, milliCpu: number): ReturnType<typeof makeMachine> {
    const machine = makeMachine(Array.from({ length: workers }, (item, number) => makeWorker(`w${number}`)));
    machine.submit(makeJob("lasting", [makeLasting(tasks, milliCpu)]));
    const suspectedRuns = Array.from(
        { length: tasks - 1 },
        (item, number) => makeRunStart("lasting", number + 1, "w1"),
    );
    machine.apply({ kind: "startRuns", starts: [makeRunStart("lasting", 0, "w0"), ...suspectedRuns] });
    const crash = { suspectedRuns, isCertain: false, clearedRuns: [] };
    machine.apply({ kind: "expireWorker", worker: "w1", isGone: false, checkpoints: [], crash });
    return machine;
}

function planPass(machine: ReturnType<typeof makeMachine>, memory: PlanMemory, atMs: number): void {
    const starts = planStarts(makePlanInput(machine.state), testStartMs + atMs, memory);
    machine.apply({ kind: "startRuns", starts }, testStartMs + atMs);
}

function listObstacles({ blockedTrials }: PlanMemory) {
    return [...blockedTrials.values()].map(({ job, tasks, obstacle, sinceMs }) => [
        job.id,
        tasks,
        obstacle,
        sinceMs - testStartMs,
    ]);
}

test("a task that waits for a trial is told with the limit of trials, and since when", () => {
    const machine = setUpLasting(2, 3, 100);
    const memory = createPlanMemory();
    planPass(machine, memory, 0);
    assert.deepEqual(listObstacles(memory), [["lasting", 1, "noFreeTrial", 0]]);
    planPass(machine, memory, 100);
    assert.deepEqual(listObstacles(memory), [["lasting", 1, "noFreeTrial", 0]]);
});

test("a task is told that waits for its trial because no worker has room beside what was planned before", () => {
    const machine = setUpLasting(2, 2, workerMilliCpu);
    machine.submit(makeJob("other", [makeStep({ count: 1 })]));
    machine.apply({ kind: "startRuns", starts: [makeRunStart("other", 0, "w1")] });
    const memory = createPlanMemory();
    planPass(machine, memory, 0);
    assert.deepEqual(listObstacles(memory), [["lasting", 1, "noRoom", 0]]);
});

test("a task is told that waits for its trial because the workers with room for it are on trial", () => {
    const machine = setUpLasting(5, 2, workerMilliCpu - 1_000);
    const memory = createPlanMemory();
    const others = ["w2", "w3", "w4"].map((worker, position) => makeRunStart("other", position, worker));
    machine.submit(makeJob("other", [makeStep({
        count: 3,
        resources: { milliCpu: workerMilliCpu, memoryMib: 10, accelerators: 0 },
    })]));
    machine.apply({ kind: "startRuns", starts: others });
    machine.submit(makeJob("first", [makeStep({ resources: { milliCpu: 100, memoryMib: 10, accelerators: 0 } })]));
    machine.apply({ kind: "startRuns", starts: [makeRunStart("first", 0, "w1")] });
    const crash = { suspectedRuns: [makeRunStart("first", 0, "w1")], isCertain: false, clearedRuns: [] };
    machine.apply({ kind: "expireWorker", worker: "w1", isGone: false, checkpoints: [], crash });
    machine.apply({ kind: "startRuns", starts: [{ ...makeRunStart("first", 0, "w1"), run: 2 }] });
    planPass(machine, memory, 0);
    assert.deepEqual(listObstacles(memory), [["lasting", 1, "workersOnTrial", 0]]);
});

// Guards against a log that tells of suitable workers while the limit of trials keeps the task from each of them.
test("no worker counts as suitable for a step whose next task may not be tried yet", () => {
    const machine = setUpLasting(4, 4, 100);
    const memory = createPlanMemory();
    const input = makePlanInput(machine.state);
    const [before] = listWaitingSteps(machine.state, testStartMs);
    assert.ok(before !== undefined);
    assert.equal(describeWait(listCandidates(input), before, input).suitable, 4);
    planPass(machine, memory, 0);
    const [after] = listWaitingSteps(machine.state, testStartMs);
    assert.ok(after !== undefined);
    const { withRoom, suitable } = describeWait(listCandidates(input), after, input);
    assert.deepEqual([withRoom, suitable], [2, 0]);
});

test("a step that no longer waits for a trial is forgotten", () => {
    const machine = setUpLasting(2, 3, 100);
    const memory = createPlanMemory();
    planPass(machine, memory, 0);
    machine.apply({ kind: "cancelJob", job: "lasting" });
    planPass(machine, memory, 1_200);
    assert.deepEqual(listObstacles(memory), []);
});
