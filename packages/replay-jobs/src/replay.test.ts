import assert from "node:assert/strict";
import { test } from "node:test";
import { contendedRoomLoad } from "./contended-load.js";
import { contendedMemoryLoad } from "./contended-loads.js";
import { hotRackOfEight } from "./hot-rack-loads.js";
import { lastingOverload, type Load, sustainedOverload, unevenLoad, wholesaleLoad } from "./load.js";
import { replayLoad } from "./replay.js";
import { speculativeLoad } from "./slow-tasks-load.js";

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

// Guards against steps that wait for one run that is seven times as slow as its siblings, and against copies that take what
// other jobs need.
test("copies of slow tasks let more urgent jobs end in time, at no cost to the others", () => {
    const [without, withCopies] = [false, true].map(hasCopies =>
        replayLoad(speculativeLoad, lengthMs, finishMs, 1, { hasCopies })
    );
    assert.ok(without !== undefined && withCopies !== undefined);
    for (const { kind, earnedShare } of without) {
        const withShare = withCopies.find(row => row.kind === kind)?.earnedShare ?? 0;
        // No deployment may lose more than 0.03 in worth.
        const leastShare = kind === "check" ? earnedShare : earnedShare - 0.03;
        assert.ok(withShare > leastShare, `${kind} earns ${withShare} with copies, ${earnedShare} without`);
    }
});

// Load: a sixth of the workers are five times slower for 6.5 s of each 13 s, and one zone of three fails 45% of its work.
// Guards against estimates of speed that do not help the callers, or cost one kind of job what another gains.
test("each kind of job earns at least as much on uneven workers while their speeds are learnt", () => {
    const [without, learnt] = [false, true].map(learnsSpeeds =>
        new Map(replayLoad(unevenLoad, 26_000, 8_000, 1, { learnsSpeeds }).map(row => [row.kind, row.earnedShare]))
    );
    for (const [kind, share] of learnt ?? []) {
        assert.ok(share >= (without?.get(kind) ?? 1), `${kind} earns ${share}, before ${without?.get(kind)}`);
    }
    const gain = (learnt?.get("check") ?? 0) - (without?.get("check") ?? 1);
    assert.ok(gain >= 0.05, `urgent checks gain ${gain}`);
});

// Guards against urgent jobs that wait behind batch runs while the memory of the pool is held.
test("more urgent jobs end in time with preemption while batch runs hold the memory", () => {
    const [without = 0, withPreemption = 0] = [false, true].map(hasPreemption =>
        [1, 2].reduce((sum, seed) => {
            const rows = replayLoad(contendedMemoryLoad, 20_000, 8_000, seed, { hasPreemption });
            return sum + (rows.find(({ kind }) => kind === "check")?.inTimeShare ?? 0);
        }, 0)
    );
    assert.ok(withPreemption > without, `${withPreemption} and ${without}`);
});

// Guards the loads without contended memory: what preemption does not help must be served as before.
test("the normal load of the wholesaler loses nothing of note with preemption", () => {
    const computeWorth = (hasPreemption: boolean): number => {
        const rows = replayLoad(wholesaleLoad, lengthMs, finishMs, 1, { hasPreemption });
        const attainable = rows.reduce((sum, { attainableValue }) => sum + attainableValue, 0);
        return rows.reduce((sum, { earnedShare, attainableValue }) => sum + earnedShare * attainableValue, 0)
            / attainable;
    };
    assert.ok(computeWorth(true) >= computeWorth(false) - 0.03);
});
// Guards against a hot rack that is shared out among all jobs that want it, so that most of their tasks run three times as
// long, and against waits of the urgent jobs that the other queues pay for.
test("hot rack: with waits more urgent jobs are in time, fewer tasks run away from their data, and no queue loses", () => {
    const [without, withWaits] = [false, true].map(hasWaits =>
        replayLoad(hotRackOfEight, lengthMs, finishMs, 1, { hasWaits })
    );
    assert.ok(without !== undefined && withWaits !== undefined);
    const [before, after] = [without[0], withWaits[0]];
    assert.ok(before !== undefined && after !== undefined && after.waits.placed > 0);
    assert.ok(after.inTimeShare > before.inTimeShare, `${after.inTimeShare} after ${before.inTimeShare}`);
    assert.ok(after.farStarts < before.farStarts, `${after.farStarts} after ${before.farStarts}`);
    for (const [position, { kind, earnedShare }] of without.entries()) {
        // The most that a deployment may lose by new behaviour, as its users state it.
        assert.ok((withWaits[position]?.earnedShare ?? 0) >= earnedShare - 0.03, kind);
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
