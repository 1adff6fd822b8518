import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import { readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import {
    listOverlaps,
    makeWorker,
    restartAfterCrashes,
    startTestSystemWith,
    type TestSystem,
    testSystem,
    testWithClock,
} from "./fakes/index.js";

/** Time for which a worker that crashed is silent until it starts again, in milliseconds. */
const silentMs = 600;
/** Time from its start until its first heartbeat arrives, in milliseconds. */
const announceMs = 400;
/** Time in which all leases of a worker that is cut off are over and its tasks run elsewhere, in milliseconds. */
const settleMs = 30_000;

const label = "kind-1";
const first = makeWorker("w1", { bornAtMs: 1, labels: [label, "r0"] });
const second = makeWorker("w2", { bornAtMs: 1, labels: [label, "r0"] });

/** A system with one worker whose connections stay open when it crashes, and whose clock has run for a while. */
const setUpWorker = Effect.fnUntraced(function*(system: TestSystem) {
    restartAfterCrashes(system, silentMs, announceMs);
    system.workers.setBehaviour(() => ({ runMs: 600_000, outcome: "succeeded" }));
    yield* system.addWorker(first);
    yield* system.pass(20_000);
});

const crash = (system: TestSystem) => Effect.map(readMonotonicMs, nowMs => system.workers.crashWorker("w1", nowMs));

const submit = (system: TestSystem) =>
    system.submit(makeJob("a", [makeStep({ count: 2, requiredLabel: label, longRunning: true })]));

/** Crashes the only worker, and submits a job while the leader does not know it: the orders reach the next start. */
const submitDuringSilence = Effect.fnUntraced(function*(system: TestSystem) {
    yield* setUpWorker(system);
    yield* crash(system);
    yield* system.pass(silentMs - 300);
    yield* submit(system);
    yield* system.pass(350);
});

const assertRunsOnce = Effect.fnUntraced(function*(system: TestSystem) {
    const runs = yield* system.readStartedRuns;
    assert.deepEqual(listOverlaps(runs), []);
    const running = runs.filter(({ endedAtMs }) => endedAtMs === undefined).map(({ task }) => task);
    assert.deepEqual(running.sort(), ["a.0.0.0", "a.0.0.1"]);
});

// Guards against the start of a task elsewhere while it runs on a worker that has started again: the later start confirmed the order,
// which was meant for the earlier one, before the leader knew of it.
testSystem(
    "a start that a later start of the worker has confirmed is not lost with the earlier one",
    system =>
        Effect.gen(function*() {
            yield* submitDuringSilence(system);
            yield* system.addWorker(second);
            yield* system.pass(settleMs);
            yield* assertRunsOnce(system);
        }),
);

// Guards against the same if the worker is cut off before its first report: its lease was extended by the order, and the leader counted
// it as over at once.
testSystem(
    "the runs of a worker that started again and is cut off have ended when their tasks start elsewhere",
    system =>
        Effect.gen(function*() {
            yield* submitDuringSilence(system);
            yield* system.addWorker(second);
            system.workers.setFault("w1", "cut");
            yield* system.pass(settleMs);
            yield* assertRunsOnce(system);
        }),
);

// Guards against a renewal for the earlier start that is carried out seconds later. Its end of the lease lies far ahead on the clock of the
// later start, so that it extends the lease from its arrival, beyond what the leader has granted.
testSystem(
    "a delayed renewal for the earlier start does not let a task start elsewhere too early",
    system =>
        Effect.gen(function*() {
            yield* setUpWorker(system);
            yield* system.pass(500);
            system.workers.setFault("w1", "late");
            yield* system.pass(200);
            yield* crash(system);
            yield* system.pass(1_500);
            yield* submit(system);
            yield* system.pass(60);
            yield* system.addWorker(second);
            yield* system.pass(1_240);
            system.workers.setFault("w1", "cut");
            yield* system.pass(settleMs);
            yield* assertRunsOnce(system);
        }),
);

// Guards against a leader that takes what it has not seen run on a worker that started again for lost.
testSystem("a new leader that finds a worker started again keeps what runs on it", system =>
    Effect.gen(function*() {
        yield* submitDuringSilence(system);
        system.log.setLeader("b");
        yield* system.addWorker(second);
        yield* system.pass(settleMs);
        yield* assertRunsOnce(system);
    }));

// Guards against a renewal for the earlier start that hangs and has the later one forget its first ends, whose numbers begin anew:
// tasks that had succeeded ran again.
testWithClock(
    "the number of an end is acknowledged until the worker has answered, and not again",
    Effect.gen(function*() {
        const acknowledged: number[] = [];
        const system = yield* startTestSystemWith(port => ({
            ...port,
            renewLease: (worker, order, limitMs) => {
                acknowledged.push(order.acknowledgedSequence);
                return port.renewLease(worker, order, limitMs);
            },
        }));
        yield* system.addWorker(first);
        yield* system.submit(makeJob("a"));
        yield* system.pass(5_000);
        yield* system.submit(makeJob("b"));
        yield* system.pass(5_000);
        assert.deepEqual(acknowledged.filter(sequence => sequence > 0), [1, 2]);
        assert.ok(acknowledged.length > 4);
    }),
);

// Guards against calls to an earlier start that the later one carries out seconds after the leader knows of the restart: it has seen no
// fencing token that is above theirs.
testWithClock(
    "orders to a later start of a worker have a higher fencing token than all orders before, also under the next leader",
    Effect.gen(function*() {
        const tokens: number[] = [];
        const system = yield* startTestSystemWith(port => ({
            ...port,
            renewLease: (worker, order, limitMs) => {
                tokens.push(order.fencingToken);
                return port.renewLease(worker, order, limitMs);
            },
        }));
        const takeTokens = () => [...new Set(tokens.splice(0))];
        yield* setUpWorker(system);
        const beforeCrash = takeTokens();
        yield* crash(system);
        yield* system.pass(silentMs + announceMs + 100);
        tokens.length = 0;
        yield* system.pass(2_000);
        const afterRestart = takeTokens();
        system.log.setLeader("b");
        yield* system.pass(2_000);
        const all = [...beforeCrash, ...afterRestart, ...takeTokens()];
        assert.equal(all.length, 3);
        assert.deepEqual([...new Set(all)].sort((left, right) => left - right), all);
    }),
);

const readTasks = (
    system: TestSystem,
) => [...system.machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks ?? []];

// Guards against a task that counts as one that crashes its workers, and waits for a trial or fails its job, because its start
// was ordered on a worker that had crashed before.
testSystem("a crash does not count for runs that were ordered after it", system =>
    Effect.gen(function*() {
        yield* setUpWorker(system);
        yield* crash(system);
        yield* system.pass(silentMs + 50);
        yield* submit(system);
        yield* system.pass(announceMs + 500);
        const tasks = readTasks(system);
        assert.equal(tasks.length, 2);
        assert.deepEqual(tasks.filter(({ crashes, crashHistory }) => crashes ?? crashHistory), []);
        yield* assertRunsOnce(system);
    }));

// Guards against the same for a run that was ordered between the crash and the next start, which has begun it: the job was given up after
// one more crash.
testSystem("a crash does not count for runs that a later start has begun", system =>
    Effect.gen(function*() {
        yield* submitDuringSilence(system);
        yield* system.pass(announceMs + 500);
        const tasks = readTasks(system);
        assert.equal(tasks.length, 2);
        assert.deepEqual(tasks.filter(({ crashes, crashHistory }) => crashes ?? crashHistory), []);
        yield* assertRunsOnce(system);
    }));

testSystem("a crash counts for runs that were ordered right before it", system =>
    Effect.gen(function*() {
        yield* setUpWorker(system);
        yield* submit(system);
        yield* system.pass(100);
        yield* crash(system);
        yield* system.pass(silentMs + announceMs + 100);
        assert.deepEqual(readTasks(system).map(({ crashes }) => crashes?.crashes), [1, 1]);
    }));

// Guards against a start that the third start of a worker carries out before the leader can stop it there, while its task runs elsewhere.
testSystem(
    "an order that is delayed over two restarts of its worker is not carried out while its task runs elsewhere",
    system =>
        Effect.gen(function*() {
            yield* setUpWorker(system);
            system.workers.setFault("w1", "startsVeryLate");
            yield* submit(system);
            yield* system.pass(60);
            yield* system.addWorker(second);
            yield* system.pass(1_440);
            yield* crash(system);
            yield* system.pass(silentMs + announceMs + 50);
            const restarted = system.machine.state.workers.get("w1")?.info;
            assert.ok(restarted !== undefined);
            yield* system.heartbeat(restarted, true);
            yield* system.pass(5_880 - silentMs - announceMs - 50);
            yield* crash(system);
            yield* system.pass(settleMs);
            yield* assertRunsOnce(system);
        }),
);
