import { computeReservation, type JobState } from "@chestnutspool/job-state";
import { addResources, findShortage } from "@chestnutspool/types";
import type { WorkerChoice } from "./unmet-requirements.js";
import type { WaitingStep } from "./waiting-steps.js";
import type { WorkerCandidate } from "./worker-candidate.js";

/**
 * Share of the workers of a service on which no new long-running task starts, so that short tasks find room. Long-running
 * tasks that arrive without end would take all of it, and large tasks need a worker with most of its processors free.
 */
const keptShare = 0.07;

/** Lists the workers with the least processors reserved by long-running tasks, by service with several queues. */
export function listKeptWorkers(state: JobState, candidates: readonly WorkerCandidate[]): ReadonlySet<WorkerCandidate> {
    const queues = new Map<string, number>();
    for (const { service } of state.configuration?.queues ?? []) {
        queues.set(service, (queues.get(service) ?? 0) + 1);
    }
    const kept = new Set<WorkerCandidate>();
    for (const [service, count] of queues) {
        // A service with one queue is taken to run one kind of job.
        const ofService = count < 2 ? [] : candidates.filter(({ state: { info } }) => info.service === service);
        ofService
            .sort((left, right) =>
                left.lastingMilliCpu - right.lastingMilliCpu
                || (left.state.info.id < right.state.info.id ? -1 : 1)
            )
            .slice(0, Math.floor(ofService.length * keptShare))
            .forEach(candidate => kept.add(candidate));
    }
    return kept;
}

/** Whether a step has a long-running task that was never interrupted, which can wait for a place on the other workers. */
export function isNewLongRunning({ step }: WaitingStep): boolean {
    if (!step.spec.longRunning) {
        return false;
    }
    for (const position of step.waiting) {
        if ((step.tasks[position]?.lastRun ?? 0) > 0) {
            return false;
        }
    }
    return true;
}

/**
 * Chooses the workers for a step. A new long-running task leaves the kept ones to short tasks, but does not wait without end:
 * once it is overdue, and most of the service is free, it may start on one that keeps room for another task like it.
 */
export function chooseWorkers(waiting: WaitingStep): WorkerChoice {
    return !isNewLongRunning(waiting) ? "all" : waiting.isOverdue ? "spare" : "notKept";
}

type Candidates = readonly WorkerCandidate[];

/** Workers that are not kept, by the kept ones and the workers of a service; all long-running steps of a pass share them. */
const othersByKept = new WeakMap<ReadonlySet<WorkerCandidate>, Map<Candidates, Candidates>>();

function listOthers(candidates: Candidates, kept: ReadonlySet<WorkerCandidate>): Candidates {
    const ofKept = othersByKept.get(kept) ?? new Map<Candidates, Candidates>();
    othersByKept.set(kept, ofKept);
    const others = ofKept.get(candidates) ?? candidates.filter(candidate => !kept.has(candidate));
    ofKept.set(candidates, others);
    return others;
}

/** Share of the processors of a service that is reserved at most while most of it is free. */
const freeShare = 0.5;

/** Whether most of a service is free, by its workers; all long-running steps of a pass share it. */
const freeByCandidates = new WeakMap<Candidates, boolean>();

function hasHalfFree(candidates: Candidates): boolean {
    let used = 0;
    let capacity = 0;
    for (const { state } of candidates) {
        used += state.used.milliCpu;
        capacity += state.info.capacity.milliCpu;
    }
    return used < capacity * freeShare;
}

function isMostlyFree(candidates: Candidates): boolean {
    const isFree = freeByCandidates.get(candidates) ?? hasHalfFree(candidates);
    freeByCandidates.set(candidates, isFree);
    return isFree;
}

/**
 * Selects the workers for a step. A new long-running task may use all kept ones only if none of the others could ever run
 * it, such as one that needs a rare label.
 */
export function selectCandidates(
    candidates: readonly WorkerCandidate[],
    kept: ReadonlySet<WorkerCandidate>,
    waiting: WaitingStep,
): readonly WorkerCandidate[] {
    const choice = kept.size === 0 ? "all" : chooseWorkers(waiting);
    if (choice === "all") {
        return candidates;
    }
    const { spec } = waiting.step;
    const needed = computeReservation(spec);
    const others = listOthers(candidates, kept);
    const canEverRun = others.some(({ state: { info } }) =>
        (spec.requiredLabel === undefined || info.labels.includes(spec.requiredLabel))
        && findShortage(needed, info.capacity) === undefined
    );
    if (!canEverRun) {
        return candidates;
    }
    const neededTwice = addResources(needed, needed);
    return choice === "notKept" || !isMostlyFree(candidates)
        ? others
        : candidates.filter(candidate =>
            !kept.has(candidate) || findShortage(neededTwice, candidate.free) === undefined
        );
}
