import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import { readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { makeWorker, type TestSystem, testSystem } from "./fakes/index.js";

const workerCount = 8;
/** Time until a worker that crashed is back under a new id, in milliseconds. */
const restartMs = 3_300;
/** Starts of a task that crashes its workers, at most: three, and two more. */
const startLimit = 5;

const readPhase = (system: TestSystem, job: string) =>
    Effect.map(
        system.ask({ kind: "readJob", job, hostName: "jobs.example", path: `/main/${job}` }),
        reply => reply.kind === "phase" ? reply.phase : reply.kind,
    );

const countStarts = (system: TestSystem, task: string) =>
    Effect.map(system.readStartedRuns, runs => runs.filter(run => run.task === task).length);

/** Workers that crash under task 1 of the job `deadly` and are back, under a new id unless `keepsId`. */
const setUpWorkers = Effect.fnUntraced(function*(system: TestSystem, count = workerCount, keepsId = false) {
    let restarts = 0;
    system.workers.setCrashingRuns(
        ({ job, position }) => job === "deadly" && position === 1,
        {
            afterMs: restartMs,
            nextInfo: (crashed, nowMs) => {
                restarts += 1;
                return { ...crashed, bornAtMs: nowMs, id: keepsId ? crashed.id : `${crashed.id}-${restarts}` };
            },
        },
        system.announce,
    );
    for (let number = 1; number <= count; number += 1) {
        yield* system.addWorker(makeWorker(`w${number}`, { bornAtMs: 1 }));
    }
});

/** Submits small jobs, one every 250 ms, and returns the ids of those that are accepted. */
const submitNeighbours = Effect.fnUntraced(function*(system: TestSystem, prefix: string, count: number) {
    const ids: string[] = [];
    for (let number = 0; number < count; number += 1) {
        const id = `${prefix}${number}`;
        const reply = yield* system.submit(makeJob(id, [makeStep({ count: 4 })]));
        if (reply.kind === "accepted") {
            ids.push(id);
        }
        yield* system.pass(250);
    }
    return ids;
});

const readPhases = Effect.fnUntraced(function*(system: TestSystem, jobs: readonly string[]) {
    const phases = new Map<string, number>();
    for (const job of jobs) {
        const phase = yield* readPhase(system, job);
        phases.set(phase, (phases.get(phase) ?? 0) + 1);
    }
    return Object.fromEntries(phases);
});

// Guards against a task that crashes each worker that starts it and was started without end, because the end of a run by a
// crash counted as no attempt.
for (const [name, keepsId] of [["", false], [", also if they are back under their ids", true]] as const) {
    testSystem(
        `a task that crashes its workers is started a few times, and its job ends as failed${name}`,
        system =>
            Effect.gen(function*() {
                yield* setUpWorkers(system, workerCount, keepsId);
                yield* system.submit(makeJob("deadly", [makeStep({ count: 3 })]));
                const neighbours = yield* submitNeighbours(system, "n", 120);
                const starts = yield* countStarts(system, "deadly.0.0.1");
                assert.ok(starts <= startLimit, `${starts} starts`);
                assert.equal(yield* readPhase(system, "deadly"), "failed");
                yield* system.pass(10_000);
                assert.deepEqual(yield* readPhases(system, neighbours), { completed: neighbours.length });
            }),
    );
}

// Guards against a gang that is started without end or waits without end, because its members share the workers of their trial.
for (const count of [2, workerCount]) {
    testSystem(
        `a gang with a member that crashes its workers is given up after a few starts on ${count} workers`,
        system =>
            Effect.gen(function*() {
                yield* setUpWorkers(system, count);
                // The members fit one worker, because the fake workers do not end a gang whose member on another one is gone.
                const resources = { milliCpu: 100, memoryMib: 10, accelerators: 0 };
                yield* system.submit(makeJob("deadly", [makeStep({ count: 10, gang: true, resources })]));
                const neighbours = yield* submitNeighbours(system, "n", 80);
                const starts = yield* countStarts(system, "deadly.0.0.1");
                assert.ok(starts <= startLimit, `${starts} starts`);
                assert.equal(yield* readPhase(system, "deadly"), "failed");
                yield* system.pass(30_000);
                assert.deepEqual(yield* readPhases(system, neighbours), { completed: neighbours.length });
            }),
    );
}

testSystem("the count of crashes outlives the leader", system =>
    Effect.gen(function*() {
        yield* setUpWorkers(system);
        yield* system.submit(makeJob("deadly", [makeStep({ count: 3 })]));
        for (let round = 0; round < 10; round += 1) {
            yield* submitNeighbours(system, `n${round}-`, 10);
            system.log.setLeader(round % 2 === 0 ? "b" : "a");
            yield* system.pass(500);
        }
        const starts = yield* countStarts(system, "deadly.0.0.1");
        assert.ok(starts <= startLimit, `${starts} starts`);
        assert.equal(yield* readPhase(system, "deadly"), "failed");
    }));

testSystem("the status of a job that is given up tells the reason and the task", system =>
    Effect.gen(function*() {
        yield* setUpWorkers(system);
        yield* system.submit(makeJob("deadly", [makeStep({ count: 3 })]));
        yield* system.pass(20_000);
        const reply = yield* system.ask({
            kind: "readJob",
            job: "deadly",
            hostName: "jobs.example",
            path: "/main/deadly",
        });
        const failure = { reason: "workerCrashes", task: "deadly.0.0.1" };
        assert.deepEqual(reply, { kind: "phase", phase: "failed", failure });
    }));

// Guards against blaming the tasks that run beside one that crashes its workers.
for (const count of [1, 2, workerCount]) {
    testSystem(
        `the neighbours of a task that crashes its workers complete on ${count} workers`,
        system =>
            Effect.gen(function*() {
                yield* setUpWorkers(system, count);
                const before = yield* submitNeighbours(system, "before", 4);
                yield* system.submit(makeJob("deadly", [makeStep({ count: 3 })]));
                const after = yield* submitNeighbours(system, "after", 40);
                yield* system.pass(150_000);
                assert.equal(yield* readPhase(system, "deadly"), "failed");
                const accepted = [...before, ...after];
                assert.ok(accepted.length >= 20, `${accepted.length} accepted`);
                assert.deepEqual(yield* readPhases(system, accepted), { completed: accepted.length });
            }),
    );
}

testSystem("workers that crash for other reasons do not fail the jobs on them", system =>
    Effect.gen(function*() {
        yield* setUpWorkers(system);
        const jobs = yield* submitNeighbours(system, "first", 6);
        for (let round = 0; round < 4; round += 1) {
            const crashing = [...system.machine.state.workers.keys()].slice(0, workerCount / 2);
            const nowMs = yield* readMonotonicMs;
            crashing.forEach(id => system.workers.crashWorker(id, nowMs));
            jobs.push(...yield* submitNeighbours(system, `round${round}-`, 20));
        }
        yield* system.pass(60_000);
        assert.deepEqual(yield* readPhases(system, jobs), { completed: jobs.length });
    }));

testSystem("a worker that leaves has not crashed", system =>
    Effect.gen(function*() {
        yield* setUpWorkers(system, 2);
        system.workers.setBehaviour(() => ({ runMs: 60_000, outcome: "succeeded" }));
        yield* system.submit(makeJob("a", [makeStep({ count: 8 })]));
        yield* system.pass(1_000);
        yield* system.ask({ kind: "removeWorker", worker: "w1" });
        system.workers.removeWorker("w1", yield* readMonotonicMs);
        yield* system.pass(3_000);
        const tasks = system.machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks ?? [];
        assert.equal(system.machine.state.workers.has("w1"), false);
        assert.deepEqual(tasks.map(({ crashes }) => crashes), Array.from({ length: 8 }, () => undefined));
    }));
