import assert from "node:assert/strict";
import { test } from "node:test";
import { adaptRatings } from "./adapt-ratings.js";
import { computePassPauseMs } from "./pass-pause.js";

/** Microseconds for one rating on a host of a core and less, with the garbage that it leaves. */
const ratingUs = 6;

// Guards against urgent tasks that wait for most of a second while the leader compares a long backlog with all workers: the
// pattern is a pool of some hundred workers that has fallen behind.
test("passes over a long backlog become short within five of them and leave out no ratings in total", () => {
    let limit = 20_000;
    let nowMs = 0;
    let ratings = 0;
    const lengthsMs: number[] = [];
    while (nowMs < 10_000) {
        const tookMs = limit * ratingUs / 1_000;
        ratings += limit;
        lengthsMs.push(tookMs);
        nowMs += tookMs + computePassPauseMs(tookMs, 0);
        limit = adaptRatings(limit, tookMs, true);
    }
    assert.ok(lengthsMs.slice(5).every(tookMs => tookMs <= 50), lengthsMs.slice(0, 8).join(" "));
    // A third of the thread goes to planning in any case.
    assert.ok(ratings >= 0.95 * 10_000 / 3 * 1_000 / ratingUs, `${ratings} ratings`);
});

// Guards against a limit that stays low after one pause of the process.
test("the limit grows again while passes are short and leave out steps", () => {
    let limit = adaptRatings(20_000, 5_000, true);
    assert.equal(limit, 10_000);
    for (let pass = 0; pass < 3; pass += 1) {
        limit = adaptRatings(limit, 5, true);
    }
    assert.equal(limit, 20_000);
    assert.equal(adaptRatings(8_000, 5, false), 8_000);
});

// Guards against passes that compare no step with all workers of the largest deployment.
test("the limit stays within its bounds", () => {
    assert.equal(adaptRatings(5_000, 1_000, true), 5_000);
    assert.equal(adaptRatings(20_000, 0, true), 20_000);
});
