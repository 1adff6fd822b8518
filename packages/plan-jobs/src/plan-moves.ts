import { formatStepKey, type WorkerRun } from "@chestnutspool/job-state";
import type { RunView } from "@chestnutspool/track-workers";
import type { WorkerId } from "@chestnutspool/types";
import { listRooms, type PlanInput } from "./plan-starts.js";
import { rateWorker } from "./rate-workers.js";
import { hasRoom, takeRoom, type WorkerRoom } from "./worker-room.js";

/** Time without progress after which a task may move, in milliseconds; a move costs about half a second. */
const stuckAfterMs = 1_200;
/** Time without progress after which a task with reserved processors stands still, in milliseconds; two to three reports. */
const standingAfterMs = 2_000;
/** Progress from which a task without checkpoints stays, in percent, because it would begin anew. */
const keptProgressPercent = 40;
/** Tasks that a pass moves at most. */
const movesPerPass = 20;

/** A run that makes no progress where it is. */
export interface StuckRun {
    readonly worker: WorkerId;
    readonly runKey: string;
    readonly reason: "standsStill" | "noIdleProcessors";
}

/**
 * A task with reserved processors whose progress stands still though its worker reports; it may start anew elsewhere. A run
 * that is at work moves on at each report.
 */
function isStandingStill({ step }: WorkerRun, view: RunView, nowMs: number): boolean {
    return !step.spec.usesIdleCpu && !step.spec.longRunning && view.start === "confirmed"
        && view.stopWantedAtMs === undefined && view.readAtMs - view.progressAtMs > standingAfterMs
        && nowMs - view.readAtMs < standingAfterMs && nowMs - view.orderedAtMs > 2 * step.spec.expectedRunMs;
}

/** A task that uses idle processors and was slowed down, or gets none, for some time. */
function isStuck({ step }: WorkerRun, view: RunView, nowMs: number): boolean {
    const mayMove = step.spec.checkpointing || view.progressPercent < keptProgressPercent;
    return step.spec.usesIdleCpu && mayMove && view.start === "confirmed" && view.stopWantedAtMs === undefined
        && nowMs - view.progressAtMs > stuckAfterMs && nowMs - view.orderedAtMs > stuckAfterMs;
}

function findOtherRoom(rooms: readonly WorkerRoom[], worker: WorkerId, run: WorkerRun, input: PlanInput) {
    const { job, occurrence, step } = run;
    const stepKey = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
    const context = { interference: input.interference, tasksByRack: new Map<string, number>() };
    const found = rooms.find(room =>
        room.state.info.id !== worker && room.state.info.service === job.queue.service
        && hasRoom(room, step.spec, stepKey) && rateWorker(room, step.spec, context) !== undefined
    );
    if (found !== undefined) {
        takeRoom(found, job.id, step.spec, stepKey);
    }
    return found;
}

/**
 * Runs that make no progress, because their worker has no idle processors left or they were slowed down for a serving task,
 * and that would get on elsewhere; `nowMs` is monotonic time in milliseconds.
 */
export function listStuckRuns(input: PlanInput, nowMs: number): StuckRun[] {
    const stuck: StuckRun[] = [];
    let rooms: readonly WorkerRoom[] | undefined;
    for (const [worker, { runs }] of input.model.workers) {
        const views = input.findViews(worker);
        for (const [runKey, run] of runs) {
            const view = views?.get(runKey);
            if (view === undefined || stuck.length >= movesPerPass) {
                continue;
            }
            if (isStandingStill(run, view, nowMs)) {
                stuck.push({ worker, runKey, reason: "standsStill" });
                continue;
            }
            if (!isStuck(run, view, nowMs)) {
                continue;
            }
            rooms ??= listRooms(input);
            if (findOtherRoom(rooms, worker, run, input) !== undefined) {
                stuck.push({ worker, runKey, reason: "noIdleProcessors" });
            }
        }
    }
    return stuck;
}
