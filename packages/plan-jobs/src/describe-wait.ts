import { formatStepKey } from "@chestnutspool/job-state";
import type { PlanInput } from "./plan-starts.js";
import { rateWorker } from "./rate-workers.js";
import type { WaitingStep } from "./waiting-steps.js";
import { hasRoom, type WorkerRoom } from "./worker-room.js";

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
export function describeWait(rooms: readonly WorkerRoom[], waiting: WaitingStep, input: PlanInput): WaitDescription {
    const { job, occurrence, step } = waiting;
    const stepKey = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
    const context = { interference: input.interference, tasksByRack: new Map<string, number>() };
    const ofService = rooms.filter(room => room.state.info.service === job.queue.service);
    const withRoom = ofService.filter(room => hasRoom(room, step.spec, stepKey));
    const suitable = withRoom.filter(room => rateWorker(room, step.spec, context) !== undefined);
    return { workers: ofService.length, withRoom: withRoom.length, suitable: suitable.length };
}
