import { formatRunKey } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel, type InterferenceModel } from "@chestnutspool/learn-interference";
import { createRunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { listStalledRuns } from "./list-stalled-runs.js";
import type { PlanInput } from "./plan-input.js";
import { createPlanMemory } from "./plan-memory.js";
import { planStarts } from "./plan-starts.js";

const workerCount = 320;

interface CountingModel {
    readonly model: InterferenceModel;
    readonly readEstimates: () => number;
}

/** A model that counts the pairs that are estimated: one for each rating of a worker with one serving image. */
function createCountingModel(disturbance: number): CountingModel {
    const model = createInterferenceModel();
    model.addPairs([{ image: "web", other: "rebuild", disturbance, variance: 0.05 }]);
    let estimates = 0;
    return {
        model: {
            ...model,
            estimatePair: (image, other) => {
                estimates += 1;
                return model.estimatePair(image, other);
            },
        },
        readEstimates: () => estimates,
    };
}

/** Workers with one serving task each. */
function setUpWorkers() {
    const workers = [...Array(workerCount).keys()].map(number => makeWorker(`w${number}`));
    const machine = makeMachine(workers);
    machine.submit(makeJob("web", [
        makeStep({ count: workerCount, longRunning: true, tailTargetMs: 20, image: "web" }),
    ]));
    machine.apply({
        kind: "startRuns",
        starts: workers.map(({ id }, position) => ({
            job: "web",
            occurrence: 0,
            step: 0,
            position,
            run: 1,
            worker: id,
        })),
    });
    return machine;
}

function planWith(
    machine: ReturnType<typeof makeMachine>,
    interference: InterferenceModel,
    memory = createPlanMemory(),
) {
    return planStarts(
        {
            state: machine.state,
            isUsable: () => true,
            findStartLimit: () => undefined,
            findFailedWorker: () => undefined,
            interference,
            findRunStatuses: () => undefined,
        },
        testStartMs,
        memory,
    );
}

const rebuildStep = makeStep({
    usesIdleCpu: true,
    image: "rebuild",
    resources: { milliCpu: 500, memoryMib: 10, accelerators: 0 },
});

// Guards against passes whose cost is the number of tasks times the number of workers.
test("a worker is rated once for a step of equal tasks, and again only after a start there", () => {
    const machine = setUpWorkers();
    machine.submit(makeJob("rebuild", [{ ...rebuildStep, count: 40 }]));
    const { model, readEstimates } = createCountingModel(0.2);
    assert.equal(planWith(machine, model).length, 40);
    assert.ok(readEstimates() <= workerCount + 40, `${readEstimates()} pairs were estimated`);
});

// Guards against passes whose cost is the number of waiting steps times the number of workers.
test("a step is not compared with the workers again when one that needs no more found none", () => {
    const machine = setUpWorkers();
    for (let number = 0; number < 300; number += 1) {
        const milliCpu = 500 + number % 3 * 100;
        machine.submit(makeJob(`rebuild${number}`, [
            { ...rebuildStep, resources: { ...rebuildStep.resources, milliCpu } },
        ]));
    }
    const { model, readEstimates } = createCountingModel(30);
    assert.deepEqual(planWith(machine, model), []);
    assert.ok(readEstimates() <= workerCount, `${readEstimates()} pairs were estimated`);
});

/** Submits best-effort jobs that differ in their image, so that each must be compared with the workers. */
function submitDistinctJobs(machine: ReturnType<typeof makeMachine>, count: number): void {
    for (let number = 0; number < count; number += 1) {
        machine.submit(makeJob(`rebuild${number}`, [{ ...rebuildStep, image: `rebuild-${number}` }]));
    }
}

function setUpQueues() {
    const workers = [...Array(10).keys()].map(number => makeWorker(`w${number}`));
    return makeMachine(workers, [makeQueue(), makeQueue({ name: "urgent", path: "/urgent/", priority: 0 })]);
}

// Guards against a pass that blocks the process for as long as a backlog of many images is.
test("a pass stops at its limit of ratings, and the next passes continue with the steps that it left out", () => {
    const machine = setUpWorkers();
    submitDistinctJobs(machine, 100);
    const disturbing = createInterferenceModel();
    disturbing.addPairs([...Array(100).keys()].map(number => ({
        image: "web",
        other: `rebuild-${number}`,
        disturbance: 30,
        variance: 0.05,
    })));
    const memory = createPlanMemory(10 * workerCount);
    const planned = new Set<string>();
    let passes = 0;
    do {
        let estimates = 0;
        planWith(machine, {
            ...disturbing,
            estimatePair: (image, other) => {
                estimates += 1;
                planned.add(other);
                return disturbing.estimatePair(image, other);
            },
        }, memory);
        passes += 1;
        assert.ok(estimates <= 11 * workerCount, `${estimates} pairs were estimated`);
    }
    while (memory.hasStepsLeft && passes < 100);
    assert.equal(planned.size, 100);
    // Each pass reaches five more steps besides the first five.
    assert.ok(passes <= 20, `${passes} passes`);
});

// Guards against steps that starve behind others that never fit, and against urgent steps that wait for a whole round.
test("a step that fits starts within a round behind urgent steps that never fit, and an urgent one at once", () => {
    const machine = setUpQueues();
    const neverFits = { ...rebuildStep, usesIdleCpu: false, perWorkerLimit: 1 };
    for (let number = 0; number < 50; number += 1) {
        const resources = { milliCpu: 5_000, memoryMib: 10, accelerators: 0 };
        machine.submit(makeJob(`large${number}`, [{ ...neverFits, resources }]), "/urgent/");
    }
    machine.submit(makeJob("small", [{ ...rebuildStep, usesIdleCpu: false }]));
    const memory = createPlanMemory(100);
    const model = createInterferenceModel();
    let passes = 0;
    let started: readonly string[] = [];
    while (started.length === 0 && passes < 100) {
        started = planWith(machine, model, memory).map(({ job }) => job);
        passes += 1;
    }
    assert.deepEqual(started, ["small"]);
    // 50 steps on 10 workers make 500 ratings, of which a pass makes 50 besides those of the first steps.
    assert.ok(passes <= 10, `${passes} passes`);
    machine.submit(makeJob("urgent", [{ ...rebuildStep, usesIdleCpu: false, expectedRunMs: 1 }]), "/urgent/");
    assert.ok(planWith(machine, model, memory).some(({ job }) => job === "urgent"));
});

// Guards against passes whose cost is the number of runs without progress times the number of workers.
test("runs without progress are not each compared with all workers when no worker could take one", () => {
    const machine = setUpWorkers();
    const statusesByWorker = new Map<string, RunStatuses>();
    for (let number = 0; number < workerCount; number += 1) {
        const key = { job: `rebuild${number}`, occurrence: 0, step: 0, position: 0, run: 1 };
        machine.submit(makeJob(key.job, [{ ...rebuildStep, checkpointing: true }]));
        machine.apply({ kind: "startRuns", starts: [{ ...key, worker: `w${number}` }] });
        const status = { ...createRunStatus(key, "confirmed", 0), pacePercent: 0 };
        statusesByWorker.set(`w${number}`, new Map([[formatRunKey(key), status]]));
    }
    const { model, readEstimates } = createCountingModel(30);
    const input: PlanInput = {
        state: machine.state,
        isUsable: () => true,
        findStartLimit: () => undefined,
        findFailedWorker: () => undefined,
        interference: model,
        findRunStatuses: worker => statusesByWorker.get(worker),
    };
    assert.deepEqual(listStalledRuns(input, 5_000), []);
    assert.ok(readEstimates() <= workerCount, `${readEstimates()} pairs were estimated`);
});

/** Counts how often the runs of the workers are read from now on. */
function countRunReads(machine: ReturnType<typeof makeMachine>): () => number {
    let reads = 0;
    for (const { runs } of machine.state.workers.values()) {
        const readValues = runs.values.bind(runs);
        const readEntries = runs.entries.bind(runs);
        runs.values = () => {
            reads += 1;
            return readValues();
        };
        runs[Symbol.iterator] = () => {
            reads += 1;
            return readEntries();
        };
    }
    return () => reads;
}

/** Workers full of short tasks, and long-running steps that have waited for long enough to have workers held for them. */
function setUpOverdueSteps(count: number) {
    const workers = [...Array(workerCount).keys()].map(number => makeWorker(`w${number}`));
    const machine = makeMachine(workers);
    const capacity = makeWorker("w").capacity;
    machine.submit(makeJob("short", [makeStep({ count: workerCount, resources: capacity })]));
    const keys = workers.map(({ id }, position) => ({
        job: "short",
        occurrence: 0,
        step: 0,
        position,
        run: 1,
        worker: id,
    }));
    machine.apply({ kind: "startRuns", starts: keys });
    for (let number = 0; number < count; number += 1) {
        machine.submit(makeJob(`lasting${number}`, [makeStep({ longRunning: true, resources: capacity })]));
    }
    return machine;
}

// Guards against a leader without processor time while long-running steps wait: passes whose cost is the number of these steps
// times the number of runs on all workers.
test("the runs of the workers are not read again for each long-running step that waits for one to be held", () => {
    const countReads = (steps: number): number => {
        const machine = setUpOverdueSteps(steps);
        const readCount = countRunReads(machine);
        const input = makePlanInput(machine.state);
        assert.deepEqual(planStarts(input, testStartMs + 10_000), []);
        return readCount();
    };
    const ofOne = countReads(1);
    const ofMany = countReads(20);
    assert.ok(ofMany <= ofOne + workerCount, `${ofOne} reads for one step, ${ofMany} for 20`);
});
