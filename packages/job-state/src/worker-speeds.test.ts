import type { WorkerSpeedEstimate } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeMachine, makeWorker, testStartMs } from "./fakes/index.js";
import { createJobMachine } from "./job-machine.js";

const slow: WorkerSpeedEstimate = { worker: "w1", speed: 0.2, speedWeight: 4, failureShare: 0, failureWeight: 0 };

// Guards against a next leader that cannot tell a recent estimate from an old one, and against memory that grows with each
// worker name in a command.
test("the last estimate of each known worker is kept with the time of its command until the worker is gone", () => {
    const machine = makeMachine([makeWorker("w1")]);
    machine.apply({ kind: "recordWorkerSpeeds", estimates: [slow, { ...slow, worker: "unknown" }] });
    machine.apply({ kind: "recordWorkerSpeeds", estimates: [{ ...slow, speed: 0.9 }] });
    assert.deepEqual([...machine.state.workerSpeeds.keys()], ["w1"]);
    assert.equal(machine.state.workerSpeeds.get("w1")?.estimate.speed, 0.9);
    assert.ok((machine.state.workerSpeeds.get("w1")?.recordedAtMs ?? 0) >= testStartMs);
    machine.apply({ kind: "expireWorker", worker: "w1", isGone: true, checkpoints: [] });
    assert.equal(machine.state.workerSpeeds.size, 0);
});

// Guards against a leader that has lost the estimates because its log starts with a snapshot.
test("a snapshot keeps the estimates, and a state that had others forgets them", () => {
    const machine = makeMachine([makeWorker("w1")]);
    machine.apply({ kind: "recordWorkerSpeeds", estimates: [slow] });
    const restored = createJobMachine();
    restored.state.workerSpeeds.set("other", { estimate: slow, recordedAtMs: 1 });
    restored.restoreSnapshot(machine.takeSnapshot());
    assert.deepEqual([...restored.state.workerSpeeds], [...machine.state.workerSpeeds]);
});
