/**
 * Plans starts without remembering anything: each task of each step is compared with all workers. Tests compare the
 * planner with it.
 */

import { findRack, formatStepKey, type JobTask } from "@chestnutspool/job-state";
import type { InterferenceModel } from "@chestnutspool/learn-interference";
import type { RunStart, StepSpec } from "@chestnutspool/types";
import { createContentionMemory, orderContended } from "../contended-pools.js";
import { holdWorkers } from "../hold-workers.js";
import { listKeptWorkers, selectCandidates } from "../keep-workers.js";
import { listCandidates, type PlanInput } from "../plan-input.js";
import { createStart, listStartable } from "../startable-tasks.js";
import { listWaitingSteps, sortWaitingSteps, type WaitingStep } from "../waiting-steps.js";
import { hasCapacity, releaseCapacity, reserveCapacity, type WorkerCandidate } from "../worker-candidate.js";
import { computeMarginGoal, predictMargin } from "./predict-margin-plainly.js";

const startsPerPass = 500;

/** Margin (target / tail latency) that each serving task must keep when a task starts on its worker. */
const leastMargin = 1;
/** How far ahead the headroom of serving tasks is predicted when a task starts on their worker, in milliseconds. */
const lookAheadMs = 1_500;
/** Headroom that serving tasks are expected to have at their highest load. */
const lowestHeadroom = 1.4;
/** Rating added for a worker in the rack of the data or of the other tasks; larger than all other parts of a rating. */
const rackBonus = 100;
/**
 * Rating added for each serving task of the same image on a worker, and subtracted for each of another image: tasks of
 * one image tolerate the same neighbours.
 */
const sameImageBonus = 1;
/**
 * Least share of its declared processors that must be idle for a best-effort task to start; with less it progresses too
 * slowly.
 */
const leastIdleShare = 0.5;

/** Inputs of a rating besides the worker and the step. */
interface RatingContext {
    readonly interference: InterferenceModel;
    /** Number of tasks of the step that this pass has placed, by rack. */
    readonly tasksByRack: ReadonlyMap<string, number>;
}

/**
 * Predicts by how much the margins of the serving tasks on a worker exceed their goals if tasks of the image use a
 * further `share` of its processors. Returns the smallest difference.
 */
function predictSpareMargin(
    candidate: WorkerCandidate,
    image: string,
    share: number,
    interference: InterferenceModel,
): number {
    const shares = new Map(candidate.bestEffortShares);
    shares.set(image, (shares.get(image) ?? 0) + share);
    let smallestExcess = Number.POSITIVE_INFINITY;
    for (const group of candidate.servingGroups) {
        if (group.count > 0) {
            const headroom = Math.max(lowestHeadroom, interference.predictHeadroom(group.job, lookAheadMs));
            const goal = computeMarginGoal(group.image, headroom, leastMargin, interference);
            smallestExcess = Math.min(
                smallestExcess,
                predictMargin(group.image, headroom, shares, interference) - goal,
            );
        }
    }
    return smallestExcess;
}

/**
 * Prefers workers with many idle processors on which the task disturbs no serving task. Undefined if the task must not
 * start on this worker.
 */
function rateForBestEffortTask(candidate: WorkerCandidate, spec: StepSpec, context: RatingContext): number | undefined {
    const { milliCpu } = spec.resources;
    const capacity = Math.max(1, candidate.state.info.capacity.milliCpu);
    const idleShare = milliCpu === 0 ? 1 : Math.min(1, candidate.idleMilliCpu / milliCpu);
    if (candidate.isContended || idleShare < leastIdleShare) {
        return undefined;
    }
    const margin = predictSpareMargin(candidate, spec.image ?? "", milliCpu / capacity, context.interference);
    if (margin < 0) {
        return undefined;
    }
    return idleShare + Math.min(margin, 1) / 2 + candidate.idleMilliCpu / capacity;
}

/** Prefers workers with serving tasks of the same image, and without tasks that disturb this one. */
function rateForServingTask(candidate: WorkerCandidate, spec: StepSpec, context: RatingContext): number {
    let sameImageBalance = 0;
    for (const group of candidate.servingGroups) {
        sameImageBalance += group.image === (spec.image ?? "") ? group.count : -group.count;
    }
    let disturbance = 0;
    for (const [other, share] of candidate.bestEffortShares) {
        disturbance += context.interference.estimatePair(spec.image ?? "", other).disturbance * share;
    }
    return sameImageBalance * sameImageBonus - disturbance
        - candidate.free.milliCpu / Math.max(1, candidate.state.info.capacity.milliCpu);
}

/**
 * Rates how well a worker with enough capacity suits a task of the step. The highest rating wins; a worker whose rating
 * is undefined is not chosen.
 */
function rateWorker(candidate: WorkerCandidate, spec: StepSpec, context: RatingContext): number | undefined {
    const rack = findRack(candidate.state.info);
    let rating = spec.rackOfData !== undefined && spec.rackOfData === rack ? rackBonus : 0;
    rating += spec.prefersOneRack ? (context.tasksByRack.get(rack) ?? 0) * rackBonus : 0;
    if (spec.usesIdleCpu) {
        const bestEffortRating = rateForBestEffortTask(candidate, spec, context);
        return bestEffortRating === undefined ? undefined : rating + bestEffortRating;
    }
    if (spec.tailTargetMs !== undefined) {
        return rating + rateForServingTask(candidate, spec, context);
    }
    // Prefers the fullest worker, so that others keep enough capacity for large tasks.
    return rating - candidate.free.milliCpu / Math.max(1, candidate.state.info.capacity.milliCpu);
}

/** State of one planning pass. */
interface PlanningPass {
    readonly input: PlanInput;
    readonly candidates: readonly WorkerCandidate[];
    readonly kept: ReadonlySet<WorkerCandidate>;
    readonly starts: RunStart[];
}

function listStepCandidates(pass: PlanningPass, waiting: WaitingStep): readonly WorkerCandidate[] {
    const { service } = waiting.job.queue;
    const ofService = pass.candidates.filter(({ state }) => state.info.service === service);
    return selectCandidates(ofService, pass.kept, waiting);
}

/** Chooses the worker for a task; the worker of its last failed run only if no other one is suitable. */
function chooseWorker(
    pass: PlanningPass,
    waiting: WaitingStep,
    task: JobTask,
    stepKey: string,
    tasksByRack: ReadonlyMap<string, number>,
) {
    const { job, occurrence, step } = waiting;
    const failedOn = task.failures === 0 ? undefined : pass.input.findFailedWorker({
        job: job.id,
        occurrence: occurrence.number,
        step: step.position,
        position: task.position,
    });
    const candidates = listStepCandidates(pass, waiting);
    const others = failedOn === undefined
        ? candidates
        : candidates.filter(candidate => candidate.state.info.id !== failedOn);
    return chooseWorkerAmong(others, pass, waiting, stepKey, tasksByRack)
        ?? (failedOn === undefined
            ? undefined
            : chooseWorkerAmong(candidates, pass, waiting, stepKey, tasksByRack));
}

function chooseWorkerAmong(
    candidates: readonly WorkerCandidate[],
    pass: PlanningPass,
    waiting: WaitingStep,
    stepKey: string,
    tasksByRack: ReadonlyMap<string, number>,
) {
    const { spec } = waiting.step;
    const context = { interference: pass.input.interference, tasksByRack };
    let best: WorkerCandidate | undefined;
    let bestRating = Number.NEGATIVE_INFINITY;
    for (const candidate of candidates) {
        if (candidate.state.info.service !== waiting.job.queue.service || !hasCapacity(candidate, spec, stepKey)) {
            continue;
        }
        const rating = rateWorker(candidate, spec, context);
        if (rating !== undefined && rating > bestRating) {
            best = candidate;
            bestRating = rating;
        }
    }
    return best;
}

/** Plans starts of the tasks of a step one by one until no worker is suitable. */
function planTasks(pass: PlanningPass, waiting: WaitingStep, stepKey: string): void {
    const tasksByRack = new Map<string, number>();
    for (const task of listStartable(waiting)) {
        const candidate = pass.starts.length < startsPerPass
            ? chooseWorker(pass, waiting, task, stepKey, tasksByRack)
            : undefined;
        if (candidate === undefined) {
            return;
        }
        reserveCapacity(candidate, waiting.job.id, waiting.step.spec, stepKey);
        const rack = findRack(candidate.state.info);
        tasksByRack.set(rack, (tasksByRack.get(rack) ?? 0) + 1);
        pass.starts.push(createStart(waiting, task, task.lastRun + 1, candidate));
    }
}

/** Plans starts of all tasks of a gang with the same run number, or of none. */
function planGang(pass: PlanningPass, waiting: WaitingStep, stepKey: string): void {
    const { job, step } = waiting;
    if (step.waiting.size < step.tasks.length) {
        return;
    }
    const tasksByRack = new Map<string, number>();
    const run = Math.max(...step.tasks.map(task => task.lastRun)) + 1;
    const reserved: { readonly candidate: WorkerCandidate; readonly task: JobTask; }[] = [];
    for (const task of listStartable(waiting)) {
        const candidate = chooseWorker(pass, waiting, task, stepKey, tasksByRack);
        if (candidate === undefined) {
            break;
        }
        reserveCapacity(candidate, job.id, step.spec, stepKey);
        const rack = findRack(candidate.state.info);
        tasksByRack.set(rack, (tasksByRack.get(rack) ?? 0) + 1);
        reserved.push({ candidate, task });
    }
    if (reserved.length < step.tasks.length) {
        reserved.forEach(({ candidate }) => releaseCapacity(candidate, job.id, step.spec, stepKey));
        return;
    }
    pass.starts.push(...reserved.map(({ candidate, task }) => createStart(waiting, task, run, candidate)));
}

/** Plans the starts of one pass as `planStarts` does; `nowMs` is wall-clock time in milliseconds since the epoch. */
export function planStartsPlainly(input: PlanInput, nowMs: number): RunStart[] {
    const candidates = listCandidates(input);
    const pass: PlanningPass = { input, candidates, kept: listKeptWorkers(input.state, candidates), starts: [] };
    const sorted = sortWaitingSteps(listWaitingSteps(input.state, nowMs));
    for (const waiting of orderContended(createContentionMemory(), input, sorted, nowMs)) {
        const { job, occurrence, step } = waiting;
        const stepKey = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
        if (step.spec.gang) {
            planGang(pass, waiting, stepKey);
        }
        else {
            const startsBefore = pass.starts.length;
            planTasks(pass, waiting, stepKey);
            const unplanned = step.waiting.size - (pass.starts.length - startsBefore);
            if (waiting.isOverdue && unplanned > 0) {
                holdWorkers(listStepCandidates(pass, waiting), step.spec, stepKey, unplanned);
            }
        }
    }
    return pass.starts;
}
