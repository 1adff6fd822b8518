import type { JobSpec, PlacementSection, ServiceSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildState, buildTask, buildWorker } from "./fakes/build-state.js";
import { createPlacer } from "./index.js";

const settings: PlacementSection = {
    intervalMs: 50,
    tailLatencyWeight: 3,
    batchThroughputWeight: 1,
    evictionWeight: 1,
    evictionsPerMinute: 10,
    highUsePercent: 80,
};
const size = { milliCpu: 1000, memoryMib: 100, accelerators: 0 };
const capacity = { milliCpu: 2000, memoryMib: 1000, accelerators: 0 };
const job: JobSpec = {
    kind: "job",
    name: "job",
    tenant: "t",
    resources: size,
    interferenceClass: "batch",
    command: "",
    tasks: 3,
    deadlineAtMs: undefined,
    expectedRunMs: 1000,
    maxAttempts: 3,
};
const service: ServiceSpec = {
    kind: "service",
    name: "service",
    tenant: "t",
    resources: size,
    interferenceClass: "service",
    command: "",
    replicas: 1,
    maxRunMs: 1000,
};

void test("a full worker gets no further task, and the urgent task is placed first", () => {
    const state = buildState({
        works: [job, service],
        tasks: [0, 1, 2].map(ordinal => buildTask(job, ordinal)).concat(buildTask(service, 0)),
        workers: [buildWorker("w", capacity)],
        tenants: [{ id: "t", quota: capacity, weight: 1, revision: 1, changedBy: "test" }],
    });
    const decisions = createPlacer(settings).planPlacements(state, 1000);
    assert.deepEqual(decisions.map(decision => "task" in decision ? decision.task : ""), ["service/0", "job/0"]);
});

void test("a decision that is not applied yet is not repeated before its timeout, and its space stays reserved", () => {
    const state = buildState({
        works: [job],
        tasks: [0, 1, 2].map(ordinal => buildTask(job, ordinal)),
        workers: [buildWorker("w", capacity)],
    });
    const placer = createPlacer(settings);
    assert.equal(placer.planPlacements(state, 1000).length, 2);
    assert.equal(placer.planPlacements(state, 1050).length, 0);
    assert.equal(placer.planPlacements(state, 1500).length, 2);
});

void test("a job too large for every worker is rejected with the resource that is short, if there is a worker", () => {
    const large = { ...job, resources: { ...size, accelerators: 1 } };
    const tasks = [buildTask(large, 0)];
    const without = buildState({ works: [large], tasks, workers: [] });
    assert.deepEqual(createPlacer(settings).planPlacements(without, 1000), []);
    const draining = buildWorker("w", capacity, { admission: "draining" });
    const decisions = createPlacer(settings).planPlacements(
        buildState({ works: [large], tasks, workers: [draining] }),
        1000,
    );
    assert.deepEqual(decisions, [{
        kind: "rejectTask",
        task: "job/0",
        reason: "needs 1 accelerators, which no registered worker offers",
    }]);
});

void test("a worker whose starts fail in a row gets no task until it is probed with a single one", () => {
    const build = (admission: "open" | "setAside", failuresInRow: number) =>
        buildState({
            works: [job],
            tasks: [0, 1].map(ordinal => buildTask(job, ordinal)),
            workers: ["a", "b", "c", "d"].map(id =>
                buildWorker(id, capacity, id === "a" ? { admission, failuresInRow } : { admission: "draining" })
            ),
        });
    const placer = createPlacer(settings);
    const plan = (admission: "open" | "setAside", failuresInRow: number, nowMs: number) =>
        placer.planPlacements(build(admission, failuresInRow), nowMs);
    const setAside = (flag: boolean) => [{ kind: "setAsideWorker", worker: "a", setAside: flag }];
    assert.deepEqual(plan("open", 3, 1000), setAside(true));
    assert.deepEqual(plan("setAside", 3, 30_000), []);
    assert.deepEqual(plan("setAside", 3, 31_000), setAside(false), "the first probe comes after 30 s");
    assert.deepEqual(plan("open", 3, 31_050).map(({ kind }) => kind), ["placeTask"]);
    assert.deepEqual(plan("open", 4, 32_000), setAside(true));
    assert.deepEqual(plan("setAside", 4, 91_000), []);
    assert.deepEqual(plan("setAside", 4, 92_000), setAside(false), "the second probe comes after 60 s more");
    assert.deepEqual(plan("open", 0, 93_000).map(({ kind }) => kind), ["placeTask"], "on probation");
    assert.deepEqual(plan("open", 0, 152_000).map(({ kind }) => kind), ["placeTask", "placeTask"]);
});

// Guards against proposing placements that the state machine refuses, again and again.
void test("a worker of an evacuated zone gets no task", () => {
    const state = buildState({
        works: [job],
        tasks: [0, 1, 2].map(ordinal => buildTask(job, ordinal)),
        workers: [
            buildWorker("w1", capacity, { availabilityZone: "a" }),
            buildWorker("w2", capacity, { availabilityZone: "b" }),
        ],
    });
    const evacuated = { ...state, evacuatedZones: new Set(["a"]) };
    const decisions = createPlacer(settings).planPlacements(evacuated, 1000);
    assert.deepEqual(decisions.map(decision => "worker" in decision ? decision.worker : ""), ["w2", "w2"]);
});
