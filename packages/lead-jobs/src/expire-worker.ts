import { formatRunKey, type WorkerState } from "@chestnutspool/job-state";
import { computeLeaseEndMs, findCrashSuspects } from "@chestnutspool/track-workers";
import { readMonotonicMs, type RenewAnswer, type RunEnd, type RunKey } from "@chestnutspool/types";
import { Effect } from "effect";
import { giveUpDeadlyJobs } from "./give-up-jobs.js";
import { logRunEnded, logSharedCrash, logWorkerCrash } from "./log-decisions.js";
import { recordOpenOrder } from "./open-orders.js";
import { propose, type Term, wakePlanner, type WorkerSession } from "./term.js";

/**
 * Time after a worker announced that it leaves until its runs count as ended, in milliseconds; the worker ends right
 * after the announcement.
 */
export const leaveGraceMs = 1_000;
/** Silence after which a worker whose lease has expired is removed, in milliseconds. */
const removeAfterSilenceMs = 15_000;

/** Finds the recorded state of the worker of a session. */
export function findWorkerState(term: Term, session: WorkerSession): WorkerState | undefined {
    return term.machine.state.workers.get(session.info.id);
}

/** Whether the recorded state of a worker is of the start that a session is for. */
export function isStartRecorded(term: Term, session: WorkerSession): boolean {
    const state = findWorkerState(term, session);
    return state !== undefined && state.info.bornAtMs === session.info.bornAtMs;
}

/** Whether a worker has said that it will end, so that its end is no crash. */
export function hasAnnouncedEnd(term: Term, session: WorkerSession): boolean {
    return session.leftAtMs !== undefined || findWorkerState(term, session)?.isDraining === true;
}

/** Why the runs of a worker have ended with it. */
export interface WorkerEnd {
    readonly reason: string;
    /** Whether the worker will not come back under its identity. */
    readonly isGone: boolean;
    /** Whether it has certainly crashed. */
    readonly isCrash: boolean;
    /** Whether it has started again under its identity; false if absent. */
    readonly hasRestarted?: boolean;
    /** When it had certainly crashed, in monotonic milliseconds; undefined if that is not known. */
    readonly crashedBeforeMs?: number;
}

/**
 * Records the end of the runs of a worker that is gone or whose lease has certainly expired. Those in `kept` go on: their start
 * may yet be carried out.
 */
export const expireWorker = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    { reason, isGone, isCrash, hasRestarted = false, crashedBeforeMs }: WorkerEnd,
    kept: readonly RunKey[] = [],
) {
    const state = findWorkerState(term, session);
    if (state === undefined || (state.runs.size === 0 && !isGone && !hasRestarted)) {
        return;
    }
    term.logger.warn("runs of a worker have ended with its lease", {
        worker: session.info.id,
        runs: state.runs.size,
        isGone,
        reason,
    });
    const keptKeys = new Set(kept.map(formatRunKey));
    const lapsed = [...session.runStatuses].filter(([key]) => !keptKeys.has(key)).map(
        ([, { key, checkpoint }]): RunEnd => ({ ...key, outcome: "lapsed", checkpoint }),
    );
    const checkpoints = lapsed.filter(end => end.checkpoint !== "");
    const nowMs = yield* readMonotonicMs;
    const silentSinceMs = session.silentSinceMs ?? nowMs;
    // Also without runs, because it shows whether the workers of a zone crash together.
    const crash = isCrash
        ? {
            ...findCrashSuspects(state, session.runStatuses, silentSinceMs, crashedBeforeMs),
            silentMs: Math.round(nowMs - silentSinceMs),
        }
        : undefined;
    if (crash !== undefined) {
        logWorkerCrash(term, session, state, crash, nowMs);
    }
    yield* propose(term, {
        kind: "expireWorker",
        worker: session.info.id,
        isGone,
        checkpoints,
        ...(hasRestarted ? { hasRestarted } : {}),
        ...(crash === undefined ? {} : { crash }),
        ...(kept.length === 0 ? {} : { kept }),
    });
    lapsed.forEach(end => logRunEnded(term, session, end));
    for (const [key, status] of session.runStatuses) {
        if (!keptKeys.has(key)) {
            recordOpenOrder(term.openOrders, session.info.id, status, nowMs);
        }
    }
    session.runStatuses.clear();
    wakePlanner(term);
    if (crash !== undefined) {
        logSharedCrash(term, session);
        yield* giveUpDeadlyJobs(term);
    }
});

/** Finds until when foreign orders may extend the lease of a worker, in monotonic milliseconds; its first answer excludes them. */
function findForeignOrdersEnd({ foreignOrdersUntilMs, fencedAtMs = foreignOrdersUntilMs }: WorkerSession): number {
    return Math.min(foreignOrdersUntilMs, fencedAtMs);
}

/**
 * Finds out whether a worker has ended: another one answers at its address, it announced that it leaves, its lease is over, or
 * it has been silent for too long. A worker whose lease is over may come back. It has crashed if it has ended, as the answers
 * show, and neither left nor drained.
 */
export function findWorkerEnd(
    term: Term,
    session: WorkerSession,
    answer: RenewAnswer,
    nowMs: number,
): WorkerEnd | undefined {
    const isExpected = hasAnnouncedEnd(term, session);
    if (answer.kind === "refused" && answer.reason === "otherWorker") {
        return { reason: "another worker answers at the address", isGone: true, isCrash: !isExpected };
    }
    if (session.leftAtMs !== undefined && nowMs - session.leftAtMs >= leaveGraceMs) {
        return { reason: "the worker has left", isGone: true, isCrash: false };
    }
    if (nowMs <= computeLeaseEndMs(session.lease, findForeignOrdersEnd(session), term.limits.longestLeaseMs)) {
        return undefined;
    }
    const lastContactAtMs = Math.max(session.heartbeatAtMs, session.answeredAtMs ?? 0);
    const isGone = nowMs - lastContactAtMs > removeAfterSilenceMs;
    return {
        reason: isGone ? "the worker is silent" : "the lease is over",
        isGone,
        isCrash: session.isRefusing && !isExpected,
    };
}
