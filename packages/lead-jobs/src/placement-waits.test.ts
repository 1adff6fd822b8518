import { makeJob, makeStep, testStartMs } from "@chestnutspool/job-state/fakes";
import { createMetrics } from "@chestnutspool/record-metrics";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { createRecordingLogger, makeWorker, startTestSystemWith, testWithClock } from "./fakes/index.js";

/** Starts a system with a rack of one worker that is full for two seconds, and a task that wants it after a second. */
const startHotRack = Effect.fnUntraced(function*(remoteRunFactor: number | undefined) {
    // The records of the state begin at this time.
    yield* TestClock.setTime(testStartMs);
    const { logger, lines } = createRecordingLogger();
    const metrics = createMetrics();
    const system = yield* startTestSystemWith(port => port, { logger, metrics, limits: { remoteRunFactor } });
    system.workers.setBehaviour(() => ({ runMs: 2_000, outcome: "succeeded" }));
    yield* system.addWorker(makeWorker("near", { labels: ["a", "r1"], availabilityZone: "z2" }));
    yield* system.addWorker(makeWorker("far", { labels: ["a", "r2"] }));
    yield* system.pass(300);
    yield* system.submit(makeJob("first", [makeStep({ count: 4, rackOfData: "r1", expectedRunMs: 2_000 })]));
    yield* system.pass(1_000);
    yield* system.submit(makeJob("second", [makeStep({ rackOfData: "r1", expectedRunMs: 2_000 })]));
    const listStarts = Effect.map(
        system.readStartedRuns,
        runs => runs.filter(({ task }) => task.startsWith("second")).map(({ worker }) => worker),
    );
    const listLines = () =>
        lines.filter(({ message }) => message === "task waits for a place").map(({ fields }) => fields);
    return { system, metrics, listStarts, listLines };
});

testWithClock(
    "a task waits for the rack of its data, and one line tells what the wait has gained",
    Effect.gen(function*() {
        const { system, metrics, listStarts, listLines } = yield* startHotRack(3);
        yield* system.pass(500);
        assert.deepEqual(yield* listStarts, []);
        yield* system.pass(6_000);
        assert.deepEqual(yield* listStarts, ["near"]);
        const [line, ...others] = listLines();
        assert.deepEqual(others, []);
        assert.deepEqual([line?.["job"], line?.["rack"], line?.["outcome"]], ["second", "r1", "placed"]);
        assert.ok(Number(line?.["gainMs"]) > 0);
        const counters = metrics.readCounters().filter(({ name }) => name === "placementWaits.placed");
        assert.deepEqual(counters.map(({ value }) => value), [1]);
        const measures = metrics.readDistributions().map(({ measure }) => measure);
        for (const measure of ["placementWaitMs", "placementExpectedGainMs", "placementGainMs", "placementRunGainMs"]) {
            assert.ok(measures.includes(measure), measure);
        }
    }),
);

testWithClock(
    "without the setting the task starts elsewhere at once",
    Effect.gen(function*() {
        const { system, listStarts, listLines } = yield* startHotRack(undefined);
        yield* system.pass(500);
        assert.deepEqual(yield* listStarts, ["far"]);
        assert.deepEqual(listLines(), []);
    }),
);

// Guards against a task that is forgotten, started twice or waits from the beginning when the leader is lost meanwhile.
testWithClock(
    "a task that waits while the leader changes starts once, in its rack or elsewhere",
    Effect.gen(function*() {
        const { system, listStarts } = yield* startHotRack(3);
        yield* system.pass(300);
        assert.deepEqual(yield* listStarts, []);
        system.log.setLeader("b");
        // Twice its run time since its acceptance, and the time until the next leader has asked the workers.
        yield* system.pass(5_000);
        assert.equal((yield* listStarts).length, 1);
    }),
);

// Guards against a task that waits for a rack in which nothing starts any more.
testWithClock(
    "a task starts elsewhere at once when its rack is evacuated while it waits",
    Effect.gen(function*() {
        const { system, listStarts, listLines } = yield* startHotRack(3);
        yield* system.pass(300);
        yield* system.ask({ kind: "setZoneAdmission", availabilityZone: "z2", isEvacuated: true });
        yield* system.pass(200);
        assert.deepEqual(yield* listStarts, ["far"]);
        assert.equal(listLines()[0]?.["outcome"], "rackLost");
    }),
);
