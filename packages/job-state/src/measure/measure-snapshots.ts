// Measures how long a snapshot of the job state blocks the process, by the size of the state.
// Usage: node packages/job-state/dist/measure/measure-snapshots.js
import type { RunEnd, RunStart } from "@chestnutspool/types";
import { performance } from "node:perf_hooks";
import { makeJob, makeMachine, makeStep, makeWorker, type TestMachine } from "../fakes/index.js";
import { createJobMachine } from "../job-machine.js";

interface StateSize {
    readonly name: string;
    readonly workers: number;
    /** Jobs that are closed, with one task each. */
    readonly closedJobs: number;
    readonly openJobs: number;
    readonly tasksPerJob: number;
    readonly runningTasks: number;
}

const sizes: readonly StateSize[] = [
    { name: "today", workers: 60, closedJobs: 500, openJobs: 100, tasksPerJob: 60, runningTasks: 700 },
    { name: "grown", workers: 342, closedJobs: 1_000, openJobs: 1_000, tasksPerJob: 60, runningTasks: 4_000 },
    { name: "target", workers: 1_300, closedJobs: 24_000, openJobs: 4_000, tasksPerJob: 60, runningTasks: 16_300 },
];
const repeats = 7;

function startTask(machine: TestMachine, start: RunStart): void {
    machine.apply({ kind: "startRuns", starts: [start] });
}

function endTask(machine: TestMachine, { worker, ...key }: RunStart): void {
    const end: RunEnd = { ...key, outcome: "succeeded", checkpoint: "" };
    machine.apply({ kind: "endRuns", worker, ends: [end] });
}

function createStart(size: StateSize, job: string, position: number, number: number): RunStart {
    return { job, occurrence: 0, step: 0, position, run: 1, worker: `worker-${number % size.workers}` };
}

/** A third of the tasks of open jobs that do not run is done and the others wait. */
function createState(size: StateSize): TestMachine {
    const capacity = { milliCpu: 64_000, memoryMib: 64_000, accelerators: 0 };
    const machine = makeMachine(
        Array.from({ length: size.workers }, (item, index) => makeWorker(`worker-${index}`, { capacity })),
    );
    for (let index = 0; index < size.closedJobs; index += 1) {
        const start = createStart(size, `closed-${index}`, 0, index);
        machine.submit(makeJob(start.job));
        startTask(machine, start);
        endTask(machine, start);
    }
    const runsPerJob = Math.ceil(size.runningTasks / size.openJobs);
    const donePerJob = Math.floor((size.tasksPerJob - runsPerJob) / 3);
    for (let index = 0; index < size.openJobs; index += 1) {
        const id = `open-${index}`;
        machine.submit(makeJob(id, [makeStep({ count: size.tasksPerJob })]));
        for (let position = 0; position < donePerJob + runsPerJob; position += 1) {
            const start = createStart(size, id, position, index * runsPerJob + position);
            startTask(machine, start);
            if (position < donePerJob) {
                endTask(machine, start);
            }
        }
    }
    return machine;
}

function measureMs(action: () => void): number {
    const beforeMs = performance.now();
    action();
    return performance.now() - beforeMs;
}

function round(value: number): number {
    return Number(value.toFixed(1));
}

for (const size of sizes) {
    const machine = createState(size);
    const times: number[] = [];
    let bytes = new Uint8Array(0);
    for (let repeat = 0; repeat < repeats; repeat += 1) {
        times.push(measureMs(() => {
            bytes = Uint8Array.from(machine.takeSnapshot());
        }));
    }
    const restored = createJobMachine();
    const restoreMs = measureMs(() => restored.restoreSnapshot(bytes));
    const firstRestoredMs = measureMs(() => {
        restored.takeSnapshot();
    });
    const sorted = [...times].sort((left, right) => left - right);
    const result = {
        ...size,
        snapshotKib: Math.round(bytes.length / 1024),
        firstMs: round(times[0] ?? 0),
        medianMs: round(sorted[Math.floor(repeats / 2)] ?? 0),
        longestMs: round(sorted.at(-1) ?? 0),
        restoreMs: round(restoreMs),
        firstRestoredMs: round(firstRestoredMs),
    };
    process.stdout.write(JSON.stringify(result) + "\n");
}
