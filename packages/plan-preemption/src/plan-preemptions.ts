import { computeReservation, findRack, formatStepKey, type JobState, type JobTask } from "@chestnutspool/job-state";
import {
    hasCapacity,
    isEligible,
    listCandidates,
    listKeptWorkers,
    listStartable,
    listWaitingSteps,
    type PlanInput,
    predictLateness,
    reserveCapacity,
    selectCandidates,
    sortWaitingSteps,
    type WaitingStep,
    type WorkerCandidate,
} from "@chestnutspool/plan-jobs";
import { needsTrial } from "@chestnutspool/track-workers";
import {
    addResources,
    type Resources,
    type RunStart,
    subtractResources,
    type TaskKey,
    type WorkerId,
} from "@chestnutspool/types";
import { chooseVictims, type VictimChoice } from "./choose-victims.js";
import { listVictims, type PassTimes, sumEndingRuns, type Victim } from "./list-victims.js";
import { getBudget, updateBudgets } from "./loss-budget.js";
import type { PreemptionMemory } from "./preemption-memory.js";
import { type EndedReservation, updateReservations } from "./update-reservations.js";

/** Time for which a step must lack room before runs are stopped for it, in milliseconds: others end in the meantime. */
const leastShortMs = 60;
/** Limit of tasks for which one pass stops runs, because each is compared with all workers. */
const tasksPerPass = 20;
/** Largest share of the workers of a service with reservations at the same time; one worker may always have one. */
const reservedShare = 0.25;

/** Input of the planner of preemptions. */
export interface PreemptionInput extends PlanInput {
    /** Starts that the pass has planned. */
    readonly starts: readonly RunStart[];
    /** Wall-clock time, in milliseconds since the epoch. */
    readonly wallMs: number;
    /** Maximum duration of a stop, in milliseconds. */
    readonly stopMs: number;
}

/** Runs of one worker that are stopped for a task. */
export interface Preemption {
    readonly task: TaskKey;
    readonly queue: string;
    readonly service: string;
    readonly worker: WorkerId;
    /** Runs to stop; empty if enough runs on the worker end about as soon. */
    readonly victims: readonly Victim[];
    readonly lossCoreMs: number;
    readonly budgetLeftCoreMs: number;
}

/** Decisions of one pass. */
export interface PreemptionPlan {
    readonly preemptions: readonly Preemption[];
    readonly endedReservations: readonly EndedReservation[];
}

/** A worker on which runs may be stopped. */
interface PreemptibleWorker {
    readonly candidate: WorkerCandidate;
    /** What it will have left when the runs that end soon have ended, without what is reserved. */
    freeLater: Resources;
    victims: readonly Victim[];
    /** Runs that are being stopped or end as soon, by run key. */
    endingRuns: readonly string[];
    /** Tasks of each step for which capacity is reserved, by step key. */
    readonly reservedTasks: Map<string, number>;
}

/** State of one pass. */
interface PreemptionPass {
    readonly input: PreemptionInput;
    readonly memory: PreemptionMemory;
    readonly times: PassTimes;
    readonly candidates: readonly WorkerCandidate[];
    readonly kept: ReadonlySet<WorkerCandidate>;
    readonly workers: Map<WorkerCandidate, PreemptibleWorker>;
    readonly preemptions: Preemption[];
}

/**
 * Lists the services whose queues have different priorities, with the lowest number. Only tasks of these queues preempt, so
 * that a preempted task never preempts another one.
 */
function listContendedServices({ configuration }: JobState): ReadonlyMap<string, number> {
    const lowest = new Map<string, number>();
    const contended = new Set<string>();
    for (const { service, priority } of configuration?.queues ?? []) {
        const known = lowest.get(service) ?? priority;
        if (known !== priority) {
            contended.add(service);
        }
        lowest.set(service, Math.min(known, priority));
    }
    return new Map([...lowest].filter(([service]) => contended.has(service)));
}

function getStepKey({ job, occurrence, step }: WaitingStep): string {
    return formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
}

/**
 * Whether runs may be stopped for a step: it reserves processors, ends by itself and can be in time if it starts after the
 * stops. Long-running steps would keep the room for good; workers are held for them instead.
 */
function canPreemptFor({ job, occurrence, step }: WaitingStep, { wallMs, stopMs }: PreemptionInput): boolean {
    const { usesIdleCpu, gang, longRunning } = step.spec;
    return !usesIdleCpu && !gang && !longRunning && predictLateness(job, occurrence, wallMs + stopMs) === "inTime";
}

/** Lists the tasks of a step without a start or a reservation. */
function listUnservedTasks(waiting: WaitingStep, { starts }: PreemptionInput, memory: PreemptionMemory): JobTask[] {
    const stepKey = getStepKey(waiting);
    const started = new Set(starts.filter(start => formatStepKey(start) === stepKey).map(({ position }) => position));
    const reserved = memory.reservations.filter(reservation => reservation.stepKey === stepKey).length;
    // A task that may crash its worker waits for one where it does little harm.
    return listStartable(waiting)
        .filter(task => !started.has(task.position) && !needsTrial(task))
        .slice(reserved);
}

/** Lists the workers as the planned starts leave them, with the reservations that remain. */
function listRemainingCandidates(input: PreemptionInput, memory: PreemptionMemory): WorkerCandidate[] {
    const candidates = listCandidates({ ...input, reservations: memory.reservations });
    const byWorker = new Map(candidates.map(candidate => [candidate.state.info.id, candidate]));
    for (const start of input.starts) {
        const candidate = byWorker.get(start.worker);
        const job = input.state.jobs.get(start.job);
        const step = job?.occurrences.get(start.occurrence)?.steps[start.step];
        const task = step?.tasks[start.position];
        if (candidate === undefined || step === undefined || task === undefined) {
            continue;
        }
        const { reservations } = candidate;
        reserveCapacity(candidate, start.job, step.spec, formatStepKey(start));
        // The reservations that these starts used have ended already.
        candidate.reservations = reservations;
        candidate.isOnTrial ||= needsTrial(task);
    }
    return candidates;
}

function getWorker(
    { workers, times, input }: PreemptionPass,
    candidate: WorkerCandidate,
    priority: number,
): PreemptibleWorker {
    const known = workers.get(candidate);
    if (known !== undefined) {
        return known;
    }
    const ending = sumEndingRuns(candidate, times, input.stopMs);
    const reservedTasks = new Map<string, number>();
    let freeLater = addResources(candidate.free, ending.freed);
    for (const { stepKey, resources } of candidate.reservations) {
        freeLater = subtractResources(freeLater, resources);
        reservedTasks.set(stepKey, (reservedTasks.get(stepKey) ?? 0) + 1);
    }
    const worker: PreemptibleWorker = {
        candidate,
        freeLater,
        victims: listVictims(candidate, ending, priority, times),
        endingRuns: ending.runKeys,
        reservedTasks,
    };
    workers.set(candidate, worker);
    return worker;
}

/** Whether a task of a step may start on a worker once there is room; suspected workers get no room. */
function isSuitable({ candidate, reservedTasks }: PreemptibleWorker, { step }: WaitingStep, stepKey: string): boolean {
    const limit = step.spec.perWorkerLimit;
    const tasks = (candidate.tasksByStep.get(stepKey) ?? 0) + (reservedTasks.get(stepKey) ?? 0);
    return candidate.startsLeft === undefined && isEligible(candidate, step.spec, stepKey)
        && (limit === undefined || tasks < limit);
}

/** Lists the workers that may get a task of a step; only those in the rack of its data if there are any. */
function listWorkers(pass: PreemptionPass, waiting: WaitingStep): PreemptibleWorker[] {
    const { job, step } = waiting;
    const ofService = pass.candidates.filter(({ state: { info } }) => info.service === job.queue.service);
    const selected = selectCandidates(ofService, pass.kept, waiting);
    const { rackOfData } = step.spec;
    const nearData = selected.filter(({ state: { info } }) =>
        rackOfData !== undefined && findRack(info) === rackOfData
    );
    return (nearData.length > 0 ? nearData : selected)
        .map(candidate => getWorker(pass, candidate, job.queue.priority));
}

/** Finds the worker on which room for a task of a step loses least. */
function findCheapest(
    workers: readonly PreemptibleWorker[],
    waiting: WaitingStep,
    needed: Resources,
    avoided: WorkerId | undefined,
): { readonly worker: PreemptibleWorker; readonly choice: VictimChoice; } | undefined {
    let cheapest: { readonly worker: PreemptibleWorker; readonly choice: VictimChoice; } | undefined;
    const stepKey = getStepKey(waiting);
    for (const worker of workers) {
        const isExcluded = worker.candidate.state.info.id === avoided || !isSuitable(worker, waiting, stepKey);
        const choice = isExcluded ? undefined : chooseVictims(worker.victims, worker.freeLater, needed);
        if (choice !== undefined && choice.lossCoreMs < (cheapest?.choice.lossCoreMs ?? Number.POSITIVE_INFINITY)) {
            cheapest = { worker, choice };
        }
    }
    return cheapest;
}

function countReservedWorkers({ memory, candidates }: PreemptionPass, service: string) {
    const ofService = new Set(
        candidates.filter(({ state: { info } }) => info.service === service).map(({ state: { info } }) => info.id),
    );
    const reserved = new Set(memory.reservations.map(({ worker }) => worker).filter(worker => ofService.has(worker)));
    return { reserved: reserved.size, limit: Math.max(1, Math.floor(ofService.size * reservedShare)) };
}

/** Plans the room for one task of a step on one of `workers`; false if it gets none. */
function planTask(
    pass: PreemptionPass,
    workers: readonly PreemptibleWorker[],
    waiting: WaitingStep,
    task: JobTask,
): boolean {
    const { job, occurrence, step } = waiting;
    const { service, name } = job.queue;
    const { reserved, limit } = countReservedWorkers(pass, service);
    if (reserved >= limit) {
        return false;
    }
    const key: TaskKey = {
        job: job.id,
        occurrence: occurrence.number,
        step: step.position,
        position: task.position,
    };
    const stepKey = formatStepKey(key);
    const resources = computeReservation(step.spec);
    const avoided = task.failures === 0 ? undefined : pass.input.findFailedWorker(key);
    const found = findCheapest(workers, waiting, resources, avoided);
    const budget = getBudget(pass.memory, service);
    if (found === undefined || found.choice.lossCoreMs > budget.leftCoreMs) {
        return false;
    }
    const { worker, choice: { victims, lossCoreMs } } = found;
    budget.leftCoreMs -= lossCoreMs;
    const runKeys = victims.map(({ runKey }) => runKey);
    worker.endingRuns = [...worker.endingRuns, ...runKeys];
    worker.victims = worker.victims.filter(victim => !victims.includes(victim));
    worker.freeLater = subtractResources(
        victims.reduce((sum, { freed }) => addResources(sum, freed), worker.freeLater),
        resources,
    );
    worker.reservedTasks.set(stepKey, (worker.reservedTasks.get(stepKey) ?? 0) + 1);
    const { id } = worker.candidate.state.info;
    pass.memory.reservations = [...pass.memory.reservations, {
        task: key,
        queue: name,
        service,
        worker: id,
        stoppedRuns: victims.length,
        stepKey,
        resources,
        awaitedRuns: worker.endingRuns,
        decidedAtMs: pass.times.nowMs,
        freedAtMs: undefined,
    }];
    pass.preemptions.push({
        task: key,
        queue: name,
        service,
        worker: id,
        victims,
        lossCoreMs,
        budgetLeftCoreMs: budget.leftCoreMs,
    });
    return true;
}

/** Plans the room for the tasks of a step that has lacked room for long enough. */
function planStep(pass: PreemptionPass, waiting: WaitingStep, tasks: readonly JobTask[]): void {
    const workers = listWorkers(pass, waiting);
    for (const task of tasks) {
        if (pass.preemptions.length >= tasksPerPass || !planTask(pass, workers, waiting, task)) {
            return;
        }
    }
}

/** Whether a worker has room for a step, so that it waits only for the next pass. */
function hasRoom({ candidates, kept }: PreemptionPass, waiting: WaitingStep): boolean {
    const { job, step } = waiting;
    const ofService = candidates.filter(({ state: { info } }) => info.service === job.queue.service);
    return selectCandidates(ofService, kept, waiting)
        .some(candidate => hasCapacity(candidate, step.spec, getStepKey(waiting)));
}

/**
 * Plans which runs of queues with a lower priority are stopped for tasks that find no room after the starts of a pass, and
 * reserves their capacity. `nowMs` is monotonic time in milliseconds.
 */
export function planPreemptions(input: PreemptionInput, memory: PreemptionMemory, nowMs: number): PreemptionPlan {
    const services = listContendedServices(input.state);
    updateBudgets(memory, input.state, services, nowMs);
    const endedReservations = updateReservations(memory, input, nowMs);
    const preemptions: Preemption[] = [];
    const unserved = listWaitingSteps(
        input.state,
        input.wallMs,
        ({ queue }) => services.get(queue.service) === queue.priority,
    ).filter(waiting => canPreemptFor(waiting, input))
        .map(waiting => ({ waiting, tasks: listUnservedTasks(waiting, input, memory) }))
        .filter(({ tasks }) => tasks.length > 0);
    if (unserved.length === 0) {
        memory.shortSinceMs = new Map();
        return { preemptions, endedReservations };
    }
    const candidates = listRemainingCandidates(input, memory);
    const pass: PreemptionPass = {
        input,
        memory,
        times: { nowMs, wallMs: input.wallMs },
        candidates,
        kept: listKeptWorkers(input.state, candidates),
        workers: new Map(),
        preemptions,
    };
    const shortSinceMs = new Map<string, number>();
    const tasksByStep = new Map(unserved.map(({ waiting, tasks }) => [waiting.step, tasks]));
    for (const waiting of sortWaitingSteps(unserved.map(entry => entry.waiting))) {
        if (hasRoom(pass, waiting)) {
            continue;
        }
        const stepKey = getStepKey(waiting);
        const sinceMs = memory.shortSinceMs.get(stepKey) ?? nowMs;
        shortSinceMs.set(stepKey, sinceMs);
        if (nowMs - sinceMs >= leastShortMs) {
            planStep(pass, waiting, tasksByStep.get(waiting.step) ?? []);
        }
    }
    memory.shortSinceMs = shortSinceMs;
    return { preemptions, endedReservations };
}
