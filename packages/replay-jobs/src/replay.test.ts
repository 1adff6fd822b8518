import assert from "node:assert/strict";
import { test } from "node:test";
import { lastingOverload, type Load, sustainedOverload, wholesaleLoad } from "./load.js";
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
