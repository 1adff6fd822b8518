import { makeJob, makeMachine, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import type { StepSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { planStarts } from "./plan-starts.js";

const resources = { milliCpu: 200, memoryMib: 10, accelerators: 0 };

/** Plans a task on the workers `w0` to `w2`, in racks of their own, of which some have not reported for a while. */
function planTask(quiet: readonly string[], step: Partial<StepSpec>): string | undefined {
    const machine = makeMachine([0, 1, 2].map(number => makeWorker(`w${number}`, { labels: ["a", `r${number}`] })));
    machine.submit(makeJob("a", [makeStep({ resources, ...step })]));
    const input = { ...makePlanInput(machine.state), isQuiet: (worker: string) => quiet.includes(worker) };
    return planStarts(input, testStartMs)[0]?.worker;
}

// Guards against a long-running task that starts on a worker that has crashed, beside others that reported just now.
test("a long-running task starts on a worker that reported just now", () => {
    for (const step of [{ longRunning: true }, { longRunning: true, tailTargetMs: 100, image: "web" }]) {
        assert.equal(planTask([], step), "w0");
        assert.equal(planTask(["w0"], step), "w1");
        assert.equal(planTask(["w0", "w1"], step), "w2");
    }
});

test("it does not wait for such a worker, and does not leave the rack of its data for one", () => {
    assert.equal(planTask(["w0", "w1", "w2"], { longRunning: true }), "w0");
    assert.equal(planTask(["w1"], { longRunning: true, rackOfData: "r1" }), "w1");
});

test("other tasks start as before", () => {
    assert.equal(planTask(["w0"], {}), "w0");
});
