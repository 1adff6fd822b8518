import type { WorkerState } from "@chestnutspool/job-state";
import type { InterferenceModel, UsageHistory } from "@chestnutspool/learn-interference";
import type { RunViews } from "@chestnutspool/track-workers";

/** Time that a serving task needs until its readings are those of its work, in milliseconds. */
const settledAfterMs = 1_000;
/** Progress of a long-running task that has started up, in percent. */
const startedPercent = 100;
/** Age from which a reading shows what a task gets, in milliseconds. */
const readAfterMs = 400;
const fullPacePercent = 100;

/** Notes how much of a worker the tasks that use idle processors use; `nowMs` is monotonic time in milliseconds. */
export function recordUsage(state: WorkerState, views: RunViews, history: UsageHistory, nowMs: number): void {
    const shares = new Map<string, number>();
    const capacity = Math.max(1, state.info.capacity.milliCpu);
    for (const [key, { step }] of state.runs) {
        const view = views.get(key);
        if (!step.spec.usesIdleCpu || view === undefined || view.start !== "confirmed") {
            continue;
        }
        const paced = step.spec.resources.milliCpu * view.pacePercent / fullPacePercent;
        const isRead = view.lastReading !== undefined && view.readAtMs - view.paceChangedAtMs > readAfterMs;
        const image = step.spec.image ?? "";
        const milliCpu = isRead ? Math.min(paced, view.lastReading ?? paced) : paced;
        shares.set(image, (shares.get(image) ?? 0) + milliCpu / capacity);
    }
    history.recordUsage(shares, nowMs);
}

/** Whether a report would teach something, because tasks are beside each other whose images are not known as a pair. */
export function hasUnknownPairs(state: WorkerState, views: RunViews, interference: InterferenceModel): boolean {
    const serving = new Set<string>();
    const filling = new Set<string>();
    for (const [key, { step }] of state.runs) {
        if (step.spec.tailTargetMs !== undefined) {
            serving.add(step.spec.image ?? "");
        }
        else if (step.spec.usesIdleCpu && (views.get(key)?.pacePercent ?? 0) > 0) {
            filling.add(step.spec.image ?? "");
        }
    }
    return [...serving].some(image => [...filling].some(other => interference.isUncertain(image, other)));
}

/** Teaches the model what a report shows of the serving tasks; `nowMs` is monotonic time in milliseconds. */
export function observeMargins(
    state: WorkerState,
    views: RunViews,
    interference: InterferenceModel,
    history: UsageHistory,
    nowMs: number,
): void {
    const uses = history.listUsage();
    for (const [key, { job, step }] of state.runs) {
        const view = views.get(key);
        const { tailTargetMs, image = "" } = step.spec;
        if (tailTargetMs === undefined || view?.lastReading === undefined || view.lastReading <= 0) {
            continue;
        }
        if (view.progressPercent >= startedPercent && nowMs - view.progressAtMs > settledAfterMs) {
            interference.observeMargin(job.id, image, tailTargetMs / view.lastReading, uses, nowMs);
        }
    }
}
