import assert from "node:assert/strict";
import { test } from "node:test";
import { hotRackOfEight } from "./hot-rack-loads.js";
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
