import { countFailures, type JobTask } from "@chestnutspool/job-state";
import { isDeadly } from "@chestnutspool/track-workers";
import type { RunStart } from "@chestnutspool/types";
import type { WaitingStep } from "./waiting-steps.js";
import type { WorkerCandidate } from "./worker-candidate.js";

/** Creates the start of a run of a waiting task on a worker. */
export function createStart(waiting: WaitingStep, task: JobTask, run: number, candidate: WorkerCandidate): RunStart {
    return {
        job: waiting.job.id,
        occurrence: waiting.occurrence.number,
        step: waiting.step.position,
        position: task.position,
        run,
        worker: candidate.state.info.id,
    };
}

/** Lists the tasks of a step that wait, have not failed too often and do not crash their workers. */
export function listStartable({ job, step }: WaitingStep): JobTask[] {
    const tasks: JobTask[] = [];
    for (const position of step.waiting) {
        const task = step.tasks[position];
        if (task === undefined || isDeadly(task)) {
            continue;
        }
        if (step.spec.longRunning || countFailures(step, task) < job.queue.maxAttempts) {
            tasks.push(task);
        }
    }
    return tasks;
}
