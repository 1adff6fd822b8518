import { createRunStatus, type StartState } from "@chestnutspool/track-workers";
import type { Term, WorkerSession } from "./term.js";

/** Adds the statuses of recorded runs that the session does not track yet; `start` is what is known of their orders. */
export function addRecordedRuns(term: Term, session: WorkerSession, start: StartState, nowMs: number): void {
    for (const [key, recorded] of term.machine.state.workers.get(session.info.id)?.runs ?? []) {
        if (!session.runStatuses.has(key)) {
            const { job, occurrence, step, task, run } = recorded;
            const runKey = {
                job: job.id,
                occurrence: occurrence.number,
                step: step.position,
                position: task.position,
                run,
            };
            session.runStatuses.set(key, createRunStatus(runKey, start, nowMs));
        }
    }
}
