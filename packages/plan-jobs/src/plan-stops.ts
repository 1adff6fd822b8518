import { isJobEnded, type WorkerState } from "@chestnutspool/job-state";

/** Keys of the runs of a worker that nobody needs any more, because the job has ended or another copy was faster. */
export function listObsoleteRuns(worker: WorkerState): string[] {
    const keys: string[] = [];
    for (const [key, { job, task }] of worker.runs) {
        if (isJobEnded(job) || task.isDone) {
            keys.push(key);
        }
    }
    return keys;
}
