import { computeReservation, findRack, formatStepKey, type JobState } from "@chestnutspool/job-state";
import {
    computeFreeLater,
    findObstacle,
    hasCapacity,
    isNewLongRunning,
    listWaitingSteps,
    type PlanInput,
    type WaitingStep,
    type WorkerCandidate,
} from "@chestnutspool/plan-jobs";
import { findShortage, type RunStart, type StepSpec, type WorkerId } from "@chestnutspool/types";
import type { Straggler } from "./find-stragglers.js";

/** Speed below which a worker gets no copy; 1 is that of a normal worker. */
const leastSpeed = 0.7;
/** Limit of workers that are compared with the waiting steps for one straggler. */
const comparedWorkers = 8;

/** Lists the steps that still wait once the planned starts are made, by service. */
export function listUnservedSteps(
    state: JobState,
    starts: readonly RunStart[],
    wallMs: number,
): ReadonlyMap<string, readonly WaitingStep[]> {
    const planned = new Map<string, number>();
    for (const start of starts) {
        const key = formatStepKey(start);
        planned.set(key, (planned.get(key) ?? 0) + 1);
    }
    const unserved = new Map<string, WaitingStep[]>();
    for (const waiting of listWaitingSteps(state, wallMs)) {
        if (waiting.step.waiting.size > (planned.get(formatKey(waiting)) ?? 0)) {
            const { service } = waiting.job.queue;
            const ofService = unserved.get(service) ?? [];
            ofService.push(waiting);
            unserved.set(service, ofService);
        }
    }
    return unserved;
}

function formatKey({ job, occurrence, step }: Pick<WaitingStep, "job" | "occurrence" | "step">): string {
    return formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
}

/**
 * Whether a step waits for capacity of a worker: a task of it has room there now, or will have once the short tasks there have
 * ended. A best-effort task that finds an obstacle there waits for something else, and long-running tasks that fit nowhere
 * wait for others of their kind to end.
 */
function isWaitingFor(waiting: WaitingStep, candidate: WorkerCandidate, search: WorkerSearch): boolean {
    const { spec } = waiting.step;
    const isAllowed = (spec.requiredLabel === undefined || candidate.state.info.labels.includes(spec.requiredLabel))
        && (spec.perWorkerLimit === undefined
            || (candidate.tasksByStep.get(formatKey(waiting)) ?? 0) < spec.perWorkerLimit)
        && !(search.kept.has(candidate) && isNewLongRunning(waiting));
    return isAllowed && findShortage(computeReservation(spec), computeFreeLater(candidate)) === undefined
        && findObstacle(candidate, spec, search.input.interference) === undefined;
}

/** Whether a copy may run in a rack: near its data, and without spreading the step over more racks. */
function isSuitableRack({ step }: Straggler["run"], rack: string, state: JobState): boolean {
    const { rackOfData, prefersOneRack } = step.spec;
    if (rackOfData !== undefined && rack !== rackOfData) {
        return false;
    }
    return !prefersOneRack || step.tasks.some(({ runs }) =>
        runs.some(({ worker }) => {
            const info = state.workers.get(worker)?.info;
            return info !== undefined && findRack(info) === rack;
        })
    );
}

function isHealthy(candidate: WorkerCandidate, input: PlanInput, slowWorkers: ReadonlySet<WorkerId>): boolean {
    const { id } = candidate.state.info;
    return input.findStartLimit(id) === undefined && !slowWorkers.has(id) && !candidate.isContended;
}

/** Inputs of the search for a worker besides the straggler. */
export interface WorkerSearch {
    readonly input: PlanInput;
    readonly candidates: readonly WorkerCandidate[];
    readonly unserved: ReadonlyMap<string, readonly WaitingStep[]>;
    /** Workers on which no new long-running task starts. */
    readonly kept: ReadonlySet<WorkerCandidate>;
    /** Workers with a straggler. */
    readonly slowWorkers: ReadonlySet<WorkerId>;
    readonly predictSpeed: (worker: WorkerId) => number;
    /** Whether a step waits for capacity of a worker, for the workers that were compared with the waiting steps. */
    readonly waitedFor: Map<WorkerCandidate, boolean>;
}

/** Whether any step waits for capacity of a worker. A planned copy takes capacity, so that the answer stays on the safe side. */
function isWaitedFor(candidate: WorkerCandidate, waiting: readonly WaitingStep[], search: WorkerSearch): boolean {
    const known = search.waitedFor.get(candidate) ?? waiting.some(other => isWaitingFor(other, candidate, search));
    search.waitedFor.set(candidate, known);
    return known;
}

function hasRoom(candidate: WorkerCandidate, spec: StepSpec, stepKey: string, input: PlanInput): boolean {
    // Best-effort tasks that already use the free processors would be slowed down.
    return hasCapacity(candidate, spec, stepKey) && candidate.idleMilliCpu >= spec.resources.milliCpu
        && findObstacle(candidate, spec, input.interference) === undefined;
}

/**
 * Finds a healthy other worker with idle capacity for a copy, for which no step waits: the fastest one, and among equals the
 * one with the most free processors.
 */
export function findCopyWorker(straggler: Straggler, search: WorkerSearch): WorkerCandidate | undefined {
    const { input, candidates, unserved, slowWorkers, predictSpeed } = search;
    const { run, worker } = straggler;
    const { job, occurrence, step, task } = run;
    const { service } = job.queue;
    const failedOn = input.findFailedWorker({
        job: job.id,
        occurrence: occurrence.number,
        step: step.position,
        position: task.position,
    });
    const suitable = candidates.filter(candidate => {
        const { info } = candidate.state;
        return info.service === service && info.id !== worker && info.id !== failedOn
            && isHealthy(candidate, input, slowWorkers) && predictSpeed(info.id) >= leastSpeed
            && isSuitableRack(run, findRack(info), input.state) && hasRoom(candidate, step.spec, formatKey(run), input);
    });
    const waiting = unserved.get(service) ?? [];
    const computeSpeed = ({ state }: WorkerCandidate): number => Math.min(1, predictSpeed(state.info.id));
    return suitable
        .sort((left, right) => computeSpeed(right) - computeSpeed(left) || right.free.milliCpu - left.free.milliCpu)
        .slice(0, comparedWorkers)
        .find(candidate => !isWaitedFor(candidate, waiting, search));
}
