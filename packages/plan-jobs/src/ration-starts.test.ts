import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import type { RunStart, StepSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { createPlanMemory } from "./plan-memory.js";
import { planStarts, planUrgentStarts } from "./plan-starts.js";

const capacity = { milliCpu: 64_000, memoryMib: 64_000, accelerators: 0 };

/** A pool with room for all tasks of an urgent job `u` and of a deferrable job `b`. */
function makePool(urgent: Partial<StepSpec>, batch: Partial<StepSpec>) {
    const workers = ["w1", "w2"].map(id => makeWorker(id, { capacity }));
    const machine = makeMachine(workers, [
        makeQueue({ name: "urgent", path: "/urgent/", priority: 0 }),
        makeQueue({ name: "batch", path: "/batch/", priority: 2 }),
    ]);
    machine.submit(makeJob("u", [makeStep(urgent)]), "/urgent/u");
    machine.submit(makeJob("b", [makeStep(batch)]), "/batch/b");
    return machine;
}

function countStarts(starts: readonly RunStart[], job: string): number {
    return starts.filter(start => start.job === job).length;
}

const noneAffordable = { starts: 0, startsPerSecond: 10 };

test("a ration limits the deferrable starts of a pass, and not the urgent ones", () => {
    const input = makePlanInput(makePool({ count: 5 }, { count: 6 }).state);
    const memory = createPlanMemory();
    const starts = planStarts({ ...input, startRation: { starts: 2, startsPerSecond: 10 } }, testStartMs, memory);
    assert.deepEqual([countStarts(starts, "u"), countStarts(starts, "b")], [5, 2]);
    assert.equal(memory.stepsLeftOut, 1);
    assert.equal(countStarts(planStarts(input, testStartMs), "b"), 6);
});

test("a deferrable gang starts whole or not at all", () => {
    const { state } = makePool({ count: 1 }, { count: 4, gang: true });
    const plan = (starts: number): number =>
        countStarts(
            planStarts({ ...makePlanInput(state), startRation: { starts, startsPerSecond: 10 } }, testStartMs),
            "b",
        );
    assert.deepEqual([plan(0), plan(1)], [0, 4]);
});

// Guards against a job that has no run for 3 s although most of the pool is free, which users count as lost.
test("a job without a run gets one in a mostly free pool although the ration is spent", () => {
    const input = { ...makePlanInput(makePool({ count: 1 }, { count: 6 }).state), startRation: noneAffordable };
    const memory = createPlanMemory();
    const counts: number[] = [];
    for (let passedMs = 0; passedMs <= 2_000; passedMs += 250) {
        counts.push(countStarts(planStarts(input, testStartMs + passedMs, memory), "b"));
    }
    assert.equal(counts[0], 0);
    assert.equal(counts.at(-1), 1);
});

test("a pass over urgent tasks plans what a full pass plans for them, and nothing else", () => {
    const { state } = makePool({ count: 5 }, { count: 6 });
    const input = makePlanInput(state);
    const urgent = planUrgentStarts(input, testStartMs, createPlanMemory());
    assert.deepEqual(urgent, planStarts(input, testStartMs).filter(({ job }) => job === "u"));
    assert.equal(urgent.length, 5);
});

// Guards against a pass over urgent tasks that gives up the steps which a full pass has left for the next one.
test("a pass over urgent tasks leaves the order of the other steps as it was", () => {
    const { state } = makePool({ count: 1 }, { count: 6 });
    const memory = createPlanMemory();
    memory.hasStepsLeft = true;
    const { reached } = memory;
    planUrgentStarts(makePlanInput(state), testStartMs, memory);
    assert.equal(memory.hasStepsLeft, true);
    assert.equal(memory.reached, reached);
});
