import type { RunKey, TaskKey } from "@chestnutspool/types";
import type { WorkerRun } from "./job-state.js";

/** Creates the key of a recorded run. */
export function createRunKey({ job, occurrence, step, task, run }: WorkerRun): RunKey {
    return { job: job.id, occurrence: occurrence.number, step: step.position, position: task.position, run };
}

/** Text form of a step of one occurrence: job, occurrence and step, joined by dots. */
export function formatStepKey({ job, occurrence, step }: Omit<TaskKey, "position">): string {
    return `${job}.${occurrence}.${step}`;
}

/** Text form of a task: that of its step, a dot and the position. */
export function formatTaskKey(task: TaskKey): string {
    return `${formatStepKey(task)}.${task.position}`;
}

/** Text form of a run: the task, "#" and the number of the run. */
export function formatRunKey(run: RunKey): string {
    return `${formatTaskKey(run)}#${run.run}`;
}

const numberPattern = /^(0|[1-9][0-9]{0,8})$/;

/** Parses the text form of a task; undefined when the text is not one. */
export function parseTaskKey(text: string): TaskKey | undefined {
    const [job, occurrence, step, position, ...rest] = text.split(".");
    if (job === undefined || occurrence === undefined || step === undefined || position === undefined) {
        return undefined;
    }
    if (rest.length > 0 || ![occurrence, step, position].every(part => numberPattern.test(part))) {
        return undefined;
    }
    return { job, occurrence: Number(occurrence), step: Number(step), position: Number(position) };
}
