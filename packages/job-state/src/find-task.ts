import type { TaskKey } from "@chestnutspool/types";
import type { JobState } from "./job-state.js";

/** Finds a task with its job, occurrence and step; undefined if one of them is not known any more, or is not created yet. */
export function findTask(state: JobState, key: TaskKey) {
    const job = state.jobs.get(key.job);
    const occurrence = job?.occurrences.get(key.occurrence);
    const step = occurrence?.steps[key.step];
    const task = step?.tasks[key.position];
    if (job === undefined || occurrence === undefined || step === undefined || task === undefined) {
        return undefined;
    }
    return { job, occurrence, step, task };
}
