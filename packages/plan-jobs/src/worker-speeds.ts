import type { WorkerId } from "@chestnutspool/types";
import type { WorkerCandidate } from "./worker-candidate.js";

/** Speed from which a worker counts as normal; estimates of normal workers scatter by a quarter. */
const normalSpeed = 0.75;
/** Speed below which a worker gets few tasks at a time. */
const doubtfulSpeed = 0.5;
/**
 * Tasks that end by themselves that a doubtful worker runs at a time. Each costs as much as on a worker that is really slow,
 * but without any the worker could not prove that it has recovered.
 */
const doubtfulTasks = 2;
/**
 * Largest share of the workers of a service that are avoided or suspected. Above it the cause is not a single worker.
 */
const maxAvoidedShare = 0.34;

function countEndingRuns({ state }: WorkerCandidate): number {
    let count = 0;
    for (const { step } of state.runs.values()) {
        count += step.spec.longRunning ? 0 : 1;
    }
    return count;
}

/** Avoids the slowest of the workers of one service. */
function avoidSlowest(candidates: readonly WorkerCandidate[], predictSpeed: (worker: WorkerId) => number): void {
    const suspected = candidates.filter(({ startsLeft }) => startsLeft !== undefined).length;
    const limit = Math.floor(candidates.length * maxAvoidedShare) - suspected;
    if (limit <= 0) {
        return;
    }
    candidates
        .filter(({ startsLeft }) => startsLeft === undefined)
        .map(candidate => ({ candidate, speed: predictSpeed(candidate.state.info.id) }))
        .filter(({ speed }) => speed < normalSpeed)
        .sort((left, right) => left.speed - right.speed)
        .slice(0, limit)
        .forEach(({ candidate, speed }) => {
            candidate.speed = speed;
            if (speed < doubtfulSpeed) {
                candidate.startsLeft = Math.max(0, doubtfulTasks - countEndingRuns(candidate));
            }
        });
}

/** Sets the speeds of the candidates: the slowest of each service are avoided, all others count as normal. */
export function applySpeeds(
    candidates: readonly WorkerCandidate[],
    predictSpeed: (worker: WorkerId) => number,
): void {
    const byService = new Map<string, WorkerCandidate[]>();
    for (const candidate of candidates) {
        const { service } = candidate.state.info;
        const ofService = byService.get(service) ?? [];
        byService.set(service, ofService);
        ofService.push(candidate);
    }
    byService.forEach(ofService => avoidSlowest(ofService, predictSpeed));
}
