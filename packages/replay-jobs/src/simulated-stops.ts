import type { Load } from "./load.js";
import type { SimulatedRun } from "./simulated-workers.js";

/** Computes the work that a run has saved, in milliseconds; at least what it resumed from. */
function computeSavedMs({ run, doneMs }: SimulatedRun, { stops }: Load): number {
    const resumedFromMs = Number(run.task.checkpoint);
    if (stops === undefined || !run.step.spec.checkpointing) {
        return resumedFromMs;
    }
    return Math.max(resumedFromMs, Math.floor(doneMs / stops.checkpointMs) * stops.checkpointMs);
}

/** Formats the checkpoint of a run; empty if it has saved nothing. */
export function formatCheckpoint(run: SimulatedRun, load: Load): string {
    const savedMs = computeSavedMs(run, load);
    return savedMs === 0 ? "" : `${savedMs}`;
}

/** Computes the work that a run has done when it starts, in milliseconds; below its checkpoint by the time to resume. */
export function computeResumedMs(checkpoint: string, { stops }: Load): number {
    return checkpoint === "" ? 0 : Number(checkpoint) - (stops?.restoreMs ?? 0);
}

/** Whether a run has carried out the order to stop. */
export function isStopped({ stopOrderedAtMs }: SimulatedRun, { stops }: Load, nowMs: number): boolean {
    return stopOrderedAtMs !== undefined && nowMs - stopOrderedAtMs >= (stops?.stopMs ?? 0);
}
