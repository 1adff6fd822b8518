import type { QueueSettings, RunEnd, RunOutcome, RunStart, StepSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, type TestMachine } from "./fakes/index.js";
import { createJobMachine } from "./job-machine.js";

const key = { job: "a", occurrence: 0, step: 0, position: 0 };

function start(machine: TestMachine, run: number, worker: string, changes: Partial<RunStart> = {}): boolean {
    const result = machine.apply({ kind: "startRuns", starts: [{ ...key, run, worker, ...changes }] });
    return result.kind === "started" && result.refused.length === 0;
}

function end(
    machine: TestMachine,
    run: number,
    worker: string,
    outcome: RunOutcome,
    changes: Partial<RunEnd> = {},
): void {
    machine.apply({ kind: "endRuns", worker, ends: [{ ...key, run, outcome, checkpoint: "", ...changes }] });
}

/** Three workers and job `a` with one step, whose first task runs on `w1`. */
function makeRunning(step: Partial<StepSpec>, queue: Partial<QueueSettings> = {}, occurrences = 1): TestMachine {
    const machine = makeMachine(["w1", "w2", "w3"].map(id => makeWorker(id)), [makeQueue(queue)]);
    machine.submit({ ...makeJob("a", [makeStep({ speculative: true, ...step })]), occurrences });
    assert.ok(start(machine, 1, "w1"));
    return machine;
}

function listUse(machine: Pick<TestMachine, "state">): readonly (readonly [string, number, readonly string[]])[] {
    return [...machine.state.workers].map(([id, { used, runs }]) => [id, used.milliCpu, [...runs.keys()]]);
}

// Guards against more failures of a task than its queue allows, if both runs fail.
test("a task with one attempt left gets no copy beside its run in progress", () => {
    const machine = makeRunning({}, { maxAttempts: 2 });
    end(machine, 1, "w1", "failed");
    assert.ok(start(machine, 2, "w2"));
    assert.ok(!start(machine, 3, "w3"));
    assert.ok(!start(makeRunning({}, { maxAttempts: 1 }), 2, "w2"));
});

// Guards against two runs of a task that serves or of a member of a gang, whose other members know it by its run.
test("gangs and long-running steps get no copies", () => {
    const lasting = makeRunning({ longRunning: true });
    assert.ok(!start(lasting, 2, "w2"));
    const gang = makeRunning({ gang: true });
    assert.ok(!start(gang, 2, "w2"));
});

// Guards against a task that waits, and gets a third run, while one of its two runs is still in progress.
for (const outcome of ["failed", "stopped", "lapsed", "neverStarted"] as const) {
    test(`a task waits only once both runs have ended (${outcome})`, () => {
        const machine = makeRunning({}, { maxAttempts: 3 });
        assert.ok(start(machine, 2, "w2"));
        const step = machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0];
        end(machine, 1, "w1", outcome);
        assert.equal(step?.waiting.size, 0);
        end(machine, 2, "w2", outcome);
        assert.equal(step?.waiting.size, 1);
        assert.ok(!start(machine, 2, "w3"));
        assert.ok(start(machine, 3, "w3"));
    });
}

// Guards against a job that fails, or counts a failure, after a run of the task has succeeded.
test("the end of the other run changes nothing once the task is done", () => {
    const machine = makeRunning({ count: 2 }, { maxAttempts: 2 });
    assert.ok(start(machine, 2, "w2"));
    const step = machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0];
    end(machine, 2, "w2", "succeeded");
    for (const outcome of ["failed", "succeeded"] as const) {
        end(machine, 1, "w1", outcome);
        assert.equal(step?.tasks[0]?.failures, 0);
        assert.equal(step?.tasksLeft, 1);
        assert.equal(step?.waiting.has(0), false);
        assert.equal(machine.state.jobs.get("a")?.phase, "running");
        assert.deepEqual(listUse(machine).map(([, used]) => used), [0, 0, 0]);
    }
});

test("the failures of both runs count towards the limit, and the job fails with the last one", () => {
    const machine = makeRunning({}, { maxAttempts: 2 });
    assert.ok(start(machine, 2, "w2"));
    end(machine, 2, "w2", "failed");
    assert.equal(machine.state.jobs.get("a")?.phase, "running");
    end(machine, 1, "w1", "failed");
    assert.equal(machine.state.jobs.get("a")?.phase, "failed");
    assert.ok(!machine.state.openJobs.has("a"));
});

// Guards against a cancelled job that closes, and frees its tasks, while one of two runs still takes up capacity.
test("a cancelled job closes once both runs have ended", () => {
    const machine = makeRunning({});
    assert.ok(start(machine, 2, "w2"));
    machine.apply({ kind: "cancelJob", job: "a" });
    end(machine, 1, "w1", "stopped");
    assert.ok(machine.state.openJobs.has("a"));
    machine.apply({ kind: "expireWorker", worker: "w2", isGone: true, checkpoints: [] });
    assert.ok(machine.state.closedJobs.has("a"));
});

// Guards against capacity that is given away twice: a snapshot forgot a run that was still being stopped when the other one
// had completed the occurrence, and with it the job never closed.
for (const [name, occurrences] of [["the last occurrence", 1], ["an earlier occurrence", 2]] as const) {
    test(`a snapshot keeps the run that is being stopped after the other one completed ${name}`, () => {
        const machine = makeRunning({}, {}, occurrences);
        assert.ok(start(machine, 2, "w2"));
        end(machine, 2, "w2", "succeeded");
        const restored = createJobMachine();
        restored.restoreSnapshot(machine.takeSnapshot());
        assert.deepEqual(listUse(restored), listUse(machine));
        assert.deepEqual(Buffer.from(restored.takeSnapshot()), Buffer.from(machine.takeSnapshot()));
        const command = {
            kind: "endRuns",
            nowMs: 1_000_001,
            worker: "w1",
            ends: [{ ...key, run: 1, outcome: "stopped", checkpoint: "" }],
        } as const;
        restored.applyCommand(100, command);
        machine.applyCommand(100, command);
        assert.deepEqual(listUse(restored).map(([, used]) => used), [0, 0, 0]);
        const job = restored.state.jobs.get("a");
        assert.equal(job?.runsInProgress, 0);
        assert.equal(restored.state.closedJobs.has("a"), occurrences === 1);
        assert.deepEqual([...job?.occurrences.keys() ?? []], occurrences === 1 ? [] : [1]);
        assert.deepEqual(Buffer.from(restored.takeSnapshot()), Buffer.from(machine.takeSnapshot()));
    });
}
