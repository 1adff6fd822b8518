import { canCopyRun, findRack, isJobEnded, type JobStep, type WorkerRun } from "@chestnutspool/job-state";
import type { PlanInput } from "@chestnutspool/plan-jobs";
import type { RunStatus } from "@chestnutspool/track-workers";
import type { WorkerId } from "@chestnutspool/types";
import { canCopyTasks, type CopyMemory, followCopy } from "./copy-memory.js";
import { computeElapsedMs, estimateRun, type RunEstimate, type RunTime } from "./estimate-runs.js";

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

/** Lists the runs in progress of each step that allows copies, unless its job has ended. */
function listObservedRuns(input: PlanInput, nowMs: number, wallMs: number): ReadonlyMap<JobStep, ObservedRun[]> {
    const observed = new Map<JobStep, ObservedRun[]>();
    for (const [worker, state] of input.state.workers) {
        const statuses = input.findRunStatuses(worker);
        for (const [key, run] of state.runs) {
            const status = canCopyTasks(run) && !isJobEnded(run.job) && !run.task.isDone
                ? statuses?.get(key)
                : undefined;
            if (status === undefined) {
                continue;
            }
            const estimate = estimateRun(status, computeElapsedMs(run, status, nowMs, wallMs), nowMs);
            const ofStep = observed.get(run.step) ?? [];
            ofStep.push({ run, worker, status, estimate, rack: findRack(state.info) });
            observed.set(run.step, ofStep);
        }
    }
    return observed;
}

/** Run times of the tasks of a step in ascending order, and the runs in progress whose expected ones are among them. */
interface StepSamples {
    readonly sortedMs: readonly number[];
    readonly included: ReadonlySet<ObservedRun>;
}

/** Lists the run times of a step: of the tasks that have ended, and of those in progress that can be told. */
function listSamples(
    { spec: { rackOfData } }: JobStep,
    finished: readonly RunTime[],
    observed: readonly ObservedRun[],
): StepSamples {
    // Far from its data a task takes longer, and a copy is started near them.
    const isComparable = ({ rack }: { readonly rack: string; }): boolean =>
        rackOfData === undefined || rack === rackOfData;
    const included = observed.filter(run =>
        isComparable(run) && run.status.progressPercent >= sampleProgressPercent
        && run.status.stopWantedAtMs === undefined
    );
    const runTimes = [
        ...finished.filter(isComparable).map(({ tookMs }) => tookMs),
        ...included.map(({ estimate }) => estimate.totalMs),
    ];
    return { sortedMs: runTimes.sort((left, right) => left - right), included: new Set(included) };
}

/**
 * Computes the median run time of the siblings of a run. If the run is among the samples it counts as one of those above the
 * median; otherwise it is no straggler.
 */
function computeTypical(observed: ObservedRun, { sortedMs, included }: StepSamples) {
    const samples = sortedMs.length - (included.has(observed) ? 1 : 0);
    return { samples, typicalMs: sortedMs[Math.floor((samples - 1) / 2)] };
}

/** Whether a run has run for long enough to be judged. */
function isJudged({ status, estimate }: ObservedRun, typicalMs: number, factor: number): boolean {
    const leastMs = Math.max(leastJudgedMs, typicalMs * judgedShare);
    // Without any progress the time alone tells.
    return status.progressPercent > 0 ? estimate.elapsedMs >= leastMs : estimate.elapsedMs > factor * typicalMs;
}

function findStraggler(observed: ObservedRun, stepSamples: StepSamples, nowMs: number): Straggler | undefined {
    const { run, worker, status, estimate } = observed;
    const { stopWantedAtMs, progressPercent } = status;
    const { samples, typicalMs } = computeTypical(observed, stepSamples);
    if (typicalMs === undefined || (stopWantedAtMs !== undefined && nowMs - stopWantedAtMs < stopGraceMs)) {
        return undefined;
    }
    const factor = samples >= confidentSamples ? stragglerFactor : doubtfulStragglerFactor;
    if (!isJudged(observed, typicalMs, factor) || estimate.totalMs <= factor * typicalMs) {
        return undefined;
    }
    const { tasksLeft, tasks } = run.step;
    const isOfLastTasks = tasksLeft <= Math.max(1, tasks.length * lastTasksShare);
    return {
        run,
        worker,
        progressPercent,
        estimate,
        typicalMs,
        samples,
        leastGain: isOfLastTasks ? leastGainOfLastTasks : leastGain,
    };
}

/**
 * Lists the runs that are far slower than their siblings, and follows tasks that have two runs already: a leader may find some
 * of an earlier one.
 */
export function listStragglers(input: PlanInput, memory: CopyMemory, nowMs: number, wallMs: number): Straggler[] {
    const stragglers: Straggler[] = [];
    for (const [step, observed] of listObservedRuns(input, nowMs, wallMs)) {
        observed.filter(({ run }) => run.task.runs.length > 1).forEach(({ run }) => followCopy(memory, run, nowMs));
        const candidates = observed.filter(({ run: { job, task } }) =>
            canCopyRun(job, step, task) && task.crashes === undefined && task.crashHistory === undefined
            && !memory.copied.has(task)
        );
        if (candidates.length === 0) {
            continue;
        }
        const samples = listSamples(step, memory.runTimesByStep.get(step) ?? [], observed);
        stragglers.push(...candidates.flatMap(run => findStraggler(run, samples, nowMs) ?? []));
    }
    return stragglers;
}
