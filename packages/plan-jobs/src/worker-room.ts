import { computeReservation, type WorkerState } from "@chestnutspool/job-state";
import { addResources, findShortage, type Resources, type StepSpec, subtractResources } from "@chestnutspool/types";

/** A worker as a pass of the planner sees it. */
export interface WorkerRoom {
    readonly state: WorkerState;
    /** What is not reserved; lowered with each start that the pass plans. */
    free: Resources;
    /** Tasks by job, occurrence and step that are placed or planned here, for steps with a limit for each worker. */
    readonly tasksByStep: Map<string, number>;
    /** Processor time that reserved and planned tasks are expected to leave idle, in thousandths of a core. */
    idleMilliCpu: number;
}

/** Position of the rack among the labels of a worker. */
const rackLabel = 1;

/** Rack of a worker; empty when it names none. */
export function findRack(room: WorkerRoom): string {
    return room.state.info.labels[rackLabel] ?? "";
}

/** Name of a step of one occurrence, under which its tasks are counted. */
export function formatStepKey(job: string, occurrence: number, step: number): string {
    return `${job}.${occurrence}.${step}`;
}

/** Share of its reserved processors that a serving task uses on average, until reports say more. */
const expectedUseShare = 0.6;

function estimateIdle(state: WorkerState): number {
    let idle = state.info.capacity.milliCpu;
    for (const { step } of state.runs.values()) {
        const isServing = step.spec.tailTargetMs !== undefined;
        idle -= step.spec.resources.milliCpu * (isServing ? expectedUseShare : 1);
    }
    return idle;
}

/** The room on a worker. */
export function createWorkerRoom(state: WorkerState): WorkerRoom {
    const tasksByStep = new Map<string, number>();
    for (const { job, occurrence, step } of state.runs.values()) {
        if (step.spec.perWorkerLimit !== undefined) {
            const key = formatStepKey(job.id, occurrence.number, step.position);
            tasksByStep.set(key, (tasksByStep.get(key) ?? 0) + 1);
        }
    }
    return {
        state,
        free: subtractResources(state.info.capacity, state.used),
        tasksByStep,
        idleMilliCpu: estimateIdle(state),
    };
}

/** Whether a task of a step may start on a worker. */
export function hasRoom(room: WorkerRoom, spec: StepSpec, stepKey: string): boolean {
    if (spec.requiredLabel !== undefined && !room.state.info.labels.includes(spec.requiredLabel)) {
        return false;
    }
    if (spec.perWorkerLimit !== undefined && (room.tasksByStep.get(stepKey) ?? 0) >= spec.perWorkerLimit) {
        return false;
    }
    return findShortage(computeReservation(spec), room.free) === undefined;
}

/** Takes the room of one more task of a step. */
export function takeRoom(room: WorkerRoom, spec: StepSpec, stepKey: string): void {
    room.free = subtractResources(room.free, computeReservation(spec));
    room.idleMilliCpu -= spec.resources.milliCpu;
    if (spec.perWorkerLimit !== undefined) {
        room.tasksByStep.set(stepKey, (room.tasksByStep.get(stepKey) ?? 0) + 1);
    }
}

/** Gives back the room of one task that was planned and is not to start after all. */
export function returnRoom(room: WorkerRoom, spec: StepSpec, stepKey: string): void {
    room.free = addResources(room.free, computeReservation(spec));
    room.idleMilliCpu += spec.resources.milliCpu;
    if (spec.perWorkerLimit !== undefined) {
        room.tasksByStep.set(stepKey, (room.tasksByStep.get(stepKey) ?? 1) - 1);
    }
}
