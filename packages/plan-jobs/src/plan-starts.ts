import { countFailures, formatStepKey, type JobState, type JobTask } from "@chestnutspool/job-state";
import type { InterferenceModel } from "@chestnutspool/learn-interference";
import type { RunStatuses } from "@chestnutspool/track-workers";
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

/**
 * Limit of starts per pass, so that a burst of tasks does not block the process. The starts of gangs count, but are not
 * limited.
 */
const startsPerPass = 500;

/** Input of the planner. */
export interface PlanInput {
    readonly state: JobState;
    /** Whether tasks may start on a worker now. */
    readonly isUsable: (worker: WorkerId) => boolean;
    /** Number of runs that may start on a worker now; undefined if only its capacity limits them. */
    readonly findStartLimit: (worker: WorkerId) => number | undefined;
    /** Worker of the last failed run of a task; undefined if unknown. */
    readonly findFailedWorker: (task: TaskKey) => WorkerId | undefined;
    readonly interference: InterferenceModel;
    /** State of the runs on a worker, by its reports. */
    readonly findRunStatuses: (worker: WorkerId) => RunStatuses | undefined;
}

/** State of one planning pass. */
interface PlanningPass {
    readonly input: PlanInput;
    readonly candidates: readonly WorkerCandidate[];
    readonly starts: RunStart[];
}

/** Lists the workers on which tasks may start. */
export function listCandidates({ state, isUsable, findStartLimit, findRunStatuses }: PlanInput): WorkerCandidate[] {
    return [...state.workers.values()]
        .filter(worker => !worker.isDraining && isUsable(worker.info.id))
        .map(worker => createWorkerCandidate(worker, findRunStatuses(worker.info.id), findStartLimit(worker.info.id)));
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
    const others = failedOn === undefined
        ? pass.candidates
        : pass.candidates.filter(candidate => candidate.state.info.id !== failedOn);
    return chooseWorkerAmong(others, pass, waiting, stepKey, tasksByRack)
        ?? (failedOn === undefined
            ? undefined
            : chooseWorkerAmong(pass.candidates, pass, waiting, stepKey, tasksByRack));
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

/** Plans the starts of one pass; `nowMs` is wall-clock time in milliseconds since the epoch. */
export function planStarts(input: PlanInput, nowMs: number): RunStart[] {
    const pass: PlanningPass = { input, candidates: listCandidates(input), starts: [] };
    for (const waiting of sortWaitingSteps(listWaitingSteps(input.state, nowMs))) {
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
