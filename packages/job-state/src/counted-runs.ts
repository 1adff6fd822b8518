import type { RunKey } from "@chestnutspool/types";
import { findTask } from "./find-task.js";
import type { CountedRun, JobState, JobTask, RecentCrash, WorkerRun } from "./job-state.js";
import { createRunKey } from "./run-keys.js";

/** Time for which the runs of a crash are kept, in milliseconds; the crash of a worker is recorded when its lease has ended, at the latest. */
const runsKeptMs = 10_000;

/** Counts of a task. */
type TaskCounts = Pick<JobTask, "crashes" | "crashHistory">;

/** Describes what a crash has added to the counts of the task of a run, which were `before` without it. */
export function createCountedRun(run: WorkerRun, before: TaskCounts): CountedRun {
    const { crashes, crashHistory } = run.task;
    const isNewlyCounted = crashes !== undefined && crashes !== before.crashes;
    const isNewInHistory = crashHistory !== undefined && crashHistory !== before.crashHistory;
    return {
        key: createRunKey(run),
        startedAtMs: run.startedAtMs,
        crashes: isNewlyCounted ? crashes.crashes - (before.crashes?.crashes ?? 0) : 0,
        suspicions: isNewlyCounted ? crashes.suspicions - (before.crashes?.suspicions ?? 0) : 0,
        certain: isNewlyCounted ? crashes.certain - (before.crashes?.certain ?? 0) : 0,
        historyCrashes: isNewInHistory ? crashHistory.crashes - (before.crashHistory?.crashes ?? 0) : 0,
        evidence: isNewInHistory ? crashHistory.evidence - (before.crashHistory?.evidence ?? 0) : 0,
    };
}

/** Takes back what a crash has added to the counts of a task. */
function removeCounts(task: JobTask, counted: CountedRun): void {
    const { crashes, crashHistory } = task;
    if (crashes !== undefined) {
        const left = crashes.crashes - counted.crashes;
        task.crashes = left <= 0 ? undefined : {
            crashes: left,
            suspicions: Math.max(0, crashes.suspicions - counted.suspicions),
            certain: Math.max(0, crashes.certain - counted.certain),
            run: crashes.run,
        };
    }
    if (crashHistory !== undefined) {
        const left = crashHistory.crashes - counted.historyCrashes;
        const evidence = crashHistory.evidence - counted.evidence;
        task.crashHistory = left <= 0 || evidence <= 0 ? undefined : { ...crashHistory, crashes: left, evidence };
    }
}

/** Takes back what a crash has added to the counts of the tasks of some of its runs. */
export function takeBackRuns(state: JobState, crash: RecentCrash, counted: readonly CountedRun[]): RecentCrash {
    if (counted.length === 0) {
        return crash;
    }
    for (const run of counted) {
        const found = findTask(state, run.key);
        if (found !== undefined) {
            removeCounts(found.task, run);
        }
    }
    return {
        ...crash,
        runs: crash.runs?.map(run =>
            counted.includes(run)
                ? { ...run, crashes: 0, suspicions: 0, certain: 0, historyCrashes: 0, evidence: 0 }
                : run
        ),
    };
}

function isSameRun(left: RunKey, right: RunKey): boolean {
    return left.position === right.position && left.run === right.run && left.step === right.step
        && left.occurrence === right.occurrence && left.job === right.job;
}

/** Takes back what crashes have added to the counts of a task because a run was recorded that no worker has carried out. */
export function subtractRun(state: JobState, key: RunKey): void {
    for (const crash of state.recentCrashes) {
        const counted = crash.runs?.filter(run => isSameRun(run.key, key)) ?? [];
        if (counted.length > 0) {
            const updated = takeBackRuns(state, crash, counted);
            state.recentCrashes = state.recentCrashes.map(other => other === crash ? updated : other);
        }
    }
}

/** Drops the runs of crashes that are too old to be part of a later outage. */
export function forgetRuns(crash: RecentCrash, nowMs: number): RecentCrash {
    return crash.runs === undefined || nowMs - crash.atMs <= runsKeptMs ? crash : { ...crash, runs: undefined };
}
