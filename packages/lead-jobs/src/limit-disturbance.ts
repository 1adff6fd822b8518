import { formatTaskKey, type WorkerState } from "@chestnutspool/job-state";
import type { ImageUse } from "@chestnutspool/learn-interference";
import { type PaceChange, planPaces } from "@chestnutspool/plan-jobs";
import type { RunViews } from "@chestnutspool/track-workers";
import { readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { recordAnswer } from "./give-orders.js";
import type { Term, WorkerSession } from "./term.js";

/** Time allowed for an order on pace, in milliseconds; the next report corrects one that is lost. */
const paceLimitMs = 500;
/** Time that a serving task needs until its readings are those of its work, in milliseconds. */
const settledAfterMs = 1_000;
/** Progress of a long-running task that has started up, in percent. */
const startedPercent = 100;

/** Processor time in use on a worker by tasks that use idle processors, by image. */
function listUses(state: WorkerState, views: RunViews): ImageUse[] {
    const shares = new Map<string, number>();
    for (const [key, { step }] of state.runs) {
        const reading = views.get(key)?.lastReading;
        if (step.spec.usesIdleCpu && reading !== undefined) {
            const image = step.spec.image ?? "";
            shares.set(image, (shares.get(image) ?? 0) + reading / Math.max(1, state.info.capacity.milliCpu));
        }
    }
    return [...shares].map(([image, share]) => ({ image, share }));
}

/** Teaches the model what a report shows of the serving tasks. */
function observeReport(term: Term, state: WorkerState, views: RunViews, nowMs: number): void {
    const uses = listUses(state, views);
    for (const [key, { job, step }] of state.runs) {
        const view = views.get(key);
        const { tailTargetMs, image = "" } = step.spec;
        if (tailTargetMs === undefined || view?.lastReading === undefined || view.lastReading <= 0) {
            continue;
        }
        if (view.progressPercent >= startedPercent && nowMs - view.progressAtMs > settledAfterMs) {
            term.interference.observeMargin(job.id, image, tailTargetMs / view.lastReading, uses, nowMs);
        }
    }
}

const sendPace = Effect.fnUntraced(function*(term: Term, session: WorkerSession, change: PaceChange) {
    const view = session.views.get(change.runKey);
    if (view === undefined) {
        return;
    }
    const before = view.pacePercent;
    view.pacePercent = change.percent;
    const answer = yield* term.workers.paceRun(session.info, view.key, change.percent, term.number, paceLimitMs);
    recordAnswer(term, session, answer, yield* readMonotonicMs);
    if (answer.kind !== "done") {
        view.pacePercent = before;
    }
    term.logger.info("pace of a run changed", {
        job: view.key.job,
        task: formatTaskKey(view.key),
        worker: session.info.id,
        percent: change.percent,
        before,
        answer: answer.kind,
    });
});

/** Learns from the report that was just taken, and slows down or lets go the tasks that use idle processors. */
export const limitDisturbance = Effect.fnUntraced(function*(term: Term, session: WorkerSession, state: WorkerState) {
    const nowMs = yield* readMonotonicMs;
    observeReport(term, state, session.views, nowMs);
    for (const change of planPaces(state, session.views, term.interference)) {
        yield* Effect.forkIn(sendPace(term, session, change), term.scope);
    }
});
