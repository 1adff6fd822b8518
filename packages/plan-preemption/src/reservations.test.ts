import assert from "node:assert/strict";
import { test } from "node:test";
import { batchStep, createTestPool, makeRunKey, type TestPool } from "./fakes/test-pool.js";
import type { EndedReservation } from "./update-reservations.js";

/** Time at which the urgent job arrives, and at which its room is reserved, in milliseconds. */
const arrivedMs = 10_000;
const reservedMs = 10_100;

/** One worker full of batch runs, one of which is stopped for an urgent task. */
function createReservedPool(): TestPool {
    const pool = createTestPool(1);
    pool.pass(0);
    pool.startBatch("a", 9_900, { count: 2 }, "w0");
    pool.submit("u", arrivedMs);
    pool.pass(arrivedMs);
    assert.equal(pool.pass(reservedMs).plan.preemptions.length, 1);
    return pool;
}

function endVictim(pool: TestPool, nowMs: number): void {
    const runs = [...pool.machine.state.workers.get("w0")?.runs.values() ?? []];
    const stopped = runs.map(({ task }) => makeRunKey("a", task.position))
        .find(key => pool.getStatus(key).stopWantedAtMs !== undefined);
    assert.ok(stopped !== undefined);
    pool.endRun(stopped, "w0", "stopped", nowMs);
}

function describeEnded(ended: readonly EndedReservation[]): string[] {
    return ended.map(({ outcome, tookMs, freedAfterMs }) => `${outcome} ${tookMs} ${freedAfterMs}`);
}

/** One worker full of batch runs, all of which are stopped for an urgent task that needs the whole worker. */
function createEmptiedPool(): TestPool {
    const pool = createTestPool(1);
    pool.pass(0);
    pool.startBatch("a", 9_900, { count: 2 }, "w0");
    pool.submit("u", arrivedMs, { resources: { milliCpu: 1_000, memoryMib: 1_000, accelerators: 0 } });
    pool.pass(arrivedMs);
    assert.equal(pool.pass(reservedMs).plan.preemptions[0]?.victims.length, 2);
    return pool;
}

// Guards against others that take the memory of the first run that ends, so that the task never gets that of both.
for (const path of ["/batch/", "/urgent/"]) {
    test(`a smaller task from ${path} does not get the room that was freed for an urgent one`, () => {
        const pool = createEmptiedPool();
        pool.submit("other", 10_120, path === "/batch/" ? batchStep : undefined, path);
        pool.endRun(makeRunKey("a", 0), "w0", "stopped", 10_150);
        assert.deepEqual(pool.pass(10_160).starts, []);
        pool.endRun(makeRunKey("a", 1), "w0", "stopped", 10_250);
        const { starts, plan } = pool.pass(10_260);
        assert.deepEqual(starts.map(({ job }) => job), ["u"]);
        assert.deepEqual(describeEnded(plan.endedReservations), ["started 160 160"]);
    });
}

// Guards against room that stays empty: 300 ms after the end that frees it, it goes to whoever needs it.
test("a reservation of a step that does not start expires 300 ms after the room is free", () => {
    const pool = createReservedPool();
    endVictim(pool, 10_250);
    // No attempt is left, so that the planner does not start the task.
    const waiting = pool.machine.state.jobs.get("u")?.occurrences.get(0)?.steps[0]?.tasks[0];
    assert.ok(waiting !== undefined);
    waiting.failures = 9;
    pool.submit("b", 10_260, { ...batchStep, expectedRunMs: 1_000 }, "/batch/");
    assert.deepEqual(pool.pass(10_260).starts, []);
    assert.deepEqual(pool.pass(10_560).starts, []);
    assert.deepEqual(describeEnded(pool.pass(10_570).plan.endedReservations), ["expired 470 160"]);
    assert.equal(pool.machine.state.jobs.get("b")?.runsInProgress, 1);
});

test("the room is kept for a second beyond the longest stop when the end is listed late, and no longer", () => {
    const pool = createReservedPool();
    assert.deepEqual(pool.pass(11_290).plan.endedReservations, []);
    assert.deepEqual(describeEnded(pool.pass(11_310).plan.endedReservations), ["expired 1210 undefined"]);
});

test("an end that is listed late still gives the room to the task", () => {
    const pool = createReservedPool();
    pool.pass(10_900);
    endVictim(pool, 11_000);
    assert.deepEqual(pool.pass(11_010).starts.map(({ job }) => job), ["u"]);
});

test("a batch task gets the room at once when the waiting job was cancelled", () => {
    const pool = createReservedPool();
    endVictim(pool, 10_250);
    pool.machine.apply({ kind: "cancelJob", job: "u" });
    pool.submit("b", 10_250, batchStep, "/batch/");
    const { starts, plan } = pool.pass(10_260);
    assert.equal(starts.length, 1);
    assert.deepEqual(describeEnded(plan.endedReservations), ["notNeeded 160 160"]);
});

test("a reservation ends when its worker is lost", () => {
    const pool = createReservedPool();
    pool.unusable.add("w0");
    assert.deepEqual(describeEnded(pool.pass(10_150).plan.endedReservations), ["workerLost 50 undefined"]);
});

// Guards against an evacuated zone that keeps an urgent task waiting for room in it.
test("a reservation ends when the zone of its worker is evacuated", () => {
    const pool = createReservedPool();
    pool.machine.apply({ kind: "setZoneAdmission", availabilityZone: "z", isEvacuated: true });
    assert.deepEqual(describeEnded(pool.pass(10_150).plan.endedReservations), ["workerLost 50 undefined"]);
});

// Guards against a new leader that loses the job for which the one before stopped a run.
test("after a change of leader the urgent task starts in the freed room, before batch tasks", () => {
    const pool = createReservedPool();
    pool.replaceLeader(10_200);
    pool.endRun(makeRunKey("a", 0), "w0", "stopped", 10_250);
    pool.submit("b", 10_250, batchStep, "/batch/");
    assert.deepEqual(pool.pass(10_260).starts.map(({ job }) => job), ["u"]);
});
