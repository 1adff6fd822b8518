import { makeJob, makeStep, testStartMs } from "@chestnutspool/job-state/fakes";
import { readMonotonicMs, type WorkerInfo } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { makeWorker, startTestSystem, type TestSystem, testWithClock } from "./fakes/index.js";

const zoneSize = 8;
/** Time for which a crashed worker is silent until it starts again under its id, in milliseconds. */
const silentMs = 600;
/** Time within which a task has a run again while workers have room, in milliseconds. */
const waitLimitMs = 3_000;
/** Starts of a task that crashes its workers, at most: three, and two more. */
const startLimit = 5;
const resources = { milliCpu: 250, memoryMib: 60, accelerators: 0 };

/** Two zones of eight workers, whose first heartbeats after a crash arrive at different times. */
const setUpZones = Effect.fnUntraced(function*(isCrashing: (job: string) => boolean) {
    yield* TestClock.setTime(testStartMs);
    const system = yield* startTestSystem;
    const announce = (worker: WorkerInfo) =>
        Effect.andThen(Effect.sleep(50 * Number(worker.id.slice(1))), system.announce(worker));
    system.workers.setCrashingRuns(({ job }) => isCrashing(job), {
        afterMs: silentMs,
        nextInfo: (crashed, nowMs) => ({ ...crashed, bornAtMs: nowMs }),
        keepsConnections: true,
    }, announce);
    system.workers.setBehaviour(({ job }) => ({
        runMs: job.startsWith("lasting") ? Number.POSITIVE_INFINITY : 1_000,
        outcome: "succeeded",
    }));
    for (let number = 0; number < 2 * zoneSize; number += 1) {
        const [prefix, availabilityZone] = number < zoneSize ? ["z", "z"] : ["y", "z2"];
        const id = `${prefix}${number % zoneSize}`;
        yield* system.addWorker(makeWorker(id, { bornAtMs: 1, availabilityZone, labels: ["a", `rack-${id}`] }));
    }
    yield* system.pass(1_000);
    return system;
});

/** Submits a short job each 100 ms, so that workers always have runs that started just now. */
const passWithLoad = Effect.fnUntraced(function*(system: TestSystem, prefix: string, forMs: number) {
    for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
        yield* system.submit(makeJob(`${prefix}${passedMs}`, [makeStep({ count: 3, resources })]));
        yield* system.pass(100);
    }
});

const crashZone = Effect.fnUntraced(function*(system: TestSystem) {
    const nowMs = yield* readMonotonicMs;
    for (let number = 0; number < zoneSize; number += 1) {
        system.workers.crashWorker(`z${number}`, nowMs);
    }
});

const listTasks = (system: TestSystem) =>
    [...system.machine.state.openJobs.values()].flatMap(job =>
        [...job.occurrences.values()].flatMap(({ steps }) =>
            steps.flatMap(({ tasks }) => tasks.map(task => ({ job: job.id, task })))
        )
    );

// Guards against tasks that are suspected of the crash of a whole zone, because they had just started there, and wait for trials beside
// idle workers; or whose job is given up.
testWithClock(
    "the tasks on the workers of a zone that crash together are not suspected and run again within 3 s",
    Effect.gen(function*() {
        const system = yield* setUpZones(() => false);
        for (let round = 0; round < 2; round += 1) {
            yield* passWithLoad(system, `before${round}-`, 2_000);
            for (let number = 0; number < 12; number += 1) {
                const step = makeStep({ count: 2, resources, longRunning: true });
                yield* system.submit(makeJob(`lasting${round}-${number}`, [step]));
            }
            yield* system.pass(60);
            yield* crashZone(system);
            yield* passWithLoad(system, `after${round}-`, waitLimitMs);
            const tasks = listTasks(system);
            assert.deepEqual(
                tasks.filter(({ task }) => (task.crashes?.suspicions ?? 0) > 0).map((
                    { job, task },
                ) => [job, task.crashes]),
                [],
            );
            const lasting = tasks.filter(({ job }) => job.startsWith("lasting"));
            assert.deepEqual(lasting.filter(({ task }) => task.runs.length === 0).map(({ job }) => job), []);
        }
        const failed = [...system.machine.state.jobs.values()].filter(({ phase }) => phase === "failed");
        assert.deepEqual(failed.map(({ id }) => id), []);
    }),
);

// Guards against tasks that are started without end, because several of them, or copies of one, crash the workers of a zone together.
for (const [name, jobs, count] of [["copies of a task", 1, 8], ["eight tasks", 8, 1]] as const) {
    testWithClock(
        `${name} that crash the workers of a zone at the same time are given up after a few starts`,
        Effect.gen(function*() {
            const system = yield* setUpZones(job => job.startsWith("deadly"));
            for (let number = 0; number < jobs; number += 1) {
                yield* system.submit(makeJob(`deadly${number}`, [makeStep({ count, requiredLabel: "a" })]));
            }
            yield* passWithLoad(system, "n", 30_000);
            const starts = new Map<string, number>();
            for (const { task } of yield* system.readStartedRuns) {
                if (task.startsWith("deadly")) {
                    starts.set(task, (starts.get(task) ?? 0) + 1);
                }
            }
            assert.deepEqual([...starts].filter(([, times]) => times > startLimit), []);
            const phases = [...system.machine.state.jobs.values()].filter(({ id }) => id.startsWith("deadly"))
                .map(({ phase }) => phase);
            assert.deepEqual(phases, Array.from({ length: jobs }, () => "failed"));
        }),
    );
}
