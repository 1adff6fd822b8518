import {
    makeJob,
    makeMachine,
    makeQueue,
    makeStep,
    makeWorker,
    type TestMachine,
    testStartMs,
} from "@chestnutspool/job-state/fakes";
import type { RunStart } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { findWaitReason } from "./find-wait-reason.js";
import type { PlanInput } from "./plan-input.js";
import { createPlanMemory, type PlanMemory } from "./plan-memory.js";
import { planStarts } from "./plan-starts.js";
import { listWaitingSteps } from "./waiting-steps.js";

const whole = makeWorker("w").capacity;

function makeStart(job: string, worker: string): RunStart {
    return { job, occurrence: 0, step: 0, position: 0, run: 1, worker };
}

function plan(machine: TestMachine, memory: PlanMemory, changes: Partial<PlanInput> = {}): void {
    const starts = planStarts({ ...makePlanInput(machine.state), ...changes }, testStartMs, memory);
    machine.apply({ kind: "startRuns", starts });
}

function findReason(machine: TestMachine, memory: PlanMemory, job: string) {
    const waiting = listWaitingSteps(machine.state, testStartMs).find(step => step.job.id === job);
    assert.ok(waiting !== undefined);
    return findWaitReason(memory, waiting);
}

// These tests guard against a line that tells of one task, suitable workers and no start, and not which rule held the step back (issue 61).
test("a step whose starts workers refuse waits for the end of the delay", () => {
    const machine = makeMachine([makeWorker("w1")]);
    const memory = createPlanMemory();
    machine.submit(makeJob("refused", [makeStep()]));
    plan(machine, memory, { countStepStarts: () => 0 });
    assert.equal(findReason(machine, memory, "refused"), "startsDelayed");
});

test("a step waits because the worker with room for it is held for a long-running task", () => {
    const machine = makeMachine([makeWorker("w1")]);
    const memory = createPlanMemory();
    machine.submit(makeJob("serving", [makeStep({ longRunning: true, resources: whole })]));
    machine.apply({ kind: "startRuns", starts: [makeStart("serving", "w1")] });
    const { worker, ...run } = makeStart("serving", "w1");
    machine.apply({ kind: "endRuns", worker, ends: [{ ...run, outcome: "stopped", checkpoint: "" }] });
    machine.submit(makeJob("lasting", [makeStep()]));
    machine.apply({ kind: "startRuns", starts: [makeStart("lasting", "w1")] });
    machine.submit(makeJob("small", [makeStep()]));
    plan(machine, memory);
    assert.equal(findReason(machine, memory, "small"), "workersHeld");
});

test("a step waits for the next pass if a worker has got room since the last one", () => {
    const machine = makeMachine([makeWorker("w1")]);
    const memory = createPlanMemory();
    machine.submit(makeJob("first", [makeStep({ resources: whole })]));
    machine.apply({ kind: "startRuns", starts: [makeStart("first", "w1")] });
    machine.submit(makeJob("second", [makeStep()]));
    plan(machine, memory);
    const { worker, ...run } = makeStart("first", "w1");
    machine.apply({ kind: "endRuns", worker, ends: [{ ...run, outcome: "succeeded", checkpoint: "" }] });
    assert.equal(findReason(machine, memory, "second"), "freedSincePass");
});

test("a step waits for a later pass if the ratings of one do not suffice", () => {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    const memory = createPlanMemory(2);
    // The label makes each step a kind of its own, which is compared with all workers.
    ["a", "b", "c"].forEach(label => machine.submit(makeJob(label, [makeStep({ requiredLabel: `none-${label}` })])));
    plan(machine, memory);
    assert.deepEqual(["a", "b", "c"].map(job => findReason(machine, memory, job)), [
        "freedSincePass",
        "notReached",
        "notReached",
    ]);
});

test("a new long-running step waits because the workers with room are kept for short tasks", () => {
    const queues = [makeQueue(), makeQueue({ name: "urgent", path: "/urgent/", priority: 0 })];
    const machine = makeMachine(Array.from({ length: 15 }, (item, number) => makeWorker(`w${number}`)), queues);
    const memory = createPlanMemory();
    const lasting = makeStep({ longRunning: true, resources: whole });
    machine.submit(makeJob("lasting", Array.from({ length: 15 }, () => lasting)));
    plan(machine, memory);
    plan(machine, memory);
    assert.equal(findReason(machine, memory, "lasting"), "workersKept");
});

test("no reason is told for a step of which the pass has started a task", () => {
    const machine = makeMachine([makeWorker("w1")]);
    const memory = createPlanMemory();
    machine.submit(makeJob("wide", [makeStep({ count: 2, resources: whole })]));
    plan(machine, memory);
    assert.equal(findReason(machine, memory, "wide"), undefined);
});
