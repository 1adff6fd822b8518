import assert from "node:assert/strict";
import { test } from "node:test";
import { getRefusal, makeApplyWork, makeDriver, placeTask, registerWorker } from "./fakes/make-commands.js";

void test("an evicted watch resumes once, with a higher token and from its last recorded checkpoint", () => {
    const driver = makeDriver();
    registerWorker(driver, "worker-0", "first");
    registerWorker(driver, "worker-1", "first");
    driver.change("w", makeApplyWork("watch-a", 0, 0));
    const task = "watch-a/0";
    const first = placeTask(driver, task, "worker-0");
    driver.apply({ kind: "confirmStart", task, token: first });
    driver.apply({ kind: "recordCheckpoint", task, token: first, checkpoint: "c1" });
    driver.apply({ kind: "requestEviction", task, token: first, reason: "busy" });
    const early = driver.apply({ kind: "placeTask", task, worker: "worker-1", previousToken: first });
    assert.equal(getRefusal(early).kind, "staleToken");
    driver.apply({ kind: "recordCheckpoint", task, token: first, checkpoint: "c2" });
    driver.apply({ kind: "endTask", task, token: first, outcome: "stopped", reason: "" });
    const second = placeTask(driver, task, "worker-1");
    assert.ok(second > first);
    assert.equal(driver.state.tasks.get(task)?.checkpoint, "c2");
    const late = driver.apply({ kind: "recordCheckpoint", task, token: first, checkpoint: "late" });
    assert.deepEqual(getRefusal(late), { kind: "staleToken", subject: `task ${task}`, seen: first, current: second });
    const again = driver.apply({ kind: "placeTask", task, worker: "worker-0", previousToken: first });
    assert.equal(getRefusal(again).kind, "staleToken");
    assert.equal(driver.state.tasks.get(task)?.evictions, 1);
});

void test("a late registration of a replaced incarnation does not bring it back", () => {
    const driver = makeDriver();
    registerWorker(driver, "worker-0", "first");
    driver.change("j", makeApplyWork("job-a", 0, 0));
    placeTask(driver, "job-a/0", "worker-0");
    registerWorker(driver, "worker-0", "second");
    assert.equal(driver.state.tasks.get("job-a/0")?.phase, "pending");
    const token = placeTask(driver, "job-a/0", "worker-0");
    assert.equal(getRefusal(registerWorker(driver, "worker-0", "first")).kind, "staleToken");
    assert.equal(driver.state.tasks.get("job-a/0")?.token, token);
    assert.equal(driver.state.tasks.get("job-a/0")?.phase, "starting");
});

void test("a drain outlasts the lease, a worker set aside gets one probe task, a reduced worker evicts tasks", () => {
    const driver = makeDriver();
    registerWorker(driver, "worker-0", "first");
    driver.change("s", makeApplyWork("service-a", 3, 0));
    const place = (task: string) => driver.apply({ kind: "placeTask", task, worker: "worker-0", previousToken: 0 });
    driver.change("d", { kind: "setWorkerAdmission", worker: "worker-0", admission: "draining" });
    driver.apply({ kind: "expireWorker", worker: "worker-0", incarnation: "first" });
    assert.equal(getRefusal(place("service-a/0")).kind, "notFound");
    registerWorker(driver, "worker-0", "first");
    assert.equal(getRefusal(place("service-a/0")).kind, "invalidArgument");
    driver.change("o", { kind: "setWorkerAdmission", worker: "worker-0", admission: "open" });
    driver.apply({ kind: "setAsideWorker", worker: "worker-0", setAside: true });
    assert.equal(place("service-a/0").kind, "done");
    assert.equal(getRefusal(place("service-a/1")).kind, "invalidArgument");
    driver.apply({ kind: "setAsideWorker", worker: "worker-0", setAside: false });
    assert.equal(place("service-a/1").kind, "done");
    assert.deepEqual(getRefusal(place("service-a/2")), {
        kind: "capacityExceeded",
        worker: "worker-0",
        resource: "milliCpu",
    });
    registerWorker(driver, "worker-0", "first", 2);
    assert.equal(driver.state.tasks.get("service-a/0")?.phase, "starting");
    assert.equal(driver.state.tasks.get("service-a/1")?.phase, "stopping");
});

void test("a failed task is retried with backoff, and its job fails after the maximum number of attempts", () => {
    const driver = makeDriver();
    registerWorker(driver, "worker-0", "first");
    driver.change("j", makeApplyWork("job-a", 1, 0));
    const fail = () => {
        const token = placeTask(driver, "job-a/0", "worker-0");
        driver.apply({ kind: "endTask", task: "job-a/0", token, outcome: "failed", reason: "exit 1" });
        return driver.state.tasks.get("job-a/0");
    };
    driver.nowMs += 1_000_000_000;
    driver.change("late", { kind: "drainEntry", entry: "absent" });
    driver.nowMs -= 1_000_000_000;
    assert.equal(fail()?.notBeforeMs, driver.nowMs + 1_000, "a clock that was set back does not delay the next start");
    assert.equal(fail()?.phase, "failed");
    assert.equal(driver.state.tasks.get("job-a/1")?.phase, "cancelled");
    assert.equal(driver.state.workers.get("worker-0")?.failuresInRow, 2);
});

void test("an impossible task becomes pending again when a worker with enough capacity registers", () => {
    const driver = makeDriver();
    driver.change("j", makeApplyWork("watch-a", 3, 0));
    driver.apply({ kind: "rejectTask", task: "watch-a/0", reason: "too few cores" });
    registerWorker(driver, "worker-0", "first", 1);
    assert.equal(driver.state.tasks.get("watch-a/0")?.phase, "impossible");
    registerWorker(driver, "worker-1", "first");
    assert.ok(driver.state.pendingTasks.has("watch-a/0"));
});

// Guards against a placement that was decided before the zone was evacuated and is applied after it.
void test("workers of an evacuated zone get no task until the zone is restored", () => {
    const driver = makeDriver();
    registerWorker(driver, "worker-0", "first");
    driver.change("s", makeApplyWork("service-a", 2, 0));
    const place = (task: string) => driver.apply({ kind: "placeTask", task, worker: "worker-0", previousToken: 0 });
    const setZone = (id: string, availabilityZone: string, admission: "open" | "evacuated") =>
        driver.change(id, { kind: "setZoneAdmission", availabilityZone, admission });
    assert.equal(getRefusal(setZone("e0", "elsewhere", "evacuated")).kind, "notFound");
    assert.equal(setZone("e1", "a", "evacuated").kind, "done");
    assert.equal(setZone("e1", "a", "evacuated").kind, "done");
    assert.equal(getRefusal(place("service-a/0")).kind, "invalidArgument");
    assert.equal(setZone("e2", "a", "open").kind, "done");
    assert.equal(place("service-a/0").kind, "done");
});

// Guards against a task that takes worker after worker down, because a start that is lost with its worker is repeated at once without a
// limit (the class of case 3 of the review).
void test("a task that was lost with three workers in a row is not placed again at once", () => {
    const driver = makeDriver();
    driver.change("j", makeApplyWork("job-a", 1, 0));
    const task = "job-a/0";
    for (const worker of ["worker-0", "worker-1", "worker-2"]) {
        registerWorker(driver, worker, "first");
        const token = placeTask(driver, task, worker);
        driver.apply({ kind: "confirmStart", task, token });
        driver.apply({ kind: "expireWorker", worker, incarnation: "first" });
    }
    const { phase, notBeforeMs = 0, endedAtMs = 0 } = driver.state.tasks.get(task) ?? {};
    assert.equal(phase, "pending");
    assert.ok(notBeforeMs > endedAtMs, "the next start has no delay");
});
