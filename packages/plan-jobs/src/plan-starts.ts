import { countFailures, type JobModel, type JobTask } from "@chestnutspool/job-state";
import type { RunStart, WorkerId } from "@chestnutspool/types";
import { listWaitingSteps, sortWaitingSteps, type WaitingStep } from "./waiting-steps.js";
import {
    createWorkerRoom,
    findRack,
    formatStepKey,
    hasRoom,
    returnRoom,
    takeRoom,
    type WorkerRoom,
} from "./worker-room.js";

/** Starts that a pass plans at most, so that a flood of tasks does not hold up the process. */
const startsPerPass = 500;

/** What a pass of the planner works on. */
interface Pass {
    readonly rooms: readonly WorkerRoom[];
    readonly starts: RunStart[];
}

function listRooms(model: JobModel, isUsable: (worker: WorkerId) => boolean): WorkerRoom[] {
    return [...model.workers.values()]
        .filter(worker => !worker.isDraining && isUsable(worker.info.id))
        .map(createWorkerRoom);
}

/** How well a worker suits a task of the step; the highest is chosen. */
function rateWorker(room: WorkerRoom, waiting: WaitingStep, racks: ReadonlyMap<string, number>): number {
    const { spec } = waiting.step;
    const rack = findRack(room);
    let rating = spec.usesIdleCpu
        ? room.idleMilliCpu / room.state.info.capacity.milliCpu
        : -room.free.milliCpu / room.state.info.capacity.milliCpu;
    if (spec.rackOfData !== undefined && spec.rackOfData === rack) {
        rating += 10;
    }
    if (spec.prefersOneRack) {
        rating += (racks.get(rack) ?? 0) * 10;
    }
    return rating;
}

function chooseRoom(pass: Pass, waiting: WaitingStep, stepKey: string, racks: ReadonlyMap<string, number>) {
    let best: WorkerRoom | undefined;
    let bestRating = Number.NEGATIVE_INFINITY;
    for (const room of pass.rooms) {
        if (room.state.info.service !== waiting.job.queue.service || !hasRoom(room, waiting.step.spec, stepKey)) {
            continue;
        }
        const rating = rateWorker(room, waiting, racks);
        if (rating > bestRating) {
            best = room;
            bestRating = rating;
        }
    }
    return best;
}

function createStart(waiting: WaitingStep, task: JobTask, run: number, room: WorkerRoom): RunStart {
    return {
        job: waiting.job.id,
        occurrence: waiting.occurrence.number,
        step: waiting.step.position,
        position: task.position,
        run,
        worker: room.state.info.id,
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
function planTasks(pass: Pass, waiting: WaitingStep, stepKey: string): void {
    const racks = new Map<string, number>();
    for (const task of listStartable(waiting)) {
        const room = pass.starts.length < startsPerPass ? chooseRoom(pass, waiting, stepKey, racks) : undefined;
        if (room === undefined) {
            return;
        }
        takeRoom(room, waiting.step.spec, stepKey);
        const rack = findRack(room);
        racks.set(rack, (racks.get(rack) ?? 0) + 1);
        pass.starts.push(createStart(waiting, task, task.lastRun + 1, room));
    }
}

/** Plans a gang as a whole: all of its tasks under one number of run, or none. */
function planGang(pass: Pass, waiting: WaitingStep, stepKey: string): void {
    const { step } = waiting;
    if (step.waiting.size < step.tasks.length) {
        return;
    }
    const racks = new Map<string, number>();
    const run = Math.max(...step.tasks.map(task => task.lastRun)) + 1;
    const taken: { readonly room: WorkerRoom; readonly task: JobTask; }[] = [];
    for (const task of listStartable(waiting)) {
        const room = chooseRoom(pass, waiting, stepKey, racks);
        if (room === undefined) {
            break;
        }
        takeRoom(room, step.spec, stepKey);
        const rack = findRack(room);
        racks.set(rack, (racks.get(rack) ?? 0) + 1);
        taken.push({ room, task });
    }
    if (taken.length < step.tasks.length) {
        taken.forEach(({ room }) => returnRoom(room, step.spec, stepKey));
        return;
    }
    pass.starts.push(...taken.map(({ room, task }) => createStart(waiting, task, run, room)));
}

/** Plans starts on the workers that are usable; `nowMs` is wall-clock time in milliseconds since the epoch. */
export function planStarts(model: JobModel, isUsable: (worker: WorkerId) => boolean, nowMs: number): RunStart[] {
    const pass: Pass = { rooms: listRooms(model, isUsable), starts: [] };
    for (const waiting of sortWaitingSteps(listWaitingSteps(model, nowMs))) {
        const { job, occurrence, step } = waiting;
        const stepKey = formatStepKey(job.id, occurrence.number, step.position);
        if (step.spec.gang) {
            planGang(pass, waiting, stepKey);
        }
        else {
            planTasks(pass, waiting, stepKey);
        }
    }
    return pass.starts;
}
