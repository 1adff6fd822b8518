import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import type { QueueSettings } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { createPlanMemory } from "./plan-memory.js";
import { planStarts } from "./plan-starts.js";

const main = makeQueue({ targetLatencyMs: 60_000 });
const urgent = makeQueue({ name: "urgent", path: "/urgent/", priority: 0 });

/** Plans on a worker with four cores while `count` small jobs wait beside one that has begun, and returns who starts first. */
function findFirst(queues: readonly QueueSettings[], count: number): string | undefined {
    const machine = makeMachine([makeWorker("w1")], queues);
    const memory = createPlanMemory();
    const input = makePlanInput(machine.state);
    // Four of its five tasks run and one waits; it is larger than the others even so.
    machine.submit(makeJob("begun", [makeStep({ count: 5, expectedRunMs: 3_000 })]));
    const starts = planStarts(input, testStartMs, memory);
    assert.equal(starts.length, 4);
    machine.apply({ kind: "startRuns", starts });
    for (let index = 0; index < count; index += 1) {
        machine.submit(makeJob(`small${index}`, [makeStep({ expectedRunMs: 3_500 })]));
    }
    const [ended] = starts;
    assert.ok(ended !== undefined);
    machine.apply({ kind: "endRuns", worker: "w1", ends: [{ ...ended, outcome: "succeeded", checkpoint: "" }] });
    return planStarts(input, testStartMs + 1_000, memory)[0]?.job;
}

// Guards against jobs that have begun and are passed over by smaller ones until their work is lost: bursts of the batch queue of the
// certification service.
test("in a contended pool with several priorities a job that has begun is completed first", () => {
    assert.equal(findFirst([main, urgent], 20), "begun");
});

// Guards against another order where nobody has to go without: there the order by lateness and size serves more jobs.
test("without contention, or with one priority, the smaller job goes first", () => {
    assert.equal(findFirst([main, urgent], 1), "small0");
    assert.equal(findFirst([main], 20), "small0");
});
