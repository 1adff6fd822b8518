import { makeJob, makeStep, testStartMs } from "@chestnutspool/job-state/fakes";
import type { OrderAnswer, WorkerInfo } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    makeWorker,
    playTimedEvents,
    type RunLoad,
    startTestSystemWith,
    type SystemEvent,
    type TimedEvent,
    watchWaitingJobs,
    workerFaults,
} from "./fakes/index.js";

/** Time for which a job with room may have nothing running, in milliseconds. */
const waitLimitMs = 3_000;
/** Time after the last fault in which bounds on time do not hold, in milliseconds. */
const catchUpMs = 7_000;
/** Time for which jobs are watched after that, in milliseconds. */
const watchedMs = 15_000;
/** Time until a worker that crashed starts again, in milliseconds. */
const restartMs = 300;

const workerIds = Array.from({ length: 8 }, (unused, position) => `w${position}`);
const memoryMib = 50;
const bestEffortMilliCpu = 1_000;
const bestEffort = makeStep({
    count: 13,
    usesIdleCpu: true,
    image: "forecast",
    resources: { milliCpu: bestEffortMilliCpu, memoryMib, accelerators: 0 },
});
const targetMs = 20;
/** A serving task on each worker; they reserve an eighth of the processors. */
const serving = makeStep({
    count: workerIds.length,
    perWorkerLimit: 1,
    longRunning: true,
    tailTargetMs: targetMs,
    image: "web",
    resources: { milliCpu: 500, memoryMib, accelerators: 0 },
});
/** One best-effort task at full pace takes a whole target from the margin, so that it may run at a fifth to a half of it. */
const servingLoad: RunLoad = {
    kind: "serving",
    readTailMs: (milliCpu, nowMs) => {
        const headroom = 1.6 + 0.2 * Math.sin(nowMs / 3_000);
        return targetMs / Math.max(0.2, headroom - milliCpu / bestEffortMilliCpu);
    },
};

/** A worker without a serving task that answers each start with 503, as do those whose ids begin with its id. */
const refusing: WorkerInfo = makeWorker("refusing", { bornAtMs: 1 });

/** Starts a system whose workers each run a serving task, which best-effort tasks disturb; `onRefusal` is called for each refused start. */
const startSceneWith = Effect.fnUntraced(function*(onRefusal: (job: string) => void) {
    // The state machine has read this time; before it each job would seem to be in time.
    yield* TestClock.setTime(testStartMs);
    const system = yield* startTestSystemWith(port => ({
        ...port,
        startRun: (worker, order, limitMs) => {
            if (!worker.id.startsWith(refusing.id)) {
                return port.startRun(worker, order, limitMs);
            }
            onRefusal(order.job);
            const refusal: OrderAnswer = { kind: "refused", reason: "unhealthy", clockMs: undefined };
            return Effect.as(Effect.sleep(1), refusal);
        },
    }));
    system.workers.setBehaviour(({ job }) =>
        job === "web"
            ? { runMs: Number.POSITIVE_INFINITY, outcome: "succeeded", load: servingLoad }
            : { runMs: 1_000, outcome: "succeeded", load: { kind: "bestEffort", milliCpu: bestEffortMilliCpu } }
    );
    const nextInfo = (crashed: WorkerInfo, nowMs: number): WorkerInfo => ({ ...crashed, bornAtMs: nowMs });
    system.workers.setCrashingRuns(() => false, { afterMs: restartMs, nextInfo }, system.announce);
    for (const id of workerIds) {
        yield* system.addWorker(makeWorker(id, { bornAtMs: 1 }));
    }
    yield* system.submit(makeJob("web", [serving]));
    yield* system.pass(3_000);
    return system;
});

const startScene = startSceneWith(() => undefined);

/** Plays events after some jobs were submitted, and lists those of which afterwards nothing runs for too long. */
function findLongWaits(jobs: number, events: readonly TimedEvent[] = []) {
    const play = Effect.gen(function*() {
        const system = yield* startScene;
        const submits = Array.from({ length: jobs }, () => ({ afterMs: 10, event: { kind: "submit" } as const }));
        yield* playTimedEvents(system, workerIds, [bestEffort], [...submits, ...events], catchUpMs);
        const waits = yield* watchWaitingJobs(system, watchedMs);
        return waits.filter(({ waitedMs }) => waitedMs > waitLimitMs);
    });
    return Effect.runPromise(Effect.scoped(play).pipe(Effect.provide(TestClock.layer())));
}

const faults: fc.Arbitrary<SystemEvent> = fc.oneof(
    fc.record({
        kind: fc.constant("fault" as const),
        worker: fc.nat(workerIds.length - 1),
        fault: fc.nat(workerFaults.length - 1),
    }),
    fc.record({ kind: fc.constant("leader" as const) }),
    fc.record({ kind: fc.constant("restart" as const), worker: fc.nat(workerIds.length - 1) }),
);
const timedFaults = fc.array(fc.record({ afterMs: fc.integer({ min: 10, max: 1_500 }), event: faults }), {
    minLength: 5,
    maxLength: 20,
});

function checkAfterFaults(jobs: number): Promise<void> {
    const property = fc.asyncProperty(
        timedFaults,
        async events => assert.deepEqual(await findLongWaits(jobs, events), []),
    );
    return fc.assert(property, { seed: 20_261_205, numRuns: 10, endOnFailure: true });
}

// Guards against a job that has no run after crashes and changes of leader, which make the leader forget how long it waited.
test("after random faults each of three best-effort jobs that disturb serving tasks has a run within 3 s", () =>
    checkAfterFaults(3));

// Guards against starts of starved jobs that do not grow with the number of these jobs (issue 42).
test("each of twelve best-effort jobs that disturb serving tasks has a run within 3 s", async () =>
    assert.deepEqual(await findLongWaits(12), []));

// Guards against the same wait beside crashes, changes of leader and lost answers, after which all jobs are starved at once.
test("after random faults each of twelve best-effort jobs that disturb serving tasks has a run within 3 s", () =>
    checkAfterFaults(12));

// Guards against a job without a run for longer than users are promised, because its declared run time makes it seem in time.
test("a best-effort job in time that disturbs serving tasks has its first run within 3 s", async () => {
    const play = Effect.gen(function*() {
        const system = yield* startScene;
        yield* system.submit(makeJob("long", [{ ...bestEffort, expectedRunMs: 60_000 }]));
        const waits = yield* watchWaitingJobs(system, watchedMs);
        assert.deepEqual(waits.filter(({ waitedMs }) => waitedMs > waitLimitMs), []);
    });
    await Effect.runPromise(Effect.scoped(play).pipe(Effect.provide(TestClock.layer())));
});

const forecast = { ...bestEffort, count: 1, expectedRunMs: 60_000 };
const preparation = makeStep({ count: 1 });
const refusingCount = 3;
/** Jobs of which the next step disturbs serving tasks, without and with a step before it that has run. */
const stepCases = [["first", [forecast]], ["second", [preparation, forecast]]] as const;

for (const [name, steps] of stepCases) {
    // Guards against a job that never runs because the only worker on which it disturbs nothing refuses its starts.
    test(`the ${name} step of a job starts elsewhere within 3 s if the only undisturbed worker refuses its starts`, async () => {
        const play = Effect.gen(function*() {
            let refusals = 0;
            const system = yield* startSceneWith(() => {
                refusals += 1;
            });
            yield* system.addWorker(refusing);
            yield* system.pass(500);
            yield* system.submit(makeJob("forecast", steps));
            const waits = yield* watchWaitingJobs(system, watchedMs);
            const runs = yield* system.readStartedRuns;
            assert.ok(refusals > 0);
            assert.ok(runs.some(({ task }) => task.startsWith(`forecast.0.${steps.length - 1}.`)));
            assert.deepEqual(waits.filter(({ waitedMs }) => waitedMs > waitLimitMs), []);
        });
        await Effect.runPromise(Effect.scoped(play).pipe(Effect.provide(TestClock.layer())));
    });
}

for (const [name, steps] of stepCases) {
    // Guards against a job that never goes on, because refused starts end its wait and the pauses of several refusing workers end at different
    // times.
    test(`the ${name} step of a job starts elsewhere within 3 s if three undisturbed workers refuse its starts in turn`, async () => {
        const play = Effect.gen(function*() {
            const system = yield* startSceneWith(() => undefined);
            yield* system.submit(makeJob("forecast", steps));
            yield* system.pass(100);
            for (let number = 0; number < refusingCount; number += 1) {
                yield* system.addWorker({ ...refusing, id: `${refusing.id}${number}` });
                yield* system.pass(500);
                yield* system.submit(makeJob(`other${number}`, [preparation]));
            }
            const waits = yield* watchWaitingJobs(system, watchedMs);
            assert.deepEqual(waits.filter(({ waitedMs }) => waitedMs > waitLimitMs), []);
        });
        await Effect.runPromise(Effect.scoped(play).pipe(Effect.provide(TestClock.layer())));
    });
}
