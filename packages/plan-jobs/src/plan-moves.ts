import { formatStepKey, type WorkerRun } from "@chestnutspool/job-state";
import type { RunView } from "@chestnutspool/track-workers";
import type { WorkerId } from "@chestnutspool/types";
import { listCandidates, type PlanInput } from "./plan-starts.js";
import { rateWorker } from "./rate-workers.js";
import { hasCapacity, reserveCapacity, type WorkerCandidate } from "./worker-candidate.js";

/** Time without progress after which a task may move, in milliseconds; a move costs about half a second. */
const starvedAfterMs = 1_200;
/** Time without progress after which a task with reserved processors stands still, in milliseconds; two to three reports. */
const stalledAfterMs = 2_000;
/** Progress from which a task without checkpoints stays, in percent, because it would begin anew. */
const keptProgressPercent = 40;
/** Tasks that a pass moves at most. */
const movesPerPass = 20;

/** A run that makes no progress where it is. */
export interface StalledRun {
    readonly worker: WorkerId;
    readonly runKey: string;
    readonly reason: "standsStill" | "noIdleProcessors";
}

/**
 * A task with reserved processors whose progress stands still though its worker reports; it may start anew elsewhere. A run
 * that is at work moves on at each report.
 */
function isStalled({ step }: WorkerRun, view: RunView, nowMs: number): boolean {
    return !step.spec.usesIdleCpu && !step.spec.longRunning && view.start === "confirmed"
        && view.stopWantedAtMs === undefined && view.readAtMs - view.progressAtMs > stalledAfterMs
        && nowMs - view.readAtMs < stalledAfterMs && nowMs - view.orderedAtMs > 2 * step.spec.expectedRunMs;
}

/** A task that uses idle processors and was slowed down, or gets none, for some time. */
function isStarved({ step }: WorkerRun, view: RunView, nowMs: number): boolean {
    const mayMove = step.spec.checkpointing || view.progressPercent < keptProgressPercent;
    return step.spec.usesIdleCpu && mayMove && view.start === "confirmed" && view.stopWantedAtMs === undefined
        && nowMs - view.progressAtMs > starvedAfterMs && nowMs - view.orderedAtMs > starvedAfterMs;
}

function findOtherWorker(candidates: readonly WorkerCandidate[], worker: WorkerId, run: WorkerRun, input: PlanInput) {
    const { job, occurrence, step } = run;
    const stepKey = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
    const context = { interference: input.interference, tasksByRack: new Map<string, number>() };
    const found = candidates.find(candidate =>
        candidate.state.info.id !== worker && candidate.state.info.service === job.queue.service
        && hasCapacity(candidate, step.spec, stepKey) && rateWorker(candidate, step.spec, context) !== undefined
    );
    if (found !== undefined) {
        reserveCapacity(found, job.id, step.spec, stepKey);
    }
    return found;
}

/**
 * Runs that make no progress, because their worker has no idle processors left or they were slowed down for a serving task,
 * and that would get on elsewhere; `nowMs` is monotonic time in milliseconds.
 */
export function listStalledRuns(input: PlanInput, nowMs: number): StalledRun[] {
    const stuck: StalledRun[] = [];
    let candidates: readonly WorkerCandidate[] | undefined;
    for (const [worker, { runs }] of input.model.workers) {
        const views = input.findViews(worker);
        for (const [runKey, run] of runs) {
            const view = views?.get(runKey);
            if (view === undefined || stuck.length >= movesPerPass) {
                continue;
            }
            if (isStalled(run, view, nowMs)) {
                stuck.push({ worker, runKey, reason: "standsStill" });
                continue;
            }
            if (!isStarved(run, view, nowMs)) {
                continue;
            }
            candidates ??= listCandidates(input);
            if (findOtherWorker(candidates, worker, run, input) !== undefined) {
                stuck.push({ worker, runKey, reason: "noIdleProcessors" });
            }
        }
    }
    return stuck;
}
