import type { JobSpec, PlacementSection } from "@chestnutspool/types";
import type { PendingWork } from "./pending.js";
import type { RunTimeModel } from "./run-time-model.js";

/** Slack of a job without a deadline at its creation, in milliseconds; it runs within a day at the latest. */
const implicitDeadlineMs = 24 * 3_600_000;
/**
 * Slack that a job is treated as having when it is just too late, in milliseconds. A late job yields to those that can
 * still be on time, and comes forward again as its delay grows, so that it does not starve.
 */
const lateSlackMs = 3_600_000;

/** Slack, in run times of the task, at which a job can wait for a better place. */
const ampleSlackRuns = 4;
/** Wait, in run times of the task, after which a job takes any place. */
const patienceRuns = 2;
/** Growth of the harm that a job may do before it takes any place. */
const harmGrowth = 4;

function computeJobSlackMs(spec: JobSpec, createdAtMs: number, runTimes: RunTimeModel, nowMs: number): number {
    const deadlineAtMs = spec.deadlineAtMs ?? createdAtMs + implicitDeadlineMs;
    const slackMs = deadlineAtMs - nowMs - runTimes.estimateRunMs(spec);
    return slackMs >= 0 ? slackMs : Math.max(0, lateSlackMs + slackMs);
}

/** Milliseconds by which the start of a batch work can wait; the least goes first. A watch resumes before jobs. */
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
 * Weighted slowdown that a batch task may add to urgent ones where it starts. It grows from the weight of batch work to
 * `harmGrowth` times as much while the slack shrinks to nothing or the wait reaches `patienceRuns` run times; beyond that
 * there is no limit, so that every task starts.
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
    const pressure = Math.max(1 - slackMs / (ampleSlackRuns * runMs), waitedMs / (patienceRuns * runMs), 0);
    return pressure >= 1 ? Infinity : settings.batchThroughputWeight * (1 + (harmGrowth - 1) * pressure);
}

/** Sorts works by class and then by the slack to their deadline; ties by name, so that the order is stable. */
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
