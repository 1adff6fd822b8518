import type { JobState } from "@chestnutspool/job-state";
import { type PlannedJob, warmUpMs } from "./generate-jobs.js";
import type { JobKind, Load } from "./load.js";
import type { SimulatedRun } from "./simulated-workers.js";

/** What callers got of one kind of job. */
export interface TallyRow {
    readonly kind: string;
    readonly jobs: number;
    /** Worth earned as a share of that owed. */
    readonly earnedShare: number;
    readonly owed: number;
    /** Share of the jobs that were complete in time; for serving jobs, of the time that their tasks were at work. */
    readonly inTimeShare: number;
    /** Share of the time that serving tasks were over their target because of others. */
    readonly harmedShare: number;
    readonly paces: number;
}

/** Counts what callers get. */
export interface Tally {
    readonly countPace: () => void;
    readonly observe: (
        model: JobState,
        jobs: ReadonlyMap<string, PlannedJob>,
        runsByWorker: ReadonlyMap<string, ReadonlyMap<string, SimulatedRun>>,
        epochMs: number,
        nowMs: number,
        isOpen: boolean,
    ) => void;
    readonly summarize: (
        model: JobState,
        jobs: ReadonlyMap<string, PlannedJob>,
        epochMs: number,
    ) => readonly TallyRow[];
}

/** Interval for which a serving job is paid, in milliseconds. */
const servingIntervalMs = 2_000;
/** Weight of the time that a serving task is over its target because of others. */
const harmWeight = 4;
/** A job is late up to this multiple of the time that it has. */
const lateFactor = 3;
/** Share of a job's worth that does not depend on its size, and the largest multiple of the worth. */
const fixedShare = 0.3;
const largestMultiple = 4;

interface ServingCount {
    owed: number;
    earned: number;
    taskTime: number;
    workTime: number;
    harmedTime: number;
}

function computeWork(job: PlannedJob): number {
    return job.definition.steps.reduce(
        (sum, step, position) =>
            sum + step.resources.milliCpu * (job.workMs[position] ?? []).reduce((total, ms) => total + ms, 0),
        0,
    );
}

function computeChain(job: PlannedJob): number {
    return job.workMs.reduce((sum, tasks) => sum + Math.max(...tasks), 0);
}

function summarizeJobs(kind: JobKind, jobs: readonly PlannedJob[], model: JobState, epochMs: number) {
    const meanWork = jobs.reduce((sum, job) => sum + computeWork(job), 0) / Math.max(1, jobs.length);
    let owed = 0;
    let earned = 0;
    let inTime = 0;
    let done = 0;
    for (const job of jobs.filter(arrived => arrived.arrivesAtMs >= warmUpMs)) {
        const record = model.jobs.get(job.definition.id);
        if (record?.phase === "failed") {
            continue;
        }
        const factor = Math.min(largestMultiple, fixedShare + (1 - fixedShare) * computeWork(job) / meanWork);
        owed += factor * kind.worth;
        const allowedMs = kind.slackFactor * computeChain(job) + kind.targetLatencyMs;
        const tookMs = record?.endedAtMs === undefined
            ? Number.POSITIVE_INFINITY
            : record.endedAtMs - epochMs - job.arrivesAtMs;
        earned += factor * (tookMs <= allowedMs ? kind.worth : tookMs <= lateFactor * allowedMs ? kind.lateWorth : 0);
        inTime += tookMs <= allowedMs ? 1 : 0;
        done += 1;
    }
    return { owed, earned, inTimeShare: inTime / Math.max(1, done) };
}

/** Creates a tally that has counted nothing. */
export function createTally(load: Load): Tally {
    const serving = new Map<string, ServingCount>();
    let paces = 0;
    return {
        countPace: () => {
            paces += 1;
        },
        observe: (model, jobs, runsByWorker, epochMs, nowMs, isOpen) => {
            if (!isOpen || nowMs % servingIntervalMs !== 0) {
                return;
            }
            const atWork = new Map<string, { count: number; harmed: number; }>();
            for (const runs of runsByWorker.values()) {
                for (const run of runs.values()) {
                    const key = run.job.definition.id;
                    const entry = atWork.get(key) ?? { count: 0, harmed: 0 };
                    entry.count += nowMs - run.startedAtMs > run.workMs ? 1 : 0;
                    entry.harmed += run.isHarmed ? 1 : 0;
                    atWork.set(key, entry);
                }
            }
            for (const job of jobs.values()) {
                const isGone = job.cancelAtMs !== undefined && job.cancelAtMs <= nowMs;
                if (job.kind.character.kind !== "serving" || isGone || nowMs - job.arrivesAtMs < servingIntervalMs) {
                    continue;
                }
                const count = job.definition.steps[0]?.count ?? 1;
                const { count: working = 0, harmed = 0 } = atWork.get(job.definition.id) ?? {};
                const entry = serving.get(job.kind.name)
                    ?? { owed: 0, earned: 0, taskTime: 0, workTime: 0, harmedTime: 0 };
                entry.owed += job.kind.worth;
                entry.earned += job.kind.worth * Math.max(0, (working - harmWeight * harmed) / count);
                entry.taskTime += count;
                entry.workTime += working;
                entry.harmedTime += harmed;
                serving.set(job.kind.name, entry);
            }
        },
        summarize: (model, jobs, epochMs) =>
            load.kinds.map(kind => {
                const own = [...jobs.values()].filter(job => job.kind.name === kind.name);
                const count = serving.get(kind.name);
                if (kind.character.kind === "serving" && count !== undefined) {
                    return {
                        kind: kind.name,
                        jobs: own.length,
                        owed: count.owed,
                        earnedShare: count.earned / count.owed,
                        inTimeShare: count.workTime / count.taskTime,
                        harmedShare: count.harmedTime / count.taskTime,
                        paces,
                    };
                }
                const { owed, earned, inTimeShare } = summarizeJobs(kind, own, model, epochMs);
                return {
                    kind: kind.name,
                    jobs: own.length,
                    owed,
                    earnedShare: earned / owed,
                    inTimeShare,
                    harmedShare: 0,
                    paces,
                };
            }),
    };
}
