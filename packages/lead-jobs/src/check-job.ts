import { canWorkerRun, type JobState } from "@chestnutspool/job-state";
import type { JobDefinition, JobReply, QueueSettings, StepSpec } from "@chestnutspool/types";

/** Limit of the tasks of one job over all steps and occurrences; far above the largest job of the deployments. */
const taskLimit = 20_000;

function findFault(spec: JobDefinition): string | undefined {
    if (spec.steps.length === 0) {
        return "a job needs at least one step";
    }
    let tasks = 0;
    for (const [position, step] of spec.steps.entries()) {
        tasks += step.count * spec.occurrences;
        if (step.count < 1) {
            return `step ${position} has ${step.count} tasks; it needs at least one`;
        }
        if (step.dependsOn.some(earlier => earlier < 0 || earlier >= position)) {
            return `step ${position} depends on a step that does not come before it`;
        }
    }
    return tasks > taskLimit ? `the job has ${tasks} tasks; at most ${taskLimit} are allowed` : undefined;
}

/**
 * Whether a worker of the service could run a task of the step if the worker were empty and had the largest capacity that it
 * has had; true if there are no workers.
 */
function canEverRun(state: JobState, spec: StepSpec, service: string): boolean {
    const workers = [...state.workers.values()].filter(({ info }) => info.service === service);
    return workers.length === 0 || workers.some(worker => canWorkerRun(worker, spec));
}

/** Checks a new job; returns the reply that refuses it, undefined if it is acceptable. */
export function checkJob(state: JobState, spec: JobDefinition, queue: QueueSettings): JobReply | undefined {
    const fault = findFault(spec);
    if (fault !== undefined) {
        return { kind: "invalid", detail: fault };
    }
    if (!spec.steps.every(step => canEverRun(state, step, queue.service))) {
        return { kind: "rejected", reason: "impossible", retryAfterMs: undefined };
    }
    return undefined;
}
