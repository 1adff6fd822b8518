import type { WorkerCrash, WorkerInfo } from "@chestnutspool/types";
import { forgetRuns } from "./counted-runs.js";
import { findRack } from "./find-rack.js";
import type { CrashHistory, JobState, JobStep, JobTask, RecentCrash, WorkerRun } from "./job-state.js";

/** Odds that a task of which nothing is known crashes its workers; far above its share, so that few crashes suffice. */
const priorOdds = 0.01;
/** Crashes per millisecond that a worker has for other reasons, at least. */
const leastCrashRate = 1 / 200_000;
/** Time for which crashes are kept to estimate how many have other reasons, in milliseconds. */
const recentMs = 60_000;
/** Crashes that are kept at most; above the number of workers of a zone, which may crash at once. */
const recentLimit = 512;
/** Least probability of a crash for other reasons, so that one crash is never a proof. */
const leastProbability = 0.02;
/**
 * A run that has worked for longer than this after a crash of the task before it, as a factor and in milliseconds, lowers the evidence:
 * tasks crash their workers at some point of their work.
 */
const outlivedFactor = 1.25;
const outlivedMs = 500;
/** How far it lowers the evidence, in hundredths: such a run is three times as likely for a task that is not the cause. */
const outlivedEvidence = 50;
/** Limit of the evidence, so that a few long runs can outweigh it. */
const evidenceLimit = 600;

/**
 * Computes the odds that a task crashes its workers, from the crashes in its life; 1 if it is as likely as not.
 */
export function computeCrashOdds({ crashHistory }: JobTask): number {
    return priorOdds * 10 ** ((crashHistory?.evidence ?? 0) / 100);
}

function computeProbability(task: JobTask): number {
    const odds = computeCrashOdds(task);
    return odds / (1 + odds);
}

/** Probability that one of the tasks crashes its workers, in percent. */
function computeExplainedPercent(runs: readonly WorkerRun[]): number {
    return Math.round(100 * Math.max(0, ...runs.map(({ task }) => computeProbability(task))));
}

/** Runs that are blamed as one: a run, or those of a gang. */
interface Suspect {
    readonly runs: WorkerRun[];
    /** Probability that it crashes its workers, as known before the crash. */
    probability: number;
}

function listSuspects(runs: readonly WorkerRun[]): readonly Suspect[] {
    const suspects = new Map<JobStep | JobTask, Suspect>();
    for (const run of runs) {
        const { step, task } = run;
        // Earlier builds record no time of a start. A run that outlasts a crash has been counted for it.
        if (run.startedAtMs === 0 || task.crashHistory?.run === run.run) {
            continue;
        }
        const key = step.spec.gang ? step : task;
        const suspect = suspects.get(key) ?? { runs: [], probability: 0 };
        suspects.set(key, suspect);
        suspect.runs.push(run);
        suspect.probability = Math.max(suspect.probability, computeProbability(task));
    }
    return [...suspects.values()];
}

/** Crashes of the last minute on the workers of a service that no task explains. */
function countUnexplained({ recentCrashes }: JobState, service: string): number {
    return recentCrashes.filter(crash => crash.service === service)
        .reduce((sum, { explainedPercent }) => sum + 1 - explainedPercent / 100, 0);
}

/** Crashes per millisecond that a worker of a service has without a task, which had some crashes itself. */
function estimateCrashRate(state: JobState, service: string, ownCrashes: number): number {
    const workers = [...state.workers.values()].filter(({ info }) => info.service === service).length;
    const others = Math.max(0, countUnexplained(state, service) - ownCrashes);
    return Math.max(leastCrashRate, others / (recentMs * Math.max(1, workers)));
}

function addCrash(
    state: JobState,
    service: string,
    { task, run, startedAtMs }: WorkerRun,
    { byOtherTasks, silentMs }: { readonly byOtherTasks: number; readonly silentMs: number; },
): CrashHistory | undefined {
    // Records of earlier builds have no history, but count the latest crashes.
    const known = task.crashHistory ?? { crashes: task.crashes?.crashes ?? 0, evidence: 0, ageMs: 0 };
    const { crashes, evidence, ageMs } = known;
    const runMs = Math.max(0, state.clockMs - silentMs - startedAtMs);
    const byChance = estimateCrashRate(state, service, crashes) * runMs;
    const probability = Math.max(leastProbability, byChance + Math.min(1, byOtherTasks));
    const hasOutlived = ageMs > 0 && runMs > ageMs * outlivedFactor + outlivedMs;
    const added = Math.round(-100 * Math.log10(probability)) - (hasOutlived ? outlivedEvidence : 0);
    const sum = Math.min(evidenceLimit, evidence + added);
    return sum <= 0
        ? undefined
        : { crashes: crashes + 1, evidence: sum, ageMs: Math.min(recentMs, Math.max(ageMs, runMs)), run };
}

/**
 * Counts the crash of a worker of a service in the histories of the tasks of `runs`, weighed by likelihood: each gains as much
 * evidence as the crash would be unlikely without it, given the age of its run, the crashes of other workers and the other tasks
 * on the worker. A crash after a long time is likely without it and lowers the evidence. Returns the crash without the runs.
 */
export function recordCrashHistory(
    state: JobState,
    worker: WorkerInfo,
    runs: readonly WorkerRun[],
    { silentMs = 0, suspectedRuns }: WorkerCrash,
): RecentCrash {
    const { service, availabilityZone } = worker;
    state.recentCrashes = state.recentCrashes.filter(({ atMs }) => state.clockMs - atMs < recentMs)
        .map(crash => forgetRuns(crash, state.clockMs));
    const suspects = listSuspects(runs);
    const total = suspects.reduce((sum, { probability }) => sum + probability, 0);
    const counted = suspects.flatMap(({ runs: ofSuspect, probability }) =>
        ofSuspect.map(run => ({
            run,
            history: addCrash(state, service, run, { byOtherTasks: total - probability, silentMs }),
        }))
    );
    const expectedPercent = computeExplainedPercent(runs);
    for (const { run, history } of counted) {
        run.task.crashHistory = history;
    }
    return {
        atMs: state.clockMs,
        service,
        explainedPercent: computeExplainedPercent(runs),
        expectedPercent,
        worker: worker.id,
        availabilityZone,
        rack: findRack(worker),
        crashedAtMs: state.clockMs - silentMs,
        hasSuspects: suspectedRuns.length > 0,
    };
}

/** Adds a crash to those of the last minute. */
export function addRecentCrash(state: JobState, crash: RecentCrash): void {
    state.recentCrashes = [...state.recentCrashes, crash].slice(-recentLimit);
}
