import assert from "node:assert/strict";
import { test } from "node:test";
import { contendedRoomLoad } from "./contended-load.js";
import { lastingOverload, type Load, sustainedOverload, wholesaleLoad } from "./load.js";
import { replayLoad } from "./replay.js";

const lengthMs = 12_000;
const finishMs = 4_000;

function sumRefusals(load: Load, hasAdmission: boolean): number {
    return replayLoad(load, lengthMs, finishMs, 1, { hasAdmission }).reduce((sum, { refusals }) => sum + refusals, 0);
}

// Guards against refusals on a normal day.
test("nothing is refused on the normal load of the wholesaler", () => {
    assert.equal(sumRefusals(wholesaleLoad, true), 0);
});

// Guards against refusing urgent checks for less urgent rebuilds that overload the pool.
test("under sustained overload urgent jobs are not refused and end in time", () => {
    const checks = [false, true].map(hasAdmission =>
        replayLoad(sustainedOverload, lengthMs, finishMs, 1, { hasAdmission }).find(({ kind }) => kind === "check")
    );
    assert.equal(checks[1]?.refusals, 0);
    assert.ok((checks[1]?.inTimeShare ?? 0) >= 0.9, `${checks[1]?.inTimeShare}`);
});

// Guards against urgent jobs without room behind long-running ones that need more processors than all workers have. The bound is
// the users' target for a loaded deployment.
test("each kind of job earns the users' target while long-running tasks need more than all processors", () => {
    for (const { kind, earnedShare } of replayLoad(lastingOverload, 20_000, 8_000, 1, { hasAdmission: true })) {
        assert.ok(earnedShare >= 0.71, `${kind} earns ${earnedShare}`);
    }
});

// Guards against an order that serves only small jobs while a pool is contended. The bounds are those of the users' terms: the largest
// tenth of the jobs of a queue, and the next largest fifth, are each served at least half as often as the queue as a whole.
test("under overload of the batch queue the next largest fifth is served half as often as all", () => {
    const batch = replayLoad(contendedRoomLoad, 40_000, 20_000, 2).find(({ kind }) => kind === "batch");
    assert.ok(batch !== undefined);
    assert.ok(
        batch.nextLargestInTimeShare >= batch.inTimeShare / 2,
        `next largest ${batch.nextLargestInTimeShare}, all ${batch.inTimeShare}`,
    );
});

test("under overload of the batch queue the largest tenth is served half as often as all", () => {
    const batch = replayLoad(contendedRoomLoad, 40_000, 20_000, 2).find(({ kind }) => kind === "batch");
    assert.ok(batch !== undefined);
    assert.ok(
        batch.largestInTimeShare >= batch.inTimeShare / 2,
        `largest ${batch.largestInTimeShare}, all ${batch.inTimeShare}`,
    );
});

// Guards against refusing work that would have been served: bursts of the batch queue of the certification service.
test("under bursts of the batch queue no job is refused that would have ended in time", () => {
    const [without, withAdmission] = [false, true].map(hasAdmission =>
        replayLoad(contendedRoomLoad, 40_000, 20_000, 1, { hasAdmission }).find(({ kind }) => kind === "batch")
    );
    assert.ok(without !== undefined && withAdmission !== undefined);
    const wrong = [...withAdmission.refusedJobs].filter(id => without.jobsInTime.has(id));
    assert.deepEqual(wrong, []);
});
