import { computeReservation, formatStepKey, type WorkerState } from "@chestnutspool/job-state";
import type { RunView, RunViews } from "@chestnutspool/track-workers";
import {
    addResources,
    findShortage,
    type Resources,
    type StepSpec,
    subtractResources,
    type WorkerInfo,
} from "@chestnutspool/types";

/** Share of its reserved processors that a serving task uses when it is not busy; fillers that get too little show the rest. */
const servingUseShare = 0.35;

/** A worker as a pass of the planner sees it. */
export interface WorkerCandidate {
    readonly state: WorkerState;
    /** What is not reserved; lowered with each start that the pass plans. */
    free: Resources;
    /** Runs that may still start here; undefined: no limit. */
    startsLeft: number | undefined;
    /** Tasks by job, occurrence and step that are placed or planned here, for steps with a limit for each worker. */
    readonly tasksByStep: Map<string, number>;
    /** Processor time that nobody is expected to use, in thousandths of a core; below 0 when tasks slow each other down. */
    idleMilliCpu: number;
    /** Jobs of the serving tasks here, with the image of their tasks and how many there are. */
    readonly serving: Map<string, ServingGroup>;
    /** The tasks that use idle processors get less than they could use, so that another one would only slow them down. */
    readonly isContended: boolean;
    /** Processor time that tasks without reservation are expected to use, by image, as a share of the worker. */
    readonly fillingShares: Map<string, number>;
}

/** Serving tasks of one job and image on a worker. */
export interface ServingGroup {
    readonly job: string;
    readonly image: string;
    count: number;
}

/** Position of the rack among the labels of a worker. */
const rackLabel = 1;

/** Rack of a worker; empty when it names none. */
export function findRack({ labels }: WorkerInfo): string {
    return labels[rackLabel] ?? "";
}

function addTask(candidate: WorkerCandidate, job: string, spec: StepSpec, stepKey: string, change: 1 | -1): void {
    const { milliCpu } = spec.resources;
    const image = spec.image ?? "";
    if (spec.tailTargetMs !== undefined) {
        const groupKey = `${job} ${image}`;
        const group = candidate.serving.get(groupKey) ?? { job, image, count: 0 };
        group.count += change;
        candidate.serving.set(groupKey, group);
        candidate.idleMilliCpu -= change * milliCpu * servingUseShare;
    }
    else {
        candidate.idleMilliCpu -= change * milliCpu;
    }
    if (spec.usesIdleCpu) {
        const share = milliCpu / Math.max(1, candidate.state.info.capacity.milliCpu);
        candidate.fillingShares.set(image, (candidate.fillingShares.get(image) ?? 0) + change * share);
    }
    if (spec.perWorkerLimit !== undefined) {
        candidate.tasksByStep.set(stepKey, (candidate.tasksByStep.get(stepKey) ?? 0) + change);
    }
}

/** Time after a start or a change of pace from which a reading shows what a task gets, in milliseconds. */
const settledAfterMs = 500;
/** Share of its declared processors below which a task is held back; by itself it uses two thirds of them or more. */
const contendedShare = 0.45;

function isHeldBack(spec: StepSpec, view: RunView): boolean {
    const paceMilliCpu = spec.resources.milliCpu * view.pacePercent / 100;
    return spec.usesIdleCpu && view.pacePercent > 0 && view.lastReading !== undefined
        && view.readAtMs - view.paceChangedAtMs > settledAfterMs && view.lastReading < paceMilliCpu * contendedShare;
}

function isContended(state: WorkerState, views: RunViews | undefined): boolean {
    for (const [key, { step }] of state.runs) {
        const view = views?.get(key);
        if (view !== undefined && isHeldBack(step.spec, view)) {
            return true;
        }
    }
    return false;
}

/** The room on a worker; `views` are what its reports showed, `startLimit` the runs that may start there. */
export function createWorkerCandidate(
    state: WorkerState,
    views: RunViews | undefined,
    startLimit?: number,
): WorkerCandidate {
    const candidate: WorkerCandidate = {
        state,
        free: subtractResources(state.info.capacity, state.used),
        startsLeft: startLimit,
        tasksByStep: new Map(),
        idleMilliCpu: state.info.capacity.milliCpu,
        serving: new Map(),
        isContended: isContended(state, views),
        fillingShares: new Map(),
    };
    for (const { job, occurrence, step } of state.runs.values()) {
        addTask(
            candidate,
            job.id,
            step.spec,
            formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position }),
            1,
        );
    }
    return candidate;
}

/** Whether a task of a step may start on a worker by its declared size. */
export function hasCapacity(candidate: WorkerCandidate, spec: StepSpec, stepKey: string): boolean {
    if (candidate.startsLeft === 0) {
        return false;
    }
    if (spec.requiredLabel !== undefined && !candidate.state.info.labels.includes(spec.requiredLabel)) {
        return false;
    }
    if (spec.perWorkerLimit !== undefined && (candidate.tasksByStep.get(stepKey) ?? 0) >= spec.perWorkerLimit) {
        return false;
    }
    return findShortage(computeReservation(spec), candidate.free) === undefined;
}

/** Takes the room of one more task of a step. */
export function reserveCapacity(candidate: WorkerCandidate, job: string, spec: StepSpec, stepKey: string): void {
    candidate.free = subtractResources(candidate.free, computeReservation(spec));
    candidate.startsLeft = candidate.startsLeft === undefined ? undefined : candidate.startsLeft - 1;
    addTask(candidate, job, spec, stepKey, 1);
}

/** Gives back the room of one task that was planned and is not to start after all. */
export function releaseCapacity(candidate: WorkerCandidate, job: string, spec: StepSpec, stepKey: string): void {
    candidate.free = addResources(candidate.free, computeReservation(spec));
    candidate.startsLeft = candidate.startsLeft === undefined ? undefined : candidate.startsLeft + 1;
    addTask(candidate, job, spec, stepKey, -1);
}
