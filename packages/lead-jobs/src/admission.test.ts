import { makeJob, makeMachine } from "@chestnutspool/job-state/fakes";
import assert from "node:assert/strict";
import { test } from "node:test";
import { canBeRecorded, createAdmission, listCommandWork, recordProposal, recordWork } from "./admission.js";

// Guards against refusing a job, as one that never runs, while its proposal can still be committed.
test("a job that was proposed and whose outcome is not known counts as possibly recorded", () => {
    const machine = makeMachine();
    const admission = createAdmission();
    assert.ok(!canBeRecorded({ admission, machine }, "a"));
    recordProposal({ admission, machine }, "a");
    assert.ok(canBeRecorded({ admission, machine }, "a"));
    machine.submit(makeJob("a"));
    admission.proposedJobs.delete("a");
    assert.ok(canBeRecorded({ admission, machine }, "a"));
});

// Guards against a throughput of zero: a job that closes with its last run no longer has a definition.
test("the work of a run is read before the command that ends its job is applied", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a"));
    const run = { job: "a", occurrence: 0, step: 0, position: 0, run: 1 };
    machine.apply({ kind: "startRuns", starts: [{ ...run, worker: "w1" }] });
    const command = {
        kind: "endRuns",
        worker: "w1",
        ends: [{ ...run, outcome: "succeeded", checkpoint: "" }],
    } as const;
    const work = listCommandWork(machine.state, command);
    const admission = createAdmission();
    recordWork(admission, work, machine.apply(command), 0);
    assert.equal(admission.throughputs.get("pool")?.counts[0]?.endedCoreMs, 1_000);
});
