import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeStep, makeWorker, type TestMachine } from "./fakes/index.js";
import { createJobMachine } from "./job-machine.js";

const workers = [makeWorker("w1", { availabilityZone: "z1" }), makeWorker("w2", { availabilityZone: "z2" })];

function setEvacuated(machine: TestMachine, isEvacuated: boolean): void {
    machine.apply({ kind: "setZoneAdmission", availabilityZone: "z1", isEvacuated });
}

function startOn(machine: TestMachine, worker: string, position: number, run = 1) {
    const start = { job: "a", occurrence: 0, step: 0, position, run, worker };
    return machine.apply({ kind: "startRuns", starts: [start] });
}

// Guards against a start that was planned before the zone was evacuated and is committed after it.
test("a start on a worker of an evacuated zone is refused until the zone is in use again", () => {
    const machine = makeMachine(workers);
    machine.submit(makeJob("a", [makeStep({ count: 3 })]));
    setEvacuated(machine, true);
    setEvacuated(machine, true);
    assert.deepEqual(startOn(machine, "w1", 0), { kind: "started", refused: [0] });
    assert.deepEqual(startOn(machine, "w2", 0), { kind: "started", refused: [] });
    setEvacuated(machine, false);
    assert.deepEqual(startOn(machine, "w1", 1), { kind: "started", refused: [] });
});

// Guards against losing what runs in the zone when it is evacuated.
test("the runs in an evacuated zone stay recorded and end as usual", () => {
    const machine = makeMachine(workers);
    machine.submit(makeJob("a"));
    startOn(machine, "w1", 0);
    setEvacuated(machine, true);
    assert.equal(machine.state.workers.get("w1")?.runs.size, 1);
    const end = {
        job: "a",
        occurrence: 0,
        step: 0,
        position: 0,
        run: 1,
        outcome: "succeeded",
        checkpoint: "",
    } as const;
    machine.apply({ kind: "endRuns", worker: "w1", ends: [end] });
    assert.equal(machine.state.jobs.get("a")?.phase, "completed");
});

// Guards against a zone that is in use again after a restart from a snapshot.
test("a snapshot keeps the evacuated zones, and a state that had others forgets them", () => {
    const machine = makeMachine(workers);
    setEvacuated(machine, true);
    const restored = createJobMachine();
    restored.state.evacuatedZones.add("other");
    restored.restoreSnapshot(machine.takeSnapshot());
    assert.deepEqual([...restored.state.evacuatedZones], ["z1"]);
});
