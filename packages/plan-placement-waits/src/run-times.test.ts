import assert from "node:assert/strict";
import { test } from "node:test";
import { createRunTimeModel, estimateRunMs, observeRunTime, predictRunEndMs } from "./run-times.js";

const queue = "main";

// Guards against waits for a second that are predicted from declared run times of ten seconds.
test("a declared run time that is ten times off counts little once runs of the queue have ended", () => {
    const model = createRunTimeModel();
    assert.equal(estimateRunMs(model, { queue, step: "new", declaredMs: 10_000 }), 10_000);
    for (let step = 0; step < 20; step += 1) {
        const declaredMs = step % 2 === 0 ? 10_000 : 100;
        for (const tookMs of [900, 1_100]) {
            observeRunTime(model, { queue, step: `s${step}`, declaredMs }, tookMs);
        }
    }
    for (const declaredMs of [10_000, 100]) {
        const estimateMs = estimateRunMs(model, { queue, step: "new", declaredMs });
        assert.ok(estimateMs > 900 && estimateMs < 1_100, `${estimateMs} ms with ${declaredMs} ms declared`);
    }
});

test("declared run times count if they are right and the jobs of the queue differ", () => {
    const model = createRunTimeModel();
    for (let step = 0; step < 40; step += 1) {
        const tookMs = step % 2 === 0 ? 100 : 10_000;
        observeRunTime(model, { queue, step: `s${step}`, declaredMs: tookMs * (step % 3 === 0 ? 1.1 : 0.95) }, tookMs);
    }
    const estimateMs = estimateRunMs(model, { queue, step: "new", declaredMs: 10_000 });
    assert.ok(estimateMs > 9_000 && estimateMs < 11_000, `${estimateMs}`);
});

test("the siblings of a task count more than all else", () => {
    const model = createRunTimeModel();
    for (const tookMs of [400, 420, 380]) {
        observeRunTime(model, { queue, step: "s", declaredMs: 4_000 }, tookMs);
    }
    assert.ok(estimateRunMs(model, { queue, step: "s", declaredMs: 4_000 }) < 1_000);
});

test("the progress of a run goes before its usual time, and an overdue run is not expected at once", () => {
    assert.equal(predictRunEndMs(1_000, 400, undefined, 5_000), 5_600);
    assert.equal(predictRunEndMs(1_000, 400, { ageMs: 400, progress: 0.2 }, 5_000), 6_600);
    assert.equal(predictRunEndMs(1_000, 2_000, undefined, 5_000), 5_600);
});
