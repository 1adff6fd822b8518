import { formatStepKey } from "@chestnutspool/job-state";
import type { PlanInput } from "./plan-starts.js";
import { rateWorker } from "./rate-workers.js";
import type { WaitingStep } from "./waiting-steps.js";
import { hasCapacity, type WorkerCandidate } from "./worker-candidate.js";

/** How many workers could take a task of a step. */
export interface WaitDescription {
    /** Usable workers of its service. */
    readonly workers: number;
    /** Those of them with enough free resources. */
    readonly withRoom: number;
    /** Those of them on which it would disturb nobody and get on. */
    readonly suitable: number;
}

/** Describes why a step waits. */
export function describeWait(
    candidates: readonly WorkerCandidate[],
    waiting: WaitingStep,
    input: PlanInput,
): WaitDescription {
    const { job, occurrence, step } = waiting;
    const stepKey = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
    const context = { interference: input.interference, tasksByRack: new Map<string, number>() };
    const ofService = candidates.filter(candidate => candidate.state.info.service === job.queue.service);
    const withRoom = ofService.filter(candidate => hasCapacity(candidate, step.spec, stepKey));
    const suitable = withRoom.filter(candidate => rateWorker(candidate, step.spec, context) !== undefined);
    return { workers: ofService.length, withRoom: withRoom.length, suitable: suitable.length };
}
