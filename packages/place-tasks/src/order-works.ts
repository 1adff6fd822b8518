import type { JobSpec } from "@chestnutspool/types";
import type { PendingWork } from "./pending.js";
import type { RunTimeModel } from "./run-time-model.js";

/** Slack of a job without a deadline at its creation, in milliseconds; it runs within a day at the latest. */
const implicitDeadlineMs = 24 * 3_600_000;
/**
 * Slack that a job is treated as having when it is just too late, in milliseconds. A late job yields to those that can
 * still be on time, and comes forward again as its delay grows, so that it does not starve.
 */
const lateSlackMs = 3_600_000;

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
