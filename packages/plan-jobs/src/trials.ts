import type { JobRecord, JobState, JobStep, JobTask } from "@chestnutspool/job-state";
import {
    addSuspectedRun,
    canShareTrial,
    hasTrial,
    type RunStatuses,
    sumSuspectedRuns,
} from "@chestnutspool/track-workers";
import type { RunStart, WorkerId } from "@chestnutspool/types";
import type { WorkerCandidate } from "./worker-candidate.js";

/**
 * Largest share of the workers of a service that are on trial at the same time, so that tasks that crash their workers do not
 * take a service down. One worker may always be.
 */
const trialShare = 0.5;
/**
 * The same while the task that is to follow has certainly crashed a worker, or two workers have crashed under it: others do not wait
 * behind such tasks, whose trials are long and whose jobs may be given up.
 */
const repeatedTrialShare = 0.25;
/** Crashes under a task from which it counts as such. */
const repeatedCrashes = 2;

/** Trials on the workers of a service. */
interface ServiceTrials {
    workers: number;
    /** Workers on trial, silent ones included. */
    onTrial: number;
}

/** Trials of a planning pass, by service. */
export type TrialCounts = ReadonlyMap<string, ServiceTrials>;

/** Counts the workers on which recorded runs are on trial. */
export function countTrials(
    state: JobState,
    findRunStatuses: (worker: WorkerId) => RunStatuses | undefined,
): TrialCounts {
    const trials = new Map<string, ServiceTrials>();
    for (const worker of state.workers.values()) {
        const { id, service } = worker.info;
        const ofService = trials.get(service) ?? { workers: 0, onTrial: 0 };
        trials.set(service, ofService);
        ofService.workers += 1;
        ofService.onTrial += hasTrial(worker, findRunStatuses(id)) ? 1 : 0;
    }
    return trials;
}

function addTrial(trials: TrialCounts, { state }: WorkerCandidate, change: 1 | -1): void {
    const ofService = trials.get(state.info.service);
    if (ofService !== undefined) {
        ofService.onTrial += change;
    }
}

function hasFreeTrial(trials: TrialCounts, service: string, share: number): boolean {
    const { workers, onTrial } = trials.get(service) ?? { workers: 0, onTrial: 0 };
    return onTrial < Math.max(1, Math.floor(workers * share));
}

/** Whether a task may be put on trial now. A gang may then take as many workers as it needs, because it starts as a whole. */
export function canTry(trials: TrialCounts, service: string, { crashes }: JobTask): boolean {
    const isRepeated = crashes !== undefined && (crashes.certain > 0 || crashes.crashes >= repeatedCrashes);
    return hasFreeTrial(trials, service, isRepeated ? repeatedTrialShare : trialShare);
}

/**
 * Whether a gang, or a task that may share its trial, is put on trial now after it has waited for long, however many workers have crashed
 * under it. Otherwise tasks that need a trial of their own take each one of the smaller share that ends.
 */
export function canTryAfterWait(trials: TrialCounts, service: string): boolean {
    return hasFreeTrial(trials, service, trialShare);
}

/** Whether a job has a run, planned ones included. Its trials go after the first ones of jobs without a run. */
export function hasRun({ id, runsInProgress }: JobRecord, starts: readonly RunStart[]): boolean {
    return runsInProgress > 0 || starts.some(({ job }) => job === id);
}

/** Puts a worker on the trial of a task of a step; the members of a gang may join it. */
export function startTrial(
    trials: TrialCounts,
    candidate: WorkerCandidate,
    task: JobTask,
    step: JobStep,
    stepKey: string,
): void {
    const { spec } = step;
    candidate.suspected = addSuspectedRun(candidate.suspected, step, task);
    if (!candidate.isOnTrial) {
        const gangKey = spec.gang ? stepKey : undefined;
        candidate.sharesTrial = gangKey === undefined && canShareTrial(task);
        candidate.isOnTrial = true;
        candidate.trialGang = gangKey;
        addTrial(trials, candidate, 1);
    }
}

/** Takes a worker off the trial that the pass has planned for the members of a gang. */
export function cancelGangTrial(trials: TrialCounts, candidate: WorkerCandidate, gangKey: string): void {
    if (candidate.trialGang === gangKey) {
        candidate.isOnTrial = false;
        candidate.suspected = sumSuspectedRuns(candidate.state, candidate.statuses);
        candidate.sharesTrial = false;
        candidate.trialGang = undefined;
        addTrial(trials, candidate, -1);
    }
}
