import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeStep, type TestMachine, testStartMs } from "./fakes/index.js";
import { createJobMachine } from "./job-machine.js";
import { findReadyAtMs, type JobState } from "./job-state.js";

function findSecondReadyAtMs(state: JobState): number {
    const job = state.jobs.get("a");
    const occurrence = job?.occurrences.get(0);
    const step = occurrence?.steps[1];
    assert.ok(job !== undefined && occurrence !== undefined && step !== undefined);
    return findReadyAtMs(job, occurrence, step);
}

function completeFirstStep(machine: TestMachine): void {
    const key = { job: "a", occurrence: 0, step: 0, position: 0, run: 1 };
    machine.apply({ kind: "startRuns", starts: [{ ...key, worker: "w1" }] }, testStartMs + 200);
    machine.apply(
        { kind: "endRuns", worker: "w1", ends: [{ ...key, outcome: "succeeded", checkpoint: "" }] },
        testStartMs + 900,
    );
}

// Guards against a new leader that takes a step that has waited for long for one that has just become ready.
test("a step is ready since the end of the one before, also after a snapshot is restored", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a", [makeStep(), makeStep({ dependsOn: [0] })]));
    assert.equal(findSecondReadyAtMs(machine.state), testStartMs);
    completeFirstStep(machine);
    assert.equal(findSecondReadyAtMs(machine.state), testStartMs + 900);
    const restored = createJobMachine();
    restored.restoreSnapshot(machine.takeSnapshot());
    assert.equal(findSecondReadyAtMs(restored.state), testStartMs + 900);
});
