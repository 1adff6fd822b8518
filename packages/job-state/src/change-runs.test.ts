import type { RunEnd, RunOutcome, RunStart } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeStep, makeWorker, type TestMachine } from "./fakes/index.js";

function start(machine: TestMachine, changes: Partial<RunStart> = {}): boolean {
    const full: RunStart = { job: "a", occurrence: 0, step: 0, position: 0, run: 1, worker: "w1", ...changes };
    const result = machine.apply({ kind: "startRuns", starts: [full] });
    return result.kind === "started" && result.refused.length === 0;
}

function end(machine: TestMachine, outcome: RunOutcome, changes: Partial<RunEnd> & { worker?: string; } = {}): void {
    const { worker = "w1", ...rest } = changes;
    const full: RunEnd = { job: "a", occurrence: 0, step: 0, position: 0, run: 1, outcome, checkpoint: "", ...rest };
    machine.apply({ kind: "endRuns", worker, ends: [full] });
}

test("a start beyond a worker's capacity is refused, and a run that is being stopped still counts", () => {
    const machine = makeMachine();
    machine.submit(
        makeJob("a", [makeStep({ count: 2, resources: { milliCpu: 3_000, memoryMib: 10, accelerators: 0 } })]),
    );
    assert.ok(start(machine));
    assert.ok(!start(machine, { position: 1 }));
    machine.apply({ kind: "cancelJob", job: "a" });
    machine.submit(makeJob("b", [makeStep({ resources: { milliCpu: 3_000, memoryMib: 10, accelerators: 0 } })]));
    assert.ok(!start(machine, { job: "b" }));
    end(machine, "stopped");
    assert.ok(start(machine, { job: "b" }));
});

test("a task has one run at a time, and each start needs a higher run number", () => {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    machine.submit(makeJob("a"));
    assert.ok(start(machine));
    assert.ok(!start(machine, { run: 2, worker: "w2" }));
    end(machine, "lapsed");
    assert.ok(!start(machine, { run: 1, worker: "w2" }));
    assert.ok(start(machine, { run: 2, worker: "w2" }));
});

test("a task that succeeded does not start again", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a", [makeStep({ count: 2 })]));
    assert.ok(start(machine));
    end(machine, "succeeded");
    assert.ok(!start(machine, { run: 2 }));
});

test("a late end of a run that has already ended changes nothing", () => {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    machine.submit(makeJob("a"));
    assert.ok(start(machine));
    machine.apply({ kind: "expireWorker", worker: "w1", isGone: false, checkpoints: [] });
    assert.ok(start(machine, { run: 2, worker: "w2" }));
    end(machine, "succeeded");
    assert.equal(machine.state.jobs.get("a")?.phase, "running");
    assert.equal(machine.state.workers.get("w2")?.used.milliCpu, 1_000);
});

test("a job fails when a task reaches the attempt limit of its queue, and starts no further run", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a"));
    assert.ok(start(machine));
    end(machine, "failed");
    assert.equal(machine.state.jobs.get("a")?.phase, "running");
    assert.ok(start(machine, { run: 2 }));
    end(machine, "failed", { run: 2 });
    assert.equal(machine.state.jobs.get("a")?.phase, "failed");
    assert.ok(!start(machine, { run: 3 }));
});

test("runs that lapsed, were stopped, never started or ended with their gang do not count as attempts", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a"));
    const outcomes: readonly RunOutcome[] = ["lapsed", "stopped", "neverStarted", "gangBroken"];
    outcomes.forEach((outcome, position) => {
        assert.ok(start(machine, { run: position + 1 }));
        end(machine, outcome, { run: position + 1 });
    });
    assert.ok(start(machine, { run: outcomes.length + 1 }));
});

test("a long-running task is restarted regardless of the number of its failures", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a", [makeStep({ longRunning: true })]));
    for (let run = 1; run <= 5; run += 1) {
        assert.ok(start(machine, { run }));
        end(machine, "failed", { run });
    }
    assert.equal(machine.state.jobs.get("a")?.phase, "running");
});

test("a step starts only after all tasks of the steps it depends on have succeeded", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a", [makeStep({ count: 2 }), makeStep({ dependsOn: [0] })]));
    assert.ok(!start(machine, { step: 1 }));
    assert.ok(start(machine));
    assert.ok(start(machine, { position: 1 }));
    end(machine, "succeeded");
    assert.ok(!start(machine, { step: 1 }));
    end(machine, "succeeded", { position: 1 });
    assert.ok(start(machine, { step: 1 }));
    end(machine, "succeeded", { step: 1 });
    assert.equal(machine.state.jobs.get("a")?.phase, "completed");
});

test("no run starts on a draining worker", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a"));
    machine.apply({ kind: "drainWorker", worker: "w1" });
    assert.ok(!start(machine));
});

test("one success completes all tasks of a gang, and a failed run of a gang counts as one failure", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a", [makeStep({ count: 3, gang: true })]));
    for (const run of [1, 2]) {
        [0, 1, 2].forEach(position => assert.ok(start(machine, { position, run })));
        end(machine, run === 1 ? "failed" : "succeeded", { run });
        if (run === 1) {
            end(machine, "failed", { position: 1, run });
            end(machine, "gangBroken", { position: 2, run });
        }
    }
    assert.equal(machine.state.jobs.get("a")?.phase, "completed");
});

test("a speculative task has at most two runs, and the first success completes it", () => {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2"), makeWorker("w3")]);
    machine.submit(makeJob("a", [makeStep({ speculative: true })]));
    assert.ok(start(machine));
    assert.ok(start(machine, { run: 2, worker: "w2" }));
    assert.ok(!start(machine, { run: 3, worker: "w3" }));
    end(machine, "succeeded", { run: 2, worker: "w2" });
    assert.equal(machine.state.jobs.get("a")?.phase, "completed");
    end(machine, "succeeded");
    assert.equal(machine.state.workers.get("w1")?.used.milliCpu, 0);
});

test("the last checkpoint that an expired worker reported is kept", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a", [makeStep({ checkpointing: true })]));
    assert.ok(start(machine));
    const end: RunEnd = {
        job: "a",
        occurrence: 0,
        step: 0,
        position: 0,
        run: 1,
        outcome: "lapsed",
        checkpoint: "half",
    };
    machine.apply({ kind: "expireWorker", worker: "w1", isGone: true, checkpoints: [end] });
    assert.equal(machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks[0]?.checkpoint, "half");
    assert.equal(machine.state.workers.has("w1"), false);
});

test("best-effort tasks reserve memory only", () => {
    const machine = makeMachine();
    const resources = { milliCpu: 4_000, memoryMib: 400, accelerators: 0 };
    machine.submit(makeJob("a", [makeStep({ count: 3, usesIdleCpu: true, resources })]));
    assert.ok(start(machine));
    assert.ok(start(machine, { position: 1 }));
    assert.ok(!start(machine, { position: 2 }));
    assert.deepEqual(machine.state.workers.get("w1")?.used, { milliCpu: 0, memoryMib: 800, accelerators: 0 });
});

function succeedLate(machine: TestMachine, run: number): void {
    const lateSuccesses = [{ job: "a", occurrence: 0, step: 0, position: 0, run }];
    machine.apply({ kind: "endRuns", worker: "w1", ends: [], lateSuccesses });
}

// Guards against a task that starts again after a run that was taken for lost has succeeded.
test("a late success of a run that is not recorded any more completes its task, also while the next run is in progress", () => {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    machine.submit(makeJob("a"));
    assert.ok(start(machine));
    end(machine, "neverStarted");
    assert.ok(start(machine, { run: 2, worker: "w2" }));
    succeedLate(machine, 1);
    assert.equal(machine.state.jobs.get("a")?.phase, "completed");
    assert.equal(machine.state.workers.get("w2")?.runs.size, 1);
    end(machine, "stopped", { run: 2, worker: "w2" });
    assert.equal(machine.state.workers.get("w2")?.runs.size, 0);
    assert.ok(machine.state.closedJobs.has("a"));
});

test("a late success of a run that was never recorded, or of a member of a gang, changes nothing", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a"));
    succeedLate(machine, 1);
    assert.equal(machine.state.jobs.get("a")?.phase, "queued");
    const gangs = makeMachine();
    gangs.submit(makeJob("a", [makeStep({ count: 2, gang: true })]));
    assert.ok(start(gangs));
    end(gangs, "neverStarted");
    succeedLate(gangs, 1);
    assert.ok(gangs.state.openJobs.has("a"));
});
