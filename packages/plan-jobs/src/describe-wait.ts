import { computeReservation, formatStepKey } from "@chestnutspool/job-state";
import { needsTrial } from "@chestnutspool/track-workers";
import type { PlanInput } from "./plan-input.js";
import type { Lateness } from "./predict-lateness.js";
import { findObstacle, type Obstacle } from "./rate-workers.js";
import { listStartable } from "./startable-tasks.js";
import { canTry, countTrials } from "./trials.js";
import type { WaitingStep } from "./waiting-steps.js";
import { hasCapacity, type WorkerCandidate } from "./worker-candidate.js";

/** How many workers could run a task of a step, and what keeps the others from it. */
export interface WaitDescription {
    /** Usable workers of the service of its queue. */
    readonly workers: number;
    /** Workers among these with enough free processors, and with enough free memory. */
    readonly withProcessors: number;
    readonly withMemory: number;
    /** Workers that are trusted with another start. */
    readonly trusted: number;
    /** Workers among these with enough free resources. */
    readonly withRoom: number;
    /**
     * Workers with enough free resources on which the task would disturb no serving task and make progress; none while the next task
     * of the step needs a trial that the limit of trials does not allow.
     */
    readonly suitable: number;
    /**
     * Workers with enough free resources on which its best-effort tasks get too little processor time already, on which
     * it would find too few idle processors, and on which a serving task would miss its target.
     */
    readonly contended: number;
    readonly noIdleProcessors: number;
    readonly disturbed: number;
    readonly lateness: Lateness;
}

/** Whether the limit of trials lets a task of a step start. */
function canStartNext(waiting: WaitingStep, { state, findRunStatuses }: PlanInput): boolean {
    const tasks = listStartable(waiting);
    if (tasks.length === 0 || tasks.some(task => !needsTrial(task))) {
        return true;
    }
    const trials = countTrials(state, findRunStatuses);
    return tasks.some(task => canTry(trials, waiting.job.queue.service, task));
}

/** Counts the workers that could run a task of a waiting step. */
export function describeWait(
    candidates: readonly WorkerCandidate[],
    waiting: WaitingStep,
    input: PlanInput,
): WaitDescription {
    const { job, occurrence, step } = waiting;
    const stepKey = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
    const ofService = candidates.filter(candidate => candidate.state.info.service === job.queue.service);
    const withRoom = ofService.filter(candidate => hasCapacity(candidate, step.spec, stepKey));
    const obstacles = withRoom.map(candidate => findObstacle(candidate, step.spec, input.interference));
    const countObstacle = (obstacle: Obstacle | undefined): number =>
        obstacles.filter(found => found === obstacle).length;
    const needed = computeReservation(step.spec);
    const count = (isIncluded: (candidate: WorkerCandidate) => boolean): number => ofService.filter(isIncluded).length;
    return {
        workers: ofService.length,
        withProcessors: count(({ free }) => free.milliCpu >= needed.milliCpu),
        withMemory: count(({ free }) => free.memoryMib >= needed.memoryMib),
        trusted: count(({ startsLeft }) => startsLeft !== 0),
        withRoom: withRoom.length,
        suitable: canStartNext(waiting, input) ? countObstacle(undefined) : 0,
        contended: countObstacle("contended"),
        noIdleProcessors: countObstacle("noIdleProcessors"),
        disturbed: countObstacle("disturbs"),
        lateness: waiting.lateness,
    };
}
