import assert from "node:assert/strict";
import { test } from "node:test";
import { createInterferenceModel, type InterferenceModel } from "./interference-model.js";
import { createUsageHistory } from "./usage-history.js";

/** Feeds a model with readings of a serving job whose neighbours disturb it by known amounts. */
function feed(model: InterferenceModel, truth: ReadonlyMap<string, number>, seconds: number): void {
    const images = [...truth.keys()];
    for (let atMs = 0; atMs < seconds * 1_000; atMs += 300) {
        const image = images[Math.floor(atMs / 1_500) % images.length] ?? "";
        const share = 0.1 + 0.1 * (Math.floor(atMs / 600) % 2);
        const headroom = 2.5 + 0.8 * Math.sin(atMs / 1_600);
        const margin = headroom - (truth.get(image) ?? 0) * share;
        // Two tasks of the job: one with a neighbour, one without.
        model.observeMargin("job", "web", headroom, [], atMs);
        model.observeMargin("job", "web", margin, [{ image, share, smoothedShare: share }], atMs);
    }
}

test("harmful and harmless pairs are told apart within some seconds while the load of the job oscillates", () => {
    const model = createInterferenceModel();
    feed(model, new Map([["harmful", 8], ["harmless", 1]]), 6);
    assert.ok(model.estimatePair("web", "harmful").disturbance > 5);
    assert.ok(model.estimatePair("web", "harmless").disturbance < 2.5);
    assert.ok(!model.isUncertain("web", "harmful"));
    assert.ok(model.isUncertain("web", "other"));
});

test("a reading changes an estimate less while the usage changes than while it is steady", () => {
    const disturbances = [0.2, 0].map(share => {
        const model = createInterferenceModel();
        model.observeMargin("job", "web", 2.4, [], 0);
        model.observeMargin("job", "web", 0.6, [{ image: "x", share, smoothedShare: 0.2 }], 300);
        return model.estimatePair("web", "x").disturbance;
    });
    assert.ok((disturbances[0] ?? 0) > (disturbances[1] ?? 0));
});

test("a reading on a saturated worker does not lower the estimated disturbance of a pair", () => {
    const model = createInterferenceModel();
    feed(model, new Map([["harmful", 8]]), 6);
    const before = model.estimatePair("web", "harmful").disturbance;
    model.observeMargin("job", "web", 0.05, [{ image: "harmful", share: 0.9, smoothedShare: 0.9 }], 7_000);
    assert.ok(model.estimatePair("web", "harmful").disturbance >= before);
});

test("a low margin is attributed to the neighbours even if all readings of a job come from a saturated worker", () => {
    const model = createInterferenceModel();
    for (let atMs = 0; atMs < 4_000; atMs += 250) {
        model.observeMargin("job", "web", 0.1, [{ image: "harmful", share: 0.3, smoothedShare: 0.3 }], atMs);
    }
    assert.ok(model.estimatePair("web", "harmful").disturbance > 3.5);
});

test("an estimate of an earlier leader is added unless the own estimate has a smaller variance", () => {
    const model = createInterferenceModel();
    feed(model, new Map([["harmful", 8]]), 6);
    const successor = createInterferenceModel();
    successor.addPairs(model.listPairs());
    assert.deepEqual(successor.estimatePair("web", "harmful"), model.estimatePair("web", "harmful"));
    successor.addPairs([{ image: "web", other: "harmful", disturbance: 1, variance: 8 }]);
    assert.ok(successor.estimatePair("web", "harmful").disturbance > 5);
});

test("a falling headroom is predicted to continue to fall, a rising one is not predicted to rise", () => {
    const model = createInterferenceModel();
    for (let atMs = 0; atMs <= 2_000; atMs += 200) {
        model.observeMargin("falling", "web", 3 - atMs / 2_000, [], atMs);
        model.observeMargin("rising", "web", 2 + atMs / 2_000, [], atMs);
    }
    assert.ok(model.predictHeadroom("falling", 1_000) < model.estimateHeadroom("falling") - 0.1);
    assert.equal(model.predictHeadroom("rising", 1_000), model.estimateHeadroom("rising"));
});

// Guards against estimates that outlive their pair, or memory that grows with each image name ever seen.
test("the oldest of more than 10,000 pairs is forgotten, and the others keep their estimates", () => {
    const model = createInterferenceModel();
    const pairs = [...Array(10_001).keys()].map(number => ({
        image: `web-${number % 3}`,
        other: `other-${number}`,
        disturbance: number / 1_000,
        variance: 0.5,
    }));
    model.addPairs(pairs);
    assert.equal(model.listPairs().length, 10_000);
    assert.ok(model.isUncertain("web-0", "other-0"));
    for (const { image, other, disturbance } of pairs.slice(1)) {
        assert.equal(model.estimatePair(image, other).disturbance, disturbance);
    }
});

test("a usage history follows half of a change in a quarter of a second, as readings do", () => {
    const history = createUsageHistory();
    history.recordUsage(new Map([["x", 0.4]]), 0);
    history.recordUsage(new Map([["x", 0.4]]), 250);
    assert.ok(Math.abs((history.listUsage()[0]?.smoothedShare ?? 0) - 0.2) < 0.001);
    history.recordUsage(new Map(), 500);
    assert.ok(Math.abs((history.listUsage()[0]?.smoothedShare ?? 0) - 0.3) < 0.001);
    history.recordUsage(new Map(), 5_000);
    assert.deepEqual(history.listUsage(), []);
});
