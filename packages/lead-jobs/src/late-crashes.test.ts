import { makeJob, makeStep, testStartMs } from "@chestnutspool/job-state/fakes";
import { readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { makeWorker, startTestSystem, type TestSystem, testWithClock } from "./fakes/index.js";

/** Time until a worker that crashed is back under a new id, in milliseconds. */
const restartMs = 2_000;
/** Crashes of workers under a task from which it may be started only a few times more. */
const crashLimit = 3;
/** Starts of a task after its third crash, at most. */
const startsAfterLimit = 2;
const stepMs = 50;

const readPhase = (system: TestSystem, job: string) =>
    Effect.map(
        system.ask({ kind: "readJob", job, hostName: "jobs.example", path: `/main/${job}` }),
        reply => reply.kind === "phase" ? reply.phase : reply.kind,
    );

const findRunMs = (job: string): number => job.startsWith("deadly") ? 60_000 : job.startsWith("long") ? 30_000 : 3_000;

const isDeadlyTask = (task: string): boolean => task.startsWith("deadly");

/** Workers that crash under the jobs whose ids begin with `deadly`, `crashAfterMs` after each start. */
const setUpWorkers = Effect.fnUntraced(function*(system: TestSystem, count: number) {
    let restarts = 0;
    const nextInfo = (crashed: ReturnType<typeof makeWorker>, nowMs: number) => {
        restarts += 1;
        return { ...crashed, bornAtMs: nowMs, id: `${crashed.id.split("-")[0]}-${restarts}` };
    };
    system.workers.setCrashingRuns(() => false, { afterMs: restartMs, nextInfo }, system.announce);
    system.workers.setBehaviour(({ job }) => ({
        runMs: findRunMs(job),
        outcome: "succeeded",
    }));
    for (let number = 1; number <= count; number += 1) {
        yield* system.addWorker(makeWorker(`w${number}`, { bornAtMs: 1 }));
    }
});

/** Lets time pass, and crashes each worker that has run a deadly task for `crashAfterMs`. */
const passWithCrashes = Effect.fnUntraced(function*(system: TestSystem, crashAfterMs: number, forMs: number) {
    for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
        yield* system.pass(stepMs);
        const nowMs = yield* readMonotonicMs;
        const runs = yield* system.readStartedRuns;
        const crashing = new Set(
            runs.filter(({ task, endedAtMs, startedAtMs }) =>
                isDeadlyTask(task) && endedAtMs === undefined && nowMs - startedAtMs >= crashAfterMs
            ).map(({ worker }) => worker),
        );
        crashing.forEach(worker => system.workers.crashWorker(worker, nowMs));
    }
});

/** Counts the starts of a task after the third crash of a worker under it. */
const countLateStarts = Effect.fnUntraced(function*(system: TestSystem, task: string) {
    const runs = (yield* system.readStartedRuns).filter(run => run.task === task);
    const third = runs.filter(({ hasCrashed }) => hasCrashed)[crashLimit - 1];
    return third === undefined ? 0 : runs.filter(({ run }) => run > third.run).length;
});

// Guards against a task that crashes its worker some seconds after each start and is started without end, because a trial that it
// passed cleared its crashes; and against blaming the tasks that run beside it.
for (const workerCount of [4, 8]) {
    for (const crashAfterMs of [1_000, 4_000, 8_000, 20_000]) {
        testWithClock(
            `two tasks that crash their worker after ${crashAfterMs} ms are given up, none beside them is, on ${workerCount} workers`,
            Effect.gen(function*() {
                // The ages of runs are taken from the clock of the state, which begins there.
                yield* TestClock.setTime(testStartMs);
                const system = yield* startTestSystem;
                yield* setUpWorkers(system, workerCount);
                const innocents: string[] = [];
                const submit = Effect.fnUntraced(function*(id: string, count: number) {
                    const step = makeStep({ count, expectedRunMs: findRunMs(id) });
                    const reply = yield* system.submit(makeJob(id, [step]));
                    assert.equal(reply.kind, "accepted");
                    if (!isDeadlyTask(id)) {
                        innocents.push(id);
                    }
                });
                yield* submit("long0", 2);
                yield* submit("deadly0", 1);
                yield* submit("deadly1", 1);
                yield* submit("long1", 4);
                // A crash is recorded a few seconds after it.
                const rounds = Math.ceil((crashLimit + startsAfterLimit) * (crashAfterMs + 5_000) / 1_000);
                for (let round = 0; round < rounds; round += 1) {
                    if (round < 40) {
                        yield* submit(`n${round}`, 2);
                    }
                    yield* passWithCrashes(system, crashAfterMs, 1_000);
                }
                yield* passWithCrashes(system, crashAfterMs, 40_000);
                for (const job of ["deadly0", "deadly1"]) {
                    const late = yield* countLateStarts(system, `${job}.0.0.0`);
                    assert.ok(late <= startsAfterLimit, `${job} started ${late} times after the third crash`);
                    assert.equal(yield* readPhase(system, job), "failed");
                }
                const phases: string[] = [];
                for (const job of innocents) {
                    phases.push(yield* readPhase(system, job));
                }
                assert.deepEqual(phases, innocents.map(() => "completed"));
            }),
        );
    }
}

// Guards against a task that is started without end, or neighbours that are given up for it, because many suspected tasks share a trial.
for (const crashAfterMs of [200, 2_000]) {
    testWithClock(
        `a task that crashes its worker after ${crashAfterMs} ms is found among many that share its trials`,
        Effect.gen(function*() {
            yield* TestClock.setTime(testStartMs);
            const system = yield* startTestSystem;
            yield* setUpWorkers(system, 4);
            const jobs = Array.from({ length: 16 }, (none, number) => number === 7 ? "deadly" : `n${number}`);
            for (const job of jobs) {
                const resources = { milliCpu: 100, memoryMib: 10, accelerators: 0 };
                yield* system.submit(makeJob(job, [makeStep({ resources, expectedRunMs: findRunMs(job) })]));
            }
            yield* passWithCrashes(system, crashAfterMs, 90_000);
            const late = yield* countLateStarts(system, "deadly.0.0.0");
            assert.ok(late <= startsAfterLimit, `started ${late} times after the third crash`);
            const phases: string[] = [];
            for (const job of jobs) {
                phases.push(yield* readPhase(system, job));
            }
            assert.deepEqual(phases, jobs.map(job => isDeadlyTask(job) ? "failed" : "completed"));
        }),
    );
}

/** Crashes half of the workers with runs, for a reason outside of the tasks. */
const crashHalf = Effect.fnUntraced(function*(system: TestSystem, workerCount: number) {
    const nowMs = yield* readMonotonicMs;
    const runs = yield* system.readStartedRuns;
    const busy = new Set(runs.filter(({ endedAtMs }) => endedAtMs === undefined).map(({ worker }) => worker));
    [...busy].slice(0, workerCount / 2).forEach(worker => system.workers.crashWorker(worker, nowMs));
});

/** Crashes half of the workers three times beside the deadly task, and checks how often it starts after its third crash. */
const checkLateStarts = Effect.fnUntraced(function*(system: TestSystem, workerCount: number, crashAfterMs: number) {
    yield* passWithCrashes(system, crashAfterMs, 3_000);
    for (let round = 0; round < 3; round += 1) {
        yield* passWithCrashes(system, crashAfterMs, 4_000);
        yield* crashHalf(system, workerCount);
    }
    yield* passWithCrashes(system, crashAfterMs, 7 * (crashAfterMs + 5_000) + 20_000);
    const late = yield* countLateStarts(system, "deadly.0.0.0");
    assert.ok(late <= startsAfterLimit, `started ${late} times after the third crash`);
});

// Guards against trials that are too short, or shared by too many, to tell a deadly task from long-running ones that have met as many
// crashes.
for (const workerCount of [4, 8]) {
    testWithClock(
        `a task that crashes its worker after 20 s is found among long-running tasks after other crashes, on ${workerCount} workers`,
        Effect.gen(function*() {
            yield* TestClock.setTime(testStartMs);
            const system = yield* startTestSystem;
            yield* setUpWorkers(system, workerCount);
            system.workers.setBehaviour(({ job }) => ({
                runMs: isDeadlyTask(job) ? findRunMs(job) : Number.POSITIVE_INFINITY,
                outcome: "succeeded",
            }));
            const crashAfterMs = 20_000;
            const resources = { milliCpu: 100, memoryMib: 10, accelerators: 0 };
            for (let number = 0; number < workerCount; number += 1) {
                yield* system.submit(
                    makeJob(`lasting${number}`, [makeStep({ count: 3, longRunning: true, resources })]),
                );
            }
            yield* system.submit(makeJob("deadly", [makeStep({ resources })]));
            yield* checkLateStarts(system, workerCount, crashAfterMs);
            assert.equal(yield* readPhase(system, "deadly"), "failed");
        }),
    );
}

// Guards against a long-running task that crashes its worker late and is started without end, or takes innocent ones with it, because
// long-running tasks that have waited for their trials share them.
for (const workerCount of [4, 8]) {
    for (const crashAfterMs of [10_000, 20_000]) {
        testWithClock(
            `a long-running task that crashes its worker after ${crashAfterMs} ms is found among others like it, on ${workerCount} workers`,
            Effect.gen(function*() {
                yield* TestClock.setTime(testStartMs);
                const system = yield* startTestSystem;
                yield* setUpWorkers(system, workerCount);
                system.workers.setBehaviour(() => ({ runMs: Number.POSITIVE_INFINITY, outcome: "succeeded" }));
                const resources = { milliCpu: 100, memoryMib: 10, accelerators: 0 };
                const jobs = Array.from({ length: workerCount }, (none, number) => `lasting${number}`);
                for (const job of jobs) {
                    yield* system.submit(makeJob(job, [makeStep({ count: 3, longRunning: true, resources })]));
                }
                yield* system.submit(makeJob("deadly", [makeStep({ longRunning: true, resources })]));
                yield* checkLateStarts(system, workerCount, crashAfterMs);
                const phases: string[] = [];
                for (const job of ["deadly", ...jobs]) {
                    phases.push(yield* readPhase(system, job));
                }
                assert.deepEqual(phases, ["failed", ...jobs.map(() => "running")]);
            }),
        );
    }
}

/** Counts the workers that crashed under deadly tasks and were down at once, at most. */
const countMostDown = Effect.fnUntraced(function*(system: TestSystem) {
    const crashed = (yield* system.readStartedRuns).filter(({ task, hasCrashed }) => isDeadlyTask(task) && hasCrashed);
    const counts = crashed.map(({ endedAtMs: atMs = 0 }) => {
        const down = crashed.filter(({ endedAtMs = 0 }) => endedAtMs <= atMs && endedAtMs > atMs - restartMs);
        return new Set(down.map(({ worker }) => worker)).size;
    });
    return Math.max(0, ...counts);
});

// Guards against a step of long-running tasks that crash their workers late and take most of a service down at once, because each of them
// has a worker of its own once it has waited for its trial.
for (const crashAfterMs of [2_500, 8_000]) {
    testWithClock(
        `long-running tasks of a step that crash their worker after ${crashAfterMs} ms are on at most half of the workers at once`,
        Effect.gen(function*() {
            yield* TestClock.setTime(testStartMs);
            const system = yield* startTestSystem;
            const workerCount = 16;
            yield* setUpWorkers(system, workerCount);
            const resources = { milliCpu: 100, memoryMib: 10, accelerators: 0 };
            yield* system.submit(makeJob("deadly", [makeStep({ count: workerCount, longRunning: true, resources })]));
            yield* passWithCrashes(system, crashAfterMs, 60_000);
            assert.equal(yield* readPhase(system, "deadly"), "failed");
            const mostDown = yield* countMostDown(system);
            assert.ok(mostDown <= workerCount / 2, `${mostDown} of ${workerCount} workers down at once`);
        }),
    );
}
