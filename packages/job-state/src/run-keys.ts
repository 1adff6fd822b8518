import type { RunKey, TaskKey } from "@chestnutspool/types";

/** Text form of a task: job, occurrence, step and position, joined by dots. */
export function formatTaskKey(task: TaskKey): string {
    return `${task.job}.${task.occurrence}.${task.step}.${task.position}`;
}

/** Text form of a run: the task, "#" and the number of the run. */
export function formatRunKey(run: RunKey): string {
    return `${formatTaskKey(run)}#${run.run}`;
}

const numberPattern = /^(0|[1-9][0-9]{0,8})$/;

/** The task named by a text; undefined when the text names none. */
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
