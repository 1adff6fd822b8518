import type { JobOccurrence, JobRecord } from "@chestnutspool/job-state";

/**
 * What waiting work can still achieve. The load it answers: more work than the processors can do for some seconds. In the order of
 * deadlines alone, every job then ends a little late, because the ones that are late already go first.
 */
export type Lateness = "inTime" | "late" | "tooLate";

/** An outcome is worth less after its objective and nothing after this multiple of it; source: the users' terms. */
const lateFactor = 3;
/** Declared run times are often far off, so that a job whose objective is passed by less than this factor counts as in time. */
const estimateTolerance = 1.4;
const milliCpuPerCore = 1000;

/** Time from the start of an occurrence until it should be complete, in milliseconds. */
function computeObjectiveMs(job: JobRecord): number {
    return computeChainMs(job, () => true) * job.queue.slackFactor + job.queue.targetLatencyMs;
}

/** Longest chain of declared run times through the steps that count, in milliseconds. */
function computeChainMs(job: JobRecord, counts: (step: number) => boolean): number {
    const { steps } = job.definition;
    const chains: number[] = [];
    steps.forEach((step, position) => {
        const before = Math.max(0, ...step.dependsOn.map(earlier => chains[earlier] ?? 0));
        chains[position] = before + (counts(position) ? step.expectedRunMs : 0);
    });
    return Math.max(0, ...chains);
}

/**
 * Size of what an occurrence still needs, for the order among those with the same lateness: small and short ones go first, so that
 * more of them end in time. It weighs remaining work, in core-milliseconds, by its square root, and the objective in full.
 */
export function computeSize(job: JobRecord, occurrence: JobOccurrence): number {
    let work = 0;
    for (const { spec, tasksLeft } of occurrence.steps) {
        work += tasksLeft * spec.expectedRunMs * spec.resources.milliCpu / milliCpuPerCore;
    }
    return Math.sqrt(work) * computeObjectiveMs(job);
}

/** Tells what an occurrence can still achieve at `nowMs`, wall-clock time in milliseconds, if its tasks start now. */
export function predictLateness(job: JobRecord, occurrence: JobOccurrence, nowMs: number): Lateness {
    const remainingMs = computeChainMs(job, step => (occurrence.steps[step]?.tasksLeft ?? 0) > 0);
    const objectiveMs = computeObjectiveMs(job);
    const tookMs = nowMs + remainingMs - (occurrence.dueAtMs ?? job.acceptedAtMs);
    if (tookMs <= objectiveMs * estimateTolerance) {
        return "inTime";
    }
    return tookMs <= objectiveMs * lateFactor ? "late" : "tooLate";
}
