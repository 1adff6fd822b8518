import { computeReservation, formatRunKey, formatStepKey } from "@chestnutspool/job-state";
import {
    listCandidates,
    listKeptWorkers,
    type PlanInput,
    reserveCapacity,
    type WorkerCandidate,
} from "@chestnutspool/plan-jobs";
import type { RunStart } from "@chestnutspool/types";
import type { CopyMemory } from "./copy-memory.js";
import { findCopyWorker, listUnservedSteps, type WorkerSearch } from "./find-copy-worker.js";
import { listStragglers, type Straggler } from "./find-stragglers.js";

/** Interval at which stragglers are looked for, in milliseconds; reports come some hundreds of them apart. */
const checkIntervalMs = 50;
/** Time that ordering and reporting a run add to a copy, in milliseconds. */
const orderingMs = 100;
/** Largest share of the running tasks of a pool that may be copies; `leastCopies` may always be. */
const runningShare = 0.1;
/** Largest share of the idle processors of a pool that copies take, those in progress included. */
const idleShare = 0.25;
const leastCopies = 2;
/** Share of copies that must have paid for more than one copy of a pool at a time. */
const leastPaidShare = 0.25;
/** Number of outcomes from which the share counts. */
const judgedOutcomes = 8;

/** Input of `planCopies`. */
export interface CopyInput extends PlanInput {
    /** Starts that the pass has planned; their capacity counts as taken. */
    readonly starts: readonly RunStart[];
    /** Wall-clock time in milliseconds since the epoch, by which the log dates the starts of runs. */
    readonly wallMs: number;
    readonly memory: CopyMemory;
}

/** What the copies of a pool may still take. */
interface PoolBudget {
    copies: number;
    milliCpu: number;
}

function createCandidates(input: CopyInput): readonly WorkerCandidate[] {
    const candidates = listCandidates(input);
    const byWorker = new Map(candidates.map(candidate => [candidate.state.info.id, candidate]));
    for (const start of input.starts) {
        const candidate = byWorker.get(start.worker);
        const step = input.state.jobs.get(start.job)?.occurrences.get(start.occurrence)?.steps[start.step];
        if (candidate !== undefined && step !== undefined) {
            reserveCapacity(candidate, start.job, step.spec, formatStepKey(start));
        }
    }
    return candidates;
}

/** Computes what copies of a pool may still take, by its running tasks, its idle processors and what came of earlier copies. */
function computeBudget(input: CopyInput, candidates: readonly WorkerCandidate[], service: string): PoolBudget {
    let running = 0;
    let copies = 0;
    let copiesMilliCpu = 0;
    for (const { info, runs } of input.state.workers.values()) {
        if (info.service !== service) {
            continue;
        }
        for (const { step, task } of runs.values()) {
            running += step.spec.longRunning ? 0 : 1;
            if (task.runs.length > 1) {
                // Each task is met twice.
                copies += 0.5;
                copiesMilliCpu += computeReservation(step.spec).milliCpu / 2;
            }
        }
    }
    const idleMilliCpu = candidates.reduce(
        (sum, { state, free }) => sum + (state.info.service === service ? Math.max(0, free.milliCpu) : 0),
        0,
    );
    const payoffs = input.memory.payoffsByService.get(service) ?? [];
    const areUseless = payoffs.length >= judgedOutcomes
        && payoffs.filter(Boolean).length < payoffs.length * leastPaidShare;
    const limit = areUseless ? 1 : Math.max(leastCopies, Math.floor(running * runningShare));
    return {
        copies: limit - copies,
        milliCpu: (idleMilliCpu + copiesMilliCpu) * idleShare - copiesMilliCpu,
    };
}

/** Whether a copy of a straggler on a normal worker would end clearly earlier. */
function hasGain({ estimate, typicalMs, leastGain }: Straggler): boolean {
    return estimate.leftMs > leastGain * (typicalMs + orderingMs);
}

/** Plans the copy of one straggler if a copy there would end clearly earlier; takes its capacity. */
function planCopy(
    straggler: Straggler,
    search: WorkerSearch,
    budget: PoolBudget,
    memory: CopyMemory,
): RunStart | undefined {
    const { run, estimate, typicalMs, samples, progressPercent, leastGain } = straggler;
    const { job, occurrence, step, task } = run;
    const { milliCpu } = computeReservation(step.spec);
    if (budget.copies < 1 || milliCpu > budget.milliCpu) {
        return undefined;
    }
    const candidate = findCopyWorker(straggler, search);
    if (candidate === undefined) {
        return undefined;
    }
    const { id } = candidate.state.info;
    const copyEndsInMs = typicalMs / Math.min(1, search.predictSpeed(id)) + orderingMs;
    if (estimate.leftMs <= leastGain * copyEndsInMs) {
        return undefined;
    }
    const key = { job: job.id, occurrence: occurrence.number, step: step.position, position: task.position };
    const start = { ...key, run: task.lastRun + 1, worker: id };
    reserveCapacity(candidate, job.id, step.spec, formatStepKey(key));
    budget.copies -= 1;
    budget.milliCpu -= milliCpu;
    memory.estimates.set(formatRunKey(start), {
        progressPercent,
        elapsedMs: Math.round(estimate.elapsedMs),
        typicalMs: Math.round(typicalMs),
        samples,
        firstRunEndsInMs: Math.round(estimate.leftMs),
        copyEndsInMs: Math.round(copyEndsInMs),
    });
    return start;
}

/**
 * Plans copies of runs that are far slower than their siblings, on healthy workers with idle capacity for which no step waits;
 * `nowMs` is monotonic time in milliseconds. The memory holds the estimates of the planned copies.
 */
export function planCopies(input: CopyInput, nowMs: number): RunStart[] {
    const { memory, wallMs, starts, state, predictSpeed = () => 1 } = input;
    memory.estimates.clear();
    if (nowMs - memory.checkedAtMs < checkIntervalMs) {
        return [];
    }
    memory.checkedAtMs = nowMs;
    const stragglers = listStragglers(input, memory, nowMs, wallMs).filter(hasGain);
    if (stragglers.length === 0) {
        return [];
    }
    const candidates = createCandidates(input);
    const search: WorkerSearch = {
        input,
        candidates,
        unserved: listUnservedSteps(state, starts, wallMs),
        kept: listKeptWorkers(state, candidates),
        slowWorkers: new Set(stragglers.map(({ worker }) => worker)),
        predictSpeed,
        waitedFor: new Map(),
    };
    const budgets = new Map<string, PoolBudget>();
    return stragglers
        // Those that hold back their step the longest go first.
        .sort((left, right) => right.estimate.leftMs - left.estimate.leftMs)
        .flatMap(straggler => {
            const { service } = straggler.run.job.queue;
            const budget = budgets.get(service) ?? computeBudget(input, candidates, service);
            budgets.set(service, budget);
            return planCopy(straggler, search, budget, memory) ?? [];
        });
}
