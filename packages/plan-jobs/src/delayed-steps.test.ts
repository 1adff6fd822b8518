import {
    makeJob,
    makeMachine,
    makeQueue,
    makeStep,
    makeWorker,
    type TestMachine,
} from "@chestnutspool/job-state/fakes";
import type { RunStart, StepSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { simulatePasses } from "./fakes/simulate-passes.js";

/**
 * Longest time without a run of a job that could run while workers are trusted and idle and less than half of the pool is in use, in
 * milliseconds.
 */
const longestDelayMs = 3_000;

/**
 * Starts all tasks on a worker, which then crashes; none of them is suspected. After two such crashes each needs a trial.
 */
function crashUnderAll(machine: TestMachine, worker: string): void {
    const starts: RunStart[] = [];
    for (const job of machine.state.openJobs.values()) {
        for (const { position: step, tasks } of job.occurrences.get(0)?.steps ?? []) {
            starts.push(...tasks.map(({ position, lastRun }) => ({
                job: job.id,
                occurrence: 0,
                step,
                position,
                run: lastRun + 1,
                worker,
            })));
        }
    }
    machine.apply({ kind: "startRuns", starts });
    const crash = { suspectedRuns: [], isCertain: false, clearedRuns: [] };
    machine.apply({ kind: "expireWorker", worker, isGone: false, checkpoints: [], crash });
}

function makeSmallStep(changes: Partial<StepSpec> = {}): StepSpec {
    return makeStep({ resources: { milliCpu: 100, memoryMib: 10, accelerators: 0 }, ...changes });
}

// Guards against jobs that wait in a line for their trial after crashes of their workers: the number of trials at a time depends on
// the workers only, each lasts 3 s, and the jobs that wait for one may be any number.
test("no job waits longer than the bound for its trial after two crashes under many jobs", () => {
    const machine = makeMachine(["w1", "w2", "w3", "w4"].map(id => makeWorker(id)));
    const jobs = Array.from({ length: 16 }, (item, number) => `suspect${number}`);
    jobs.forEach(job => machine.submit(makeJob(job, [makeSmallStep({ expectedRunMs: 10_000 })])));
    crashUnderAll(machine, "w1");
    crashUnderAll(machine, "w2");
    const planned = simulatePasses(machine, 40_000);
    const delays = jobs.map(job => planned.find(start => start.job === job)?.atMs ?? Number.POSITIVE_INFINITY);
    const late = delays.filter(delayMs => delayMs > longestDelayMs);
    assert.equal(late.length, 0, `${late.length} of ${jobs.length} jobs wait longer, up to ${Math.max(...late)} ms`);
});

// Guards against jobs without a crash that get no run because workers with room are held for long-running tasks that wait for a trial.
test("a job without a crash does not wait for the trials of long-running tasks", () => {
    const machine = makeMachine(["w1", "w2"].map(id => makeWorker(id)));
    machine.submit(makeJob("lasting", [makeSmallStep({ longRunning: true, count: 12 })]));
    crashUnderAll(machine, "w1");
    crashUnderAll(machine, "w2");
    machine.submit(makeJob("short", [makeSmallStep()]));
    const planned = simulatePasses(machine, 60_000);
    const delayMs = planned.find(({ job }) => job === "short")?.atMs ?? Number.POSITIVE_INFINITY;
    assert.ok(delayMs <= longestDelayMs, `the job waits for ${delayMs} ms`);
});

// Guards against a long-running job that never gets a run because the only worker with room is kept for short tasks: that another
// worker with its label could run it when empty keeps it away from the idle one without a limit of time.
test("a new long-running job starts on a worker that is kept for short tasks if no other has room", () => {
    const queues = [makeQueue(), makeQueue({ name: "urgent", path: "/urgent/", priority: 0 })];
    const others = Array.from({ length: 14 }, (item, number) => makeWorker(`w${number}`));
    const labelled = ["a1", "a2"].map(id => makeWorker(id, { labels: ["a", "r0", "ssd"] }));
    const machine = makeMachine([...others, ...labelled], queues);
    const makeLasting = (milliCpu: number): StepSpec =>
        makeStep({ longRunning: true, requiredLabel: "ssd", resources: { milliCpu, memoryMib: 10, accelerators: 0 } });
    machine.submit(makeJob("first", [makeLasting(3_000)]));
    machine.apply({
        kind: "startRuns",
        starts: [{ job: "first", occurrence: 0, step: 0, position: 0, run: 1, worker: "a2" }],
    });
    machine.submit(makeJob("second", [makeLasting(2_000)]));
    const planned = simulatePasses(machine, 60_000);
    const delayMs = planned.find(({ job }) => job === "second")?.atMs ?? Number.POSITIVE_INFINITY;
    assert.ok(delayMs <= longestDelayMs, `the job waits for ${delayMs} ms`);
});

// Guards against a gang without a run because tasks under which several workers have crashed take all trials, one after the other (soak,
// load crashing, seed 102).
test("a gang after its first crash does not wait behind the trials of tasks after two crashes", () => {
    const machine = makeMachine(Array.from({ length: 8 }, (item, number) => makeWorker(`w${number}`)));
    Array.from({ length: 24 }, (item, number) => `suspect${number}`)
        .forEach(job => machine.submit(makeJob(job, [makeSmallStep({ expectedRunMs: 10_000 })])));
    crashUnderAll(machine, "w1");
    crashUnderAll(machine, "w2");
    machine.submit(makeJob("gang", [makeSmallStep({ gang: true, count: 12, expectedRunMs: 60_000 })]));
    const starts = Array.from({ length: 12 }, (item, position): RunStart => ({
        job: "gang",
        occurrence: 0,
        step: 0,
        position,
        run: 1,
        worker: "w3",
    }));
    machine.apply({ kind: "startRuns", starts });
    const crash = { suspectedRuns: starts, isCertain: false, clearedRuns: [] };
    machine.apply({ kind: "expireWorker", worker: "w3", isGone: false, checkpoints: [], crash });
    const planned = simulatePasses(machine, 40_000);
    const delayMs = planned.find(({ job }) => job === "gang")?.atMs ?? Number.POSITIVE_INFINITY;
    assert.ok(delayMs <= longestDelayMs, `the gang waits for ${delayMs} ms`);
});

/** Tasks that need a trial of their own: three workers have crashed under them, under the tasks of the other steps two. */
const crowdSize = 12;

for (
    const [name, changes] of [["a gang", { gang: true, count: 10 }], ["a task that may share its trial", {}]] as const
) {
    // Guards against jobs that wait, though most workers are idle, because tasks that need a trial of their own take each one that ends.
    test(`${name} does not wait behind the trials of many tasks that need one of their own`, () => {
        const workers = Array.from({ length: 8 }, (item, number) => `w${number}`);
        const machine = makeMachine(workers.map(id => makeWorker(id)));
        for (let number = 0; number < crowdSize; number += 1) {
            machine.submit(makeJob(`alone${number}`, [makeSmallStep({ expectedRunMs: 10_000 })]));
        }
        crashUnderAll(machine, "w0");
        machine.submit(makeJob("waiting", [makeSmallStep({ expectedRunMs: 10_000, ...changes })]));
        crashUnderAll(machine, "w1");
        crashUnderAll(machine, "w2");
        const planned = simulatePasses(machine, 60_000);
        const delayMs = planned.find(({ job }) => job === "waiting")?.atMs ?? Number.POSITIVE_INFINITY;
        assert.ok(delayMs <= longestDelayMs, `the job waits for ${delayMs} ms`);
    });
}

// Guards against a job without a run because the only worker for it is held for an overdue long-running task that waits there for the end of
// a run that lasts.
test("a job does not wait for the run on a worker that is held for an overdue long-running task", () => {
    const workers = Array.from({ length: 8 }, (item, number) => `w${number}`);
    const machine = makeMachine(workers.map(id => makeWorker(id, id === "w0" ? { labels: ["rare"] } : {})));
    const start = (job: string): RunStart => ({ job, occurrence: 0, step: 0, position: 0, run: 1, worker: "w0" });
    const whole = { milliCpu: 4_000, memoryMib: 10, accelerators: 0 };
    const quarter = { milliCpu: 1_000, memoryMib: 10, accelerators: 0 };
    machine.submit(makeJob("serving", [makeStep({ longRunning: true, requiredLabel: "rare", resources: whole })]));
    machine.apply({ kind: "startRuns", starts: [start("serving")] });
    const { worker, ...run } = start("serving");
    machine.apply({ kind: "endRuns", worker, ends: [{ ...run, outcome: "stopped", checkpoint: "" }] });
    machine.submit(makeJob("lasting", [makeStep({ requiredLabel: "rare", resources: quarter })]));
    machine.apply({ kind: "startRuns", starts: [start("lasting")] });
    machine.submit(makeJob("small", [makeSmallStep({ requiredLabel: "rare" })]));
    const planned = simulatePasses(machine, 60_000);
    const delayMs = planned.find(({ job }) => job === "small")?.atMs ?? Number.POSITIVE_INFINITY;
    assert.ok(delayMs <= longestDelayMs, `the job waits for ${delayMs} ms`);
});

// Guards against an overdue long-running task that never finds room because the tasks of jobs that have runs take the place that is held
// for it once they have waited.
test("tasks of a job with a run do not take the place that is held for an overdue long-running task", () => {
    const machine = makeMachine(
        Array.from({ length: 8 }, (item, number) => makeWorker(`w${number}`, number === 0 ? { labels: ["rare"] } : {})),
    );
    const start = (job: string): RunStart => ({ job, occurrence: 0, step: 0, position: 0, run: 1, worker: "w0" });
    const resources = { milliCpu: 1_000, memoryMib: 10, accelerators: 0 };
    const whole = { ...resources, milliCpu: 4_000 };
    machine.submit(makeJob("serving", [makeStep({ longRunning: true, requiredLabel: "rare", resources: whole })]));
    machine.apply({ kind: "startRuns", starts: [start("serving")] });
    const { worker, ...run } = start("serving");
    machine.apply({ kind: "endRuns", worker, ends: [{ ...run, outcome: "stopped", checkpoint: "" }] });
    machine.submit(makeJob("wide", [makeStep({ requiredLabel: "rare", resources, count: 20 })]));
    machine.apply({ kind: "startRuns", starts: [start("wide")] });
    assert.deepEqual(simulatePasses(machine, 10_000), []);
});
