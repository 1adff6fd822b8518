import type { QueueSettings } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, type TestMachine } from "./fakes/index.js";
import { createJobMachine, type JobMachine } from "./job-machine.js";

const oldWorker = makeWorker("w1");
const newWorker = makeWorker("n1", { service: "other" });

function setQueues(machine: TestMachine, version: number, queues: readonly QueueSettings[]): void {
    const configuration = machine.state.configuration;
    assert.ok(configuration !== undefined);
    machine.apply({ kind: "setConfiguration", configuration: { ...configuration, version, queues } });
}

function moveQueue(machine: TestMachine, service: string, version = 2): void {
    setQueues(machine, version, [makeQueue({ service })]);
}

const readService = ({ state }: JobMachine, job = "a") => state.jobs.get(job)?.queue.service;

/** The state after it was saved and restored, as on a replica that was away. */
function restoreMachine(machine: JobMachine): JobMachine {
    const restored = createJobMachine();
    restored.restoreSnapshot(machine.takeSnapshot());
    return restored;
}

// Guards against accepted work that stays with a service that its queue has left, and stops when the workers of it have left.
test("open jobs move with their queue to another service, and the run in progress goes on", () => {
    const machine = makeMachine([oldWorker, newWorker]);
    machine.submit(makeJob("a", [makeStep({ longRunning: true })]));
    const start = { job: "a", occurrence: 0, step: 0, position: 0, run: 1, worker: "w1" };
    machine.apply({ kind: "startRuns", starts: [start] });
    moveQueue(machine, "other");
    assert.equal(readService(machine), "other");
    assert.equal(machine.state.workers.get("w1")?.runs.size, 1);
    assert.deepEqual(restoreMachine(machine).takeSnapshot(), machine.takeSnapshot());
});

test("a job stays with its service until the later one has a worker that takes starts and can run each step left", () => {
    const machine = makeMachine([oldWorker]);
    machine.submit(makeJob("a", [makeStep(), makeStep({ requiredLabel: "b", dependsOn: [0] })]));
    moveQueue(machine, "other");
    assert.equal(readService(machine), "pool");
    machine.apply({ kind: "registerWorker", worker: newWorker });
    assert.equal(readService(machine), "pool");
    machine.apply({ kind: "setZoneAdmission", availabilityZone: "z2", isEvacuated: true });
    const labelled = makeWorker("n2", { service: "other", availabilityZone: "z2", labels: ["b", "r0"] });
    machine.apply({ kind: "registerWorker", worker: labelled });
    assert.equal(readService(machine), "pool");
    machine.apply({ kind: "setZoneAdmission", availabilityZone: "z2", isEvacuated: false });
    assert.equal(readService(machine), "other");
});

test("a job moves once the last step that only its earlier service could run is done", () => {
    const machine = makeMachine([makeWorker("w1", { labels: ["b", "r0"] }), newWorker]);
    machine.submit(makeJob("a", [makeStep({ requiredLabel: "b" }), makeStep({ dependsOn: [0] })]));
    moveQueue(machine, "other");
    const run = { job: "a", occurrence: 0, step: 0, position: 0, run: 1 };
    machine.apply({ kind: "startRuns", starts: [{ ...run, worker: "w1" }] });
    assert.equal(readService(machine), "pool");
    machine.apply({ kind: "endRuns", worker: "w1", ends: [{ ...run, outcome: "succeeded", checkpoint: "" }] });
    assert.equal(readService(machine), "other");
});

test("jobs follow a queue that returns to an earlier service, and keep the latest one when it is removed", () => {
    const machine = makeMachine([oldWorker, newWorker]);
    machine.submit(makeJob("a"));
    moveQueue(machine, "other", 2);
    moveQueue(machine, "pool", 3);
    assert.equal(readService(machine), "pool");
    moveQueue(machine, "other", 4);
    setQueues(machine, 5, []);
    assert.equal(readService(machine), "other");
    assert.equal(readService(restoreMachine(machine)), "other");
});

test("only jobs of the queue move, and their other settings stay those of the acceptance", () => {
    const side = makeQueue({ name: "side", path: "/side/" });
    const machine = makeMachine([oldWorker, newWorker], [makeQueue(), side]);
    machine.submit(makeJob("a"));
    machine.submit(makeJob("b"), "/side/");
    setQueues(machine, 2, [makeQueue({ service: "other", maxAttempts: 9 }), side]);
    assert.equal(readService(machine), "other");
    assert.equal(machine.state.jobs.get("a")?.queue.maxAttempts, 2);
    assert.equal(readService(machine, "b"), "pool");
});
