import { formatTaskKey } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import type { RunStatuses } from "@chestnutspool/track-workers";
import type { Resources, RunEnd, RunStart, StepSpec, TaskKey } from "@chestnutspool/types";
import { createPlanMemory } from "../plan-memory.js";
import { planStarts } from "../plan-starts.js";
import { makePlanInput } from "./make-plan-input.js";

/** Time between two passes of a disturbed pool, in milliseconds. */
export const passMs = 100;

/** How the runs of a disturbed pool end; by default they do not. */
export interface RunEnding {
    readonly outcome: RunEnd["outcome"];
    /** Run time, in milliseconds; a run that ends before the next pass has 0. */
    readonly afterMs: number;
}

/** How much of a disturbed pool its serving tasks reserve: a quarter of the processors, or over half of all. */
export type PoolUse = "mostlyFree" | "inUse";

const servingResources: Readonly<Record<PoolUse, Resources>> = {
    mostlyFree: { milliCpu: 1_000, memoryMib: 100, accelerators: 0 },
    inUse: { milliCpu: 2_400, memoryMib: 600, accelerators: 0 },
};

/**
 * Workers of four cores and 1,000 MiB that each run a serving task, which tasks of the image `forecast` disturb on each worker. They
 * leave room for the forecasts also if the pool is in use.
 */
export function makeDisturbedPool(workerCount: number, ratingsPerPass?: number, use: PoolUse = "mostlyFree") {
    const workers = Array.from({ length: workerCount }, (item, number) => makeWorker(`w${number}`));
    const machine = makeMachine(workers, [makeQueue({ targetLatencyMs: 500 })]);
    const serving = makeStep({ longRunning: true, tailTargetMs: 20, image: "web", resources: servingResources[use] });
    machine.submit(makeJob("web", workers.map(() => serving)));
    const servingStarts = workers.map(({ id }, step) => ({
        job: "web",
        occurrence: 0,
        step,
        position: 0,
        run: 1,
        worker: id,
    }));
    machine.apply({ kind: "startRuns", starts: servingStarts });
    const interference = createInterferenceModel();
    interference.addPairs([{ image: "web", other: "forecast", disturbance: 12, variance: 0.1 }]);
    /** State of the runs on each worker; empty while the workers have reported none. */
    const statuses = new Map<string, RunStatuses>();
    const findRunStatuses = (worker: string): RunStatuses | undefined => statuses.get(worker);
    /** Number of the last run of each task that workers have refused, by task key. */
    const unstartedRuns = new Map<string, number>();
    const findUnstartedRun = (task: TaskKey): number | undefined => unstartedRuns.get(formatTaskKey(task));
    const input = { ...makePlanInput(machine.state), interference, findRunStatuses, findUnstartedRun };
    const memory = createPlanMemory(ratingsPerPass);
    const submitForecast = (job: string, changes: Partial<StepSpec>): void => {
        const resources = { milliCpu: 1_000, memoryMib: 10, accelerators: 0 };
        machine.submit(makeJob(job, [makeStep({ usesIdleCpu: true, image: "forecast", resources, ...changes })]));
    };
    /** Plans until `untilMs` after the start; `observePass` is called after each pass. */
    const planUntil = (
        untilMs: number,
        ending?: RunEnding,
        observePass: (atMs: number) => void = () => undefined,
    ): { readonly job: string; readonly atMs: number; }[] => {
        const planned: { readonly job: string; readonly atMs: number; }[] = [];
        let running: { readonly start: RunStart; readonly endsAtMs: number; }[] = [];
        const endRuns = (outcome: RunEnd["outcome"], atMs: number): void => {
            for (const { start: { worker, ...run } } of running.filter(({ endsAtMs }) => endsAtMs <= atMs)) {
                machine.apply({ kind: "endRuns", worker, ends: [{ ...run, outcome, checkpoint: "" }] });
            }
            running = running.filter(({ endsAtMs }) => endsAtMs > atMs);
        };
        for (let atMs = 0; atMs <= untilMs; atMs += passMs) {
            const starts = planStarts(input, testStartMs + atMs, memory);
            machine.apply({ kind: "startRuns", starts });
            planned.push(...starts.map(({ job }) => ({ job, atMs })));
            observePass(atMs);
            if (ending !== undefined) {
                running.push(...starts.map(start => ({ start, endsAtMs: atMs + ending.afterMs })));
                endRuns(ending.outcome, atMs);
            }
        }
        return planned;
    };
    return { machine, interference, statuses, unstartedRuns, submitForecast, planUntil, memory };
}

/** A pool of `makeDisturbedPool`. */
export type DisturbedPool = ReturnType<typeof makeDisturbedPool>;

/**
 * Plans a pool until `untilMs` and returns the longest time for which one of its jobs had no run, in milliseconds; `observePass` is
 * called after each pass.
 */
export function measureLongestWait(
    { machine, planUntil }: DisturbedPool,
    untilMs: number,
    ending?: RunEnding,
    observePass: () => void = () => undefined,
): number {
    const sinceMs = new Map<string, number>();
    let longestMs = 0;
    planUntil(untilMs, ending, atMs => {
        observePass();
        for (const { id, runsInProgress } of machine.state.openJobs.values()) {
            if (runsInProgress > 0) {
                sinceMs.set(id, atMs);
            }
            longestMs = Math.max(longestMs, atMs - (sinceMs.get(id) ?? 0));
        }
    });
    return longestMs;
}
