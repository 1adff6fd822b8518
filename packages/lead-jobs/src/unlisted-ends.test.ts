import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import { readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import {
    lateOrderMs,
    listOverlaps,
    listRepeated,
    makeWorker,
    restartAfterCrashes,
    type TestSystem,
    testSystem,
} from "./fakes/index.js";

/** Time for which a worker that crashed is silent until it starts again, in milliseconds. */
const silentMs = 300;
/** Time from its start until its first heartbeat arrives, in milliseconds. */
const announceMs = 200;
/** Step in which a test waits for an event, in milliseconds. */
const stepMs = 10;
/** A time until its first heartbeat arrives in which short runs on the later start have ended, in milliseconds. */
const lateAnnounceMs = 900;
/** Tasks of the job whose ends are acknowledged right before the crash. */
const acknowledgedTasks = 3;

/** A system with one worker, which starts again under its id and whose connections stay open when it crashes. */
const setUpWorker = Effect.fnUntraced(function*(system: TestSystem, afterMs: number = announceMs) {
    restartAfterCrashes(system, silentMs, afterMs);
    system.workers.setBehaviour(({ job }) => ({ runMs: job === "a" ? 1_000 : 1_500, outcome: "succeeded" }));
    yield* system.addWorker(makeWorker("w1", { bornAtMs: 1 }));
    yield* system.pass(13_000);
});

/**
 * Lets the tasks of a job end and the worker crash right after their report, so that the renewal that acknowledges their numbers hangs
 * and reaches the next start.
 */
const crashBeforeAcknowledgement = Effect.fnUntraced(function*(system: TestSystem, afterMs: number = announceMs) {
    yield* setUpWorker(system, afterMs);
    yield* system.submit(makeJob("a", [makeStep({ count: acknowledgedTasks })]));
    while (system.machine.state.jobs.get("a")?.phase !== "completed") {
        yield* system.pass(stepMs);
    }
    system.workers.crashWorker("w1", yield* readMonotonicMs);
});

const assertRunsOnce = Effect.fnUntraced(function*(system: TestSystem) {
    const runs = yield* system.readStartedRuns;
    assert.deepEqual(listOverlaps(runs), []);
    assert.deepEqual(listRepeated(runs), []);
    const succeeded = runs.filter(({ task, outcome }) => task.startsWith("b.") && outcome === "succeeded");
    assert.deepEqual(succeeded.map(({ task }) => task).sort(), ["b.0.0.0", "b.0.0.1"]);
    assert.equal(system.machine.state.jobs.get("b")?.phase, "completed");
});

const submit = (system: TestSystem) => system.submit(makeJob("b", [makeStep({ count: 2 })]));

// Guards against tasks that run again though they have succeeded: the later start never listed its first ends, because the
// acknowledgement that the leader had sent to the earlier one reached it, and the leader took the runs for lost.
testSystem(
    "a success on a worker that started again is not repeated after an acknowledgement to its earlier start",
    system =>
        Effect.gen(function*() {
            yield* crashBeforeAcknowledgement(system);
            yield* system.pass(silentMs + announceMs + 1_000);
            yield* submit(system);
            yield* system.pass(20_000);
            yield* assertRunsOnce(system);
        }),
);

// Guards against the same for starts that reached the later start together with the acknowledgement, before the leader knew of it.
testSystem(
    "a success of a run that was ordered while its worker started again is not repeated",
    system =>
        Effect.gen(function*() {
            yield* crashBeforeAcknowledgement(system);
            yield* system.pass(silentMs - 100);
            yield* submit(system);
            yield* system.pass(20_000);
            yield* assertRunsOnce(system);
        }),
);

// Guards against the same for short runs, which ended on the later start before its first heartbeat.
testSystem(
    "a success of a short run that was ordered while its worker started again is not repeated",
    system =>
        Effect.gen(function*() {
            yield* crashBeforeAcknowledgement(system, lateAnnounceMs);
            system.workers.setBehaviour(() => ({ runMs: 400, outcome: "succeeded" }));
            yield* system.pass(silentMs - 100);
            yield* submit(system);
            yield* system.pass(20_000);
            yield* assertRunsOnce(system);
        }),
);

// Guards against the same if another leader finds the restart, which does not know what the one before it had acknowledged.
testSystem(
    "a success on a worker that started again is not repeated after a change of leader",
    system =>
        Effect.gen(function*() {
            yield* crashBeforeAcknowledgement(system);
            yield* system.pass(silentMs + 100);
            system.log.setLeader("b");
            yield* system.pass(announceMs + 1_000);
            yield* submit(system);
            yield* system.pass(20_000);
            yield* assertRunsOnce(system);
        }),
);

// Guards against the same if the change of leader comes after the restart was recorded and before the later start has listed an end.
testSystem(
    "a success is not repeated under a leader that finds the restart of its worker recorded",
    system =>
        Effect.gen(function*() {
            yield* crashBeforeAcknowledgement(system);
            yield* system.pass(silentMs + announceMs + 1_000);
            system.log.setLeader("b");
            yield* system.pass(1_000);
            yield* submit(system);
            yield* system.pass(20_000);
            yield* assertRunsOnce(system);
        }),
);

// Guards against an acknowledgement to the earlier start that is delayed until the later one has ends that the leader has not seen.
testSystem(
    "a success is not repeated after an acknowledgement to an earlier start of its worker that is delayed",
    system =>
        Effect.gen(function*() {
            yield* setUpWorker(system);
            yield* system.submit(makeJob("a", [makeStep({ count: acknowledgedTasks })]));
            while (system.machine.state.jobs.get("a")?.phase !== "completed") {
                yield* system.pass(stepMs);
            }
            system.workers.setFault("w1", "late");
            yield* system.pass(1_000);
            system.workers.crashWorker("w1", yield* readMonotonicMs);
            yield* system.pass(silentMs + announceMs + 1_200);
            yield* submit(system);
            yield* system.pass(20_000);
            yield* assertRunsOnce(system);
        }),
);

// Guards against a worker that gets no work after a restart: tasks that last, or work only together, run there all the same.
testSystem(
    "a gang and a long-running task run on a worker that may not list its first ends",
    system =>
        Effect.gen(function*() {
            yield* crashBeforeAcknowledgement(system);
            yield* system.pass(silentMs + announceMs + 1_000);
            system.workers.setBehaviour(({ job }) => ({ runMs: job === "c" ? 1_500 : 600_000, outcome: "succeeded" }));
            yield* system.submit(makeJob("c", [makeStep({ count: 2, gang: true })]));
            yield* system.submit(makeJob("d", [makeStep({ longRunning: true })]));
            yield* system.pass(8_000);
            assert.equal(system.machine.state.jobs.get("c")?.phase, "completed");
            const runs = yield* system.readStartedRuns;
            assert.deepEqual(listOverlaps(runs), []);
            assert.deepEqual(runs.filter(({ task }) => task.startsWith("d.")).map(({ run }) => run), [1]);
        }),
);

// Guards against a task that runs again after a run of it that was given up has succeeded: the order was delayed until its worker had
// started again, and its end was acknowledged without being recorded.
testSystem("a success of a run that is not recorded any more completes its task", system =>
    Effect.gen(function*() {
        yield* setUpWorker(system, lateAnnounceMs);
        system.workers.setBehaviour(() => ({ runMs: 200, outcome: "succeeded" }));
        system.workers.setFault("w1", "startsVeryLate");
        yield* submit(system);
        yield* system.pass(2 * lateOrderMs - silentMs - 100);
        system.workers.crashWorker("w1", yield* readMonotonicMs);
        yield* system.pass(20_000);
        yield* assertRunsOnce(system);
    }));
