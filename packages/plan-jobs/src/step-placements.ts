import { computeReservation, findRack, isJobEnded } from "@chestnutspool/job-state";
import { type PlacementPlan, planPlacementWaits, type StepPlacement } from "@chestnutspool/plan-placement-waits";
import { findShortage, type StepSpec } from "@chestnutspool/types";
import type { PlanInput } from "./plan-input.js";
import { createRackContext, formatWaitingKey, listRackWorkers, listWants } from "./rack-wants.js";
import type { WaitingStep } from "./waiting-steps.js";
import type { WorkerCandidate } from "./worker-candidate.js";

/** Where the tasks of the steps may start in one pass. */
export interface StepPlacements {
    /** Workers on which tasks of a step may start, of those that suit it otherwise. */
    readonly selectWorkers: (
        waiting: WaitingStep,
        candidates: readonly WorkerCandidate[],
    ) => readonly WorkerCandidate[];
    /** Number of tasks of a step that may start. */
    readonly countStartable: (waiting: WaitingStep) => number;
    /** Whether a step is compared with workers of its own choice, so that the requirements of others say nothing about it. */
    readonly hasOwnWorkers: (waiting: WaitingStep) => boolean;
}

/** Placements without a rack that is worth a wait: tasks start wherever there is room. */
export const anyPlacements: StepPlacements = {
    selectWorkers: (waiting, candidates) => candidates,
    countStartable: () => Number.POSITIVE_INFINITY,
    hasOwnWorkers: () => false,
};

function computeLoadShare(candidates: readonly WorkerCandidate[]): number {
    let used = 0;
    let capacity = 0;
    for (const { state, free } of candidates) {
        used += state.info.capacity.milliCpu - free.milliCpu;
        capacity += state.info.capacity.milliCpu;
    }
    return used / Math.max(1, capacity);
}

/** Whether one of the workers could ever run a task of a step. */
function canEverRun(candidates: readonly WorkerCandidate[], spec: StepSpec): boolean {
    const needed = computeReservation(spec);
    return candidates.some(({ state: { info } }) =>
        (spec.requiredLabel === undefined || info.labels.includes(spec.requiredLabel))
        && findShortage(needed, info.capacity) === undefined
    );
}

function createPlacements({ placements, keptWorkers }: PlacementPlan): StepPlacements {
    const others = new WeakMap<readonly WorkerCandidate[], readonly WorkerCandidate[]>();
    const dropKept = (candidates: readonly WorkerCandidate[]): readonly WorkerCandidate[] => {
        const known = others.get(candidates) ?? candidates.filter(({ state }) => !keptWorkers.has(state.info.id));
        others.set(candidates, known);
        return known;
    };
    const findPlacement = (waiting: WaitingStep): StepPlacement | undefined =>
        placements.get(formatWaitingKey(waiting));
    return {
        selectWorkers: (waiting, candidates) => {
            const { spec } = waiting.step;
            const placement = findPlacement(waiting);
            if (placement?.kind === "wait") {
                return candidates.filter(({ state }) => findRack(state.info) === placement.rack);
            }
            if (placement?.avoidedRack !== undefined) {
                const outside = candidates.filter(({ state }) => findRack(state.info) !== placement.avoidedRack);
                return canEverRun(outside, spec) ? outside : candidates;
            }
            if (keptWorkers.size === 0 || (placement === undefined && spec.rackOfData !== undefined)) {
                return candidates;
            }
            const outside = dropKept(candidates);
            return canEverRun(outside, spec) ? outside : candidates;
        },
        countStartable: waiting => {
            const placement = findPlacement(waiting);
            return placement?.kind === "wait" ? placement.startable : Number.POSITIVE_INFINITY;
        },
        hasOwnWorkers: waiting => findPlacement(waiting) !== undefined || waiting.step.spec.rackOfData !== undefined,
    };
}

/**
 * Decides which steps wait for the rack that they prefer; `nowMs` is wall-clock time in milliseconds. Without the setting
 * for it, none does.
 */
export function planStepPlacements(
    input: PlanInput,
    candidatesByService: ReadonlyMap<string, readonly WorkerCandidate[]>,
    waitingSteps: readonly WaitingStep[],
    nowMs: number,
): StepPlacements {
    const waits = input.placementWaits;
    if (waits === undefined) {
        return anyPlacements;
    }
    const context = createRackContext(input, waits, candidatesByService, nowMs);
    const plan = planPlacementWaits(
        {
            wants: listWants(waitingSteps, input, waits, context, nowMs),
            farFactor: waits.farFactor,
            listRackWorkers: (service, rack) => listRackWorkers(context, service, rack),
            summarizeService: service => {
                const candidates = candidatesByService.get(service) ?? [];
                return { workers: candidates.length, loadShare: computeLoadShare(candidates) };
            },
            isJobOpen: id => {
                const job = input.state.openJobs.get(id);
                return job !== undefined && !isJobEnded(job);
            },
        },
        waits.memory,
        nowMs,
    );
    return createPlacements(plan);
}
