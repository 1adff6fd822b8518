import type { RunKey, StepSpec, WorkerInfo } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeStep, makeWorker, type TestMachine, testStartMs } from "./fakes/index.js";
import { createJobMachine } from "./job-machine.js";

const resources = { milliCpu: 100, memoryMib: 10, accelerators: 0 };
const zoneSize = 8;

/** Two zones of eight workers, `y0` to `y7` and `z0` to `z7`, with three racks each. */
function makeZones(): WorkerInfo[] {
    return ["y", "z"].flatMap(zone =>
        Array.from(
            { length: zoneSize },
            (item, number) =>
                makeWorker(`${zone}${number}`, { availabilityZone: zone, labels: ["a", `${zone}-r${number % 3}`] }),
        )
    );
}

/** A machine with two zones and the jobs `j0`, `j1` and so on, each with tasks of one step. */
function setUp(jobs = 16, step: Partial<StepSpec> = {}): TestMachine {
    const machine = makeMachine(makeZones());
    for (let number = 0; number < jobs; number += 1) {
        machine.submit(makeJob(`j${number}`, [makeStep({ resources, ...step })]));
    }
    return machine;
}

function makeKey(job: string, position = 0, run = 1): RunKey {
    return { job, occurrence: 0, step: 0, position, run };
}

function start(machine: TestMachine, key: RunKey, worker: string, nowMs: number): void {
    const result = machine.apply({ kind: "startRuns", starts: [{ ...key, worker }] }, nowMs);
    assert.deepEqual(result, { kind: "started", refused: [] });
}

function crash(
    machine: Pick<TestMachine, "apply">,
    worker: string,
    suspectedRuns: readonly RunKey[],
    nowMs: number,
    isCertain = true,
): void {
    machine.apply({
        kind: "expireWorker",
        worker,
        isGone: false,
        checkpoints: [],
        crash: { suspectedRuns, isCertain, clearedRuns: [], silentMs: 0 },
    }, nowMs);
}

function getTask(machine: Pick<TestMachine, "state">, { job, position }: RunKey) {
    const task = machine.state.jobs.get(job)?.occurrences.get(0)?.steps[0]?.tasks[position];
    assert.ok(task !== undefined);
    return task;
}

const isBlamed = (machine: Pick<TestMachine, "state">, key: RunKey): boolean => {
    const { crashes, crashHistory } = getTask(machine, key);
    return crashes !== undefined || crashHistory !== undefined;
};

/** Starts a task of its own job on each of the workers, and crashes them `betweenMs` after each other; returns the runs. */
function crashWorkers(machine: TestMachine, workers: readonly string[], betweenMs: number, run = 1): RunKey[] {
    const startMs = testStartMs + run * 15_000;
    const keys = workers.map((worker, number) => {
        const key = makeKey(`j${number}`, 0, run);
        start(machine, key, worker, startMs);
        return key;
    });
    keys.forEach((key, number) => crash(machine, workers[number] ?? "", [key], startMs + 50 + number * betweenMs));
    return keys;
}

const countBlamed = (machine: Pick<TestMachine, "state">, keys: readonly RunKey[]): number =>
    keys.filter(key => isBlamed(machine, key)).length;

const zone = ["z0", "z1", "z2", "z3", "z4", "z5", "z6", "z7"];
const rack = ["z0", "z3", "z6"];
const spread = ["y0", "y1", "y2", "z0", "z1", "z3"];

// Guards against tasks that wait for trials, or end their job, because their worker crashed together with the others of its zone or rack.
for (const [name, workers] of [["zone", zone], ["rack", rack]] as const) {
    test(`no task is blamed for a crash that hits the workers of a ${name} within a second`, () => {
        const machine = setUp();
        assert.equal(countBlamed(machine, crashWorkers(machine, workers, 60)), 0);
    });
}

test("workers without runs that crash with them show the same", () => {
    const machine = setUp();
    start(machine, makeKey("j0"), "z0", testStartMs);
    crash(machine, "z0", [makeKey("j0")], testStartMs + 50);
    assert.equal(isBlamed(machine, makeKey("j0")), true);
    zone.slice(1, 6).forEach(worker => crash(machine, worker, [], testStartMs + 300, false));
    assert.equal(isBlamed(machine, makeKey("j0")), false);
});

test("what a task was blamed for before stays", () => {
    const machine = setUp();
    start(machine, makeKey("j0"), "y0", testStartMs);
    crash(machine, "y0", [makeKey("j0")], testStartMs + 50);
    const { crashes, crashHistory } = getTask(machine, makeKey("j0"));
    crashWorkers(machine, zone, 60, 2);
    assert.deepEqual(getTask(machine, makeKey("j0")).crashes, { ...crashes, run: 2 });
    assert.equal(getTask(machine, makeKey("j0")).crashHistory?.evidence, crashHistory?.evidence);
});

// Guards against tasks that crash their workers and are not found, because they do so at about the same time.
test("tasks are blamed for crashes that are spread over time, over zones or over a few workers", () => {
    for (const [workers, betweenMs] of [[zone, 1_200], [spread, 60], [zone.slice(0, 5), 60]] as const) {
        const machine = setUp();
        assert.equal(countBlamed(machine, crashWorkers(machine, workers, betweenMs)), workers.length);
    }
});

test("copies of a task that started together are blamed for the crashes of all workers of a zone", () => {
    const machine = setUp(1, { count: zoneSize });
    const keys = zone.map((worker, position) => makeKey("j0", position));
    keys.forEach((key, position) => start(machine, key, `z${position}`, testStartMs));
    keys.forEach((key, position) => crash(machine, `z${position}`, [key], testStartMs + 50 + position));
    assert.equal(countBlamed(machine, keys), zoneSize);
});

test("tasks that are suspected of each crash of an outage are blamed for the next one", () => {
    const machine = setUp();
    const blamed = [1, 2].map(run => countBlamed(machine, crashWorkers(machine, zone, 60, run)));
    assert.deepEqual(blamed, [0, zoneSize]);
});

// Guards against long-running tasks that are blamed for the repeated outage of a zone.
test("tasks are not blamed for several outages, while some of the crashes have no suspect", () => {
    const machine = setUp();
    for (let run = 1; run <= 4; run += 1) {
        const keys = crashWorkers(machine, zone.slice(0, 5), 60, run);
        zone.slice(5).forEach(worker => crash(machine, worker, [], testStartMs + run * 15_000 + 400, false));
        assert.equal(countBlamed(machine, keys), 0);
    }
});

// Guards against replicas that judge an outage otherwise because they were restored in its course, and against unreadable snapshots.
test("a replica that is restored between the crashes of an outage comes to the same state", () => {
    const machine = setUp();
    crashWorkers(machine, zone.slice(0, 3), 60);
    const restored = createJobMachine();
    restored.restoreSnapshot(machine.takeSnapshot());
    const other = {
        state: restored.state,
        apply: (command: Parameters<TestMachine["apply"]>[0], nowMs = testStartMs) =>
            restored.applyCommand(1, { ...command, nowMs }),
    };
    for (const replica of [machine, other]) {
        zone.slice(3).forEach(worker => crash(replica, worker, [], testStartMs + 15_300, false));
    }
    assert.deepEqual(restored.state.recentCrashes, machine.state.recentCrashes);
    assert.equal(countBlamed(restored, [0, 1, 2].map(number => makeKey(`j${number}`))), 0);
});

test("crashes that an earlier build recorded are part of no outage", () => {
    const machine = setUp();
    machine.state.recentCrashes = zone.map(() => ({ atMs: testStartMs, service: "pool", explainedPercent: 0 }));
    start(machine, makeKey("j0"), "z0", testStartMs);
    crash(machine, "z0", [makeKey("j0")], testStartMs + 50);
    assert.equal(isBlamed(machine, makeKey("j0")), true);
});

// Guards against crashes that keep each replica busy for a quarter of a second: in the outage of a zone whose workers run one wide step,
// each run was compared with each other one.
test("a crash in an outage compares the runs of a step only once for each time at which they started", () => {
    const workers = Array.from({ length: 40 }, (item, number) => makeWorker(`z${number}`, { availabilityZone: "z" }));
    const runsPerWorker = 10;
    const runCount = workers.length * runsPerWorker;
    const machine = makeMachine(workers);
    machine.submit(
        makeJob("j0", [makeStep({ resources: { milliCpu: 1, memoryMib: 1, accelerators: 0 }, count: runCount })]),
    );
    const keys = Array.from({ length: runCount }, (item, position) => makeKey("j0", position));
    keys.forEach((key, position) => start(machine, key, `z${Math.floor(position / runsPerWorker)}`, testStartMs));
    const crashNext = (number: number): void =>
        crash(
            machine,
            `z${number}`,
            keys.slice(number * runsPerWorker, (number + 1) * runsPerWorker),
            testStartMs + 50,
        );
    workers.slice(1).forEach((worker, position) => crashNext(position));
    let reads = 0;
    machine.state.recentCrashes = machine.state.recentCrashes.map(recent => ({
        ...recent,
        runs: recent.runs?.map(({ startedAtMs, ...run }) => ({
            ...run,
            get startedAtMs() {
                reads += 1;
                return startedAtMs;
            },
        })),
    }));
    crashNext(workers.length - 1);
    assert.equal(countBlamed(machine, keys), runCount);
    assert.ok(reads <= 6 * runCount, `${reads} reads of ${runCount} runs`);
});
