import assert from "node:assert/strict";
import { test } from "node:test";
import { contendedMemoryLoad } from "./contended-loads.js";
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
