import type { JobDefinition, JobId, QueueSettings, StepSpec } from "@chestnutspool/types";
import { estimateJobSizes } from "./estimate-sizes.js";
import type { JobOccurrence, JobRecord, JobStep, JobTask, RunInProgress } from "./job-state.js";

/** Shared by all tasks without a run. */
const noRuns: readonly RunInProgress[] = [];

function createStep(spec: StepSpec, position: number): JobStep {
    const tasks: JobTask[] = [];
    const waiting = new Set<number>();
    for (let index = 0; index < spec.count; index += 1) {
        tasks.push({
            position: index,
            isDone: false,
            lastRun: 0,
            failures: 0,
            crashes: undefined,
            crashHistory: undefined,
            checkpoint: "",
            runs: noRuns,
        });
        waiting.add(index);
    }
    return {
        spec,
        position,
        tasks,
        tasksLeft: spec.count,
        waiting,
        gangFailures: 0,
        lastFailedGangRun: 0,
        doneAtMs: undefined,
    };
}

/** Computes when an occurrence is due, in milliseconds since the epoch; undefined: at once. */
export function computeDueMs({ firstAtMs, intervalMs }: JobDefinition, number: number): number | undefined {
    return firstAtMs === undefined ? undefined : firstAtMs + number * intervalMs;
}

/** Creates an occurrence none of whose tasks has run. */
export function createOccurrence(definition: JobDefinition, number: number): JobOccurrence {
    return {
        number,
        dueAtMs: computeDueMs(definition, number),
        steps: definition.steps.map(createStep),
        stepsLeft: definition.steps.length,
    };
}

/** Creates the definition that a closed job keeps: its id without steps. */
export function createEmptyDefinition(id: JobId): JobDefinition {
    return { id, payload: "", steps: [], occurrences: 0, firstAtMs: undefined, intervalMs: 0 };
}

/** Whether the occurrences of a job are created only when they are due. */
function isScheduled({ firstAtMs, occurrences }: JobDefinition): boolean {
    return firstAtMs !== undefined && occurrences > 1;
}

/** Names each earlier step once. A list of 130,000 names of one step would be read in each pass of the planner. */
function removeRepeatedNames(definition: JobDefinition): JobDefinition {
    const hasRepeatedNames = definition.steps.some(({ dependsOn }) => new Set(dependsOn).size < dependsOn.length);
    return hasRepeatedNames
        ? {
            ...definition,
            steps: definition.steps.map(step => ({ ...step, dependsOn: [...new Set(step.dependsOn)] })),
        }
        : definition;
}

/** Creates the record of a job without any occurrence. */
export function createJobRecord(definition: JobDefinition, queue: QueueSettings, acceptedAtMs: number): JobRecord {
    const stored = removeRepeatedNames(definition);
    return {
        id: definition.id,
        definition: stored,
        queue,
        phase: "queued",
        hasBegun: false,
        acceptedAtMs,
        endedAtMs: undefined,
        failure: undefined,
        occurrences: new Map(),
        createdUntil: 0,
        changedUntil: isScheduled(stored) ? 0 : stored.occurrences,
        runsInProgress: 0,
        sizes: estimateJobSizes(stored),
        checkpointBytes: 0,
        heldBytes: 0,
    };
}

/** Creates the next occurrence of a job. */
export function addNextOccurrence(job: JobRecord): void {
    job.occurrences.set(job.createdUntil, createOccurrence(job.definition, job.createdUntil));
    job.createdUntil += 1;
}

/** Creates the record of a job that was just accepted, with its occurrences unless they follow a schedule. */
export function createJob(definition: JobDefinition, queue: QueueSettings, acceptedAtMs: number): JobRecord {
    const job = createJobRecord(definition, queue, acceptedAtMs);
    while (job.createdUntil < job.changedUntil) {
        addNextOccurrence(job);
    }
    return job;
}
