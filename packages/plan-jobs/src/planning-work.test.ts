import { makeJob, makeMachine, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel, type InterferenceModel } from "@chestnutspool/learn-interference";
import assert from "node:assert/strict";
import { test } from "node:test";
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

function planWith(machine: ReturnType<typeof makeMachine>, interference: InterferenceModel) {
    return planStarts({
        state: machine.state,
        isUsable: () => true,
        findStartLimit: () => undefined,
        findFailedWorker: () => undefined,
        interference,
        findRunStatuses: () => undefined,
    }, testStartMs);
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
