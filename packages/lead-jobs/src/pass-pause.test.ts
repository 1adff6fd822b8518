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
