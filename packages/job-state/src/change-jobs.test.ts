import type { QueueConfiguration } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { findQueue } from "./change-jobs.js";
import { makeJob, makeMachine, makeQueue, testStartMs } from "./fakes/index.js";

function makeConfiguration(version: number, queues: QueueConfiguration["queues"]): QueueConfiguration {
    const pools = [{ name: "pool", healthPath: "/health", guardsCapacity: false, isStandby: false }];
    return { version, queues, pools, bodyLimitBytes: 1, document: new Uint8Array(0) };
}

test("submitting a job again returns the existing job, also after it was cancelled", () => {
    const machine = makeMachine();
    assert.deepEqual(machine.submit(makeJob("a")), { kind: "accepted", isRepeat: false });
    machine.apply({ kind: "cancelJob", job: "a" });
    assert.deepEqual(machine.submit(makeJob("a")), { kind: "accepted", isRepeat: true });
    assert.equal(machine.state.jobs.get("a")?.phase, "cancelled");
});

// Guards against a submission that is acknowledged because another queue has a job with its id, and is not stored.
test("a job whose id belongs to a job of another queue is refused, also after that job has ended", () => {
    const queues = [
        makeQueue(),
        makeQueue({ name: "inner", path: "/main/inner/" }),
        makeQueue({ name: "other", hostName: "other.example" }),
    ];
    const machine = makeMachine([], queues);
    machine.submit(makeJob("a"));
    const submitToOthers = () => [
        machine.submit({ ...makeJob("a"), payload: "other" }, "/main/inner/"),
        machine.apply({ kind: "submitJob", spec: makeJob("a"), hostName: "other.example", path: "/main/a" }),
    ];
    assert.deepEqual(submitToOthers(), [{ kind: "otherQueue" }, { kind: "otherQueue" }]);
    assert.equal(machine.state.jobs.get("a")?.definition.payload, "work of a");
    machine.apply({ kind: "cancelJob", job: "a" });
    assert.deepEqual(submitToOthers(), [{ kind: "otherQueue" }, { kind: "otherQueue" }]);
    assert.equal(machine.state.jobs.get("a")?.queue.name, "main");
});

// Guards against the refusal of a resent job because the configuration changed after the job was accepted.
test("a job that is submitted again after its queue was changed or removed is the existing job", () => {
    const machine = makeMachine();
    machine.submit(makeJob("a"));
    for (const [version, queues] of [[2, [makeQueue({ service: "pool-2" })]], [3, []]] as const) {
        machine.apply({ kind: "setConfiguration", configuration: makeConfiguration(version, queues) });
        assert.deepEqual(machine.submit(makeJob("a")), { kind: "accepted", isRepeat: true });
    }
});

test("a job for a queue that was removed is rejected", () => {
    const machine = makeMachine();
    machine.apply({ kind: "setConfiguration", configuration: makeConfiguration(2, []) });
    assert.deepEqual(machine.submit(makeJob("a")), { kind: "noQueue" });
});

test("a configuration whose version is not higher is ignored, and the result names the current version", () => {
    const machine = makeMachine();
    const later = makeConfiguration(9, [makeQueue({ name: "later" })]);
    assert.deepEqual(machine.apply({ kind: "setConfiguration", configuration: later }), {
        kind: "configuration",
        version: 9,
    });
    for (const version of [9, 3]) {
        const result = machine.apply({ kind: "setConfiguration", configuration: makeConfiguration(version, []) });
        assert.deepEqual(result, { kind: "configuration", version: 9 });
    }
    assert.equal(machine.state.configuration?.queues[0]?.name, "later");
});

test("a request goes to the queue with the longest matching path prefix", () => {
    const queues = [makeQueue(), makeQueue({ name: "inner", path: "/main/inner/" }), makeQueue({ hostName: "other" })];
    const configuration = makeConfiguration(1, queues);
    assert.equal(findQueue(configuration, "jobs.example", "/main/inner/x")?.name, "inner");
    assert.equal(findQueue(configuration, "jobs.example", "/main/x")?.name, "main");
    assert.equal(findQueue(configuration, "jobs.example", "/none"), undefined);
    assert.equal(findQueue(undefined, "jobs.example", "/main/x"), undefined);
});

test("cancelling an unknown job returns noJob", () => {
    assert.deepEqual(makeMachine().apply({ kind: "cancelJob", job: "none" }), { kind: "noJob" });
});

test("closed jobs are removed after the retention time, open jobs are kept", () => {
    const machine = makeMachine();
    machine.submit(makeJob("open"));
    machine.submit(makeJob("ended"));
    machine.apply({ kind: "cancelJob", job: "ended" });
    machine.apply({ kind: "drainWorker", worker: "none" }, testStartMs + 3_600_000);
    machine.submit(makeJob("next"));
    assert.deepEqual([...machine.state.jobs.keys()], ["open", "next"]);
});
