import assert from "node:assert/strict";
import { test } from "node:test";
import { countAllowedStarts, createWorkerHealth, recordRunQuality, type RunQuality } from "./worker-health.js";

const failed: RunQuality = { kind: "failed" };
const good: RunQuality = { kind: "good" };

test("a worker that fails its runs gets no tasks for a pause, then one at a time until a run is good", () => {
    const health = createWorkerHealth();
    assert.equal(recordRunQuality(health, "a", failed, 0), false);
    assert.equal(recordRunQuality(health, "b", failed, 10), false);
    assert.equal(countAllowedStarts(health, 0, 10), undefined);
    assert.equal(recordRunQuality(health, "a", failed, 20), true);
    assert.equal(countAllowedStarts(health, 0, 30), 0);
    assert.equal(countAllowedStarts(health, 0, 1_020), 1);
    assert.equal(countAllowedStarts(health, 1, 1_020), 0);
    // A bad run on probation doubles the pause.
    assert.equal(recordRunQuality(health, "c", failed, 1_100), true);
    assert.equal(countAllowedStarts(health, 0, 3_000), 0);
    assert.equal(countAllowedStarts(health, 0, 3_100), 1);
    assert.equal(recordRunQuality(health, "d", good, 3_200), true);
    assert.equal(countAllowedStarts(health, 5, 3_200), undefined);
});

test("a worker stays trusted when only one job fails on it, and after isolated bad runs", () => {
    const health = createWorkerHealth();
    for (let index = 0; index < 20; index += 1) {
        assert.equal(recordRunQuality(health, "poisoned", failed, index), false);
    }
    recordRunQuality(health, "a", good, 21);
    for (let index = 0; index < 20; index += 1) {
        recordRunQuality(health, `j${index}`, { kind: "slow" }, 100 + index);
        recordRunQuality(health, `k${index}`, good, 100 + index);
    }
    assert.equal(countAllowedStarts(health, 3, 200), undefined);
});

test("the pause has a limit, so that a repaired worker is used again", () => {
    const health = createWorkerHealth();
    recordRunQuality(health, "a", failed, 0);
    recordRunQuality(health, "b", failed, 0);
    let nowMs = 0;
    for (let round = 0; round < 10; round += 1) {
        recordRunQuality(health, "c", failed, nowMs);
        const pauseEndMs = health.suspectedUntilMs ?? 0;
        assert.ok(pauseEndMs - nowMs <= 8_000);
        nowMs = pauseEndMs;
    }
});
