import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import { createRunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { planStartsPlainly } from "./fakes/plan-starts-plainly.js";
import { planStarts } from "./plan-starts.js";

const seed = 20_261_204;
const images = ["a", "b", "c"] as const;
const anyImage = fc.constantFrom(...images);

const anyWorker = fc.record({
    rack: fc.constantFrom("r0", "r1"),
    label: fc.constantFrom("x", "y"),
    service: fc.constantFrom("pool", "pool", "pool", "other"),
    cores: fc.constantFrom(4, 8, 12),
    startLimit: fc.constantFrom(undefined, undefined, undefined, 0, 2),
    isUsable: fc.constantFrom(true, true, true, false),
    /** Processor time that its best-effort tasks use, as a share of what they declare. */
    useShare: fc.constantFrom(1, 1, 0.2),
});

const anyStep = fc.record({
    kind: fc.constantFrom("reserved", "reserved", "bestEffort", "bestEffort", "serving"),
    count: fc.integer({ min: 1, max: 7 }),
    milliCpu: fc.integer({ min: 0, max: 16 }).map(quarters => quarters * 250),
    memoryMib: fc.constantFrom(10, 10, 100, 300),
    image: fc.option(anyImage, { nil: undefined }),
    requiredLabel: fc.constantFrom(undefined, undefined, undefined, "x", "y", "z"),
    rackOfData: fc.constantFrom(undefined, undefined, "r1"),
    prefersOneRack: fc.constantFrom(false, false, true),
    perWorkerLimit: fc.constantFrom(undefined, undefined, 1, 2),
    gang: fc.constantFrom(false, false, false, true),
    queue: fc.constantFrom("main", "main", "urgent", "other"),
});

type StepChoice = typeof anyStep extends fc.Arbitrary<infer Choice> ? Choice : never;

function createStep(choice: StepChoice) {
    const { kind, milliCpu, memoryMib, count, image, requiredLabel, rackOfData, prefersOneRack, perWorkerLimit, gang } =
        choice;
    return makeStep({
        count,
        image,
        requiredLabel,
        rackOfData,
        prefersOneRack,
        perWorkerLimit,
        gang,
        resources: { milliCpu, memoryMib, accelerators: 0 },
        longRunning: kind === "serving",
        tailTargetMs: kind === "serving" ? 20 : undefined,
        usesIdleCpu: kind === "bestEffort",
    });
}

const anyCase = fc.record({
    workers: fc.array(anyWorker, { minLength: 1, maxLength: 8 }),
    running: fc.array(anyStep, { maxLength: 8 }),
    waiting: fc.array(anyStep, { maxLength: 14 }),
    pairs: fc.array(
        fc.record({ image: anyImage, other: anyImage, disturbance: fc.integer({ min: 0, max: 12 }) }),
        { maxLength: 6 },
    ),
    headrooms: fc.array(fc.double({ min: 0.5, max: 6, noNaN: true }), { maxLength: 8 }),
    failedWorker: fc.nat(7),
});

type PlanCase = typeof anyCase extends fc.Arbitrary<infer Case> ? Case : never;

/** Sets up the running steps by starts of the plain planner, and fails a task of every second waiting step. */
function setUp({ workers, running, waiting, pairs, headrooms, failedWorker }: PlanCase) {
    const machine = makeMachine(
        workers.map(({ rack, label, service, cores }, number) =>
            makeWorker(`w${number}`, {
                service,
                labels: [label, rack],
                capacity: { milliCpu: cores * 1_000, memoryMib: 1_000, accelerators: 0 },
            })
        ),
        [
            makeQueue({ maxAttempts: 3 }),
            makeQueue({ name: "urgent", path: "/urgent/", priority: 0 }),
            makeQueue({ name: "other", path: "/other/", service: "other" }),
        ],
    );
    const interference = createInterferenceModel();
    interference.addPairs(pairs.map(pair => ({ ...pair, variance: 0.5 })));
    const statusesByWorker = new Map<string, RunStatuses>();
    const input = {
        state: machine.state,
        isUsable: (worker: string) => workers[Number(worker.slice(1))]?.isUsable ?? false,
        findStartLimit: (worker: string) => workers[Number(worker.slice(1))]?.startLimit,
        findFailedWorker: () => `w${failedWorker}`,
        interference,
        findRunStatuses: (worker: string) => statusesByWorker.get(worker),
    };
    running.forEach((choice, number) => {
        machine.submit(makeJob(`running${number}`, [createStep(choice)]), `/${choice.queue}/`);
    });
    machine.apply({ kind: "startRuns", starts: planStartsPlainly(input, testStartMs) });
    for (const [worker, { runs }] of machine.state.workers) {
        const statuses: RunStatuses = new Map();
        for (const [key, { job, occurrence, step, task, run }] of runs) {
            const runKey = { job: job.id, occurrence: occurrence.number, step: step.position, position: task.position };
            const status = createRunStatus({ ...runKey, run }, "confirmed", 0);
            status.lastReading = step.spec.resources.milliCpu * (workers[Number(worker.slice(1))]?.useShare ?? 1);
            status.readAtMs = 1_000;
            statuses.set(key, status);
        }
        statusesByWorker.set(worker, statuses);
    }
    headrooms.forEach((headroom, number) => interference.observeMargin(`running${number}`, "a", headroom, [], 0));
    waiting.forEach((choice, number) => {
        const job = `waiting${number}`;
        machine.submit(makeJob(job, [createStep(choice)]), `/${choice.queue}/`);
        if (number % 2 === 0) {
            const start = { job, occurrence: 0, step: 0, position: 0, run: 1 };
            machine.apply({ kind: "startRuns", starts: [{ ...start, worker: "w0" }] });
            machine.apply({ kind: "endRuns", worker: "w0", ends: [{ ...start, outcome: "failed", checkpoint: "" }] });
        }
    });
    return input;
}

// Guards against savings in the planner that change where or in which order tasks start.
test(`a pass plans the same starts as one that compares each task with all workers (seed ${seed})`, () => {
    let startCount = 0;
    fc.assert(
        fc.property(anyCase, choices => {
            const input = setUp(choices);
            const expected = planStartsPlainly(input, testStartMs + 500);
            assert.deepEqual(planStarts(input, testStartMs + 500), expected);
            startCount += expected.length;
        }),
        { seed, numRuns: 1_500 },
    );
    assert.ok(startCount > 1_500, `the cases have only ${startCount} starts`);
});
