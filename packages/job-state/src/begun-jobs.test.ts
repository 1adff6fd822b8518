import type { RunOutcome } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeStep, type TestMachine } from "./fakes/index.js";
import { createJobMachine, type JobMachine } from "./job-machine.js";
import { findShownPhase } from "./job-state.js";

function makeStarted(): TestMachine {
    const machine = makeMachine();
    machine.submit(makeJob("a", [makeStep({ count: 2 })]));
    machine.apply({
        kind: "startRuns",
        starts: [{ job: "a", occurrence: 0, step: 0, position: 0, run: 1, worker: "w1" }],
    });
    return machine;
}

function readPhase(machine: JobMachine) {
    const job = machine.state.jobs.get("a");
    return job === undefined ? undefined : findShownPhase(job);
}

/** The machine after its state was saved and restored, as on a replica that was away. */
function restoreMachine(machine: JobMachine): JobMachine {
    const restored = createJobMachine();
    restored.restoreSnapshot(machine.takeSnapshot());
    return restored;
}

function end(machine: TestMachine, outcome: RunOutcome, checkpoint = ""): void {
    const run = { job: "a", occurrence: 0, step: 0, position: 0, run: 1 };
    machine.apply({ kind: "endRuns", worker: "w1", ends: [{ ...run, outcome, checkpoint }] });
}

// Guards against a job that is shown as running although its start was only recorded, or rejected by the worker.
test("a job is shown as queued until a worker has listed or confirmed a run of it, also after a snapshot", () => {
    const machine = makeStarted();
    assert.equal(readPhase(machine), "queued");
    assert.equal(readPhase(restoreMachine(machine)), "queued");
    end(machine, "neverStarted");
    assert.equal(readPhase(machine), "queued");
    assert.equal(readPhase(restoreMachine(machine)), "queued");
    machine.apply({ kind: "beginJobs", jobs: ["a", "unknown"] });
    assert.equal(readPhase(machine), "running");
    assert.equal(readPhase(restoreMachine(machine)), "running");
});

test("an end that a worker has listed shows that the job has begun, the loss of a worker alone does not", () => {
    for (const outcome of ["succeeded", "failed", "stopped", "gangBroken", "gangIncomplete"] as const) {
        const machine = makeStarted();
        end(machine, outcome);
        assert.equal(readPhase(restoreMachine(machine)), "running", outcome);
    }
    const lost = makeStarted();
    lost.apply({ kind: "expireWorker", worker: "w1", isGone: false, checkpoints: [] });
    assert.equal(readPhase(restoreMachine(lost)), "queued");
    const resumable = makeStarted();
    end(resumable, "lapsed", "1000");
    assert.equal(readPhase(resumable), "running");
});
