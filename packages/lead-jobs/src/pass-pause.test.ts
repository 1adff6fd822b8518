import assert from "node:assert/strict";
import { test } from "node:test";
import { computePassPauseMs } from "./pass-pause.js";

// Guards against a leader that plans without end while leases are not renewed in time.
test("long passes take at most a third of the thread, and short ones are as frequent as before", () => {
    for (const tookMs of [10, 50, 400]) {
        assert.ok(tookMs / (tookMs + computePassPauseMs(tookMs, 0)) <= 1 / 3);
    }
    assert.equal(computePassPauseMs(0.5, 0), 5);
    assert.equal(computePassPauseMs(50, 100), 5);
    assert.equal(computePassPauseMs(50, 40), 60);
});

// Guards against a leader that starts and stops nothing for seconds because its host was frozen during one pass. The planner
// states 100 ms as the longest pause, since some decisions depend on time alone; a renewal of a worker takes up to 900 ms.
test("a pass during which the process was paused for a second is followed by another one within 900 ms", () => {
    assert.ok(computePassPauseMs(1_000, 0) <= 900, `the pause is ${computePassPauseMs(1_000, 0)} ms`);
});
