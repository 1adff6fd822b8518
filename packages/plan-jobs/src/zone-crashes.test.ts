import { makeJob, makeMachine, makeStep, makeWorker } from "@chestnutspool/job-state/fakes";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeRunStart } from "./fakes/make-run-start.js";
import { simulatePasses } from "./fakes/simulate-passes.js";
import { type Scenario, type SimulatedJob, simulatePool } from "./fakes/simulated-pool.js";

/** Time after its last run within which a long-running task has to run again, by the users' terms, in milliseconds. */
const longestRestartMs = 6_000;
const workers = 32;
const crashedWorkers = 8;
/** Time between two jobs of the backlog, in milliseconds; together they need more than the workers have. */
const backlogIntervalMs = 500;
const backlogJobs = 80;

function makeDay(lastingMilliCpu: number): Scenario {
    const memory = { memoryMib: 5, accelerators: 0 };
    const lasting = Array.from({ length: workers }, (item, number): SimulatedJob => ({
        id: `lasting${number}`,
        queue: "main",
        submittedAtMs: 0,
        spec: makeStep({ count: 2, longRunning: true, resources: { ...memory, milliCpu: lastingMilliCpu } }),
        runMs: 1_000,
    }));
    const backlog = Array.from({ length: backlogJobs }, (item, number): SimulatedJob => ({
        id: `short${number}`,
        queue: "main",
        submittedAtMs: 200 + number * backlogIntervalMs,
        spec: makeStep({ count: 100, expectedRunMs: 1_000, resources: { ...memory, milliCpu: 900 } }),
        runMs: 900,
    }));
    return {
        workers: Array.from({ length: workers }, () => ({ labels: ["a", "r0"] })),
        jobs: [...lasting, ...backlog],
        crashes: Array.from({ length: crashedWorkers }, (item, victim) => ({ atMs: 100, victim })),
        leaderChangeAtMs: 60_000,
        probation: workers,
        waitsForRacks: false,
    };
}

for (const lastingMilliCpu of [400, 1_000, 1_600]) {
    // Guards against suspected long-running tasks without a run beside workers with room, after crashes of a zone under a backlog (issue 61).
    test(`after the crash of eight workers each long-running task that needs ${lastingMilliCpu} runs again within 6 s`, () => {
        assert.deepEqual(simulatePool(makeDay(lastingMilliCpu), 40_000, 40_000, longestRestartMs), []);
    });
}

/** Twelve workers, two tasks of a job that lasts, and more short tasks than the workers can run. */
function setUpBacklog(): ReturnType<typeof makeMachine> {
    const workerIds = Array.from({ length: 12 }, (item, number) => `w${number}`);
    const machine = makeMachine(workerIds.map(id => makeWorker(id)));
    const makeResources = (milliCpu: number) => ({ milliCpu, memoryMib: 10, accelerators: 0 });
    machine.submit(makeJob("lasting", [makeStep({ longRunning: true, count: 2, resources: makeResources(2_500) })]));
    const suspectedRuns = [makeRunStart("lasting", 1, "w1")];
    machine.apply({ kind: "startRuns", starts: [makeRunStart("lasting", 0, "w0"), ...suspectedRuns] });
    const crash = { suspectedRuns, isCertain: true, clearedRuns: [] };
    machine.apply({ kind: "expireWorker", worker: "w1", isGone: false, checkpoints: [], crash });
    machine.submit(makeJob("others", [makeStep({ count: workerIds.length, resources: makeResources(1_500) })]));
    machine.apply({ kind: "startRuns", starts: workerIds.map((id, number) => makeRunStart("others", number, id)) });
    machine.submit(makeJob("backlog", [makeStep({ count: 100, resources: makeResources(1_400) })]));
    return machine;
}

// Guards against a worker that is held for a long-running task in each pass and never taken by it: a smaller task that does not fit
// beside the held worker made the pass take the long-running one for one without room too.
test("a task takes the worker that is held for its trial, though smaller tasks find no room", () => {
    const planned = simulatePasses(setUpBacklog(), 20_000);
    const delayMs = planned.find(({ job }) => job === "lasting")?.atMs ?? Number.POSITIVE_INFINITY;
    assert.ok(delayMs <= longestRestartMs, `the task waits for ${delayMs} ms`);
});
