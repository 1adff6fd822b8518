import { createRunKey, formatRunKey } from "@chestnutspool/job-state";
import { type TestMachine, testStartMs } from "@chestnutspool/job-state/fakes";
import { createRunStatus, type RunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import type { RunStart, WorkerId } from "@chestnutspool/types";
import { createPlanMemory } from "../plan-memory.js";
import { planStarts } from "../plan-starts.js";
import { makePlanInput } from "./make-plan-input.js";

const passMs = 100;

/** A start with its time, in milliseconds since the beginning of the simulation. */
export interface TimedStart extends RunStart {
    readonly atMs: number;
}

/**
 * Plans a pass each 100 ms of simulated time until `untilMs`, on trusted workers that confirm each start at once and report in each
 * pass. Runs do not end.
 */
export function simulatePasses(machine: TestMachine, untilMs: number): TimedStart[] {
    const statusesByWorker = new Map<WorkerId, RunStatuses>();
    const input = {
        ...makePlanInput(machine.state),
        findRunStatuses: (worker: WorkerId) => statusesByWorker.get(worker),
    };
    const memory = createPlanMemory();
    const planned: TimedStart[] = [];
    for (let atMs = 0; atMs <= untilMs; atMs += passMs) {
        const nowMs = testStartMs + atMs;
        for (const [worker, { runs }] of machine.state.workers) {
            const known: RunStatuses = statusesByWorker.get(worker) ?? new Map<string, RunStatus>();
            const statuses: RunStatuses = new Map<string, RunStatus>();
            for (const [key, recorded] of runs) {
                const runKey = createRunKey(recorded);
                const status = known.get(key) ?? createRunStatus(runKey, "confirmed", nowMs);
                status.readAtMs = nowMs;
                statuses.set(formatRunKey(runKey), status);
            }
            statusesByWorker.set(worker, statuses);
        }
        const starts = planStarts(input, nowMs, memory);
        machine.apply({ kind: "startRuns", starts }, nowMs);
        planned.push(...starts.map(start => ({ ...start, atMs })));
    }
    return planned;
}
