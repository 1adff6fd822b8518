import { countFailures, formatStepKey, type JobModel, type JobTask } from "@chestnutspool/job-state";
import type { InterferenceModel } from "@chestnutspool/learn-interference";
import type { RunViews } from "@chestnutspool/track-workers";
import type { RunStart, TaskKey, WorkerId } from "@chestnutspool/types";
import { rateWorker } from "./rate-workers.js";
import { listWaitingSteps, sortWaitingSteps, type WaitingStep } from "./waiting-steps.js";
import {
    createWorkerCandidate,
    findRack,
    hasCapacity,
    releaseCapacity,
    reserveCapacity,
    type WorkerCandidate,
} from "./worker-candidate.js";

/** Starts that a pass plans at most, so that a flood of tasks does not hold up the process. */
const startsPerPass = 500;

/** What the planner decides upon. */
export interface PlanInput {
    readonly model: JobModel;
    /** Whether a worker may get tasks now. */
    readonly isUsable: (worker: WorkerId) => boolean;
    /** Runs that a worker may start now; undefined: as many as it has room for. */
    readonly findStartLimit: (worker: WorkerId) => number | undefined;
    /** Worker on which the last failed run of a task was; undefined when it is not known. */
    readonly findFailedWorker: (task: TaskKey) => WorkerId | undefined;
    readonly interference: InterferenceModel;
    /** What the reports of a worker showed of its runs. */
    readonly findViews: (worker: WorkerId) => RunViews | undefined;
}

/** What a pass of the planner works on. */
interface PlanningPass {
    readonly input: PlanInput;
    readonly candidates: readonly WorkerCandidate[];
    readonly starts: RunStart[];
}

/** The candidates among the workers: those that may get tasks. */
export function listCandidates({ model, isUsable, findStartLimit, findViews }: PlanInput): WorkerCandidate[] {
    return [...model.workers.values()]
        .filter(worker => !worker.isDraining && isUsable(worker.info.id))
        .map(worker => createWorkerCandidate(worker, findViews(worker.info.id), findStartLimit(worker.info.id)));
}

/** The room for a task; the worker on which it has failed only where no other one has room. */
function chooseWorker(
    pass: PlanningPass,
    waiting: WaitingStep,
    task: JobTask,
    stepKey: string,
    racks: ReadonlyMap<string, number>,
) {
    const { job, occurrence, step } = waiting;
    const failedOn = task.failures === 0 ? undefined : pass.input.findFailedWorker({
        job: job.id,
        occurrence: occurrence.number,
        step: step.position,
        position: task.position,
    });
    const others = failedOn === undefined
        ? pass.candidates
        : pass.candidates.filter(candidate => candidate.state.info.id !== failedOn);
    return chooseWorkerAmong(others, pass, waiting, stepKey, racks)
        ?? (failedOn === undefined ? undefined : chooseWorkerAmong(pass.candidates, pass, waiting, stepKey, racks));
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

function createStart(waiting: WaitingStep, task: JobTask, run: number, candidate: WorkerCandidate): RunStart {
    return {
        job: waiting.job.id,
        occurrence: waiting.occurrence.number,
        step: waiting.step.position,
        position: task.position,
        run,
        worker: candidate.state.info.id,
    };
}

function listStartable({ job, step }: WaitingStep): JobTask[] {
    const tasks: JobTask[] = [];
    for (const position of step.waiting) {
        const task = step.tasks[position];
        if (task !== undefined && (step.spec.longRunning || countFailures(step, task) < job.queue.maxAttempts)) {
            tasks.push(task);
        }
    }
    return tasks;
}

/** Plans the tasks of a step one by one, as many as find room. */
function planTasks(pass: PlanningPass, waiting: WaitingStep, stepKey: string): void {
    const racks = new Map<string, number>();
    for (const task of listStartable(waiting)) {
        const candidate = pass.starts.length < startsPerPass
            ? chooseWorker(pass, waiting, task, stepKey, racks)
            : undefined;
        if (candidate === undefined) {
            return;
        }
        reserveCapacity(candidate, waiting.job.id, waiting.step.spec, stepKey);
        const rack = findRack(candidate.state.info);
        racks.set(rack, (racks.get(rack) ?? 0) + 1);
        pass.starts.push(createStart(waiting, task, task.lastRun + 1, candidate));
    }
}

/** Plans a gang as a whole: all of its tasks under one number of run, or none. */
function planGang(pass: PlanningPass, waiting: WaitingStep, stepKey: string): void {
    const { job, step } = waiting;
    if (step.waiting.size < step.tasks.length) {
        return;
    }
    const racks = new Map<string, number>();
    const run = Math.max(...step.tasks.map(task => task.lastRun)) + 1;
    const taken: { readonly candidate: WorkerCandidate; readonly task: JobTask; }[] = [];
    for (const task of listStartable(waiting)) {
        const candidate = chooseWorker(pass, waiting, task, stepKey, racks);
        if (candidate === undefined) {
            break;
        }
        reserveCapacity(candidate, job.id, step.spec, stepKey);
        const rack = findRack(candidate.state.info);
        racks.set(rack, (racks.get(rack) ?? 0) + 1);
        taken.push({ candidate, task });
    }
    if (taken.length < step.tasks.length) {
        taken.forEach(({ candidate }) => releaseCapacity(candidate, job.id, step.spec, stepKey));
        return;
    }
    pass.starts.push(...taken.map(({ candidate, task }) => createStart(waiting, task, run, candidate)));
}

/** Plans starts; `nowMs` is wall-clock time in milliseconds since the epoch. */
export function planStarts(input: PlanInput, nowMs: number): RunStart[] {
    const pass: PlanningPass = { input, candidates: listCandidates(input), starts: [] };
    for (const waiting of sortWaitingSteps(listWaitingSteps(input.model, nowMs))) {
        const { job, occurrence, step } = waiting;
        const stepKey = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
        if (step.spec.gang) {
            planGang(pass, waiting, stepKey);
        }
        else {
            planTasks(pass, waiting, stepKey);
        }
    }
    return pass.starts;
}
