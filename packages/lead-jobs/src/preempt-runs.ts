import { formatTaskKey } from "@chestnutspool/job-state";
import type { EndedReservation, Preemption, PreemptionPlan } from "@chestnutspool/plan-preemption";
import { Effect } from "effect";
import { requestStop } from "./send-orders.js";
import type { Term } from "./term.js";

/** Logs the room that a task gets: at level debug if no run is stopped for it, because its worker frees enough. */
function logPreemption(term: Term, preemption: Preemption): void {
    const { task, queue, service, worker, victims, lossCoreMs, budgetLeftCoreMs } = preemption;
    for (const victim of victims) {
        term.metrics.countEvent("runs.preempted", victim.queue, service);
    }
    term.metrics.countEvent("preemption.lostCoreMs", queue, service, Math.round(lossCoreMs));
    const writeLog = victims.length > 0 ? term.logger.info : term.logger.debug;
    writeLog("capacity is reserved for a task", {
        job: task.job,
        task: formatTaskKey(task),
        queue,
        worker,
        stops: victims.map(({ runKey }) => runKey).join(" "),
        lossCoreMs: Math.round(lossCoreMs),
        budgetLeftCoreMs: Math.round(budgetLeftCoreMs),
    });
}

/** Logs what came of a reservation: at level debug if no run was stopped for it and it was used. */
function logEndedReservation(term: Term, ended: EndedReservation): void {
    const { task, queue, service, worker, stoppedRuns, outcome, tookMs, freedAfterMs } = ended;
    term.metrics.countEvent(`reservations.${outcome}`, queue, service);
    if (outcome === "started") {
        term.metrics.recordDuration("reservedToStartMs", queue, service, tookMs);
    }
    const writeLog = stoppedRuns > 0 || outcome === "expired" ? term.logger.info : term.logger.debug;
    writeLog("reservation ended", {
        job: task.job,
        task: formatTaskKey(task),
        queue,
        worker,
        stoppedRuns,
        outcome,
        tookMs: Math.round(tookMs),
        freedAfterMs: freedAfterMs === undefined ? undefined : Math.round(freedAfterMs),
    });
}

/** Stops the runs that are preempted, and logs what came of earlier reservations. `nowMs` is monotonic. */
export const carryOutPreemptions = Effect.fnUntraced(function*(term: Term, plan: PreemptionPlan, nowMs: number) {
    plan.endedReservations.forEach(ended => logEndedReservation(term, ended));
    for (const preemption of plan.preemptions) {
        logPreemption(term, preemption);
        const session = term.sessions.get(preemption.worker);
        if (session === undefined) {
            continue;
        }
        for (const { runKey } of preemption.victims) {
            yield* requestStop(term, session, runKey, "preempted", nowMs);
        }
    }
});
