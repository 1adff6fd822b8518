import { needsTrial } from "@chestnutspool/track-workers";
import type { PlanMemory } from "./plan-memory.js";
import { countStartable, listStepCandidates, type PlanningPass } from "./planning-pass.js";
import { formatWaitingKey } from "./rack-wants.js";
import { listStartable } from "./startable-tasks.js";
import type { WaitingStep } from "./waiting-steps.js";
import { hasCapacity } from "./worker-candidate.js";

/**
 * Why the last pass left a step waiting that some worker suits: the ratings of the pass did not suffice, workers refuse its starts or it
 * waits for its rack, a worker with room is held for a long-running task or kept for other tasks, or no worker suited it in its turn. In
 * the last case a worker has got room since, which the next pass offers to the steps in order.
 */
export type WaitReason = "notReached" | "startsDelayed" | "workersHeld" | "workersKept" | "freedSincePass";

function isWorkerHeld({ held }: PlanningPass, waiting: WaitingStep): boolean {
    const { step: { spec }, job: { queue } } = waiting;
    const stepKey = formatWaitingKey(waiting);
    return !spec.longRunning && held.some(candidate =>
        candidate.state.info.service === queue.service
        && hasCapacity({ ...candidate, isHeld: false }, spec, stepKey)
    );
}

function isWorkerKept(pass: PlanningPass, waiting: WaitingStep): boolean {
    const listed = new Set(listStepCandidates(pass, waiting));
    const ofService = pass.candidatesByService.get(waiting.job.queue.service) ?? [];
    const stepKey = formatWaitingKey(waiting);
    return ofService.some(candidate => !listed.has(candidate) && hasCapacity(candidate, waiting.step.spec, stepKey));
}

/** Finds why the last pass left a step waiting; undefined if it started a task of it, or if a task needs a trial. */
export function findWaitReason({ lastPass, unreachedSince }: PlanMemory, waiting: WaitingStep): WaitReason | undefined {
    const { job, occurrence, step } = waiting;
    if (unreachedSince.has(step)) {
        return "notReached";
    }
    const hasStarted = lastPass?.starts.some(start =>
        start.job === job.id && start.occurrence === occurrence.number && start.step === step.position
    );
    if (lastPass === undefined || hasStarted === true || listStartable(waiting).some(needsTrial)) {
        return undefined;
    }
    if (countStartable(lastPass, waiting) === 0) {
        return "startsDelayed";
    }
    if (isWorkerHeld(lastPass, waiting)) {
        return "workersHeld";
    }
    return isWorkerKept(lastPass, waiting) ? "workersKept" : "freedSincePass";
}
