import { createRunKey } from "@chestnutspool/job-state";
import { createRunStatus, type StartState } from "@chestnutspool/track-workers";
import type { Term, WorkerSession } from "./term.js";

/** Adds the statuses of recorded runs that the session does not track yet; `start` is what is known of their orders. */
export function addRecordedRuns(term: Term, session: WorkerSession, start: StartState, nowMs: number): void {
    for (const [key, recorded] of term.machine.state.workers.get(session.info.id)?.runs ?? []) {
        if (!session.runStatuses.has(key)) {
            const status = createRunStatus(createRunKey(recorded), start, nowMs);
            // An earlier leader may have slowed it down.
            status.isPaceUncertain = recorded.step.spec.usesIdleCpu;
            session.runStatuses.set(key, status);
        }
    }
}
