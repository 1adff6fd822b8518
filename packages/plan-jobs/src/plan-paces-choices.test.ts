import { formatRunKey } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeStep, makeWorker } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import { createRunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { planPacesPlainly } from "./fakes/plan-paces-plainly.js";
import { planPaces } from "./plan-paces.js";

const seed = 20_261_205;
const anyImage = fc.constantFrom("a", "b", "c", "d");
const anyCase = fc.record({
    runs: fc.array(
        fc.record({
            isServing: fc.boolean(),
            image: fc.option(anyImage, { nil: undefined }),
            milliCpu: fc.integer({ min: 0, max: 3_000 }),
            pacePercent: fc.constantFrom(100, 100, 80, 60, 40, 0),
            hasStatus: fc.constantFrom(true, true, true, false),
            headroom: fc.double({ min: 0.2, max: 6, noNaN: true }),
        }),
        { maxLength: 12 },
    ),
    pairs: fc.array(
        fc.record({
            image: anyImage,
            other: anyImage,
            disturbance: fc.double({ min: 0, max: 12, noNaN: true }),
            variance: fc.double({ min: 0.01, max: 8, noNaN: true }),
        }),
        { maxLength: 8 },
    ),
});

// Guards against savings in the planner of paces that change which tasks are slowed down.
test(`paces are the same as those planned with a map for each prediction (seed ${seed})`, () => {
    let changes = 0;
    fc.assert(
        fc.property(anyCase, ({ runs, pairs }) => {
            const capacity = { milliCpu: 20_000, memoryMib: 10_000, accelerators: 0 };
            const machine = makeMachine([makeWorker("w1", { capacity })]);
            const interference = createInterferenceModel();
            interference.addPairs(pairs);
            const statuses: RunStatuses = new Map();
            runs.forEach(({ isServing, image, milliCpu, pacePercent, hasStatus, headroom }, number) => {
                const key = { job: `j${number}`, occurrence: 0, step: 0, position: 0, run: 1 };
                const resources = { milliCpu: isServing ? 10 : milliCpu, memoryMib: 10, accelerators: 0 };
                const step = isServing
                    ? makeStep({ resources, image, longRunning: true, tailTargetMs: 20 })
                    : makeStep({ resources, image, usesIdleCpu: true });
                machine.submit(makeJob(key.job, [step]));
                machine.apply({ kind: "startRuns", starts: [{ ...key, worker: "w1" }] });
                interference.observeMargin(key.job, "a", headroom, [], 0);
                if (hasStatus) {
                    statuses.set(formatRunKey(key), { ...createRunStatus(key, "confirmed", 0), pacePercent });
                }
            });
            const state = machine.state.workers.get("w1");
            assert.ok(state !== undefined);
            const expected = planPacesPlainly(state, statuses, interference);
            assert.deepEqual(planPaces(state, statuses, interference, "fine"), expected);
            changes += expected.length;
        }),
        { seed, numRuns: 1_500 },
    );
    assert.ok(changes > 1_500, `the cases have only ${changes} changes of a pace`);
});
