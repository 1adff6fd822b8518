import { formatRunKey } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import type { TestMachine } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import { type PlanInput, planStarts } from "@chestnutspool/plan-jobs";
import { createRunStatus, type RunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import type { QueueSettings, RunEnd, RunKey, RunStart, StepSpec } from "@chestnutspool/types";
import { planPreemptions, type PreemptionPlan } from "../plan-preemptions.js";
import { createPreemptionMemory, type PreemptionMemory } from "../preemption-memory.js";
import { listReservations } from "../update-reservations.js";

/** Maximum duration of a stop in tests, in milliseconds. */
export const testStopMs = 200;

/** Workers that each have memory for ten tasks of 100 MiB, and the planners of one leader. Times are in milliseconds. */
export interface TestPool {
    readonly machine: TestMachine;
    /** Submits a job with one step; to the urgent queue unless `path` says otherwise. */
    readonly submit: (id: string, nowMs: number, step?: Partial<StepSpec>, path?: string) => void;
    /** Starts the waiting tasks of a batch job, `positions` by worker, without asking the planner. */
    readonly startBatch: (id: string, nowMs: number, step: Partial<StepSpec>, worker: string) => void;
    /** Makes a pass: starts what fits, then plans preemptions. */
    readonly pass: (nowMs: number) => { readonly starts: readonly RunStart[]; readonly plan: PreemptionPlan; };
    readonly getStatus: (run: RunKey) => RunStatus;
    readonly endRun: (run: RunKey, worker: string, outcome: RunEnd["outcome"], nowMs: number, saved?: string) => void;
    /** Replaces the leader by one that knows only the log. */
    readonly replaceLeader: (nowMs: number) => void;
    readonly unusable: Set<string>;
}

/** Queues of two priorities. */
export const testQueues: readonly QueueSettings[] = [
    makeQueue({ name: "urgent", path: "/urgent/", priority: 0 }),
    makeQueue({ name: "batch", path: "/batch/", priority: 2 }),
];

/** Key of the first run of a task of a job with one step. */
export function makeRunKey(job: string, position = 0, run = 1): RunKey {
    return { job, occurrence: 0, step: 0, position, run };
}

/** Step of a batch task that uses idle processors and reserves memory. */
export const batchStep: Partial<StepSpec> = {
    usesIdleCpu: true,
    checkpointing: true,
    resources: { milliCpu: 1_000, memoryMib: 500, accelerators: 0 },
    expectedRunMs: 60_000,
};

/** Step of an urgent task that needs the memory of half a worker. */
export const urgentStep: Partial<StepSpec> = { resources: { milliCpu: 1_000, memoryMib: 500, accelerators: 0 } };

/** Creates a pool of workers `w0`, `w1` and so on, each in a rack of its own. */
export function createTestPool(workers = 2, queues: readonly QueueSettings[] = testQueues): TestPool {
    const capacity = { milliCpu: 64_000, memoryMib: 1_000, accelerators: 0 };
    const machine = makeMachine(
        Array.from(
            { length: workers },
            (item, number) => makeWorker(`w${number}`, { capacity, labels: ["a", `r${number}`] }),
        ),
        queues,
    );
    let statuses = new Map<string, RunStatuses>();
    let memory: PreemptionMemory = createPreemptionMemory();
    const unusable = new Set<string>();
    const getStatuses = (worker: string): RunStatuses => {
        const known = statuses.get(worker) ?? new Map<string, RunStatus>();
        statuses.set(worker, known);
        return known;
    };
    const addRun = (start: RunStart, nowMs: number): void => {
        const { worker, ...key } = start;
        getStatuses(worker).set(formatRunKey(key), createRunStatus(key, "confirmed", nowMs));
    };
    const submit: TestPool["submit"] = (id, nowMs, step = urgentStep, path = "/urgent/") => {
        machine.apply(
            {
                kind: "submitJob",
                spec: makeJob(id, [makeStep(step)]),
                hostName: "jobs.example",
                path: `${path}${id}`,
            },
            testStartMs + nowMs,
        );
    };
    const start = (starts: readonly RunStart[], nowMs: number): void => {
        machine.apply({ kind: "startRuns", starts }, testStartMs + nowMs);
        starts.forEach(each => addRun(each, nowMs));
    };
    return {
        machine,
        submit,
        startBatch: (id, nowMs, step, worker) => {
            submit(id, nowMs, { ...batchStep, ...step }, "/batch/");
            const count = step.count ?? 1;
            start(Array.from({ length: count }, (item, position) => ({ ...makeRunKey(id, position), worker })), nowMs);
        },
        pass: nowMs => {
            const wallMs = testStartMs + nowMs;
            const input: PlanInput = {
                state: machine.state,
                isUsable: worker => !unusable.has(worker),
                findStartLimit: () => undefined,
                findFailedWorker: () => undefined,
                interference: createInterferenceModel(),
                findRunStatuses: getStatuses,
                reservations: listReservations(memory, machine.state, testStopMs, nowMs),
            };
            const starts = planStarts(input, wallMs);
            const plan = planPreemptions({ ...input, starts, wallMs, stopMs: testStopMs }, memory, nowMs);
            start(starts, nowMs);
            for (const { worker, victims } of plan.preemptions) {
                for (const { runKey } of victims) {
                    const status = getStatuses(worker).get(runKey);
                    if (status !== undefined) {
                        status.stopWantedAtMs = nowMs;
                    }
                }
            }
            return { starts, plan };
        },
        getStatus: run => {
            for (const ofWorker of statuses.values()) {
                const status = ofWorker.get(formatRunKey(run));
                if (status !== undefined) {
                    return status;
                }
            }
            throw new Error(`${formatRunKey(run)} is not known`);
        },
        endRun: (run, worker, outcome, nowMs, saved = "") => {
            machine.apply(
                { kind: "endRuns", worker, ends: [{ ...run, outcome, checkpoint: saved }] },
                testStartMs + nowMs,
            );
            getStatuses(worker).delete(formatRunKey(run));
        },
        replaceLeader: nowMs => {
            memory = createPreemptionMemory();
            statuses = new Map();
            for (const [worker, { runs }] of machine.state.workers) {
                for (const { job, occurrence, step, task, run } of runs.values()) {
                    const key = { job: job.id, occurrence: occurrence.number, step: step.position };
                    addRun({ ...key, position: task.position, run, worker }, nowMs);
                }
            }
        },
        unusable,
    };
}
