import type { JobRecord, JobState, JobTask } from "@chestnutspool/job-state";
import { needsTrial } from "@chestnutspool/track-workers";
import type { RunStart } from "@chestnutspool/types";
import { orderContended, recordContendedStarts } from "./contended-pools.js";
import { observeHoldWait } from "./hold-waits.js";
import { holdWorkers } from "./hold-workers.js";
import { listKeptWorkers } from "./keep-workers.js";
import { expireMoves, type PendingMove, type PendingMoves, reserveMove } from "./pending-moves.js";
import { groupByService, listCandidates, type PlanInput } from "./plan-input.js";
import { createPlanMemory, type PlanMemory, planWithinLimit } from "./plan-memory.js";
import { planStarvedSteps, type StarvedAttempt } from "./plan-starved-steps.js";
import { planDeferredTrials, planSharedTrials, planTaskStarts, recordTrialsWithoutRoom } from "./plan-task-starts.js";
import {
    countAfterRefusal,
    countStartable,
    createStepPlan,
    isUnmet,
    listStepCandidates,
    type PlanningPass,
    recordUnmet,
    reserveWorker,
} from "./planning-pass.js";
import { findUrgency } from "./queue-urgency.js";
import { formatWaitingKey } from "./rack-wants.js";
import { countRationed, createRationedStarts, recordPlannedStarts } from "./ration-starts.js";
import { createStart, listStartable } from "./startable-tasks.js";
import { listRefusingWorkers, listStarvedSteps, summarizePools } from "./starved-steps.js";
import { planStepPlacements } from "./step-placements.js";
import { expireBlockedTrials, recordBlockedTrial } from "./trial-obstacles.js";
import { observeTrialWait } from "./trial-waits.js";
import { cancelGangTrial, canTry, canTryAfterWait, countTrials, hasRun } from "./trials.js";
import { createUnmetRequirements } from "./unmet-requirements.js";
import { listWaitingSteps, sortWaitingSteps, type WaitingStep } from "./waiting-steps.js";
import { hasReservation, releaseCapacity, type WorkerCandidate } from "./worker-candidate.js";

/**
 * Limit of starts per pass, so that a burst of tasks does not block the process. The starts of gangs count, but are not
 * limited.
 */
const startsPerPass = 500;
/** Ratings of workers for starved steps in a pass, in addition to the others, as a share of the limit of these. */
const starvedRatingsShare = 0.25;

/** What of a starved step may start although it disturbs serving tasks. */
interface StarvedScope {
    /** The only task that may; undefined if any may. */
    readonly task: JobTask | undefined;
}

/** Plans starts of the tasks of a step one by one until no worker is suitable; only of one task if it is starved. */
function planTasks(
    pass: PlanningPass,
    waiting: WaitingStep,
    starved: StarvedScope | undefined,
    rationed: number,
): void {
    const isStarved = starved !== undefined;
    const tasks = listStartable(waiting)
        .filter(task => !pass.movedTasks.has(task) && (starved?.task === undefined || starved.task === task));
    if (tasks.length === 0 || pass.starts.length >= startsPerPass) {
        return;
    }
    const plan = createStepPlan(pass, waiting, { acceptsDisturbance: isStarved });
    if (tasks.some(needsTrial)) {
        // They go last, because the first task without a worker ends the step.
        tasks.sort((left, right) => Number(needsTrial(left)) - Number(needsTrial(right)));
    }
    const ofPass = isStarved ? 1 : startsPerPass - pass.starts.length;
    const limit = Math.min(ofPass, rationed, countStartable(pass, waiting));
    planTaskStarts(pass, plan, tasks.slice(0, limit), starved?.task === undefined);
}

/**
 * Plans the start of a task that was stopped for a move: on the worker that kept a place for it, or, if its job has no other run, wherever
 * there is room now, because it ran until the planner stopped it.
 */
function planMovedTask(pass: PlanningPass, waiting: WaitingStep, { run: { task }, target }: PendingMove): void {
    const { job } = waiting;
    if (needsTrial(task) || !listStartable(waiting).includes(task) || countStartable(pass, waiting) === 0) {
        return;
    }
    const kept = createStepPlan(pass, waiting, { target });
    const candidate = reserveWorker(pass, kept, task)
        ?? (hasRun(job, pass.starts)
            ? undefined
            : reserveWorker(pass, createStepPlan(pass, waiting, { acceptsDisturbance: true }), task));
    if (candidate !== undefined) {
        pass.movedTasks.add(task);
        pass.starts.push(createStart(waiting, task, task.lastRun + 1, candidate));
    }
}

/** Keeps the places of moves in progress, and plans the starts of the tasks whose runs have ended. */
function planMoves(
    pass: PlanningPass,
    moves: PendingMoves,
    candidates: readonly WorkerCandidate[],
    waitingSteps: readonly WaitingStep[],
): void {
    for (const [task, move] of moves) {
        const isWaiting = move.run.step.waiting.has(task.position);
        if (!isWaiting) {
            reserveMove(move, candidates);
            continue;
        }
        moves.delete(task);
        const waiting = waitingSteps.find(({ step }) => step === move.run.step);
        if (waiting !== undefined) {
            planMovedTask(pass, waiting, move);
        }
    }
}

/** Plans starts of all tasks of a gang with the same run number, or of none. */
function planGang(pass: PlanningPass, waiting: WaitingStep, isStarved: boolean): void {
    const { job, step } = waiting;
    const tasks = listStartable(waiting);
    if (step.waiting.size < step.tasks.length || tasks.length < step.tasks.length) {
        return;
    }
    const suspected = tasks.filter(needsTrial);
    const [suspect] = suspected;
    const { service } = job.queue;
    if (suspect !== undefined && !canTry(pass.trials, service, suspect)) {
        if (pass.observeTrialWait(step) === "waits" || !canTryAfterWait(pass.trials, service)) {
            pass.blockedGangs.add(service);
            pass.recordBlockedTrial(waiting, suspected.length, "noFreeTrial");
            return;
        }
    }
    // The suspected members go first, so that they are together on as few workers as possible.
    const members = suspect === undefined ? tasks : [...suspected, ...tasks.filter(task => !needsTrial(task))];
    const plan = createStepPlan(pass, waiting, { acceptsDisturbance: isStarved });
    const run = step.tasks.reduce((latest, { lastRun }) => Math.max(latest, lastRun), 0) + 1;
    const reserved: { readonly candidate: WorkerCandidate; readonly task: JobTask; }[] = [];
    for (const task of members) {
        const candidate = reserveWorker(pass, plan, task);
        if (candidate === undefined) {
            break;
        }
        reserved.push({ candidate, task });
    }
    if (reserved.length === 0) {
        recordUnmet(pass, plan);
        return;
    }
    if (reserved.length < step.tasks.length) {
        reserved.forEach(({ candidate }) => {
            releaseCapacity(candidate, job.id, step.spec, plan.stepKey);
            cancelGangTrial(pass.trials, candidate, plan.stepKey);
        });
        return;
    }
    pass.starts.push(...reserved.map(({ candidate, task }) => createStart(waiting, task, run, candidate)));
}

/** Whether no worker has room for a step, because none had for another one that requires no more. */
function hasNoRoom(pass: PlanningPass, waiting: WaitingStep): boolean {
    return isUnmet(pass, waiting) && !hasReservation(pass.input.reservations ?? [], formatWaitingKey(waiting));
}

/** Plans starts of a step; a starved one may disturb serving tasks, and the ration of starts does not limit it. */
function planStep(pass: PlanningPass, waiting: WaitingStep, starved?: StarvedScope): void {
    if (countStartable(pass, waiting) === 0) {
        return;
    }
    const rationed = starved === undefined ? pass.countRationed(waiting) : Number.POSITIVE_INFINITY;
    if (rationed === 0) {
        return;
    }
    const startsBefore = pass.starts.length;
    if (waiting.step.spec.gang) {
        planGang(pass, waiting, starved !== undefined);
    }
    else {
        planTasks(pass, waiting, starved, rationed);
    }
    recordPlannedStarts(pass, waiting, pass.starts.length - startsBefore);
}

/**
 * Plans starts of a step of a job without a run on workers that are held for long-running tasks, if it has found no room for too long
 * although most of the pool is free: the runs whose end the hold waits for may last without end.
 */
function planDespiteHolds(pass: PlanningPass, waiting: WaitingStep, starved?: StarvedScope): void {
    const { job, step } = waiting;
    const isMostlyFree = pass.pools.get(job.queue.service)?.isMostlyFree === true;
    if (step.spec.longRunning || !isMostlyFree || hasRun(job, pass.starts)) {
        return;
    }
    const held = pass.held.filter(({ state }) => state.info.service === job.queue.service);
    if (held.length === 0 || !pass.observeHoldWait(step)) {
        return;
    }
    held.forEach(candidate => {
        candidate.isHeld = false;
    });
    planStep(pass, waiting, starved);
    held.forEach(candidate => {
        candidate.isHeld = true;
    });
}

/** Groups starts by their job. */
function groupByJob({ openJobs }: JobState, starts: readonly RunStart[]): ReadonlyMap<JobRecord, readonly RunStart[]> {
    const startsByJob = new Map<JobRecord, RunStart[]>();
    for (const start of starts) {
        const job = openJobs.get(start.job);
        if (job !== undefined) {
            const ofJob = startsByJob.get(job) ?? [];
            ofJob.push(start);
            startsByJob.set(job, ofJob);
        }
    }
    return startsByJob;
}

/** Plans starts of starved steps of jobs for which the pass has planned none, within their own limit of ratings. */
function planStarved(
    pass: PlanningPass,
    waitingSteps: readonly WaitingStep[],
    memory: PlanMemory,
    nowMs: number,
): void {
    const { state } = pass.input;
    // The requirements that are unmet in the pass may be met by disturbing serving tasks.
    const starvedPass = { ...pass, unmet: createUnmetRequirements(), ratings: 0 };
    const attempt = (waiting: WaitingStep, task: JobTask | undefined): StarvedAttempt => {
        const startsBefore = pass.starts.length;
        planStep(starvedPass, waiting, { task });
        planDespiteHolds(starvedPass, waiting, { task });
        if (pass.starts.length === startsBefore && pass.listRefusingWorkers(waiting).length > 0) {
            // No other worker has room, and those that have refused a start may have recovered.
            const refusingPass = { ...starvedPass, listRefusingWorkers: () => [] };
            planStep(refusingPass, waiting, { task });
            starvedPass.ratings = refusingPass.ratings;
        }
        return { starts: pass.starts.slice(startsBefore), ratings: starvedPass.ratings };
    };
    planStarvedSteps(
        memory.starvation,
        waitingSteps,
        {
            pools: pass.pools,
            findUnstartedRun: pass.input.findUnstartedRun,
            startsByJob: groupByJob(state, pass.starts),
            ratingsLimit: memory.ratingsPerPass * starvedRatingsShare,
            isUnmet: waiting => isUnmet(starvedPass, waiting),
            attempt,
        },
        nowMs,
    );
}

/** Counts the tasks of a step that could use room after `planned` starts; those that wait for other trials could not. */
function countWithoutRoom(pass: PlanningPass, waiting: WaitingStep, planned: number): number {
    const tasks = listStartable(waiting);
    const suspected = tasks.filter(needsTrial);
    const trusted = tasks.length - suspected.length;
    const next = suspected[Math.max(0, planned - trusted)];
    const canTryNext = next !== undefined && canTry(pass.trials, waiting.job.queue.service, next);
    return Math.max(0, trusted - planned) + (canTryNext ? 1 : 0);
}

/** Holds workers for the tasks of an overdue long-running step that found no room in this pass. */
function holdForUnplanned(pass: PlanningPass, waiting: WaitingStep, planned: number): void {
    const { step, isOverdue } = waiting;
    if (!isOverdue || step.spec.gang || countAfterRefusal(pass, waiting) !== undefined) {
        return;
    }
    const unplanned = countWithoutRoom(pass, waiting, planned);
    if (unplanned > 0) {
        const stepKey = formatWaitingKey(waiting);
        pass.held.push(...holdWorkers(listStepCandidates(pass, waiting), step.spec, stepKey, unplanned));
    }
}

/** Creates the state of a pass over waiting steps. */
function createPass(
    input: PlanInput,
    waitingSteps: readonly WaitingStep[],
    candidates: readonly WorkerCandidate[],
    nowMs: number,
    memory: PlanMemory,
): PlanningPass {
    const { findUnstartedRun } = input;
    const candidatesByService = groupByService(candidates);
    const pools = summarizePools(input.state);
    const starts: RunStart[] = [];
    const rationed = createRationedStarts(input);
    const { rationWaits } = memory;
    return {
        input,
        candidatesByService,
        kept: listKeptWorkers(input.state, candidates),
        unmet: createUnmetRequirements(),
        placements: planStepPlacements(input, candidatesByService, waitingSteps, nowMs),
        starts,
        deferredTrials: [],
        blockedTrials: [],
        blockedGangs: new Set(),
        movedTasks: new Set(),
        listRefusingWorkers: waiting => listRefusingWorkers(memory.starvation, waiting, findUnstartedRun, nowMs),
        held: [],
        observeHoldWait: step => observeHoldWait(memory.holdWaits, step, nowMs),
        pools,
        observeTrialWait: step => observeTrialWait(memory.trialWaits, step, nowMs),
        recordBlockedTrial: (waiting, tasks, obstacle) =>
            recordBlockedTrial(memory.blockedTrials, waiting, tasks, obstacle, nowMs),
        trials: countTrials(input.state, input.findRunStatuses),
        rationed,
        countRationed: waiting => countRationed({ input, pools, starts, rationed, rationWaits }, waiting, nowMs),
        ratings: 0,
    };
}

/** Plans the starts of a step where there is room, and holds workers for those that find none; returns the number of ratings. */
function planWaitingStep(pass: PlanningPass, waiting: WaitingStep): number {
    const ratingsBefore = pass.ratings;
    const startsBefore = pass.starts.length;
    if (!hasNoRoom(pass, waiting)) {
        planStep(pass, waiting);
    }
    else if (waiting.isOverdue) {
        recordTrialsWithoutRoom(pass, waiting);
    }
    planDespiteHolds(pass, waiting);
    holdForUnplanned(pass, waiting, pass.starts.length - startsBefore);
    return pass.ratings - ratingsBefore;
}

/**
 * Plans the starts of urgent tasks alone, between two passes over all tasks. It takes a part of the time of such a pass, because it does not
 * read the backlog of deferrable tasks. Neither starved tasks nor trials that wait for others get a start.
 */
export function planUrgentStarts(input: PlanInput, nowMs: number, memory: PlanMemory): RunStart[] {
    const { configuration } = input.state;
    const waitingSteps = sortWaitingSteps(
        listWaitingSteps(input.state, nowMs, ({ queue }) => findUrgency(configuration, queue) === "urgent"),
    );
    memory.urgentStepsLeft = 0;
    if (waitingSteps.length === 0) {
        return [];
    }
    const candidates = listCandidates(input);
    const pass = createPass(input, waitingSteps, candidates, nowMs, memory);
    memory.moves.forEach(move => reserveMove(move, candidates));
    for (const waiting of waitingSteps) {
        if (pass.ratings >= memory.ratingsPerPass) {
            break;
        }
        planWaitingStep(pass, waiting);
    }
    memory.urgentStepsLeft = pass.rationed.urgentStepsLeft;
    return pass.starts;
}

/**
 * Plans the starts of one pass; `nowMs` is wall-clock time in milliseconds since the epoch. The memory is that of the
 * earlier passes; by default there are none.
 */
export function planStarts(input: PlanInput, nowMs: number, memory = createPlanMemory()): RunStart[] {
    const { findUnstartedRun } = input;
    expireMoves(memory.moves, nowMs);
    expireBlockedTrials(memory.blockedTrials, nowMs);
    const sorted = sortWaitingSteps(listWaitingSteps(input.state, nowMs));
    const waitingSteps = orderContended(memory.contention, input, sorted, nowMs);
    memory.stepsLeftOut = 0;
    memory.urgentStepsLeft = 0;
    if (waitingSteps.length === 0 && (input.placementWaits?.memory.waits.size ?? 0) === 0) {
        memory.hasStepsLeft = false;
        memory.lastPass = undefined;
        listStarvedSteps(memory.starvation, [], { pools: new Map(), findUnstartedRun }, nowMs);
        return [];
    }
    const candidates = listCandidates(input);
    const pass = createPass(input, waitingSteps, candidates, nowMs, memory);
    memory.lastPass = pass;
    planMoves(pass, memory.moves, candidates, waitingSteps);
    planWithinLimit(memory, waitingSteps, waiting => planWaitingStep(pass, waiting));
    planDeferredTrials(pass);
    planSharedTrials(pass);
    planStarved(pass, waitingSteps, memory, nowMs);
    recordContendedStarts(memory.contention, input.state, pass.starts);
    memory.stepsLeftOut = pass.rationed.stepsLeftOut;
    memory.urgentStepsLeft = pass.rationed.urgentStepsLeft;
    return pass.starts;
}
