import { formatRunKey, formatTaskKey, type JobState, type WorkerRun } from "@chestnutspool/job-state";
import {
    type CopyOutcome,
    createCopyMemory,
    followStartedCopies,
    observeRunEnd,
    planCopies,
    takeCopyOutcomes,
} from "@chestnutspool/plan-copies";
import type { PlanInput } from "@chestnutspool/plan-jobs";
import type { RunStatuses } from "@chestnutspool/track-workers";
import type { RunEnd, RunStart } from "@chestnutspool/types";
import type { SimulatedJob } from "./generate-jobs.js";
import { createRandom, type Random } from "./random.js";

/** The leader's part in copies of slow tasks, without a network. */
export interface SimulatedCopies {
    /** Must be called before the end is recorded. */
    readonly observeEnd: (worker: string, statuses: RunStatuses | undefined, end: RunEnd, nowMs: number) => void;
    /** Passes on what came of copies whose runs have both ended. */
    readonly takeOutcomes: (nowMs: number) => void;
    /** Must be called once the starts are recorded. */
    readonly followStarts: (starts: readonly RunStart[], nowMs: number) => void;
    readonly planCopies: (input: PlanInput, starts: readonly RunStart[], nowMs: number) => RunStart[];
}

/** Creates the part of a leader that has ordered no copies; the wall clock of the replay starts at `epochMs`. */
export function createSimulatedCopies(
    state: JobState,
    epochMs: number,
    observeCopy: (outcome: CopyOutcome) => void,
): SimulatedCopies {
    const memory = createCopyMemory();
    return {
        observeEnd: (worker, statuses, end, nowMs) => {
            const workerState = state.workers.get(worker);
            const key = formatRunKey(end);
            if (workerState !== undefined) {
                const run = workerState.runs.get(key);
                observeRunEnd(memory, workerState.info, run, statuses?.get(key), end, nowMs, epochMs + nowMs);
            }
        },
        takeOutcomes: nowMs => takeCopyOutcomes(memory, nowMs).forEach(observeCopy),
        followStarts: (starts, nowMs) => {
            followStartedCopies(
                memory,
                start => state.workers.get(start.worker)?.runs.get(formatRunKey(start)),
                starts,
                nowMs,
            );
        },
        planCopies: (input, starts, nowMs) => planCopies({ ...input, starts, wallMs: epochMs + nowMs, memory }, nowMs),
    };
}

/** Start and multiplier of the hash FNV-1a with 32 bits. */
const hashStart = 0x811c9dc5;
const hashMultiplier = 0x01000193;
/** Multipliers of the finalizer of MurmurHash3, without which similar keys would give similar random values. */
const finalMultipliers = [0x85ebca6b, 0xc2b2ae35] as const;

/** Computes a hash with 32 bits whose bits all depend on the whole text. */
function computeHash(text: string): number {
    let hash = hashStart;
    for (const character of text) {
        hash = Math.imul(hash ^ character.charCodeAt(0), hashMultiplier);
    }
    for (const multiplier of finalMultipliers) {
        hash = Math.imul(hash ^ (hash >>> 15), multiplier);
    }
    return hash ^ (hash >>> 16);
}

/**
 * Random values of one run. Where runs may be slow they are those of the run alone, so that a copy does not change the values of
 * all later runs.
 */
export function getRunRandom(random: Random, seed: number, { kind }: SimulatedJob, run: WorkerRun): Random {
    if (kind.slowRuns === undefined) {
        return random;
    }
    const { job, occurrence, step, task, run: number } = run;
    const key = { job: job.id, occurrence: occurrence.number, step: step.position, position: task.position };
    return createRandom(computeHash(`${seed} ${formatTaskKey(key)}#${number}`));
}

/** Draws the run time of a run: a copy takes as long as any task of its step, and each run may be slow. */
export function drawWorkMs(random: Random, { kind, workMs }: SimulatedJob, { step, task }: WorkerRun): number {
    const ofStep = workMs[step.position] ?? [];
    const position = task.runs.length > 1 ? Math.floor(random.drawShare() * ofStep.length) : task.position;
    const ownMs = ofStep[position] ?? kind.workMs.mean;
    return kind.slowRuns !== undefined && random.drawShare() < kind.slowRuns.share
        ? ownMs * kind.slowRuns.factor
        : ownMs;
}
