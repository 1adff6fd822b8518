import type { CommandResult, OperatorChange, WorkSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { getRefusal, makeApplyWork, makeDriver, placeTask, registerWorker } from "./fakes/make-commands.js";
import { makeSpec } from "./fakes/random-commands.js";

const dayMs = 86_400_000;

function makeConfiguration(key: string, value: string, expectedRevision: number): OperatorChange {
    return { kind: "setConfiguration", entries: { [key]: value }, removedKeys: [], expectedRevision };
}

void test("of two changes to one revision the second is refused, and the error names who made the first", () => {
    const driver = makeDriver();
    driver.change("create", makeApplyWork("job-a", 0, 0));
    assert.deepEqual(driver.change("ann", makeApplyWork("job-a", 1, 1)), { kind: "revision", index: 3, revision: 2 });
    assert.deepEqual(getRefusal(driver.change("ben", makeApplyWork("job-a", 2, 1))), {
        kind: "revisionConflict",
        object: "work job-a",
        expected: 1,
        actual: 2,
        changedBy: "ann",
    });
    driver.change("ann-2", makeConfiguration("a", "1", 0));
    const conflict = getRefusal(driver.change("ben-2", makeConfiguration("a", "2", 0)));
    assert.equal(conflict.kind === "revisionConflict" && conflict.changedBy, "ann-2");
});

void test("a resend returns the first outcome, even a refusal or after a snapshot; another body is refused", () => {
    const driver = makeDriver();
    const outcomes = new Map<string, CommandResult>();
    const changes: [string, OperatorChange][] = [
        ["first", makeApplyWork("watch-a", 0, 0)],
        ["refused", makeApplyWork("watch-a", 1, 0)],
        ["second", makeApplyWork("watch-a", 1, 1)],
    ];
    for (const [id, change] of changes) {
        outcomes.set(id, driver.change(id, change));
    }
    driver.machine.restoreSnapshot(driver.machine.takeSnapshot());
    for (const [id, change] of changes) {
        assert.deepEqual(driver.change(id, change), outcomes.get(id));
    }
    assert.equal(driver.state.works.get("watch-a")?.revision, 2);
    assert.deepEqual(getRefusal(driver.change("first", makeApplyWork("watch-a", 5, 2))), {
        kind: "requestIdReused",
        requestId: "first",
    });
});

void test("all request ids are kept for 24 h, and after that the latest 10,000", () => {
    const driver = makeDriver();
    for (let count = 0; count < 10_500; count += 1) {
        driver.change(`id-${count}`, { kind: "drainEntry", entry: "absent" });
    }
    assert.equal(driver.state.operatorRequests.size, 10_501);
    driver.nowMs += dayMs + 1;
    driver.change("later", { kind: "drainEntry", entry: "absent" });
    assert.equal(driver.state.operatorRequests.size, 10_000);
    assert.ok(driver.state.operatorRequests.has("later") && !driver.state.operatorRequests.has("id-400"));
});

void test("each invalid field is refused with the seen and the allowed value, and changes nothing", () => {
    const driver = makeDriver();
    const service = makeSpec("service-a", 1);
    const job = makeSpec("job-a", 1);
    const watch = makeSpec("watch-a", 1);
    const bad: [string, Partial<Record<string, unknown>>, WorkSpec][] = [
        ["name", { name: "Ash" }, job],
        ["name", { name: "a".repeat(64) }, job],
        ["tenant", { tenant: "" }, job],
        ["resources.milliCpu", { resources: { milliCpu: 0, memoryMib: 1, accelerators: 0 } }, job],
        ["resources.memoryMib", { resources: { milliCpu: 1, memoryMib: 1.5, accelerators: 0 } }, job],
        ["resources.accelerators", { resources: { milliCpu: 1, memoryMib: 1, accelerators: -1 } }, job],
        ["interferenceClass", { interferenceClass: "a b" }, job],
        ["command", { command: "x".repeat(16_385) }, job],
        ["job.tasks", { tasks: 0 }, job],
        ["job.deadlineAtMs", { deadlineAtMs: 0 }, job],
        ["job.expectedRunMs", { expectedRunMs: Number.NaN }, job],
        ["job.maxAttempts", { maxAttempts: 101 }, job],
        ["service.replicas", { replicas: -1 }, service],
        ["service.maxRunMs", { maxRunMs: 600_001 }, service],
        ["watch.checkpointIntervalMs", { checkpointIntervalMs: 0 }, watch],
    ];
    for (const [position, [field, values, spec]] of bad.entries()) {
        const change = { kind: "applyWork", spec: { ...spec, ...values }, expectedRevision: 0 } as const;
        const error = getRefusal(driver.change(`bad-${position}`, change));
        assert.equal(error.kind === "invalidArgument" && error.field, field);
        assert.ok(error.kind === "invalidArgument" && error.allowed !== "" && error.seen !== "");
    }
    assert.equal(driver.state.works.size, 0);
    const unknownTenant = { ...job, tenant: "moreno" };
    const refusal = getRefusal(driver.change("t", { kind: "applyWork", spec: unknownTenant, expectedRevision: 0 }));
    assert.deepEqual(refusal, { kind: "notFound", object: "tenant", id: "moreno" });
    assert.equal(getRefusal(driver.change("", { kind: "drainEntry", entry: "x" })).kind, "invalidArgument");
});

void test("the configuration history is bounded and the configuration stays below 64 KiB", () => {
    const driver = makeDriver();
    for (let count = 0; count < 1_100; count += 1) {
        driver.change(`set-${count}`, makeConfiguration("key", String(count), count));
    }
    assert.equal(driver.state.configuration.revision, 1_100);
    assert.equal(driver.state.configurationHistory.length, 1_000);
    const entries = Object.fromEntries(Array.from({ length: 9 }, (item, key) => [`k${key}`, "v".repeat(8_000)]));
    const large: OperatorChange = { kind: "setConfiguration", entries, removedKeys: [], expectedRevision: 1_100 };
    assert.equal(getRefusal(driver.change("large", large)).kind, "invalidArgument");
});

void test("a bulk cancellation ends pending tasks at once and stops the others", () => {
    const driver = makeDriver();
    registerWorker(driver, "worker-0", "first");
    const names = Array.from({ length: 500 }, (item, count) => `job-${count}`);
    for (const name of names) {
        driver.change(name, makeApplyWork(name, 0, 0));
    }
    const token = placeTask(driver, "job-0/0", "worker-0");
    assert.deepEqual(
        getRefusal(driver.change("c1", { kind: "cancelWorks", names: [...names, "absent"] })).kind,
        "notFound",
    );
    driver.change("c2", { kind: "cancelWorks", names });
    assert.equal(driver.state.pendingTasks.size, 0);
    assert.equal(driver.state.tasks.get("job-0/0")?.phase, "stopping");
    driver.apply({ kind: "endTask", task: "job-0/0", token, outcome: "stopped", reason: "" });
    assert.equal(driver.state.tasks.get("job-0/0")?.phase, "cancelled");
    driver.nowMs += dayMs + 1;
    driver.change("later", { kind: "drainEntry", entry: "absent" });
    assert.equal(driver.state.works.size, 0);
    assert.equal(driver.state.tasks.size, 0);
});
