import type { JobState } from "@chestnutspool/job-state";
import type { EndedWait } from "@chestnutspool/plan-placement-waits";
import { type SimulatedJob, warmUpMs } from "./generate-jobs.js";
import type { JobKind, Load } from "./load.js";
import { addEndedWaits, type RunDistance, type WaitCounts } from "./simulated-racks.js";
import type { SimulatedRun } from "./simulated-workers.js";

/** Results of one kind of job. */
export interface TallyRow {
    readonly kind: string;
    readonly jobs: number;
    /** Earned value as a share of the attainable value. */
    readonly earnedShare: number;
    readonly attainableValue: number;
    /**
     * Share of the jobs that ended in time, without failed jobs and those that arrived during the warm-up. For serving
     * jobs, the share of the time that their tasks were serving.
     */
    readonly inTimeShare: number;
    /** The same of the largest tenth of the jobs by their work, and of the next largest fifth; 0 for serving jobs. */
    readonly largestInTimeShare: number;
    readonly nextLargestInTimeShare: number;
    /** Share of the time that serving tasks were over their target because of other tasks. */
    readonly overTargetShare: number;
    /** Pace changes of the whole replay; the same in each row. */
    readonly paceChanges: number;
    /** Refusals of jobs of this kind, each time that a caller was refused. */
    readonly refusals: number;
    /** Jobs of this kind that were refused at least once, and those that ended in time. */
    readonly refusedJobs: ReadonlySet<string>;
    readonly jobsInTime: ReadonlySet<string>;
    /** Starts of runs in the whole replay; the same in each row. */
    readonly starts: number;
    /** Runs that were preempted in the whole replay; the same in each row. */
    readonly preemptions: number;
    /** Starts in and outside of the rack that the step prefers; the same in each row, as the waits. */
    readonly nearStarts: number;
    readonly farStarts: number;
    readonly waits: Readonly<WaitCounts>;
}

/** Collects the results of a replay. */
export interface Tally {
    readonly countPaceChange: () => void;
    readonly countPreemptions: (runs: number) => void;
    readonly countStart: (distance: RunDistance) => void;
    readonly recordWaits: (ended: readonly EndedWait[]) => void;
    readonly countRefusal: (job: SimulatedJob) => void;
    readonly observe: (
        state: JobState,
        jobs: ReadonlyMap<string, SimulatedJob>,
        runsByWorker: ReadonlyMap<string, ReadonlyMap<string, SimulatedRun>>,
        epochMs: number,
        nowMs: number,
        isMeasured: boolean,
    ) => void;
    readonly summarize: (
        state: JobState,
        jobs: ReadonlyMap<string, SimulatedJob>,
        epochMs: number,
    ) => readonly TallyRow[];
}

/** Interval for which a serving job earns its value once, in milliseconds. */
const servingIntervalMs = 2_000;
/** Weight with which time over the tail latency target is deducted from the time that a task serves. */
const overTargetWeight = 4;
/** A job earns its late value up to this multiple of its allowed time, and nothing after it. */
const lateFactor = 3;
/** Share of a job's value that does not depend on its size. */
const fixedValueShare = 0.3;
/** Largest factor on the value of a job. */
const largestValueFactor = 4;

/** Sums over the samples of all serving jobs of one kind; the three sample fields count tasks. */
interface ServingTotals {
    attainableValue: number;
    earnedValue: number;
    taskSamples: number;
    servingSamples: number;
    overTargetSamples: number;
}

/** CPU work of a job, in milliseconds times thousandths of a core. */
function computeWork(job: SimulatedJob): number {
    return job.definition.steps.reduce(
        (sum, step, position) =>
            sum + step.resources.milliCpu * (job.workMs[position] ?? []).reduce((total, ms) => total + ms, 0),
        0,
    );
}

/** Run time of the longest tasks of all steps in sequence, in milliseconds. */
function computeCriticalPathMs(job: SimulatedJob): number {
    return job.workMs.reduce((sum, tasks) => sum + Math.max(...tasks), 0);
}

/** Share of the jobs that counts as the largest ones, and the same with the next largest ones. */
const largestShare = 0.1;
const nextLargestShare = 0.3;

interface CountedJob {
    readonly id: string;
    readonly work: number;
    readonly isInTime: boolean;
}

/** Computes the share of the jobs that ended in time among those from one rank by size to another, as shares of all. */
function computeInTimeShare(bySize: readonly CountedJob[], from: number, to: number): number {
    const jobs = bySize.slice(Math.round(from * bySize.length), Math.round(to * bySize.length));
    return jobs.filter(({ isInTime }) => isInTime).length / Math.max(1, jobs.length);
}

function summarizeJobs(kind: JobKind, jobs: readonly SimulatedJob[], state: JobState, epochMs: number) {
    const meanWork = jobs.reduce((sum, job) => sum + computeWork(job), 0) / Math.max(1, jobs.length);
    let attainableValue = 0;
    let earnedValue = 0;
    const counted: CountedJob[] = [];
    for (const job of jobs.filter(arrived => arrived.arrivesAtMs >= warmUpMs)) {
        const record = state.jobs.get(job.definition.id);
        if (record?.phase === "failed") {
            continue;
        }
        const factor = Math.min(
            largestValueFactor,
            fixedValueShare + (1 - fixedValueShare) * computeWork(job) / meanWork,
        );
        attainableValue += factor * kind.value;
        const allowedMs = kind.slackFactor * computeCriticalPathMs(job) + kind.targetLatencyMs;
        const tookMs = record?.endedAtMs === undefined
            ? Number.POSITIVE_INFINITY
            : record.endedAtMs - epochMs - job.arrivesAtMs;
        earnedValue += factor
            * (tookMs <= allowedMs ? kind.value : tookMs <= lateFactor * allowedMs ? kind.lateValue : 0);
        counted.push({ id: job.definition.id, work: computeWork(job), isInTime: tookMs <= allowedMs });
    }
    const bySize = counted.sort((left, right) => right.work - left.work);
    return {
        attainableValue,
        earnedValue,
        jobsInTime: new Set(counted.filter(({ isInTime }) => isInTime).map(({ id }) => id)),
        inTimeShare: computeInTimeShare(bySize, 0, 1),
        largestInTimeShare: computeInTimeShare(bySize, 0, largestShare),
        nextLargestInTimeShare: computeInTimeShare(bySize, largestShare, nextLargestShare),
    };
}

/** Creates an empty tally. */
export function createTally(load: Load): Tally {
    const servingTotals = new Map<string, ServingTotals>();
    const refusals = new Map<string, number>();
    const refusedJobs = new Map<string, Set<string>>();
    let paceChanges = 0;
    let preemptions = 0;
    const waits: WaitCounts = { waits: 0, placed: 0, waitedMs: 0, expectedGainMs: 0, gainMs: 0 };
    const starts: Record<RunDistance, number> = { none: 0, near: 0, far: 0 };
    return {
        countPreemptions: runs => {
            preemptions += runs;
        },
        countStart: distance => {
            starts[distance] += 1;
        },
        recordWaits: ended => addEndedWaits(waits, ended),
        countRefusal: ({ kind: { name }, definition: { id } }) => {
            refusals.set(name, (refusals.get(name) ?? 0) + 1);
            refusedJobs.set(name, (refusedJobs.get(name) ?? new Set()).add(id));
        },
        countPaceChange: () => {
            paceChanges += 1;
        },
        observe: (state, jobs, runsByWorker, epochMs, nowMs, isMeasured) => {
            if (!isMeasured || nowMs % servingIntervalMs !== 0) {
                return;
            }
            const samplesByJob = new Map<string, { serving: number; overTarget: number; }>();
            for (const runs of runsByWorker.values()) {
                for (const run of runs.values()) {
                    const key = run.job.definition.id;
                    const entry = samplesByJob.get(key) ?? { serving: 0, overTarget: 0 };
                    entry.serving += nowMs - run.startedAtMs > run.workMs ? 1 : 0;
                    entry.overTarget += run.isOverTarget ? 1 : 0;
                    samplesByJob.set(key, entry);
                }
            }
            for (const job of jobs.values()) {
                const isCancelled = job.cancelAtMs !== undefined && job.cancelAtMs <= nowMs;
                if (
                    job.kind.execution.kind !== "serving" || isCancelled || nowMs - job.arrivesAtMs < servingIntervalMs
                ) {
                    continue;
                }
                const count = job.definition.steps[0]?.count ?? 1;
                const { serving: servingTasks = 0, overTarget = 0 } = samplesByJob.get(job.definition.id) ?? {};
                const entry = servingTotals.get(job.kind.name)
                    ?? { attainableValue: 0, earnedValue: 0, taskSamples: 0, servingSamples: 0, overTargetSamples: 0 };
                entry.attainableValue += job.kind.value;
                entry.earnedValue += job.kind.value
                    * Math.max(0, (servingTasks - overTargetWeight * overTarget) / count);
                entry.taskSamples += count;
                entry.servingSamples += servingTasks;
                entry.overTargetSamples += overTarget;
                servingTotals.set(job.kind.name, entry);
            }
        },
        summarize: (state, jobs, epochMs) =>
            load.kinds.map(kind => {
                const counts = {
                    paceChanges,
                    refusals: refusals.get(kind.name) ?? 0,
                    refusedJobs: refusedJobs.get(kind.name) ?? new Set<string>(),
                    starts: starts.none + starts.near + starts.far,
                    nearStarts: starts.near,
                    farStarts: starts.far,
                    waits,
                    preemptions,
                };
                const jobsOfKind = [...jobs.values()].filter(job => job.kind.name === kind.name);
                const totals = servingTotals.get(kind.name);
                if (kind.execution.kind === "serving" && totals !== undefined) {
                    return {
                        kind: kind.name,
                        jobs: jobsOfKind.length,
                        attainableValue: totals.attainableValue,
                        earnedShare: totals.earnedValue / totals.attainableValue,
                        inTimeShare: totals.servingSamples / totals.taskSamples,
                        largestInTimeShare: 0,
                        nextLargestInTimeShare: 0,
                        overTargetShare: totals.overTargetSamples / totals.taskSamples,
                        ...counts,
                        jobsInTime: new Set<string>(),
                    };
                }
                const { attainableValue, earnedValue, ...inTimeShares } = summarizeJobs(
                    kind,
                    jobsOfKind,
                    state,
                    epochMs,
                );
                return {
                    kind: kind.name,
                    jobs: jobsOfKind.length,
                    attainableValue,
                    earnedShare: earnedValue / attainableValue,
                    ...inTimeShares,
                    overTargetShare: 0,
                    ...counts,
                };
            }),
    };
}
