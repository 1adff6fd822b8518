import {
    canCopyRun,
    formatRunKey,
    formatStepKey,
    isJobEnded,
    type JobOccurrence,
    type JobRecord,
    type JobState,
    type JobStep,
    type JobTask,
    type WorkerRun,
} from "@chestnutspool/job-state";
import { findRack, type PlanInput } from "@chestnutspool/plan-jobs";
import type { RunStatus } from "@chestnutspool/track-workers";
import type { WorkerId } from "@chestnutspool/types";
import { canCopyTasks, type CopyMemory, followCopy } from "./copy-memory.js";
import { computeElapsedMs, computeMedian, estimateRun, type RunEstimate, type RunTime } from "./estimate-runs.js";

/** A run that is far slower than its siblings. */
export interface Straggler {
    readonly run: WorkerRun;
    readonly worker: WorkerId;
    readonly progressPercent: number;
    readonly estimate: RunEstimate;
    /** Median run time of the siblings, in milliseconds. */
    readonly typicalMs: number;
    /** Number of siblings that it is from. */
    readonly samples: number;
    /** Least multiple of the expected run time of a copy that the run must still need. */
    readonly leastGain: number;
}

/** Number of siblings from which the smaller of the two factors below applies. */
const confidentSamples = 3;
/**
 * Multiple of the median of its siblings that a straggler is expected to take; the run times within a step differ by a third.
 */
const stragglerFactor = 1.8;
/** The same with fewer siblings, whose median may be off by the whole spread. */
const doubtfulStragglerFactor = 3;
/** Progress from which the expected run time of a sibling in progress counts, in percent. */
const sampleProgressPercent = 10;
/** Share of the median after which a run is judged by its progress; before that its start weighs too much. */
const judgedShare = 0.3;
/** Time since the start from which any run is judged, in milliseconds; the start order itself takes tens of them. */
const leastJudgedMs = 150;
/** Time for which a run that is being stopped gets no copy, in milliseconds: the task soon starts again by itself. */
const stopGraceMs = 1_000;
/** Share of the tasks of a step that are its last ones: they hold back all that follows. */
const lastTasksShare = 0.3;
/**
 * Least time that a run must still need, as a multiple of the expected run time of a copy. With 2, a copy that ends first saves
 * as much processor time as it takes; the last tasks of a step get one for any clear gain in time.
 */
const leastGain = 2;
const leastGainOfLastTasks = 1.3;

/** A run of a step that is in progress, with what is known of it. */
interface ObservedRun {
    readonly run: WorkerRun;
    readonly worker: WorkerId;
    readonly status: RunStatus;
    readonly estimate: RunEstimate;
    readonly rack: string;
}

type StepOwner = Pick<WorkerRun, "job" | "occurrence" | "step">;

function observeRuns(input: PlanInput, { occurrence, step, job }: StepOwner, nowMs: number, wallMs: number) {
    const observed: ObservedRun[] = [];
    for (const task of step.tasks) {
        for (const { run, worker } of task.runs) {
            const key = formatRunKey({
                job: job.id,
                occurrence: occurrence.number,
                step: step.position,
                position: task.position,
                run,
            });
            const state = input.state.workers.get(worker);
            const recorded = state?.runs.get(key);
            const status = input.findRunStatuses(worker)?.get(key);
            if (state === undefined || recorded === undefined || status === undefined) {
                continue;
            }
            const estimate = estimateRun(status, computeElapsedMs(recorded, status, nowMs, wallMs), nowMs);
            observed.push({ run: recorded, worker, status, estimate, rack: findRack(state.info) });
        }
    }
    return observed;
}

/** Lists the run times of the siblings of a task: those that have ended, and those in progress that can be told. */
function listSamples(
    finished: readonly RunTime[],
    observed: readonly ObservedRun[],
    task: JobTask,
    rackOfData: string | undefined,
): number[] {
    // Far from its data a task takes longer, and a copy is started near them.
    const isComparable = ({ rack }: { readonly rack: string; }): boolean =>
        rackOfData === undefined || rack === rackOfData;
    const running = observed.filter(({ run, status }) =>
        run.task !== task && status.progressPercent >= sampleProgressPercent && status.stopWantedAtMs === undefined
    );
    return [
        ...finished.filter(isComparable).map(({ tookMs }) => tookMs),
        ...running.filter(isComparable).map(({ estimate }) => estimate.totalMs),
    ];
}

/** Whether a run has run for long enough to be judged. */
function isJudged({ status, estimate }: ObservedRun, typicalMs: number, factor: number): boolean {
    const leastMs = Math.max(leastJudgedMs, typicalMs * judgedShare);
    // Without any progress the time alone tells.
    return status.progressPercent > 0 ? estimate.elapsedMs >= leastMs : estimate.elapsedMs > factor * typicalMs;
}

function findStraggler(
    observed: ObservedRun,
    samples: readonly number[],
    { step }: StepOwner,
    nowMs: number,
): Straggler | undefined {
    const { run, worker, status, estimate } = observed;
    const { stopWantedAtMs, progressPercent } = status;
    if (samples.length === 0 || (stopWantedAtMs !== undefined && nowMs - stopWantedAtMs < stopGraceMs)) {
        return undefined;
    }
    const typicalMs = computeMedian(samples);
    const factor = samples.length >= confidentSamples ? stragglerFactor : doubtfulStragglerFactor;
    if (!isJudged(observed, typicalMs, factor) || estimate.totalMs <= factor * typicalMs) {
        return undefined;
    }
    const isOfLastTasks = step.tasksLeft <= Math.max(1, step.tasks.length * lastTasksShare);
    return {
        run,
        worker,
        progressPercent,
        estimate,
        typicalMs,
        samples: samples.length,
        leastGain: isOfLastTasks ? leastGainOfLastTasks : leastGain,
    };
}

function listOfStep(
    input: PlanInput,
    memory: CopyMemory,
    owner: StepOwner,
    nowMs: number,
    wallMs: number,
): Straggler[] {
    const { job, occurrence, step } = owner;
    const observed = observeRuns(input, owner, nowMs, wallMs);
    const stepKey = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
    const finished = memory.runTimesByStep.get(stepKey) ?? [];
    return observed.flatMap(run => {
        const { task } = run.run;
        if (!canCopyRun(job, step, task) || task.crashes !== undefined || memory.copied.has(task)) {
            return [];
        }
        const samples = listSamples(finished, observed, task, step.spec.rackOfData);
        return findStraggler(run, samples, owner, nowMs) ?? [];
    });
}

function listCopyableSteps(job: JobRecord, occurrence: JobOccurrence): readonly JobStep[] {
    return isJobEnded(job)
        ? []
        : occurrence.steps.filter(step =>
            step.tasksLeft > 0 && step.waiting.size < step.tasksLeft && canCopyTasks({ step })
        );
}

/**
 * Lists the runs that are far slower than their siblings, and follows tasks that have two runs already: a leader may find some
 * of an earlier one.
 */
export function listStragglers(input: PlanInput, memory: CopyMemory, nowMs: number, wallMs: number): Straggler[] {
    const stragglers: Straggler[] = [];
    const state: JobState = input.state;
    for (const job of state.openJobs.values()) {
        for (const occurrence of job.occurrences.values()) {
            for (const step of listCopyableSteps(job, occurrence)) {
                for (const task of step.tasks) {
                    if (task.runs.length > 1) {
                        followCopy(memory, { job, occurrence, step, task }, nowMs);
                    }
                }
                stragglers.push(...listOfStep(input, memory, { job, occurrence, step }, nowMs, wallMs));
            }
        }
    }
    return stragglers;
}
