import type { JobSpec, PlacementSection } from "@chestnutspool/types";
import type { PendingWork } from "./pending-works.js";
import type { RunTimeModel } from "./run-time-model.js";

/** Deadline of a job that declares none, in milliseconds after its creation; it runs within a day at the latest. */
const implicitDeadlineMs = 24 * 3_600_000;
/**
 * Slack assigned to a job that has just become unable to meet its deadline, in milliseconds. A late job yields to jobs
 * that can still meet theirs; its assigned slack shrinks as its delay grows, so that it does not starve.
 */
const lateSlackMs = 3_600_000;

/** Slack, as a multiple of the run time, from which a job can wait for a better worker. */
const ampleSlackRuns = 4;
/** Wait, as a multiple of the run time, after which a job starts on any worker with room. */
const waitLimitRuns = 2;
/** Factor by which the slowdown that a job may add to urgent tasks grows until it starts on any worker with room. */
const addedSlowdownGrowth = 4;

function computeJobSlackMs(spec: JobSpec, createdAtMs: number, runTimes: RunTimeModel, nowMs: number): number {
    const deadlineAtMs = spec.deadlineAtMs ?? createdAtMs + implicitDeadlineMs;
    const slackMs = deadlineAtMs - nowMs - runTimes.estimateRunMs(spec);
    return slackMs >= 0 ? slackMs : Math.max(0, lateSlackMs + slackMs);
}

/**
 * Time that the start of a batch work can wait, in milliseconds; the least slack goes first. A watch resumes before
 * jobs.
 */
export function computeStartSlackMs(work: PendingWork, runTimes: RunTimeModel, nowMs: number): number {
    switch (work.spec.kind) {
        case "service":
        case "watch":
            return -1;
        case "job":
            return computeJobSlackMs(work.spec, work.tasks[0]?.createdAtMs ?? nowMs, runTimes, nowMs);
    }
}

/**
 * Limit of the weighted slowdown that a batch task may add to the urgent tasks of the worker where it starts. It grows
 * from the weight of batch throughput to `addedSlowdownGrowth` times that weight while the slack shrinks to 0 or the
 * wait reaches `waitLimitRuns` run times; after that there is no limit, so that every task starts.
 */
export function computeAddedSlowdownLimit(
    settings: PlacementSection,
    work: PendingWork,
    runTimes: RunTimeModel,
    nowMs: number,
): number {
    const { spec, tasks } = work;
    if (spec.kind !== "job") {
        return Infinity;
    }
    const runMs = Math.max(1, runTimes.estimateLongRunMs(spec));
    const deadlineAtMs = spec.deadlineAtMs ?? Infinity;
    const slackMs = deadlineAtMs - nowMs - runMs;
    const waitedMs = nowMs - (tasks[0]?.createdAtMs ?? nowMs);
    const pressure = Math.max(1 - slackMs / (ampleSlackRuns * runMs), waitedMs / (waitLimitRuns * runMs), 0);
    return pressure >= 1 ? Infinity : settings.batchThroughputWeight * (1 + (addedSlowdownGrowth - 1) * pressure);
}

/** Sorts works by class, then by the slack to their deadline, then by name, so that the order is deterministic. */
export function sortPendingWorks(works: readonly PendingWork[], runTimes: RunTimeModel, nowMs: number): PendingWork[] {
    const rankClass = ({ spec }: PendingWork): number => spec.kind === "service" ? 0 : 1;
    return works.map(work => ({ work, slackMs: computeStartSlackMs(work, runTimes, nowMs) }))
        .sort((left, right) =>
            rankClass(left.work) - rankClass(right.work)
            || left.slackMs - right.slackMs
            || (left.work.spec.name < right.work.spec.name ? -1 : 1)
        )
        .map(({ work }) => work);
}
