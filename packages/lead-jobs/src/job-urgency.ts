import { findReadyAtMs, isStepReady } from "@chestnutspool/job-state";
import { findUrgency, type Urgency } from "@chestnutspool/plan-jobs";
import { recordStarts } from "@chestnutspool/ration-leader-time";
import type { JobId, RunStart } from "@chestnutspool/types";
import { recordStage } from "./term-load.js";
import type { Term } from "./term.js";

/** Finds how urgent a job is; one that is not known is urgent, so that nothing is held back for it. */
export function findJobUrgency({ machine }: Pick<Term, "machine">, id: JobId): Urgency {
    const { configuration, jobs } = machine.state;
    const job = jobs.get(id);
    return job === undefined ? "urgent" : findUrgency(configuration, job.queue);
}

/** Whether an urgent job has a task that may start now. */
function hasStartableTask({ machine }: Pick<Term, "machine">, id: JobId): boolean {
    const { configuration, jobs } = machine.state;
    const job = jobs.get(id);
    if (job === undefined || findUrgency(configuration, job.queue) !== "urgent") {
        return false;
    }
    for (const occurrence of job.occurrences.values()) {
        if (occurrence.steps.some(step => step.waiting.size > 0 && isStepReady(occurrence, step))) {
            return true;
        }
    }
    return false;
}

/** Finds how urgent a pass of the planner is after the ends of some runs: urgent if a job of one of them goes on with urgent tasks. */
export function findEndUrgency(term: Pick<Term, "machine">, ends: readonly { readonly job: JobId; }[]): Urgency {
    return ends.some(({ job }) => hasStartableTask(term, job)) ? "urgent" : "deferrable";
}

/** Since when a task of a step has been ready to start, as wall-clock time in milliseconds; undefined for later runs of a task. */
function findReadyMs(
    { machine }: Term,
    { job: id, occurrence: number, step: position, run }: RunStart,
): number | undefined {
    const job = machine.state.jobs.get(id);
    const occurrence = job?.occurrences.get(number);
    const step = occurrence?.steps[position];
    if (job === undefined || occurrence === undefined || step === undefined || run > 1) {
        return undefined;
    }
    return findReadyAtMs(job, occurrence, step);
}

/** Records committed starts by urgency, and how long each task had been ready at `wallMs`, wall-clock time in milliseconds. */
export function recordCommittedStarts(term: Term, starts: readonly RunStart[], wallMs: number): void {
    const counts = { urgent: 0, deferrable: 0 };
    for (const start of starts) {
        const urgency = findJobUrgency(term, start.job);
        term.load.startsByUrgency[urgency] += 1;
        counts[urgency] += 1;
        const readyMs = findReadyMs(term, start);
        if (readyMs !== undefined) {
            recordStage(term.load, urgency, "startCommit", wallMs - readyMs);
        }
    }
    recordStarts(term.ration, counts);
}
