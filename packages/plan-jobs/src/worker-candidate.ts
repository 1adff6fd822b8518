import { computeReservation, formatStepKey, type WorkerState } from "@chestnutspool/job-state";
import type { PairEstimate } from "@chestnutspool/learn-interference";
import {
    hasSharedTrial,
    hasTrial,
    type RunStatus,
    type RunStatuses,
    sumSuspectedRuns,
    type SuspectedRuns,
} from "@chestnutspool/track-workers";
import {
    addResources,
    findShortage,
    noResources,
    type Resources,
    type StepSpec,
    subtractResources,
    type WorkerId,
} from "@chestnutspool/types";

/**
 * Share of its reserved processors that a serving task is expected to use when it is not busy. If it uses more, the
 * readings of best-effort tasks beside it show that they get too little.
 */
const servingUseShare = 0.35;

/** Capacity of a worker that is reserved for the next task of a step, such as one for which other runs were preempted. */
export interface CapacityReservation {
    readonly worker: WorkerId;
    /** Step as written by `formatStepKey`. */
    readonly stepKey: string;
    readonly resources: Resources;
}

/** What the runs on a worker add up to. */
interface RunSums {
    /**
     * Number of tasks that are placed or planned here by job, occurrence and step, for steps with a limit per worker.
     */
    tasksByStep: Map<string, number>;
    /**
     * Processor time that no task is expected to use, in thousandths of a core; below 0 when tasks slow each other
     * down.
     */
    idleMilliCpu: number;
    /** Processors that long-running tasks reserve, in thousandths of a core. */
    lastingMilliCpu: number;
    /** What the recorded runs reserve that end by themselves; planned ones do not count. */
    readonly ending: Resources;
    /** Serving tasks on the worker, grouped by job and image. */
    servingGroups: ServingGroup[];
    /** Processor time that best-effort tasks are expected to use, by image, as a share of the worker's capacity. */
    bestEffortShares: Map<string, number>;
}

/** A worker with the capacity that is left in one planning pass. */
export interface WorkerCandidate extends RunSums {
    readonly state: WorkerState;
    /** Resources that are not reserved; each start that the pass plans lowers them. */
    free: Resources;
    /** Parts of `free` for tasks of certain steps. They may exceed it while the runs before them are being stopped. */
    reservations: readonly CapacityReservation[];
    /** Runs that may still start here; undefined: no limit. */
    startsLeft: number | undefined;
    /** Speed of the worker compared with others, as far as the planner avoids slow ones; 1 is normal. */
    speed: number;
    /** Whether the worker has not reported for so long that it may have crashed. */
    isQuiet: boolean;
    /** Whether a long-running task waits for room here, so that no other task may start in this pass. */
    isHeld: boolean;
    /** Whether a task that may crash the worker is on trial here, so that no other task may start. */
    isOnTrial: boolean;
    /** Runs here that are still suspected of crashes, planned ones included; after a time they leave the worker to others. */
    suspected: SuspectedRuns;
    /** Whether tasks that have waited for a trial may join the one here. */
    sharesTrial: boolean;
    /** Step of the gang whose members share the trial that the pass plans here, as written by `formatStepKey`. */
    trialGang: string | undefined;
    /** State of the runs on the worker, by its reports. */
    readonly statuses: RunStatuses | undefined;
    /** Number of runs that the pass plans here. */
    plannedRuns: number;
    /**
     * Whether best-effort tasks here get less processor time than they could use, so that another one would slow them
     * down further.
     */
    readonly isContended: boolean;
    /** Whether the collections are those of the recorded runs, which later passes read too. */
    sharesSums: boolean;
    /** Margins of the serving tasks beside the tasks planned so far; undefined until a rating needs them. */
    servingMargins: readonly ServingMargin[] | undefined;
    /** Pairs that the margins were predicted with. They do not change within a pass. */
    readonly pairs: Map<string, Map<string, PairEstimate>>;
}

/** Margin (target / tail latency) that serving tasks are expected to have beside the best-effort tasks on their worker. */
export interface ServingMargin {
    readonly image: string;
    /** Least margin that further tasks must leave. */
    readonly goal: number;
    readonly expected: number;
    readonly variance: number;
}

/** Serving tasks of one job and image on a worker. */
export interface ServingGroup {
    readonly job: string;
    readonly image: string;
    count: number;
}

function addTask(
    candidate: RunSums & Pick<WorkerCandidate, "state">,
    job: string,
    spec: StepSpec,
    stepKey: string,
    change: 1 | -1,
): void {
    const { milliCpu } = spec.resources;
    const image = spec.image ?? "";
    if (spec.tailTargetMs !== undefined) {
        const group = candidate.servingGroups.find(known => known.job === job && known.image === image);
        if (group === undefined) {
            candidate.servingGroups.push({ job, image, count: change });
        }
        else {
            group.count += change;
        }
        candidate.idleMilliCpu -= change * milliCpu * servingUseShare;
    }
    else {
        candidate.idleMilliCpu -= change * milliCpu;
    }
    if (spec.longRunning) {
        candidate.lastingMilliCpu += change * computeReservation(spec).milliCpu;
    }
    if (spec.usesIdleCpu) {
        const share = milliCpu / Math.max(1, candidate.state.info.capacity.milliCpu);
        candidate.bestEffortShares.set(image, (candidate.bestEffortShares.get(image) ?? 0) + change * share);
    }
    if (spec.perWorkerLimit !== undefined) {
        candidate.tasksByStep.set(stepKey, (candidate.tasksByStep.get(stepKey) ?? 0) + change);
    }
}

/** Time after a start or a change of pace until readings reflect it, in milliseconds. */
const readingDelayMs = 500;
/**
 * Share of its declared processors below which a task counts as held back; undisturbed tasks use two thirds of them or
 * more.
 */
const contendedShare = 0.45;

function isHeldBack(spec: StepSpec, status: RunStatus): boolean {
    const paceMilliCpu = spec.resources.milliCpu * status.pacePercent / 100;
    return spec.usesIdleCpu && status.pacePercent > 0 && status.lastReading !== undefined
        && status.readAtMs - status.paceChangedAtMs > readingDelayMs
        && status.lastReading < paceMilliCpu * contendedShare;
}

function isContended(state: WorkerState, statuses: RunStatuses | undefined): boolean {
    for (const [key, { step }] of state.runs) {
        const status = step.spec.usesIdleCpu ? statuses?.get(key) : undefined;
        if (status !== undefined && isHeldBack(step.spec, status)) {
            return true;
        }
    }
    return false;
}

function sumEnding(state: WorkerState): Resources {
    let ending = noResources;
    for (const { step } of state.runs.values()) {
        if (!step.spec.longRunning) {
            ending = addResources(ending, computeReservation(step.spec));
        }
    }
    return ending;
}

function sumRuns(state: WorkerState): RunSums {
    const sums = {
        state,
        ending: sumEnding(state),
        tasksByStep: new Map<string, number>(),
        idleMilliCpu: state.info.capacity.milliCpu,
        lastingMilliCpu: 0,
        servingGroups: [],
        bestEffortShares: new Map<string, number>(),
    };
    for (const { job, occurrence, step } of state.runs.values()) {
        // Only a limit per worker needs the key.
        const stepKey = step.spec.perWorkerLimit === undefined
            ? ""
            : formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
        addTask(sums, job.id, step.spec, stepKey, 1);
    }
    return sums;
}

/** Sums of the runs on each worker. The state machine replaces `used` whenever it adds or removes a run. */
const sumsByWorker = new WeakMap<WorkerState, { readonly used: Resources; readonly sums: RunSums; }>();

function getRunSums(state: WorkerState): RunSums {
    const known = sumsByWorker.get(state);
    if (known?.used === state.used) {
        return known.sums;
    }
    const sums = sumRuns(state);
    sumsByWorker.set(state, { used: state.used, sums });
    return sums;
}

/**
 * Creates the candidate of a worker; `statuses` hold the state of its runs, `startLimit` is the number of runs that may
 * start.
 */
export function createWorkerCandidate(
    state: WorkerState,
    statuses: RunStatuses | undefined,
    startLimit?: number,
): WorkerCandidate {
    const { tasksByStep, idleMilliCpu, lastingMilliCpu, ending, servingGroups, bestEffortShares } = getRunSums(state);
    const suspected = sumSuspectedRuns(state, statuses);
    // A run on trial is a suspected one.
    const isOnTrial = suspected.count > 0 && hasTrial(state, statuses);
    return {
        state,
        free: subtractResources(state.info.capacity, state.used),
        reservations: [],
        startsLeft: startLimit,
        speed: 1,
        isQuiet: false,
        isHeld: false,
        isOnTrial,
        suspected,
        sharesTrial: isOnTrial && hasSharedTrial(state, statuses),
        trialGang: undefined,
        statuses,
        plannedRuns: 0,
        tasksByStep,
        idleMilliCpu,
        lastingMilliCpu,
        ending,
        servingGroups,
        bestEffortShares,
        sharesSums: true,
        servingMargins: undefined,
        pairs: new Map(),
        isContended: isContended(state, statuses),
    };
}

/** Adds a planned task to the sums of a candidate, or takes it away, on a copy of those that later passes read. */
function addPlannedTask(
    candidate: WorkerCandidate,
    job: string,
    spec: StepSpec,
    stepKey: string,
    change: 1 | -1,
): void {
    if (candidate.sharesSums) {
        candidate.tasksByStep = new Map(candidate.tasksByStep);
        candidate.servingGroups = candidate.servingGroups.map(group => ({ ...group }));
        candidate.bestEffortShares = new Map(candidate.bestEffortShares);
        candidate.sharesSums = false;
    }
    candidate.servingMargins = undefined;
    addTask(candidate, job, spec, stepKey, change);
}

/**
 * Trials that a task joins: none, none but beside runs that stay suspected after theirs, those that their tasks share, or those of
 * long-running tasks.
 */
export type JoinedTrial = "none" | "beside" | "shared" | "lasting";

/** Whether a worker is free of trials, or takes a task of a step into the one that it has. */
function allowsTrial(candidate: WorkerCandidate, stepKey: string, joins: JoinedTrial): boolean {
    switch (joins) {
        case "none":
        case "beside":
            return !candidate.isOnTrial || candidate.trialGang === stepKey;
        case "shared":
            return candidate.isOnTrial && candidate.sharesTrial;
        case "lasting":
            return candidate.suspected.areLasting && candidate.trialGang === undefined;
    }
}

/**
 * Whether the limits and labels of a worker allow a task of a step to start there if its resources suffice. A task that joins a trial
 * starts only where there is one that it may share.
 */
export function isEligible(
    candidate: WorkerCandidate,
    spec: StepSpec,
    stepKey: string,
    joins: JoinedTrial = "none",
): boolean {
    return allowsTrial(candidate, stepKey, joins) && isEligibleBesideTrial(candidate, spec, stepKey);
}

function isEligibleBesideTrial(candidate: WorkerCandidate, spec: StepSpec, stepKey: string): boolean {
    if (candidate.startsLeft === 0) {
        return false;
    }
    if (candidate.isHeld && !spec.longRunning && !hasReservation(candidate.reservations, stepKey)) {
        return false;
    }
    if (spec.requiredLabel !== undefined && !candidate.state.info.labels.includes(spec.requiredLabel)) {
        return false;
    }
    return spec.perWorkerLimit === undefined || (candidate.tasksByStep.get(stepKey) ?? 0) < spec.perWorkerLimit;
}

/** Whether capacity is reserved for a task of a step. */
export function hasReservation(reservations: readonly CapacityReservation[], stepKey: string): boolean {
    return reservations.some(reservation => reservation.stepKey === stepKey);
}

/** Computes the free resources of a worker that are not reserved for tasks of other steps. */
function computeUnreserved({ free, reservations }: WorkerCandidate, stepKey: string): Resources {
    let unreserved = free;
    for (const reservation of reservations) {
        if (reservation.stepKey !== stepKey) {
            unreserved = subtractResources(unreserved, reservation.resources);
        }
    }
    return unreserved;
}

/** Whether the limits, labels and free resources of a worker allow a task of a step to start there. */
export function hasCapacity(
    candidate: WorkerCandidate,
    spec: StepSpec,
    stepKey: string,
    joins: JoinedTrial = "none",
): boolean {
    return isEligible(candidate, spec, stepKey, joins) && hasResources(candidate, spec, stepKey);
}

function hasResources(candidate: WorkerCandidate, spec: StepSpec, stepKey: string): boolean {
    return findShortage(computeReservation(spec), computeUnreserved(candidate, stepKey)) === undefined;
}

/** Whether a worker has capacity for a task of a step if its trial does not count. */
export function hasRoomBesideTrial(candidate: WorkerCandidate, spec: StepSpec, stepKey: string): boolean {
    return isEligibleBesideTrial(candidate, spec, stepKey) && hasResources(candidate, spec, stepKey);
}

/** Reserves the capacity for one more task of a step. */
export function reserveCapacity(candidate: WorkerCandidate, job: string, spec: StepSpec, stepKey: string): void {
    candidate.free = subtractResources(candidate.free, computeReservation(spec));
    if (hasReservation(candidate.reservations, stepKey)) {
        const used = candidate.reservations.findIndex(reservation => reservation.stepKey === stepKey);
        candidate.reservations = candidate.reservations.filter((reservation, position) => position !== used);
    }
    candidate.startsLeft = candidate.startsLeft === undefined ? undefined : candidate.startsLeft - 1;
    candidate.plannedRuns += 1;
    addPlannedTask(candidate, job, spec, stepKey, 1);
}

/** Releases the capacity of a task whose planned start is dropped. */
export function releaseCapacity(candidate: WorkerCandidate, job: string, spec: StepSpec, stepKey: string): void {
    candidate.free = addResources(candidate.free, computeReservation(spec));
    candidate.startsLeft = candidate.startsLeft === undefined ? undefined : candidate.startsLeft + 1;
    candidate.plannedRuns -= 1;
    addPlannedTask(candidate, job, spec, stepKey, -1);
}
