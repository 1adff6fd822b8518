import { formatStepKey, type WorkerRun } from "@chestnutspool/job-state";
import { isOutsideRack, type PlacementWaits } from "@chestnutspool/plan-jobs";
import { createPlacementMemory, observeEndedRun, takeEndedWaits } from "@chestnutspool/plan-placement-waits";
import type { RunStatus } from "@chestnutspool/track-workers";
import type { WorkerInfo } from "@chestnutspool/types";
import type { LeaderLimits, Term } from "./term.js";

/** Creates the waits of a term for racks; undefined unless tasks run longer outside of the rack that they prefer. */
export function createPlacementWaits({ remoteRunFactor = 1 }: LeaderLimits): PlacementWaits | undefined {
    return remoteRunFactor > 1 ? { farFactor: remoteRunFactor, memory: createPlacementMemory() } : undefined;
}

/**
 * Learns from the end of a successful run how long its task takes, and records what the wait of its step has gained.
 * `nowMs` is monotonic time in milliseconds.
 */
export function recordPlacementRun(
    term: Term,
    info: WorkerInfo,
    run: WorkerRun,
    { orderedAtMs }: RunStatus,
    nowMs: number,
): void {
    const { job, occurrence, step, task, startedAtMs } = run;
    const { usesIdleCpu, longRunning, expectedRunMs } = step.spec;
    // The time of a run that resumed, or whose start an earlier build recorded, is not that of the whole task.
    if (
        term.placementWaits === undefined || usesIdleCpu || longRunning || task.checkpoint !== "" || startedAtMs === 0
    ) {
        return;
    }
    const { memory, farFactor } = term.placementWaits;
    const gainMs = observeEndedRun(
        memory,
        {
            queue: job.queue.name,
            step: formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position }),
            declaredMs: expectedRunMs,
            // The status of a run that an earlier leader ordered begins with this term, and the recorded start of a run is too
            // late if the clock of an earlier leader was ahead.
            tookMs: Math.max(nowMs - orderedAtMs, nowMs + term.clock.offsetMs - startedAtMs),
            isFar: isOutsideRack(run, term.machine.state, info),
        },
        farFactor,
    );
    if (gainMs !== undefined) {
        const measure = gainMs >= 0 ? "placementRunGainMs" : "placementRunLossMs";
        term.metrics.recordDuration(measure, job.queue.name, job.queue.service, Math.abs(gainMs));
    }
}

/** Computes the pause before the next pass: at most `longestMs`, and not beyond the end of a wait. Both in milliseconds. */
export function computeIdlePauseMs({ placementWaits }: Term, longestMs: number, nowMs: number): number {
    const wakeAtMs = placementWaits?.memory.wakeAtMs;
    return wakeAtMs === undefined ? longestMs : Math.min(longestMs, Math.max(0, wakeAtMs - nowMs));
}

/** Logs the waits that have ended, one line a step, and records what they were expected to gain and have gained. */
export function logEndedWaits(term: Term): void {
    if (term.placementWaits === undefined) {
        return;
    }
    for (const { wait, outcome, waitedMs, expectedGainMs, gainMs } of takeEndedWaits(term.placementWaits.memory)) {
        const { key, job, queue, service, rack, tasks, expectedAtMs, decidedAtMs } = wait;
        term.metrics.countEvent(`placementWaits.${outcome}`, queue, service);
        term.metrics.recordDuration("placementWaitMs", queue, service, waitedMs);
        term.metrics.recordDuration("placementExpectedGainMs", queue, service, expectedGainMs);
        term.metrics.recordDuration(
            gainMs >= 0 ? "placementGainMs" : "placementLossMs",
            queue,
            service,
            Math.abs(gainMs),
        );
        term.logger.info("task waits for a place", {
            job,
            queue,
            step: key,
            tasks,
            rack,
            outcome,
            waitedMs: Math.round(waitedMs),
            predictedWaitMs: Math.round(expectedAtMs - decidedAtMs),
            expectedGainMs: Math.round(expectedGainMs),
            gainMs: Math.round(gainMs),
        });
    }
}
