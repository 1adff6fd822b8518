import type { WorkerState } from "@chestnutspool/job-state";
import type { InterferenceModel, UsageHistory } from "@chestnutspool/learn-interference";
import type { RunStatuses } from "@chestnutspool/track-workers";

/** Time after the start-up of a serving task until its readings reflect its load, in milliseconds. */
const warmUpMs = 1_000;
/** Progress that a long-running task reports once it has started up, in percent. */
const startedPercent = 100;
/** Time after a start or a change of pace until readings reflect it, in milliseconds. */
const readingDelayMs = 400;
const fullPacePercent = 100;

/** Records which share of a worker its best-effort tasks use, by image; `nowMs` is monotonic time in milliseconds. */
export function recordUsage(state: WorkerState, statuses: RunStatuses, history: UsageHistory, nowMs: number): void {
    const shares = new Map<string, number>();
    const capacity = Math.max(1, state.info.capacity.milliCpu);
    for (const [key, { step }] of state.runs) {
        const status = statuses.get(key);
        if (!step.spec.usesIdleCpu || status === undefined || status.start !== "confirmed") {
            continue;
        }
        const pacedMilliCpu = step.spec.resources.milliCpu * status.pacePercent / fullPacePercent;
        const hasReading = status.lastReading !== undefined
            && status.readAtMs - status.paceChangedAtMs > readingDelayMs;
        const image = step.spec.image ?? "";
        const milliCpu = hasReading ? Math.min(pacedMilliCpu, status.lastReading ?? pacedMilliCpu) : pacedMilliCpu;
        shares.set(image, (shares.get(image) ?? 0) + milliCpu / capacity);
    }
    history.recordUsage(shares, nowMs);
}

/** Whether a worker runs a serving and a best-effort task whose interference is not known well enough yet. */
export function hasUncertainPairs(state: WorkerState, statuses: RunStatuses, interference: InterferenceModel): boolean {
    const servingImages: string[] = [];
    for (const { step } of state.runs.values()) {
        if (step.spec.tailTargetMs !== undefined) {
            servingImages.push(step.spec.image ?? "");
        }
    }
    if (servingImages.length === 0) {
        return false;
    }
    for (const [key, { step }] of state.runs) {
        const isBestEffort = step.spec.usesIdleCpu && step.spec.tailTargetMs === undefined;
        if (isBestEffort && (statuses.get(key)?.pacePercent ?? 0) > 0) {
            const image = step.spec.image ?? "";
            if (servingImages.some(serving => interference.isUncertain(serving, image))) {
                return true;
            }
        }
    }
    return false;
}

/** Updates the model with the margins of the serving tasks in a report; `nowMs` is monotonic time in milliseconds. */
export function observeMargins(
    state: WorkerState,
    statuses: RunStatuses,
    interference: InterferenceModel,
    history: UsageHistory,
    nowMs: number,
): void {
    const usages = history.listUsage();
    for (const [key, { job, step }] of state.runs) {
        const status = statuses.get(key);
        const { tailTargetMs, image = "" } = step.spec;
        if (tailTargetMs === undefined || status?.lastReading === undefined || status.lastReading <= 0) {
            continue;
        }
        if (status.progressPercent >= startedPercent && nowMs - status.progressAtMs > warmUpMs) {
            interference.observeMargin(job.id, image, tailTargetMs / status.lastReading, usages, nowMs);
        }
    }
}
