import { isJobEnded, type WorkerState } from "@chestnutspool/job-state";

/**
 * Lists the keys of runs on a worker that are no longer needed, because their job has ended or another run completed
 * their task.
 */
export function listObsoleteRuns(worker: WorkerState): string[] {
    const keys: string[] = [];
    for (const [key, { job, task }] of worker.runs) {
        if (isJobEnded(job) || task.isDone) {
            keys.push(key);
        }
    }
    return keys;
}
