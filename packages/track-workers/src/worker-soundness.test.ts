import assert from "node:assert/strict";
import { test } from "node:test";
import { countAllowedStarts, createSoundness, recordRunQuality, type RunQuality } from "./worker-soundness.js";

const failed: RunQuality = { kind: "failed" };
const good: RunQuality = { kind: "good" };

test("a worker that fails what it starts gets no tasks for a while, then one at a time until one is good", () => {
    const soundness = createSoundness();
    assert.equal(recordRunQuality(soundness, "a", failed, 0), false);
    assert.equal(recordRunQuality(soundness, "b", failed, 10), false);
    assert.equal(countAllowedStarts(soundness, 0, 10), undefined);
    assert.equal(recordRunQuality(soundness, "a", failed, 20), true);
    assert.equal(countAllowedStarts(soundness, 0, 30), 0);
    assert.equal(countAllowedStarts(soundness, 0, 1_020), 1);
    assert.equal(countAllowedStarts(soundness, 1, 1_020), 0);
    // A bad run on probation doubles the pause.
    assert.equal(recordRunQuality(soundness, "c", failed, 1_100), true);
    assert.equal(countAllowedStarts(soundness, 0, 3_000), 0);
    assert.equal(countAllowedStarts(soundness, 0, 3_100), 1);
    assert.equal(recordRunQuality(soundness, "d", good, 3_200), true);
    assert.equal(countAllowedStarts(soundness, 5, 3_200), undefined);
});

test("one job that fails everywhere and single failures leave a worker trusted", () => {
    const soundness = createSoundness();
    for (let index = 0; index < 20; index += 1) {
        assert.equal(recordRunQuality(soundness, "poisoned", failed, index), false);
    }
    recordRunQuality(soundness, "a", good, 21);
    for (let index = 0; index < 20; index += 1) {
        recordRunQuality(soundness, `j${index}`, { kind: "slow" }, 100 + index);
        recordRunQuality(soundness, `k${index}`, good, 100 + index);
    }
    assert.equal(countAllowedStarts(soundness, 3, 200), undefined);
});

test("the pause has a limit, so that a worker that is mended is found", () => {
    const soundness = createSoundness();
    recordRunQuality(soundness, "a", failed, 0);
    recordRunQuality(soundness, "b", failed, 0);
    let nowMs = 0;
    for (let round = 0; round < 10; round += 1) {
        recordRunQuality(soundness, "c", failed, nowMs);
        const freeAtMs = soundness.suspectedUntilMs ?? 0;
        assert.ok(freeAtMs - nowMs <= 8_000);
        nowMs = freeAtMs;
    }
});
