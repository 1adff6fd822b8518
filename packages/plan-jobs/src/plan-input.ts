import { acceptsStarts, type JobState } from "@chestnutspool/job-state";
import type { InterferenceModel } from "@chestnutspool/learn-interference";
import type { RunStatuses } from "@chestnutspool/track-workers";
import type { TaskKey, WorkerId } from "@chestnutspool/types";
import type { PlacementWaits } from "./rack-wants.js";
import { type CapacityReservation, createWorkerCandidate, type WorkerCandidate } from "./worker-candidate.js";
import { applySpeeds } from "./worker-speeds.js";

/** Limit of the starts of deferrable tasks, because the leader has no time for more. */
export interface StartRation {
    /** Number of these tasks that may start now. */
    readonly starts: number;
    /** How many of them may start in a second from now on. */
    readonly startsPerSecond: number;
}

/** Input of the planner. */
export interface PlanInput {
    readonly state: JobState;
    /** Whether tasks may start on a worker now. */
    readonly isUsable: (worker: WorkerId) => boolean;
    /** Whether a worker has not reported for so long that it may have crashed; absent if no worker has. */
    readonly isQuiet?: ((worker: WorkerId) => boolean) | undefined;
    /** Number of runs that may start on a worker now; undefined if only its capacity limits them. */
    readonly findStartLimit: (worker: WorkerId) => number | undefined;
    /** Number of tasks of a step that may start now, by step key; absent or undefined if workers refuse none of its starts. */
    readonly countStepStarts?: ((stepKey: string) => number | undefined) | undefined;
    /** Worker of the last run of a task that failed or was refused; undefined if unknown. */
    readonly findFailedWorker: (task: TaskKey) => WorkerId | undefined;
    /** Number of the last run of a task that ended without having started; absent or undefined if none is known. */
    readonly findUnstartedRun?: ((task: TaskKey) => number | undefined) | undefined;
    readonly interference: InterferenceModel;
    /** State of the runs on a worker, by its reports. */
    readonly findRunStatuses: (worker: WorkerId) => RunStatuses | undefined;
    /**
     * Useful speed of a worker: 1 for a normal one, 0.2 for one that takes five times as long. Absent if speeds are not
     * learnt, so that all workers count as normal.
     */
    readonly predictSpeed?: ((worker: WorkerId) => number) | undefined;
    /** Capacity that only tasks of certain steps may take. */
    readonly reservations?: readonly CapacityReservation[];
    /** Lets tasks wait for the rack that they prefer; without it they start wherever there is room. */
    readonly placementWaits?: PlacementWaits | undefined;
    /** Absent or undefined if deferrable tasks may start wherever there is room. */
    readonly startRation?: StartRation | undefined;
}

/** Lists the workers on which tasks may start. */
export function listCandidates(input: PlanInput): WorkerCandidate[] {
    const { state, isUsable, findStartLimit, findRunStatuses, reservations = [] } = input;
    const candidates = [...state.workers.values()]
        .filter(worker => acceptsStarts(state, worker) && isUsable(worker.info.id))
        .map(worker => createWorkerCandidate(worker, findRunStatuses(worker.info.id), findStartLimit(worker.info.id)));
    for (const reservation of reservations) {
        const candidate = candidates.find(({ state: { info } }) => info.id === reservation.worker);
        if (candidate !== undefined) {
            candidate.reservations = [...candidate.reservations, reservation];
        }
    }
    if (input.isQuiet !== undefined) {
        for (const candidate of candidates) {
            candidate.isQuiet = input.isQuiet(candidate.state.info.id);
        }
    }
    if (input.predictSpeed !== undefined) {
        applySpeeds(candidates, input.predictSpeed);
    }
    return candidates;
}

/** Groups workers by the service whose tasks they run. */
export function groupByService(
    candidates: readonly WorkerCandidate[],
): ReadonlyMap<string, readonly WorkerCandidate[]> {
    const candidatesByService = new Map<string, WorkerCandidate[]>();
    for (const candidate of candidates) {
        const { service } = candidate.state.info;
        const ofService = candidatesByService.get(service) ?? [];
        ofService.push(candidate);
        candidatesByService.set(service, ofService);
    }
    return candidatesByService;
}
