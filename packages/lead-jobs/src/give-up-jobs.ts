import { formatTaskKey, isJobEnded, type JobRecord, type JobState } from "@chestnutspool/job-state";
import { isDeadly } from "@chestnutspool/track-workers";
import type { TaskKey } from "@chestnutspool/types";
import { Effect } from "effect";
import { propose, type Term, wakePlanner } from "./term.js";

/** A job with a task that crashes the workers that start it. */
interface DeadlyJob {
    readonly job: JobRecord;
    readonly task: TaskKey;
    readonly crashes: number;
}

function findDeadlyTask(job: JobRecord): DeadlyJob | undefined {
    for (const occurrence of job.occurrences.values()) {
        for (const step of occurrence.steps) {
            const task = step.tasks.find(isDeadly);
            if (task !== undefined) {
                const key = {
                    job: job.id,
                    occurrence: occurrence.number,
                    step: step.position,
                    position: task.position,
                };
                return {
                    job,
                    task: key,
                    crashes: Math.max(task.crashes?.crashes ?? 0, task.crashHistory?.crashes ?? 0),
                };
            }
        }
    }
    return undefined;
}

function listDeadlyJobs(state: JobState): DeadlyJob[] {
    return [...state.activeJobs.values()].filter(job => !isJobEnded(job)).flatMap(job => findDeadlyTask(job) ?? []);
}

/** Gives up the jobs with a task that crashes the workers that start it: they end as failed. */
export const giveUpDeadlyJobs = Effect.fnUntraced(function*(term: Term) {
    for (const { job, task, crashes } of listDeadlyJobs(term.machine.state)) {
        if (term.givenUpJobs.has(job.id)) {
            continue;
        }
        term.givenUpJobs.add(job.id);
        const failure = { reason: "workerCrashes", task: formatTaskKey(task) } as const;
        yield* Effect.ensuring(
            propose(term, { kind: "cancelJob", job: job.id, failure }),
            Effect.sync(() => term.givenUpJobs.delete(job.id)),
        );
        term.metrics.countEvent("jobs.failed", job.queue.name, job.queue.service);
        term.logger.warn("job is given up", {
            job: job.id,
            queue: job.queue.name,
            phase: job.phase,
            ...failure,
            crashes,
            runsInProgress: job.runsInProgress,
        });
        wakePlanner(term);
    }
});
