import { computeReservation } from "@chestnutspool/job-state";
import { addResources, findShortage, type Resources, type StepSpec } from "@chestnutspool/types";
import type { WorkerCandidate } from "./worker-candidate.js";

/**
 * Largest share of the workers of a service that are held for long-running tasks at the same time, so that tasks that
 * fit nowhere do not stop all others. One worker may always be held.
 */
const heldShare = 0.1;

/** Computes what a worker has left once its tasks that end by themselves have ended. */
export function computeFreeLater({ free, ending }: WorkerCandidate): Resources {
    return addResources(free, ending);
}

function canHold(candidate: WorkerCandidate, spec: StepSpec, stepKey: string): boolean {
    const { state, startsLeft, isHeld, tasksByStep } = candidate;
    return !isHeld && startsLeft !== 0
        && (spec.requiredLabel === undefined || state.info.labels.includes(spec.requiredLabel))
        && (spec.perWorkerLimit === undefined || (tasksByStep.get(stepKey) ?? 0) < spec.perWorkerLimit)
        && findShortage(computeReservation(spec), computeFreeLater(candidate)) === undefined;
}

/**
 * Holds a worker for each of `tasks` long-running tasks that found no room: the ones with the most free processors that
 * have room once their short tasks have ended. Without it, smaller tasks take each part of the room that becomes free. Returns the held
 * ones.
 */
export function holdWorkers(
    candidates: readonly WorkerCandidate[],
    spec: StepSpec,
    stepKey: string,
    tasks: number,
): readonly WorkerCandidate[] {
    const held = candidates.filter(({ isHeld }) => isHeld).length;
    const limit = Math.min(tasks, Math.max(1, Math.floor(candidates.length * heldShare)) - held);
    if (limit <= 0) {
        return [];
    }
    const chosen = candidates
        .filter(candidate => canHold(candidate, spec, stepKey))
        .sort((left, right) => right.free.milliCpu - left.free.milliCpu)
        .slice(0, limit);
    chosen.forEach(candidate => {
        candidate.isHeld = true;
    });
    return chosen;
}
