import type { JobOccurrence, JobRecord, JobStep } from "@chestnutspool/job-state";
import { forgottenAfterMs } from "./step-waits.js";
import type { WaitingStep } from "./waiting-steps.js";

/**
 * Rule that keeps the next trial of a step from starting: as many workers are on trial as may be, its job has another run so that its
 * trial goes after the steps of the pass, each worker with room for it is on trial, or none has room beside what was planned before it.
 */
export type TrialObstacle = "noFreeTrial" | "jobHasRun" | "workersOnTrial" | "noRoom";

/** A step with tasks that wait for a trial. Times are wall-clock times in milliseconds since the epoch. */
export interface BlockedTrial {
    readonly job: JobRecord;
    readonly occurrence: JobOccurrence;
    readonly step: JobStep;
    /** Tasks that wait for their trial. */
    readonly tasks: number;
    readonly obstacle: TrialObstacle;
    /** When the wait began, and when the same obstacle was first found. */
    readonly sinceMs: number;
    readonly obstacleSinceMs: number;
    readonly foundAtMs: number;
}

/** Steps with tasks that wait for a trial. */
export type BlockedTrials = Map<JobStep, BlockedTrial>;

/** Records that a pass at `nowMs` found no trial for `tasks` tasks of a step. */
export function recordBlockedTrial(
    blocked: BlockedTrials,
    { job, occurrence, step }: WaitingStep,
    tasks: number,
    obstacle: TrialObstacle,
    nowMs: number,
): void {
    const known = blocked.get(step);
    const sinceMs = known?.sinceMs ?? nowMs;
    const obstacleSinceMs = known?.obstacle === obstacle ? known.obstacleSinceMs : nowMs;
    blocked.set(step, { job, occurrence, step, tasks, obstacle, sinceMs, obstacleSinceMs, foundAtMs: nowMs });
}

/** Forgets the steps that no pass has lately found waiting for a trial. */
export function expireBlockedTrials(blocked: BlockedTrials, nowMs: number): void {
    for (const [step, { foundAtMs }] of blocked) {
        if (nowMs - foundAtMs > forgottenAfterMs) {
            blocked.delete(step);
        }
    }
}
