import { findRack, type JobStep, type JobTask } from "@chestnutspool/job-state";
import { canShareTrial, needsTrial } from "@chestnutspool/track-workers";
import type { RunStart, WorkerId } from "@chestnutspool/types";
import { chooseWorkers, selectCandidates } from "./keep-workers.js";
import type { PlanInput } from "./plan-input.js";
import { formatWaitingKey } from "./rack-wants.js";
import type { RatingContext } from "./rate-workers.js";
import type { RationedStarts } from "./ration-starts.js";
import type { PoolUse } from "./starved-steps.js";
import type { StepPlacements } from "./step-placements.js";
import { createStepRatings, type StepRatings } from "./step-ratings.js";
import type { TrialObstacle } from "./trial-obstacles.js";
import type { TrialPatience } from "./trial-waits.js";
import { canTryAfterWait, startTrial, type TrialCounts } from "./trials.js";
import type { UnmetRequirements } from "./unmet-requirements.js";
import type { WaitingStep } from "./waiting-steps.js";
import { type JoinedTrial, reserveCapacity, type WorkerCandidate } from "./worker-candidate.js";

/** State of one planning pass. */
export interface PlanningPass {
    readonly input: PlanInput;
    readonly candidatesByService: ReadonlyMap<string, readonly WorkerCandidate[]>;
    /** Workers on which no new long-running task starts. */
    readonly kept: ReadonlySet<WorkerCandidate>;
    readonly unmet: UnmetRequirements;
    readonly placements: StepPlacements;
    readonly starts: RunStart[];
    /** Tasks whose trials go after the first ones of jobs without a run. */
    readonly deferredTrials: TrialsOfStep[];
    /** Tasks for whose trials there is no worker. */
    readonly blockedTrials: TrialsOfStep[];
    /** Services with a gang for whose trial there is no worker. */
    readonly blockedGangs: Set<string>;
    /** Tasks that the pass starts where a place was kept for them. */
    readonly movedTasks: Set<JobTask>;
    /** Lists the workers that are left out for a step, because they have refused the starts of its job, which has waited for long. */
    readonly listRefusingWorkers: (waiting: WaitingStep) => readonly WorkerId[];
    /** Records that no trial is free for a step; returns how long it has waited. */
    readonly observeTrialWait: (step: JobStep) => TrialPatience;
    /** Workers that the pass holds for long-running tasks. */
    readonly held: WorkerCandidate[];
    /** Records that a step found no room while workers are held; returns whether it has waited for too long. */
    readonly observeHoldWait: (step: JobStep) => boolean;
    /** Use of the pools, by service. */
    readonly pools: ReadonlyMap<string, PoolUse>;
    /** Records which rule keeps the trials of a number of tasks from starting. */
    readonly recordBlockedTrial: (waiting: WaitingStep, tasks: number, obstacle: TrialObstacle) => void;
    /** Workers, and those on trial, by service. */
    readonly trials: TrialCounts;
    readonly rationed: RationedStarts;
    /** Counts the tasks of a step that the ration of starts allows. */
    readonly countRationed: (waiting: WaitingStep) => number;
    /** Number of ratings of workers. */
    ratings: number;
}

/** Tasks of a step that need a trial. */
export interface TrialsOfStep {
    readonly waiting: WaitingStep;
    readonly tasks: readonly JobTask[];
}

/** A step whose tasks are planned in a pass. */
export interface StepPlan {
    readonly waiting: WaitingStep;
    readonly stepKey: string;
    readonly ratings: StepRatings;
    /** Whether workers are left out because they have refused its starts. */
    readonly leavesOutWorkers: boolean;
    /** Number of tasks of the step that this pass has placed, by rack. */
    readonly tasksByRack: Map<string, number>;
}

/** Lists the workers on which tasks of a step may start. */
export function listStepCandidates(pass: PlanningPass, waiting: WaitingStep): readonly WorkerCandidate[] {
    const ofService = pass.candidatesByService.get(waiting.job.queue.service) ?? [];
    return pass.placements.selectWorkers(waiting, selectCandidates(ofService, pass.kept, waiting));
}

/** How a step is planned; by default its tasks disturb no serving task, join no trial and start on any worker. */
export interface StepPlanOptions {
    readonly acceptsDisturbance?: boolean;
    /** Trials of other tasks that those which need one join. */
    readonly joins?: JoinedTrial;
    /** Whether they start only on workers on which tasks of the step, and no others, are suspected. */
    readonly joinsSiblings?: boolean;
    /** The only worker on which they may start. */
    readonly target?: WorkerId;
}

/** Creates the plan of a step, with the ratings of its workers. */
export function createStepPlan(
    pass: PlanningPass,
    waiting: WaitingStep,
    { acceptsDisturbance = false, joins = "none", joinsSiblings = false, target }: StepPlanOptions = {},
): StepPlan {
    const { step } = waiting;
    const stepKey = formatWaitingKey(waiting);
    const tasksByRack = new Map<string, number>();
    const countRating = (): void => {
        pass.ratings += 1;
    };
    const context: RatingContext = {
        interference: pass.input.interference,
        tasksByRack,
        acceptsDisturbance,
        joins,
    };
    const hasOnlySiblings = ({ suspected: { steps } }: WorkerCandidate): boolean => steps.size === 1 && steps.has(step);
    const ofStep = listStepCandidates(pass, waiting);
    const listed = joinsSiblings ? ofStep.filter(hasOnlySiblings) : ofStep;
    const refusing = pass.listRefusingWorkers(waiting);
    const leavesOutWorkers = refusing.length > 0;
    const candidates = target === undefined && !leavesOutWorkers
        ? listed
        : listed.filter(({ state: { info } }) =>
            (target === undefined || info.id === target) && !refusing.includes(info.id)
        );
    return {
        waiting,
        stepKey,
        ratings: createStepRatings(candidates, step.spec, stepKey, context, countRating),
        leavesOutWorkers,
        tasksByRack,
    };
}

/**
 * Reserves capacity for a task that may crash its worker. No other task starts there meanwhile, except that the members of a
 * gang share the workers of their trial.
 */
export function reserveTrialWorker(
    pass: PlanningPass,
    { waiting, stepKey, ratings }: StepPlan,
    task: JobTask,
): WorkerCandidate | undefined {
    const { job, step } = waiting;
    const candidate = ratings.chooseTrialWorker(step.spec.gang || canShareTrial(task));
    if (candidate !== undefined) {
        startTrial(pass.trials, candidate, task, step, stepKey);
        reserveCapacity(candidate, job.id, step.spec, stepKey);
        ratings.updateAfterStart(candidate);
    }
    return candidate;
}

/**
 * Reserves capacity for a task on the most suitable worker; on the worker on which its last run failed or was refused only if
 * no other one is suitable.
 */
export function reserveWorker(
    pass: PlanningPass,
    plan: StepPlan,
    task: JobTask,
): WorkerCandidate | undefined {
    if (needsTrial(task)) {
        return reserveTrialWorker(pass, plan, task);
    }
    const { waiting, stepKey, ratings, tasksByRack } = plan;
    const { job, occurrence, step } = waiting;
    const failedOn = task.lastRun === 0 ? undefined : pass.input.findFailedWorker({
        job: job.id,
        occurrence: occurrence.number,
        step: step.position,
        position: task.position,
    });
    const candidate = ratings.chooseWorker(failedOn);
    if (candidate !== undefined) {
        reserveCapacity(candidate, job.id, step.spec, stepKey);
        const rack = findRack(candidate.state.info);
        tasksByRack.set(rack, (tasksByRack.get(rack) ?? 0) + 1);
        ratings.updateAfterStart(candidate);
    }
    return candidate;
}

/** Records that no worker has room for a task of a step; a step that leaves out workers tells nothing of the room for others. */
export function recordUnmet({ unmet, placements }: PlanningPass, { waiting, leavesOutWorkers }: StepPlan): void {
    if (!leavesOutWorkers && !placements.hasOwnWorkers(waiting)) {
        unmet.recordUnmet(waiting.job.queue.service, waiting.step.spec, chooseWorkers(waiting));
    }
}

/** Whether no worker has room for a step, because none had for another one that requires no more. */
export function isUnmet({ unmet, placements }: PlanningPass, waiting: WaitingStep): boolean {
    return !placements.hasOwnWorkers(waiting)
        && unmet.isUnmet(waiting.job.queue.service, waiting.step.spec, chooseWorkers(waiting));
}

/** Counts the tasks of a step that may start if workers refuse its starts; undefined if they refuse none. */
export function countAfterRefusal({ input }: PlanningPass, waiting: WaitingStep): number | undefined {
    return input.countStepStarts?.(formatWaitingKey(waiting));
}

/** Counts the tasks of a step that may start, however much room there is. */
export function countStartable(pass: PlanningPass, waiting: WaitingStep): number {
    const afterRefusal = countAfterRefusal(pass, waiting) ?? Number.POSITIVE_INFINITY;
    return Math.min(pass.placements.countStartable(waiting), afterRefusal);
}

/**
 * Reserves capacity for the trial of a task that joins others. While as many workers are on trial as may be, a long-running one first
 * joins suspected tasks of its own step, with which it has a cause in common; otherwise a step whose tasks all crash their workers takes
 * a service down.
 */
export function reserveJoinedTrial(
    pass: PlanningPass,
    waiting: WaitingStep,
    task: JobTask,
    joins: JoinedTrial,
): WorkerCandidate | undefined {
    const joinsSiblings = joins === "lasting" && !canTryAfterWait(pass.trials, waiting.job.queue.service);
    const besideSiblings = joinsSiblings
        ? reserveTrialWorker(pass, createStepPlan(pass, waiting, { joins, joinsSiblings }), task)
        : undefined;
    return besideSiblings ?? reserveTrialWorker(pass, createStepPlan(pass, waiting, { joins }), task);
}
