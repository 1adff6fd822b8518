import { Effect } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTermLoad, measurePart } from "./term-load.js";

// Guards against a leader without processor time of which no line tells which part takes it.
test("the time of each part of the leader's work adds up by itself", async () => {
    const load = createTermLoad();
    const work = (): number => {
        const untilMs = performance.now() + 2;
        while (performance.now() < untilMs) {
            // Keeps the thread.
        }
        return 1;
    };
    const first = await Effect.runPromise(measurePart(load, "reports", work));
    const second = await Effect.runPromise(measurePart(load, "reports", work));
    assert.equal(first.value + second.value, 2);
    assert.equal(load.partMs.reports, first.tookMs + second.tookMs);
    assert.ok(load.partMs.reports > 0);
    assert.equal(load.partMs.starts, 0);
});
