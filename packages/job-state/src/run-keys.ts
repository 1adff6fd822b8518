import type { RunKey, TaskKey } from "@chestnutspool/types";

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
    const parts = text.split(".");
    const job = parts[0] ?? "";
    const occurrence = parts[1] ?? "";
    const step = parts[2] ?? "";
    const position = parts[3] ?? "";
    if (
        parts.length !== 4 || !numberPattern.test(occurrence) || !numberPattern.test(step)
        || !numberPattern.test(position)
    ) {
        return undefined;
    }
    return { job, occurrence: Number(occurrence), step: Number(step), position: Number(position) };
}
