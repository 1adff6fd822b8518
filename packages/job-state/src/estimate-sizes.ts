import type { JobDefinition, QueueConfiguration, StepSpec } from "@chestnutspool/types";
import type { JobSizes } from "./job-state.js";

/** Sizes of parts of the state with what refers to them, in bytes on a 64-bit machine; the test of the estimates measures them. */
const jobBytes = 900;
const stepSpecBytes = 320;
const occurrenceBytes = 320;
const stepBytes = 480;
const taskBytes = 150;
const dependencyBytes = 8;
const queueBytes = 700;

/** Memory of a job that has closed and of its encoded form, in bytes. */
export const closedJobBytes = 1_400;
/** Memory of a run in progress, in bytes. */
export const runBytes = 1_100;
/** Memory of the record of a job that was cancelled before it was known, in bytes. */
export const cancellationBytes = 300;

/**
 * Copies of a text that exist at the same time: in the state, in the last snapshot, in the next one, and in the file that is
 * being written.
 */
const textCopies = 4;

function hasWideCharacters(text: string): boolean {
    return /[^\u0000-\u00ff]/.test(text);
}

/** Estimates the memory of a text and of its copies in snapshots, in bytes. */
export function estimateTextBytes(text: string | undefined): number {
    return text === undefined ? 0 : text.length * textCopies * (hasWideCharacters(text) ? 2 : 1);
}

function estimateSpecBytes({ dependsOn, requiredLabel, rackOfData, image }: StepSpec): number {
    return stepSpecBytes + dependsOn.length * dependencyBytes + estimateTextBytes(requiredLabel)
        + estimateTextBytes(rackOfData) + estimateTextBytes(image);
}

/** Sizes of a closed job, which has no definition. */
export const noSizes: JobSizes = { definitionBytes: 0, occurrenceBytes: 0 };

/** Estimates the memory of the definition of a job and of one of its occurrences, in bytes. */
export function estimateJobSizes({ id, occurrences, payload, steps }: JobDefinition): JobSizes {
    if (occurrences === 0) {
        return noSizes;
    }
    const sizes = { definitionBytes: jobBytes + estimateTextBytes(id) + estimateTextBytes(payload), occurrenceBytes };
    for (const step of steps) {
        sizes.definitionBytes += estimateSpecBytes(step);
        sizes.occurrenceBytes += stepBytes + step.count * taskBytes;
    }
    return sizes;
}

/**
 * Estimates the memory that a job needs once it is accepted, in bytes: of the occurrences of a schedule, one, because the others
 * are created while there is room.
 */
export function estimateJobBytes(definition: JobDefinition): number {
    const { definitionBytes, occurrenceBytes: bytes } = estimateJobSizes(definition);
    return definitionBytes + bytes * (definition.firstAtMs === undefined ? definition.occurrences : 1);
}

/** Estimates the memory of a configuration, in bytes. */
export function estimateConfigurationBytes({ queues, pools, document }: QueueConfiguration): number {
    return (queues.length + pools.length) * queueBytes + document.length * textCopies;
}
