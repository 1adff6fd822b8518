import { createJobMachine, type JobMachine } from "@chestnutspool/job-state";
import { makeJob, makeQueue, makeStep, makeWorker } from "@chestnutspool/job-state/fakes";
import type { JobCommand, RunEnd, RunStart } from "@chestnutspool/types";
import { performance } from "node:perf_hooks";

const workerCount = 342;
const tasksPerJob = 60;
/** Starts and ends in one command; 1,000 commands a second carry 900 of each. */
const startsPerCommand = 2;
const endsPerCommand = 2;
/** Runs in progress before ends begin; about 12 on each worker. */
const runsInProgress = 4_000;

/** A state machine of jobs that records how long each snapshot took. */
export interface MeasuredMachine extends JobMachine {
    readonly snapshotTimesMs: number[];
}

/** Creates a state machine of jobs that records how long each snapshot took. */
export function createMeasuredMachine(): MeasuredMachine {
    const machine = createJobMachine();
    const snapshotTimesMs: number[] = [];
    return {
        ...machine,
        snapshotTimesMs,
        takeSnapshot: () => {
            const beforeMs = performance.now();
            const bytes = machine.takeSnapshot();
            snapshotTimesMs.push(performance.now() - beforeMs);
            return bytes;
        },
    };
}

/** The commands of a leader that starts and ends runs; every job of 60 tasks is submitted, run and completed. */
export interface JobLoad {
    /** Configuration and workers. */
    readonly listPreparations: () => readonly JobCommand[];
    readonly createCommand: (nowMs: number) => JobCommand;
}

/** Creates the load; `startMs` is the wall-clock time in milliseconds since the epoch. */
export function createJobLoad(startMs: number): JobLoad {
    const running: RunStart[] = [];
    let jobs = 0;
    let nextPosition = tasksPerJob;
    let worker = 0;
    const createStart = (): RunStart => {
        const position = nextPosition;
        nextPosition += 1;
        return { job: formatJob(jobs), occurrence: 0, step: 0, position, run: 1, worker: `worker-${worker}` };
    };
    const formatJob = (number: number): string => `5aaddc1cd05e${String(number).padStart(8, "0")}`;
    return {
        listPreparations: () => [
            {
                kind: "setConfiguration",
                nowMs: startMs,
                configuration: {
                    version: 1,
                    queues: [makeQueue()],
                    pools: [{ name: "pool", healthPath: "/health", guardsCapacity: false, isStandby: false }],
                    bodyLimitBytes: 1_000,
                    document: new Uint8Array(0),
                },
            },
            ...Array.from({ length: workerCount }, (item, index): JobCommand => ({
                kind: "registerWorker",
                nowMs: startMs,
                worker: makeWorker(`worker-${index}`, {
                    capacity: { milliCpu: 64_000, memoryMib: 64_000, accelerators: 0 },
                }),
            })),
        ],
        createCommand: nowMs => {
            if (nextPosition >= tasksPerJob) {
                jobs += 1;
                nextPosition = 0;
                const spec = makeJob(formatJob(jobs), [makeStep({ count: tasksPerJob })]);
                return { kind: "submitJob", nowMs, spec, hostName: "jobs.example", path: `/main/${spec.id}` };
            }
            if (running.length < runsInProgress) {
                // Runs that start in one command run on one worker, so that one report ends them.
                worker = (worker + 1) % workerCount;
                const starts = Array.from({ length: startsPerCommand }, createStart);
                running.push(...starts);
                return { kind: "startRuns", nowMs, starts };
            }
            const ended = running.splice(0, endsPerCommand);
            const ends = ended.map(({ job, occurrence, step, position, run }): RunEnd => ({
                job,
                occurrence,
                step,
                position,
                run,
                outcome: "succeeded",
                checkpoint: "",
            }));
            return { kind: "endRuns", nowMs, worker: ended[0]?.worker ?? "", ends };
        },
    };
}
