import { formatRunKey, type JobState, type WorkerRun } from "@chestnutspool/job-state";
import { createSpeedModel, forgetRun, observeEnd, predictUsefulSpeed } from "@chestnutspool/learn-worker-speed";
import { describeObservedRun, observeSpeeds } from "@chestnutspool/plan-jobs";
import type { RunStatuses } from "@chestnutspool/track-workers";
import type { RunEnd } from "@chestnutspool/types";

/** Speed below which a worker reports more often; the same as that of the leader. */
export const doubtfulSpeed = 0.9;

/** Learns the speeds of the workers of a replay as the leader does. */
export interface SimulatedSpeeds {
    /** Observes the runs of a worker that has just reported. */
    readonly observeReport: (state: JobState, worker: string, statuses: RunStatuses, nowMs: number) => void;
    /** Observes the end of a run whose status is still known. */
    readonly observeEnd: (
        state: JobState,
        worker: string,
        run: WorkerRun,
        statuses: RunStatuses | undefined,
        end: RunEnd,
        nowMs: number,
    ) => void;
    readonly predictSpeed: (worker: string, nowMs: number) => number;
}

/** Creates a model without observations. All starts are those of this leader, so that their times are known. */
export function createSimulatedSpeeds(): SimulatedSpeeds {
    const model = createSpeedModel();
    return {
        observeReport: (state, worker, statuses, nowMs) => {
            const known = state.workers.get(worker);
            if (known !== undefined) {
                observeSpeeds(known, statuses, model, 0, nowMs);
            }
        },
        observeEnd: (state, worker, run, statuses, end, nowMs) => {
            const key = formatRunKey(end);
            const known = state.workers.get(worker);
            const status = statuses?.get(key);
            if (known === undefined || status === undefined) {
                return;
            }
            if (end.outcome === "succeeded" || end.outcome === "failed") {
                observeEnd(model, describeObservedRun(known.info, key, run, status, 0), end.outcome, nowMs);
            }
            else {
                forgetRun(model, key);
            }
        },
        predictSpeed: (worker, nowMs) => predictUsefulSpeed(model, worker, nowMs),
    };
}
