import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { createPlanMemory } from "./plan-memory.js";
import { planStarts } from "./plan-starts.js";

// Guards against a small job that never starts on idle workers while new urgent steps that never fit keep arriving: each is
// a step that no pass has reached yet and goes first.
test("a step that fits starts although each pass finds new urgent steps that never fit", () => {
    const workers = [...Array(10).keys()].map(number => makeWorker(`w${number}`));
    const machine = makeMachine(workers, [makeQueue(), makeQueue({ name: "urgent", path: "/urgent/", priority: 0 })]);
    const resources = { milliCpu: 500, memoryMib: 10, accelerators: 0 };
    machine.submit(makeJob("small", [makeStep({ resources })]));
    const memory = createPlanMemory(100);
    const started: string[] = [];
    for (let pass = 0; pass < 60 && started.length === 0; pass += 1) {
        for (let number = 0; number < 10; number += 1) {
            const step = makeStep({ perWorkerLimit: 1, resources: { ...resources, milliCpu: 5_000 } });
            machine.submit(makeJob(`large${pass}-${number}`, [step]), "/urgent/");
        }
        started.push(...planStarts(makePlanInput(machine.state), testStartMs, memory).map(({ job }) => job));
    }
    assert.deepEqual(started, ["small"]);
});
