import { makeJob, makeMachine } from "@chestnutspool/job-state/fakes";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    canBeRecorded,
    createAdmission,
    forgetProposal,
    listCommandWork,
    recordProposal,
    recordWork,
} from "./admission.js";

function makeSubmission(path: string) {
    return { spec: makeJob("a"), hostName: "jobs.example", path };
}

// Guards against refusing a job, as one that never runs, while its proposal can still be committed.
test("a job that was proposed and whose outcome is not known counts as possibly recorded", () => {
    const machine = makeMachine();
    const admission = createAdmission();
    const submission = makeSubmission("/main/a");
    assert.ok(!canBeRecorded({ admission, machine }, submission));
    recordProposal({ admission, machine }, submission);
    assert.ok(canBeRecorded({ admission, machine }, submission));
    machine.submit(makeJob("a"));
    forgetProposal({ admission }, submission);
    assert.ok(canBeRecorded({ admission, machine }, submission));
});

// Guards against a job that is stored without any check, because another queue may have a job with its id.
test("a job does not count as possibly recorded because of a job of another queue with the same id", () => {
    const machine = makeMachine();
    const admission = createAdmission();
    const other = makeSubmission("/other/a");
    recordProposal({ admission, machine }, makeSubmission("/main/a"));
    assert.ok(!canBeRecorded({ admission, machine }, other));
    machine.submit(makeJob("a"));
    assert.ok(!canBeRecorded({ admission, machine }, other));
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
