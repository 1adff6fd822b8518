import { estimateTextBytes } from "./estimate-sizes.js";
import type { JobRecord, JobStep, JobTask } from "./job-state.js";

/** Sets the checkpoint of a task, and counts its memory for the job. */
export function setCheckpoint(job: JobRecord, task: JobTask, checkpoint: string): void {
    job.checkpointBytes += estimateTextBytes(checkpoint) - estimateTextBytes(task.checkpoint);
    task.checkpoint = checkpoint;
}

function findMemberCheckpoint({ tasks }: JobStep, isIncluded: (member: JobTask) => boolean): string | undefined {
    return tasks.find(member => member.checkpoint !== "" && isIncluded(member))?.checkpoint;
}

/**
 * Records the checkpoint with which a run has ended; empty if it has saved none. The members of a gang without a run all have one
 * checkpoint, the last that a member saved; members in progress keep the one with which they started, because their orders
 * may still be sent. A member that returns the checkpoint of its start has saved nothing.
 */
export function recordCheckpoint(job: JobRecord, step: JobStep, task: JobTask, checkpoint: string): void {
    if (!step.spec.gang) {
        setCheckpoint(job, task, checkpoint === "" ? task.checkpoint : checkpoint);
        return;
    }
    const idle = step.tasks.filter(member => member === task || member.runs.length === 0);
    const hasSaved = checkpoint !== "" && checkpoint !== task.checkpoint;
    const shared = hasSaved
        ? checkpoint
        : findMemberCheckpoint(step, member => member !== task && member.runs.length === 0) ?? task.checkpoint;
    for (const member of idle) {
        setCheckpoint(job, member, shared);
    }
}

/**
 * Gives a member of a gang that starts the checkpoint of all members, because an earlier build may have recorded one for
 * each.
 */
export function unifyCheckpoint(job: JobRecord, step: JobStep, task: JobTask): void {
    if (step.spec.gang) {
        setCheckpoint(job, task, findMemberCheckpoint(step, () => true) ?? "");
    }
}
