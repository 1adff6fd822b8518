import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import type { StepSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { createPlanMemory } from "./plan-memory.js";
import { planStarts } from "./plan-starts.js";

const passMs = 100;

/** Workers that each run a serving task, which tasks of the image `forecast` disturb. */
function setUp(workerCount: number) {
    const workers = Array.from({ length: workerCount }, (item, number) => makeWorker(`w${number}`));
    const machine = makeMachine(workers, [makeQueue({ targetLatencyMs: 500 })]);
    const serving = makeStep({ longRunning: true, tailTargetMs: 20, image: "web" });
    machine.submit(makeJob("web", workers.map(() => serving)));
    const starts = workers.map(({ id }, step) => ({
        job: "web",
        occurrence: 0,
        step,
        position: 0,
        run: 1,
        worker: id,
    }));
    machine.apply({ kind: "startRuns", starts });
    const interference = createInterferenceModel();
    interference.addPairs([{ image: "web", other: "forecast", disturbance: 12, variance: 0.1 }]);
    const input = { ...makePlanInput(machine.state), interference };
    const memory = createPlanMemory();
    const submitForecast = (job: string, changes: Partial<StepSpec>): void => {
        const resources = { milliCpu: 1_000, memoryMib: 10, accelerators: 0 };
        machine.submit(makeJob(job, [makeStep({ usesIdleCpu: true, image: "forecast", resources, ...changes })]));
    };
    /** Plans until `untilMs` after the start; the started runs end before the next pass if `endsRuns` is set. */
    const planUntil = (untilMs: number, endsRuns = false): { readonly job: string; readonly atMs: number; }[] => {
        const planned: { readonly job: string; readonly atMs: number; }[] = [];
        for (let atMs = 0; atMs <= untilMs; atMs += passMs) {
            const planStartsNow = planStarts(input, testStartMs + atMs, memory);
            machine.apply({ kind: "startRuns", starts: planStartsNow });
            planned.push(...planStartsNow.map(({ job }) => ({ job, atMs })));
            for (const { worker, ...run } of endsRuns ? planStartsNow : []) {
                const ends = [{ ...run, outcome: "succeeded", checkpoint: "" }] as const;
                machine.apply({ kind: "endRuns", worker, ends });
            }
        }
        return planned;
    };
    return { submitForecast, planUntil };
}

// Guards against an accepted job of which nothing ever runs, although all workers have room: it would disturb the serving
// tasks of each of them (LOST on moreno-vaac, trouble-2 seed 387181395012).
test("a late job whose tasks would disturb serving tasks on each worker gets a run", () => {
    const { submitForecast, planUntil } = setUp(2);
    submitForecast("large", { count: 8, expectedRunMs: 1_000 });
    const planned = planUntil(10_000);
    assert.deepEqual(planned.map(({ job }) => job), ["large"]);
    assert.ok((planned[0]?.atMs ?? 0) >= 2_000);
});

// Guards against a burst of late jobs that disturbs the serving tasks of all workers at once.
test("starved steps start one after the other, each in its turn", () => {
    const { submitForecast, planUntil } = setUp(4);
    const jobs = ["a", "b", "c", "d"];
    jobs.forEach(job => submitForecast(job, { count: 8, expectedRunMs: 1_000 }));
    const planned = planUntil(12_000, true);
    for (const [index, { atMs }] of planned.entries()) {
        assert.ok(index === 0 || atMs - (planned[index - 1]?.atMs ?? 0) >= 1_000);
    }
    assert.deepEqual(new Set(planned.slice(0, 4).map(({ job }) => job)), new Set(jobs));
});

// Guards against serving tasks that are disturbed for a job that can still meet its objective.
test("a job in time does not start where it disturbs serving tasks", () => {
    const { submitForecast, planUntil } = setUp(2);
    submitForecast("early", { count: 8, expectedRunMs: 20_000 });
    assert.deepEqual(planUntil(5_000), []);
});

// Guards against a gang that never starts because its members fit only beside serving tasks that they disturb.
test("a starved gang starts with all its tasks", () => {
    const { submitForecast, planUntil } = setUp(2);
    submitForecast("gang", { count: 4, gang: true, expectedRunMs: 1_000 });
    assert.equal(planUntil(10_000).length, 4);
});
