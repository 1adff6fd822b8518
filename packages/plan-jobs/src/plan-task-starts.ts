import type { JobTask } from "@chestnutspool/job-state";
import { canShareTrial, isLikelyCause, needsTrial } from "@chestnutspool/track-workers";
import {
    createStepPlan,
    isUnmet,
    type PlanningPass,
    recordUnmet,
    reserveJoinedTrial,
    reserveTrialWorker,
    reserveWorker,
    type StepPlan,
} from "./planning-pass.js";
import { createStart, listStartable } from "./startable-tasks.js";
import type { TrialObstacle } from "./trial-obstacles.js";
import type { TrialPatience } from "./trial-waits.js";
import { canTry, canTryAfterWait, hasRun } from "./trials.js";
import type { WaitingStep } from "./waiting-steps.js";
import type { JoinedTrial, WorkerCandidate } from "./worker-candidate.js";

/** Decides what a task that finds no trial of its own joins after a wait; undefined if it waits on. */
function decideJoinedTrial(
    pass: PlanningPass,
    { job, step }: WaitingStep,
    task: JobTask,
    patience: TrialPatience,
): JoinedTrial | undefined {
    const { service } = job.queue;
    switch (patience) {
        case "waits":
            return undefined;
        case "shares":
            // A likely cause takes a worker without other suspects first, so that the next crash does not speak against these.
            return !step.spec.longRunning
                ? undefined
                : !isLikelyCause(task)
                ? "lasting"
                : canTryAfterWait(pass.trials, service)
                ? "none"
                : undefined;
        case "sharesAll":
            return step.spec.longRunning ? "lasting" : canTry(pass.trials, service, task) ? "beside" : undefined;
    }
}

/**
 * Plans trials of tasks that find none of their own and have waited for long. Long-running ones join others like them: the users' bound on
 * the time without a run holds for each task, and their number does not depend on that of the workers. The others stay blocked.
 */
function planTrialsAfterWait(
    pass: PlanningPass,
    waiting: WaitingStep,
    tasks: readonly JobTask[],
    obstacle: TrialObstacle,
): void {
    const isLate = waiting.step.spec.longRunning || !hasRun(waiting.job, pass.starts);
    const patience = isLate ? pass.observeTrialWait(waiting.step) : "waits";
    const started = new Set<JobTask>();
    const withoutWorker = new Set<JoinedTrial>();
    for (const task of tasks) {
        const joins = decideJoinedTrial(pass, waiting, task, patience);
        if (joins === undefined || withoutWorker.has(joins)) {
            continue;
        }
        const candidate = reserveJoinedTrial(pass, waiting, task, joins);
        if (candidate === undefined) {
            withoutWorker.add(joins);
            continue;
        }
        started.add(task);
        pass.starts.push(createStart(waiting, task, task.lastRun + 1, candidate));
    }
    const blocked = tasks.filter(task => !started.has(task));
    if (blocked.length > 0) {
        pass.blockedTrials.push({ waiting, tasks: blocked });
        pass.recordBlockedTrial(waiting, blocked.length, obstacle);
    }
}

/**
 * Plans starts of tasks of a step one by one until no worker is suitable. The trials of a job that has a run go after the other steps of the
 * pass if `defersTrials`.
 */
export function planTaskStarts(
    pass: PlanningPass,
    plan: StepPlan,
    tasks: readonly JobTask[],
    defersTrials: boolean,
): void {
    const { waiting } = plan;
    for (const [position, task] of tasks.entries()) {
        if (needsTrial(task)) {
            if (!canTry(pass.trials, waiting.job.queue.service, task)) {
                planTrialsAfterWait(pass, waiting, tasks.slice(position), "noFreeTrial");
                return;
            }
            // A trial that has been deferred for long takes its turn, so that the steps of each pass do not take its place without end.
            if (defersTrials && hasRun(waiting.job, pass.starts) && pass.observeTrialWait(waiting.step) === "waits") {
                pass.deferredTrials.push({ waiting, tasks: tasks.slice(position) });
                return;
            }
        }
        const candidate = reserveWorker(pass, plan, task);
        if (candidate === undefined) {
            recordUnmet(pass, plan);
            if (needsTrial(task)) {
                const obstacle = plan.ratings.hasRoomOnTrial ? "workersOnTrial" : "noRoom";
                planTrialsAfterWait(pass, waiting, tasks.slice(position), obstacle);
            }
            return;
        }
        pass.starts.push(createStart(waiting, task, task.lastRun + 1, candidate));
    }
}

/** Plans the trials that other steps have left workers for. */
export function planDeferredTrials(pass: PlanningPass): void {
    for (const { waiting, tasks } of pass.deferredTrials) {
        const [first] = tasks;
        if (first === undefined || !canTry(pass.trials, waiting.job.queue.service, first)) {
            pass.recordBlockedTrial(waiting, tasks.length, "jobHasRun");
        }
        else if (isUnmet(pass, waiting)) {
            pass.recordBlockedTrial(waiting, tasks.length, "noRoom");
        }
        else {
            planTaskStarts(pass, createStepPlan(pass, waiting), tasks, false);
        }
    }
}

/** Reserves a worker for a trial that others may join, if the number of trials at a time allows one. */
function reserveFirstOfShared(pass: PlanningPass, waiting: WaitingStep, task: JobTask): WorkerCandidate | undefined {
    return canTryAfterWait(pass.trials, waiting.job.queue.service)
        ? reserveTrialWorker(pass, createStepPlan(pass, waiting), task)
        : undefined;
}

/**
 * Plans trials of tasks that have waited for long: they join those of others, because the number of trials at a time depends on the
 * workers, and the number of tasks that wait does not. Of a job that ends by itself only one task does, and none does while a gang waits
 * for the end of these trials.
 */
export function planSharedTrials(pass: PlanningPass): void {
    for (const { waiting, tasks } of pass.blockedTrials) {
        const { job, step } = waiting;
        if (!step.spec.longRunning && hasRun(job, pass.starts)) {
            continue;
        }
        if (pass.observeTrialWait(step) === "waits" || pass.blockedGangs.has(job.queue.service)) {
            continue;
        }
        const plan = createStepPlan(pass, waiting, { joins: "shared" });
        for (const task of tasks.filter(canShareTrial).slice(0, step.spec.longRunning ? tasks.length : 1)) {
            const candidate = reserveTrialWorker(pass, plan, task) ?? reserveFirstOfShared(pass, waiting, task);
            if (candidate === undefined) {
                break;
            }
            pass.starts.push(createStart(waiting, task, task.lastRun + 1, candidate));
        }
    }
}

/** Records the tasks of a step that need a trial and were left out, because no worker has room for them. */
export function recordTrialsWithoutRoom(pass: PlanningPass, waiting: WaitingStep): void {
    const suspected = listStartable(waiting).filter(needsTrial).length;
    if (suspected > 0) {
        pass.recordBlockedTrial(waiting, suspected, "noRoom");
    }
}
