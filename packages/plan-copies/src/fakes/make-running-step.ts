import { formatRunKey } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import type { TestMachine } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import { createRunStatus, type RunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import type { QueueSettings, RunKey, RunOutcome, RunStart, StepSpec, WorkerInfo } from "@chestnutspool/types";
import { type CopyMemory, createCopyMemory, observeRunEnd } from "../copy-memory.js";
import { type CopyInput, planCopies } from "../plan-copies.js";

/** Monotonic time at which the runs start, in milliseconds. */
export const startedMs = 10_000;

/** A job `a` whose tasks all run since `startedMs`, task N on the worker with number N. */
export interface RunningStep {
    readonly machine: TestMachine;
    readonly memory: CopyMemory;
    /** Reports progress of tasks `afterMs` after the start; the positions select those with another progress. */
    readonly report: (afterMs: number, percent: number, others?: Readonly<Record<number, number>>) => void;
    /** Ends a run `afterMs` after the start. */
    readonly endRun: (start: RunStart, outcome: RunOutcome, afterMs: number) => void;
    /** Ends the first run of a task. */
    readonly endFirst: (position: number, afterMs: number, outcome?: RunOutcome) => void;
    /** Records starts and creates their statuses. */
    readonly start: (starts: readonly RunStart[], afterMs: number) => void;
    readonly findStatus: (start: RunStart) => RunStatus | undefined;
    readonly plan: (afterMs: number, changes?: Partial<CopyInput>) => RunStart[];
}

/** What a running step differs in from ten speculative tasks of one core on 14 workers of four cores. */
export interface RunningStepChanges {
    readonly step?: Partial<StepSpec>;
    readonly queue?: Partial<QueueSettings>;
    readonly workers?: readonly WorkerInfo[];
}

function makeWorkers(): readonly WorkerInfo[] {
    return [...Array(14).keys()].map(number => makeWorker(`w${number}`));
}

/** The first run of a task of job `a`. */
export function makeStart(position: number): RunStart {
    return { job: "a", occurrence: 0, step: 0, position, run: 1, worker: `w${position}` };
}

/** Starts the tasks of a step. */
export function makeRunningStep({ step = {}, queue = {}, workers }: RunningStepChanges = {}): RunningStep {
    const machine = makeMachine(workers ?? makeWorkers(), [makeQueue({ maxAttempts: 3, ...queue })]);
    const memory = createCopyMemory();
    const statuses = new Map<string, RunStatuses>();
    const spec = makeStep({ speculative: true, count: 10, ...step });
    machine.submit(makeJob("a", [spec]));
    const findStatus = (start: RunStart) => statuses.get(start.worker)?.get(formatRunKey(start));
    const start = (starts: readonly RunStart[], afterMs: number): void => {
        machine.apply({ kind: "startRuns", starts }, testStartMs + afterMs);
        for (const started of starts) {
            const { worker, ...key } = started;
            const ofWorker: RunStatuses = statuses.get(worker) ?? new Map<string, RunStatus>();
            ofWorker.set(formatRunKey(key), createRunStatus(key satisfies RunKey, "confirmed", startedMs + afterMs));
            statuses.set(worker, ofWorker);
        }
    };
    start([...Array(spec.count).keys()].map(makeStart), 0);
    const endRun: RunningStep["endRun"] = (ended, outcome, afterMs) => {
        const { worker, ...key } = ended;
        const state = machine.state.workers.get(worker);
        const run = state?.runs.get(formatRunKey(key));
        const end = { ...key, outcome, checkpoint: "" };
        if (state !== undefined) {
            const wallMs = testStartMs + afterMs;
            observeRunEnd(memory, state.info, run, findStatus(ended), end, startedMs + afterMs, wallMs);
        }
        machine.apply({ kind: "endRuns", worker, ends: [end] }, testStartMs + afterMs);
        statuses.get(worker)?.delete(formatRunKey(key));
    };
    return {
        machine,
        memory,
        report: (afterMs, percent, others = {}) => {
            for (const ofWorker of statuses.values()) {
                for (const status of ofWorker.values()) {
                    status.progressPercent = others[status.key.position] ?? percent;
                    status.progressAtMs = startedMs + afterMs;
                    status.readAtMs = startedMs + afterMs;
                }
            }
        },
        endRun,
        endFirst: (position, afterMs, outcome = "succeeded") => endRun(makeStart(position), outcome, afterMs),
        start,
        findStatus,
        plan: (afterMs, changes = {}) =>
            planCopies({
                state: machine.state,
                isUsable: () => true,
                findStartLimit: () => undefined,
                findFailedWorker: () => undefined,
                interference: createInterferenceModel(),
                findRunStatuses: worker => statuses.get(worker),
                starts: [],
                wallMs: testStartMs + afterMs,
                memory,
                ...changes,
            }, startedMs + afterMs),
    };
}
