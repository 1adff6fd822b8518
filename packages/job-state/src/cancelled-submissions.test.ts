import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeQueue, type TestMachine, testStartMs } from "./fakes/index.js";
import { createJobMachine } from "./job-machine.js";

/** Time for which a submission is refused after its cancellation, and the number of cancellations that are kept. */
const retentionMs = 600_000;
const limit = 50_000;

function cancel(machine: TestMachine, job = "a", path = `/main/${job}`, nowMs = testStartMs) {
    return machine.apply({ kind: "cancelSubmission", job, hostName: "jobs.example", path }, nowMs);
}

// Guards against a submission that is delayed on its way and runs after its cancellation was acknowledged.
test("a submission that arrives after its cancellation is refused, also by a replica that was away", () => {
    const machine = makeMachine();
    assert.deepEqual(cancel(machine), { kind: "noJob" });
    assert.deepEqual(machine.submit(makeJob("a")), { kind: "cancelled" });
    assert.equal(machine.state.jobs.size, 0);
    const restored = createJobMachine();
    restored.state.cancelledSubmissions.set("jobs.example /main/b", testStartMs);
    restored.restoreSnapshot(machine.takeSnapshot());
    const target = { hostName: "jobs.example", path: "/main/a" };
    const submission = { kind: "submitJob", spec: makeJob("a"), ...target, nowMs: testStartMs } as const;
    assert.deepEqual(restored.applyCommand(9, submission), { kind: "cancelled" });
    assert.deepEqual([...restored.state.cancelledSubmissions.keys()], ["jobs.example /main/a"]);
});

test("a job whose submission was applied first is left as it is, and its submission is accepted again", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a"));
    assert.deepEqual(cancel(machine), { kind: "done" });
    assert.deepEqual(machine.submit(makeJob("a")), { kind: "accepted", isRepeat: true });
    assert.equal(machine.state.jobs.get("a")?.phase, "queued");
});

test("the cancellation of an unknown job does not concern a job with its id in another queue", () => {
    const machine = makeMachine([], [makeQueue(), makeQueue({ name: "other", path: "/other/" })]);
    cancel(machine, "a", "/other/a");
    assert.deepEqual(machine.submit(makeJob("a")), { kind: "accepted", isRepeat: false });
    assert.deepEqual(cancel(machine, "a", "/other/a"), { kind: "noJob" });
    assert.equal(machine.state.jobs.get("a")?.phase, "queued");
});

test("the cancellations of unknown jobs are bounded in time and number", () => {
    const machine = makeMachine();
    cancel(machine);
    cancel(machine, "b", "/main/b", testStartMs + retentionMs);
    assert.equal(machine.state.cancelledSubmissions.size, 2);
    cancel(machine, "c", "/main/c", testStartMs + retentionMs + 1);
    assert.deepEqual([...machine.state.cancelledSubmissions.keys()], ["jobs.example /main/b", "jobs.example /main/c"]);
    assert.deepEqual(machine.submit(makeJob("a")), { kind: "accepted", isRepeat: false });
    for (let job = 0; job < limit; job += 1) {
        cancel(machine, `${job}`, `/main/${job}`, testStartMs + retentionMs + 2);
    }
    assert.equal(machine.state.cancelledSubmissions.size, limit);
    assert.ok(machine.state.cancelledSubmissions.has(`jobs.example /main/${limit - 1}`));
});
