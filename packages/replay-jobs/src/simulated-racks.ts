import { formatStepKey, type JobState, type WorkerRun } from "@chestnutspool/job-state";
import { isOutsideRack, type PlacementWaits } from "@chestnutspool/plan-jobs";
import { createPlacementMemory, type EndedWait, observeEndedRun } from "@chestnutspool/plan-placement-waits";
import type { WorkerInfo } from "@chestnutspool/types";
import type { Load } from "./load.js";

/** Whether a run is where its step prefers it: `none` if it has no preference. */
export type RunDistance = "none" | "near" | "far";

/** Finds whether a run starts in the rack that its step prefers. */
export function findDistance(run: WorkerRun, state: JobState, worker: WorkerInfo): RunDistance {
    const { rackOfData, prefersOneRack } = run.step.spec;
    if (rackOfData === undefined && !prefersOneRack) {
        return "none";
    }
    return isOutsideRack(run, state, worker) ? "far" : "near";
}

/** Creates the waits of a replay; undefined if tasks of the load do not wait for a rack. */
export function createSimulatedWaits({ farFactor }: Load, hasWaits: boolean): PlacementWaits | undefined {
    return hasWaits && farFactor > 1 ? { farFactor, memory: createPlacementMemory() } : undefined;
}

/** Lets the planner learn from the end of a run, as the leader does. */
export function recordRunTime(
    waits: PlacementWaits | undefined,
    run: WorkerRun,
    isFar: boolean,
    tookMs: number,
): void {
    const { job, occurrence, step } = run;
    const { usesIdleCpu, longRunning, expectedRunMs } = step.spec;
    if (waits !== undefined && !usesIdleCpu && !longRunning) {
        observeEndedRun(
            waits.memory,
            {
                queue: job.queue.name,
                step: formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position }),
                declaredMs: expectedRunMs,
                tookMs,
                isFar,
            },
            waits.farFactor,
        );
    }
}

/** Counts of waits that have ended, over a whole replay. Times are sums in milliseconds. */
export interface WaitCounts {
    waits: number;
    placed: number;
    waitedMs: number;
    expectedGainMs: number;
    gainMs: number;
}

/** Adds waits that have ended to the counts. */
export function addEndedWaits(counts: WaitCounts, ended: readonly EndedWait[]): void {
    for (const { outcome, waitedMs, expectedGainMs, gainMs } of ended) {
        counts.waits += 1;
        counts.placed += outcome === "placed" ? 1 : 0;
        counts.waitedMs += waitedMs;
        counts.expectedGainMs += expectedGainMs;
        counts.gainMs += gainMs;
    }
}
