import { findShownPhase, isJobEnded, type JobRecord, type WorkerState } from "@chestnutspool/job-state";
import type { RunStatuses } from "@chestnutspool/track-workers";
import { type ErrorData, type JobPhase, readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { canSendOrders, logStepError, propose, type Term } from "./term.js";

/**
 * Interval at which begun jobs are recorded, in milliseconds. One commit covers all of them, and jobs that end earlier need
 * none; a later leader may show a job of the last interval as queued until a report lists its run.
 */
const recordIntervalMs = 250;

/** Notes that a worker has listed or confirmed a run of a job; callers see it at once. */
export function observeBegunJob(term: Term, job: JobRecord): void {
    if (!job.hasBegun && !isJobEnded(job)) {
        term.begunJobs.add(job.id);
    }
}

/** Notes the jobs of which a worker runs confirmed runs. */
export function observeBegunJobs(term: Term, { runs }: WorkerState, statuses: RunStatuses): void {
    for (const [key, { job }] of runs) {
        if (!job.hasBegun && statuses.get(key)?.start === "confirmed") {
            observeBegunJob(term, job);
        }
    }
}

/** Finds the phase that callers see, by the state and by what this leader has learnt since the last record. */
export function readShownPhase(term: Term, job: JobRecord): JobPhase {
    return term.begunJobs.has(job.id) ? job.phase : findShownPhase(job);
}

/** Records begun jobs until the term ends, so that a later leader knows them. */
export const runBegunJobRecording = Effect.fnUntraced(function*(term: Term) {
    while (canSendOrders(term, yield* readMonotonicMs)) {
        yield* Effect.sleep(recordIntervalMs);
        const observed = [...term.begunJobs];
        const jobs = observed.filter(id => {
            const job = term.machine.state.openJobs.get(id);
            return job !== undefined && !job.hasBegun && !isJobEnded(job);
        });
        const isRecorded = jobs.length === 0 || (yield* Effect.catch(
            Effect.as(propose(term, { kind: "beginJobs", jobs }), true),
            (error: ErrorData) => Effect.as(logStepError(term.logger, "record begun jobs", error), false),
        ));
        if (isRecorded) {
            observed.forEach(id => term.begunJobs.delete(id));
        }
    }
});
