import { createRunKey, formatRunKey, formatTaskKey } from "@chestnutspool/job-state";
import { makeJob, makeStep, makeWorker } from "@chestnutspool/job-state/fakes";
import { createRunStatus } from "@chestnutspool/track-workers";
import type { StepSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type DisturbedPool, makeDisturbedPool, passMs, type PoolUse } from "./fakes/make-disturbed-pool.js";
import { takeStarvationSummary } from "./starved-steps.js";

// Guards against an accepted job of which nothing ever runs, although all workers have room: it would disturb the serving
// tasks of each of them (LOST on moreno-vaac, trouble-2 seed 387181395012).
test("a late job whose tasks would disturb serving tasks on each worker gets a run", () => {
    const { submitForecast, planUntil } = makeDisturbedPool(2);
    submitForecast("large", { count: 8, expectedRunMs: 1_000 });
    const planned = planUntil(10_000);
    assert.deepEqual(planned.map(({ job }) => job), ["large"]);
    assert.ok((planned[0]?.atMs ?? 0) >= 2_000);
});

// Guards against a burst of late jobs that disturbs the serving tasks of all workers at once.
test("starved steps of a pool in use start one after the other, each in its turn", () => {
    const { submitForecast, planUntil } = makeDisturbedPool(4, undefined, "inUse");
    const jobs = ["a", "b", "c", "d"];
    jobs.forEach(job => submitForecast(job, { count: 8, expectedRunMs: 1_000 }));
    const planned = planUntil(12_000, { outcome: "succeeded", afterMs: 0 });
    for (const [index, { atMs }] of planned.entries()) {
        assert.ok(index === 0 || atMs - (planned[index - 1]?.atMs ?? 0) >= 1_000);
    }
    assert.deepEqual(new Set(planned.slice(0, 4).map(({ job }) => job)), new Set(jobs));
});

// Guards against serving tasks that are disturbed for a job that can still meet its objective.
test("a job in time does not start where it disturbs serving tasks of a pool in use", () => {
    const { submitForecast, planUntil } = makeDisturbedPool(2, undefined, "inUse");
    submitForecast("early", { count: 8, expectedRunMs: 20_000 });
    assert.deepEqual(planUntil(5_000), []);
});

// Guards against a burst of starved jobs that disturbs the serving tasks of all workers of a mostly free pool in one pass.
test("starved steps of a mostly free pool start spread over most of a second, not before they have waited", () => {
    const { submitForecast, planUntil } = makeDisturbedPool(8);
    for (let number = 0; number < 24; number += 1) {
        submitForecast(`forecast${number}`, { count: 8, expectedRunMs: 60_000 });
    }
    const planned = planUntil(3_000);
    assert.equal(new Set(planned.map(({ job }) => job)).size, 24);
    const startsByPass = new Map<number, number>();
    planned.forEach(({ atMs }) => startsByPass.set(atMs, (startsByPass.get(atMs) ?? 0) + 1));
    assert.ok(Math.min(...startsByPass.keys()) >= 2_000);
    // The jobs start within 600 ms of each other, so that a pass starts a sixth of them.
    assert.ok(Math.max(...startsByPass.values()) <= 24 * passMs / 600 + 1, [...startsByPass].join(" "));
});

// Guards against a job that waits without end because its declared run time is far too long, so that it counts as in time.
test("a job in time gets a run too when it has had none for long", () => {
    const { submitForecast, planUntil } = makeDisturbedPool(2, undefined, "inUse");
    submitForecast("overestimated", { count: 8, expectedRunMs: 60_000 });
    const planned = planUntil(10_000);
    assert.deepEqual(planned.map(({ job }) => job), ["overestimated"]);
    assert.ok((planned[0]?.atMs ?? 0) >= 6_000);
});

// Guards against jobs that wait for long without a line that tells how many they are and how often one of them starts.
test("the summary tells the jobs without a run, the longest wait and the starts", () => {
    const { submitForecast, planUntil, memory } = makeDisturbedPool(2, undefined, "inUse");
    ["a", "b", "c"].forEach(job => submitForecast(job, { count: 8, expectedRunMs: 1_000 }));
    planUntil(3_000);
    assert.deepEqual(takeStarvationSummary(memory.starvation), { jobs: 2, longestMs: 3_000, starts: 1 });
    assert.equal(takeStarvationSummary(memory.starvation).starts, 0);
});

// Guards against a job without a run for as long as workers refuse its starts.
test("a start of a starved step that is refused is repeated after a second", () => {
    const { submitForecast, planUntil } = makeDisturbedPool(2);
    submitForecast("refused", { count: 8, expectedRunMs: 1_000 });
    const planned = planUntil(8_000, { outcome: "neverStarted", afterMs: 0 });
    assert.ok(planned.length >= 4, `${planned.length} starts in 8 s`);
    for (const [index, { atMs }] of planned.entries()) {
        assert.ok(index === 0 || atMs - (planned[index - 1]?.atMs ?? 0) === 1_000);
    }
});

// Guards against starved steps without room that hide those that have room.
test("a starved step starts although one that has waited longer finds no room", () => {
    const { submitForecast, planUntil } = makeDisturbedPool(2);
    submitForecast("huge", { expectedRunMs: 1_000, resources: { milliCpu: 1_000, memoryMib: 5_000, accelerators: 0 } });
    submitForecast("small", { expectedRunMs: 1_000 });
    assert.deepEqual(planUntil(10_000).map(({ job }) => job), ["small"]);
});

// Guards against a pass that compares each of thousands of starved steps without room with each worker.
test("the ratings of starved steps in a pass are limited, and the next passes continue with the others", () => {
    const workerCount = 10;
    // A quarter of the limit, for starved steps, is reached with the first step.
    const { submitForecast, planUntil } = makeDisturbedPool(workerCount, 4 * workerCount);
    for (let number = 0; number < 9; number += 1) {
        const resources = { milliCpu: 1_000, memoryMib: 5_000, accelerators: 0 };
        submitForecast(`huge${number}`, { expectedRunMs: 1_000, image: `huge-${number}`, resources });
    }
    submitForecast("small", { expectedRunMs: 1_000 });
    const planned = planUntil(10_000);
    assert.deepEqual(planned.map(({ job }) => job), ["small"]);
    const firstStarvedMs = 2_000;
    assert.ok((planned[0]?.atMs ?? 0) >= firstStarvedMs + 9 * passMs, `started at ${planned[0]?.atMs} ms`);
});

// Guards against a gang that never starts because its members fit only beside serving tasks that they disturb.
test("a starved gang starts with all its tasks", () => {
    const { submitForecast, planUntil } = makeDisturbedPool(2);
    submitForecast("gang", { count: 4, gang: true, expectedRunMs: 1_000 });
    assert.equal(planUntil(10_000).length, 4);
});

/** Longest time for which a long-running task may have no run while there is room for it, by the users' terms, in milliseconds. */
const longestTaskWaitMs = 6_000;

/** Starts a best-effort task on each worker and lets the readings show that it gets hardly any processor time. */
function contendWorkers({ machine, statuses }: DisturbedPool): void {
    const workers = [...machine.state.workers.keys()];
    const resources = { milliCpu: 1_000, memoryMib: 10, accelerators: 0 };
    machine.submit(makeJob("slowed", [makeStep({ usesIdleCpu: true, count: workers.length, resources })]));
    const starts = workers.map((worker, position) => ({
        job: "slowed",
        occurrence: 0,
        step: 0,
        position,
        run: 1,
        worker,
    }));
    machine.apply({ kind: "startRuns", starts });
    for (const [worker, { runs }] of machine.state.workers) {
        const ofWorker = [...runs].map(([key, run]) => {
            const status = createRunStatus(createRunKey(run), "confirmed", 0);
            return [key, Object.assign(status, { readAtMs: 10_000, lastReading: 1 })] as const;
        });
        statuses.set(worker, new Map(ofWorker));
    }
}

const tooLarge = { milliCpu: 12_000, memoryMib: 10, accelerators: 0 };
/** What keeps best-effort tasks from each worker of a pool: its serving tasks, its load, or the size of the tasks. */
const obstacles: readonly {
    readonly name: string;
    readonly use: PoolUse;
    readonly changes: Partial<StepSpec>;
    readonly prepare: (pool: DisturbedPool) => void;
}[] = [
    { name: "disturb serving tasks", use: "mostlyFree", changes: {}, prepare: () => undefined },
    { name: "disturb serving tasks in a pool in use", use: "inUse", changes: {}, prepare: () => undefined },
    { name: "find contended workers", use: "mostlyFree", changes: { image: "calm" }, prepare: contendWorkers },
    {
        name: "find too few idle processors",
        use: "mostlyFree",
        changes: { image: "calm", resources: tooLarge },
        prepare: () => undefined,
    },
];

for (const { name, use, changes, prepare } of obstacles) {
    // Guards against tasks of a job that lasts that never run again beside workers with room, because another task of their job has a run.
    test(`each long-running task that would ${name} has a run within 6 s, though another task of its job runs`, () => {
        const pool = makeDisturbedPool(8, undefined, use);
        prepare(pool);
        pool.submitForecast("lasting", { longRunning: true, count: 3, ...changes });
        const key = { job: "lasting", occurrence: 0, step: 0, run: 1 };
        const starts = [0, 1].map(position => ({ ...key, position, worker: "w0" }));
        pool.machine.apply({ kind: "startRuns", starts });
        const lapsed = { ...key, position: 1, outcome: "lapsed" as const, checkpoint: "" };
        pool.machine.apply({ kind: "endRuns", worker: "w0", ends: [lapsed] });
        const planned = pool.planUntil(longestTaskWaitMs);
        assert.equal(planned.length, 2, JSON.stringify(planned));
        assert.deepEqual(
            [...pool.machine.state.openJobs.get("lasting")?.occurrences.get(0)?.steps[0]?.waiting ?? []],
            [],
        );
    });
}

// Guards against a long-running task without a run because only the workers on which it disturbs nothing are tried, and they refuse it.
test("a long-running task whose starts are refused by the only undisturbed worker has a run elsewhere within 6 s", () => {
    const pool = makeDisturbedPool(8);
    const { machine } = pool;
    machine.apply({ kind: "registerWorker", worker: makeWorker("refusing") });
    pool.submitForecast("lasting", { longRunning: true, count: 2 });
    const key = { job: "lasting", occurrence: 0, step: 0, position: 0, run: 1 };
    machine.apply({ kind: "startRuns", starts: [{ ...key, worker: "w0" }] });
    machine.apply({ kind: "beginJobs", jobs: ["lasting"] });
    pool.planUntil(longestTaskWaitMs, undefined, () => {
        for (const [runKey, { run }] of [...machine.state.workers.get("refusing")?.runs ?? []]) {
            const refused = { ...key, position: 1, run };
            pool.unstartedRuns.set(formatTaskKey(refused), run);
            assert.equal(runKey, formatRunKey(refused));
            const end = { ...refused, outcome: "neverStarted" as const, checkpoint: "" };
            machine.apply({ kind: "endRuns", worker: "refusing", ends: [end] });
        }
    });
    assert.equal(machine.state.openJobs.get("lasting")?.runsInProgress, 2);
});
