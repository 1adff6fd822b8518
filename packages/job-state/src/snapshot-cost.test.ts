import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeQueue, makeWorker, type TestMachine } from "./fakes/index.js";
import { createJobMachine } from "./job-machine.js";

const jobs = Array.from({ length: 20 }, (item, index) => `j${index}`);

function runJob(machine: TestMachine, job: string): void {
    const key = { job, occurrence: 0, step: 0, position: 0, run: 1 };
    machine.apply({ kind: "startRuns", starts: [{ ...key, worker: "w1" }] });
    machine.apply({ kind: "endRuns", worker: "w1", ends: [{ ...key, outcome: "succeeded", checkpoint: "" }] });
}

// Closed jobs are most of the state, and their encoding in each snapshot blocks the leader for longer and longer.
void test("a closed job is encoded for one snapshot only", () => {
    let reads = 0;
    const queue = makeQueue();
    Object.defineProperty(queue, "name", {
        enumerable: true,
        get: () => {
            reads += 1;
            return "main";
        },
    });
    const machine = makeMachine([makeWorker("w1")], [queue]);
    for (const job of jobs) {
        machine.submit(makeJob(job));
        runJob(machine, job);
    }
    machine.takeSnapshot();
    reads = 0;
    machine.takeSnapshot();
    // The configuration itself holds the queue once.
    assert.equal(reads, 1);
});

// A replica that is restored from a kept encoding of an earlier state would differ from the others.
void test("a snapshot shows a job as it is, whatever earlier snapshots showed", () => {
    const machine = makeMachine();
    for (const job of jobs) {
        machine.submit(makeJob(job));
        machine.takeSnapshot();
        runJob(machine, job);
        machine.takeSnapshot();
        machine.apply({ kind: "cancelJob", job });
        const restored = createJobMachine();
        restored.restoreSnapshot(machine.takeSnapshot());
        assert.deepEqual(restored.state.jobs, machine.state.jobs);
        assert.deepEqual([...restored.state.closedJobs], [...machine.state.closedJobs]);
        const restoredAgain = createJobMachine();
        restoredAgain.restoreSnapshot(restored.takeSnapshot());
        assert.deepEqual(restoredAgain.state.jobs, machine.state.jobs);
    }
});
