import { formatRunKey } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel, type InterferenceModel } from "@chestnutspool/learn-interference";
import type { StepSpec, WorkerInfo } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { planStarts } from "./plan-starts.js";

type Machine = ReturnType<typeof makeMachine>;

function plan(
    machine: Machine,
    interference: InterferenceModel = createInterferenceModel(),
    nowMs = testStartMs,
    startLimits: Readonly<Record<string, number>> = {},
    failedWorker: string | undefined = undefined,
) {
    return planStarts({
        state: machine.state,
        isUsable: () => true,
        findStartLimit: worker => startLimits[worker],
        findFailedWorker: () => failedWorker,
        interference,
        findRunStatuses: () => undefined,
    }, nowMs);
}

function planOn(workers: readonly WorkerInfo[], step: Partial<StepSpec>): string[] {
    const machine = makeMachine(workers);
    machine.submit(makeJob("a", [makeStep(step)]));
    return plan(machine).map(start => start.worker);
}

const servingStep = makeStep({ longRunning: true, tailTargetMs: 20, image: "web", count: 1 });

test("all tasks of a gang start with the same run number, or none does", () => {
    const step = { count: 3, gang: true, resources: { milliCpu: 2_000, memoryMib: 10, accelerators: 0 } };
    assert.deepEqual(planOn([makeWorker("w1")], step), []);
    assert.equal(planOn([makeWorker("w1"), makeWorker("w2")], step).length, 3);
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    machine.submit(makeJob("a", [makeStep(step)]));
    assert.equal(new Set(plan(machine).map(start => start.run)).size, 1);
});

test("a step puts no more tasks on one worker than its limit per worker allows", () => {
    const workers = ["w1", "w2"].map(id => makeWorker(id));
    assert.deepEqual(planOn(workers, { count: 3, perWorkerLimit: 1 }).sort(), ["w1", "w2"]);
});

test("a task goes only to a worker with its required label, and prefers the rack of its data", () => {
    const workers = [
        makeWorker("w1"),
        makeWorker("w2", { labels: ["b", "r1"] }),
        makeWorker("w3", { labels: ["a", "r1"] }),
    ];
    assert.deepEqual(planOn(workers, { requiredLabel: "b" }), ["w2"]);
    assert.deepEqual(planOn(workers, { requiredLabel: "c" }), []);
    assert.deepEqual(planOn(workers, { rackOfData: "r1", requiredLabel: "a" }), ["w3"]);
    // Another rack is better than no start.
    assert.deepEqual(planOn([makeWorker("w1")], { rackOfData: "r9" }), ["w1"]);
});

test("the tasks of a step that prefers one rack start in the same rack", () => {
    const workers = ["r0", "r1"].flatMap(rack =>
        [1, 2].map(number => makeWorker(`${rack}-${number}`, { labels: ["a", rack] }))
    );
    const step = { count: 4, prefersOneRack: true, resources: { milliCpu: 2_000, memoryMib: 10, accelerators: 0 } };
    assert.equal(new Set(planOn(workers, step).map(worker => worker.split("-")[0])).size, 1);
});

test("a worker gets no more starts than its start limit allows", () => {
    const machine = makeMachine(["w1", "w2", "w3"].map(id => makeWorker(id)));
    machine.submit(makeJob("a", [makeStep({ count: 9 })]));
    const starts = plan(machine, createInterferenceModel(), testStartMs, { w1: 0, w2: 1 });
    const count = (worker: string): number => starts.filter(start => start.worker === worker).length;
    assert.deepEqual(["w1", "w2", "w3"].map(count), [0, 1, 4]);
});

test("a task that failed on a worker goes to another one if one has capacity", () => {
    const machine = makeMachine(["w1", "w2"].map(id => makeWorker(id)));
    machine.submit(makeJob("a"));
    const start = { job: "a", occurrence: 0, step: 0, position: 0, run: 1 };
    machine.apply({ kind: "startRuns", starts: [{ ...start, worker: "w1" }] });
    machine.apply({ kind: "endRuns", worker: "w1", ends: [{ ...start, outcome: "failed", checkpoint: "" }] });
    const chooseFor = (failedWorker: string, limits: Readonly<Record<string, number>> = {}): (string | undefined)[] =>
        plan(machine, createInterferenceModel(), testStartMs, limits, failedWorker).map(({ worker }) => worker);
    assert.deepEqual(chooseFor("w1"), ["w2"]);
    assert.deepEqual(chooseFor("w2"), ["w1"]);
    assert.deepEqual(chooseFor("w1", { w2: 0 }), ["w1"]);
});

test("an occurrence does not start before it is due", () => {
    const machine = makeMachine();
    machine.submit({ ...makeJob("a"), occurrences: 2, firstAtMs: testStartMs + 100, intervalMs: 1_000 });
    assert.equal(plan(machine).length, 0);
    assert.deepEqual(plan(machine, undefined, testStartMs + 100).map(start => start.occurrence), [0]);
    assert.deepEqual(plan(machine, undefined, testStartMs + 1_100).map(start => start.occurrence), [0, 1]);
});

test("the queue with the lower priority number goes first, and at the same priority long-running tasks go last", () => {
    const large = { milliCpu: 3_000, memoryMib: 10, accelerators: 0 };
    const machine = makeMachine([makeWorker("w1")], [
        makeQueue({ name: "urgent", path: "/urgent/", priority: 0 }),
        makeQueue({ priority: 2 }),
    ]);
    machine.submit(makeJob("batch", [makeStep({ resources: large })]));
    machine.submit(makeJob("watch", [makeStep({ resources: large, longRunning: true })]), "/urgent/");
    machine.submit(makeJob("check", [makeStep({ resources: large })]), "/urgent/");
    assert.deepEqual(plan(machine).map(start => start.job), ["check"]);
});

/**
 * The image `forecast` disturbs serving tasks of the image `web` and not those of `map`. Its tasks must start beside
 * `map`, and wait while no such worker is available.
 */
test("a best-effort task starts where it disturbs no serving task, and waits otherwise", () => {
    const interference = createInterferenceModel();
    interference.addPairs([
        { image: "web", other: "forecast", disturbance: 12, variance: 0.1 },
        { image: "map", other: "forecast", disturbance: 0.5, variance: 0.1 },
    ]);
    const bestEffortStep = makeStep({
        usesIdleCpu: true,
        image: "forecast",
        resources: { milliCpu: 1_000, memoryMib: 10, accelerators: 0 },
    });
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    machine.submit(makeJob("web", [servingStep]));
    machine.submit(makeJob("map", [{ ...servingStep, image: "map" }]));
    const run = { occurrence: 0, step: 0, position: 0, run: 1 };
    machine.apply({
        kind: "startRuns",
        starts: [{ ...run, job: "web", worker: "w1" }, { ...run, job: "map", worker: "w2" }],
    });
    machine.submit(makeJob("forecast", [bestEffortStep]));
    assert.deepEqual(plan(machine, interference).map(start => start.worker), ["w2"]);
    machine.apply({ kind: "drainWorker", worker: "w2" });
    assert.deepEqual(plan(machine, interference), []);
});

test("serving tasks of one image share workers, because they tolerate the same neighbours", () => {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    const run = { occurrence: 0, step: 0, position: 0, run: 1 };
    machine.submit(makeJob("web", [servingStep]));
    machine.submit(makeJob("map", [{ ...servingStep, image: "map" }]));
    machine.apply({
        kind: "startRuns",
        starts: [{ ...run, job: "web", worker: "w1" }, { ...run, job: "map", worker: "w2" }],
    });
    machine.submit(makeJob("web2", [servingStep]));
    machine.submit(makeJob("map2", [{ ...servingStep, image: "map" }]));
    assert.deepEqual(plan(machine).map(start => [start.job, start.worker]), [["web2", "w1"], ["map2", "w2"]]);
});

test("a large long-running task finds a place while small tasks come without end", () => {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    machine.submit(makeJob("stream", [makeStep({ count: 200 })]));
    const large = makeStep({ longRunning: true, resources: { milliCpu: 3_000, memoryMib: 10, accelerators: 0 } });
    machine.submit(makeJob("watch", [large]));
    // A small task runs for one to four rounds of a second, so that some end in each round.
    const startedInRound = new Map<string, number>();
    let watchRound: number | undefined;
    for (let round = 0; round < 30 && watchRound === undefined; round += 1) {
        for (const [worker, { runs }] of machine.state.workers) {
            for (const [key, { job, task, run }] of [...runs]) {
                if (round - (startedInRound.get(key) ?? 0) >= 1 + task.position % 4) {
                    const end = { job: job.id, occurrence: 0, step: 0, position: task.position, run };
                    machine.apply({
                        kind: "endRuns",
                        worker,
                        ends: [{ ...end, outcome: "succeeded", checkpoint: "" }],
                    });
                }
            }
        }
        const nowMs = testStartMs + round * 1_000;
        const starts = plan(machine, createInterferenceModel(), nowMs);
        machine.apply({ kind: "startRuns", starts }, nowMs);
        starts.forEach(start => startedInRound.set(formatRunKey(start), round));
        watchRound = starts.some(start => start.job === "watch") ? round : undefined;
    }
    // The users' rule: a long-running task waits no more than six seconds while there is capacity for it.
    assert.ok(watchRound !== undefined && watchRound <= 6, `started in round ${watchRound}`);
});

// Guards against long-running tasks of a worker that has left, which waited ten seconds while small tasks took all room.
test("an interrupted long-running task goes before small tasks of the same priority, and a place is held for it", () => {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    const large = { milliCpu: 3_000, memoryMib: 10, accelerators: 0 };
    machine.submit(makeJob("watch", [makeStep({ longRunning: true, resources: large })]));
    const [first] = plan(machine);
    assert.ok(first !== undefined);
    machine.apply({ kind: "startRuns", starts: [first] });
    const { worker, ...run } = first;
    const other = worker === "w1" ? "w2" : "w1";
    machine.submit(makeJob("check", [makeStep({ count: 20 })]));
    machine.apply({ kind: "startRuns", starts: plan(machine) });
    machine.apply({ kind: "endRuns", worker, ends: [{ ...run, outcome: "lapsed", checkpoint: "" }] });
    assert.deepEqual(plan(machine).map(start => `${start.job} on ${start.worker}`), [
        `watch on ${worker}`,
    ]);
    // Without room for it, the place that a small task leaves stays free.
    machine.apply({ kind: "drainWorker", worker });
    const [small] = [...(machine.state.workers.get(other)?.runs.values() ?? [])];
    assert.ok(small !== undefined);
    const end = { job: "check", occurrence: 0, step: 0, position: small.task.position, run: small.run };
    machine.apply({ kind: "endRuns", worker: other, ends: [{ ...end, outcome: "succeeded", checkpoint: "" }] });
    assert.deepEqual(plan(machine), []);
});

// Guards against tasks that fit nowhere and stop all others.
test("places are held on a tenth of the workers at most", () => {
    const machine = makeMachine([...Array(20).keys()].map(number => makeWorker(`w${number}`)));
    machine.submit(makeJob("first", [makeStep({ count: 20, resources: makeWorker("w").capacity })]));
    machine.apply({ kind: "startRuns", starts: plan(machine) });
    const step = makeStep({ count: 20, longRunning: true, resources: makeWorker("w").capacity });
    machine.submit(makeJob("watch", [step]));
    machine.submit(makeJob("check", [makeStep({ count: 200 })]));
    for (const [worker, { runs }] of machine.state.workers) {
        const [run] = [...runs.values()];
        assert.ok(run !== undefined);
        const end = { job: "first", occurrence: 0, step: 0, position: run.task.position, run: run.run };
        const second = { ...end, job: "check", position: Number(worker.slice(1)), run: 1, worker };
        machine.apply({ kind: "endRuns", worker, ends: [{ ...end, outcome: "succeeded", checkpoint: "" }] });
        machine.apply({ kind: "startRuns", starts: [second] });
    }
    const used = new Set(plan(machine, createInterferenceModel(), testStartMs + 10_000).map(start => start.worker));
    assert.equal(used.size, 18);
});
