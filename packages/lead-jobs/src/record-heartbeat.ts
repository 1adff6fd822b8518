import { recordClock } from "@chestnutspool/track-workers";
import {
    compareStarts,
    isSameAmount,
    type JobReply,
    type JobRequest,
    readMonotonicMs,
    type WorkerHeartbeat,
    type WorkerId,
    type WorkerInfo,
} from "@chestnutspool/types";
import { Effect } from "effect";
import { isStartRecorded } from "./expire-worker.js";
import { recordColdWorker } from "./learn-speeds.js";
import { openSession, restartSession } from "./open-session.js";
import { propose, registerWorker, type Term, wakePlanner, type WorkerSession } from "./term.js";

const recordDraining = Effect.fnUntraced(function*(term: Term, session: WorkerSession, heartbeat: WorkerHeartbeat) {
    const state = term.machine.state.workers.get(session.info.id);
    if (!heartbeat.draining || (state?.isDraining === true && isStartRecorded(term, session))) {
        return;
    }
    if (!isStartRecorded(term, session)) {
        yield* registerWorker(term, session);
    }
    // Draining is recorded before it is acknowledged, so that the next leader starts no runs on the worker either.
    yield* propose(term, { kind: "drainWorker", worker: session.info.id });
    term.logger.info("worker drains", { worker: session.info.id, remainingMs: heartbeat.remainingMs });
    wakePlanner(term);
});

/**
 * Takes over a changed capacity. It is recorded before the heartbeat is acknowledged, so that no start of this or a later
 * leader exceeds it.
 */
const recordCapacity = Effect.fnUntraced(function*(term: Term, session: WorkerSession, worker: WorkerInfo) {
    const state = term.machine.state.workers.get(worker.id);
    session.info = { ...session.info, capacity: worker.capacity };
    // Compared with the recorded one, because an earlier attempt to record a change may have failed.
    if (state === undefined || isSameAmount(state.info.capacity, worker.capacity)) {
        return;
    }
    const before = state.info.capacity;
    yield* registerWorker(term, session);
    term.logger.info("capacity of a worker changed", {
        worker: worker.id,
        sequence: session.heartbeatSequence,
        milliCpu: worker.capacity.milliCpu,
        memoryMib: worker.capacity.memoryMib,
        accelerators: worker.capacity.accelerators,
        milliCpuBefore: before.milliCpu,
        memoryMibBefore: before.memoryMib,
        milliCpuUsed: state.used.milliCpu,
        memoryMibUsed: state.used.memoryMib,
    });
    wakePlanner(term);
});

/** Finds the session of a worker; a recorded worker gets one before its heartbeat is compared with what is recorded. */
const findSession = Effect.fnUntraced(function*(term: Term, worker: WorkerId) {
    const recorded = term.machine.state.workers.get(worker);
    return term.sessions.get(worker) ?? (recorded === undefined ? undefined : yield* openSession(term, recorded.info));
});

/** Opens the session of a worker that is not known yet. */
const openNewSession = Effect.fnUntraced(function*(term: Term, { worker, sequence }: WorkerHeartbeat) {
    term.logger.info("worker announced itself", {
        worker: worker.id,
        bornAtMs: worker.bornAtMs,
        address: worker.address,
        pool: worker.service,
        milliCpu: worker.capacity.milliCpu,
        sequence,
    });
    return yield* openSession(term, worker);
});

/** Applies a heartbeat of the start that a session is for. */
const applyHeartbeat = Effect.fnUntraced(function*(
    term: Term,
    session: WorkerSession,
    heartbeat: WorkerHeartbeat,
    nowMs: number,
) {
    const { worker, sequence, clockMs } = heartbeat;
    if (!session.isAnnounced) {
        session.info = worker;
        session.isAnnounced = true;
        wakePlanner(term);
    }
    session.heartbeatSequence = sequence;
    session.heartbeatAtMs = nowMs;
    recordColdWorker(term, heartbeat, nowMs);
    if (clockMs !== undefined && session.lease !== undefined) {
        session.lease = recordClock(session.lease, clockMs, nowMs);
    }
    yield* recordCapacity(term, session, worker);
    yield* recordDraining(term, session, heartbeat);
});

/**
 * Records a heartbeat of a worker. A delayed heartbeat with an older sequence number, or of an earlier start of the worker, is
 * acknowledged and ignored.
 */
export const recordHeartbeat = Effect.fnUntraced(function*(term: Term, heartbeat: WorkerHeartbeat) {
    const nowMs = yield* readMonotonicMs;
    const { worker, sequence } = heartbeat;
    const known = yield* findSession(term, worker.id);
    if (known === undefined) {
        yield* applyHeartbeat(term, yield* openNewSession(term, heartbeat), heartbeat, nowMs);
        return { kind: "done" } satisfies JobReply;
    }
    if (known.isSuperseded) {
        // The next heartbeat finds the session of the later start.
        return { kind: "outcomeUnknown" } satisfies JobReply;
    }
    switch (compareStarts(worker, known.info)) {
        case "earlier":
            term.logger.debug("heartbeat of an earlier start", {
                worker: worker.id,
                bornAtMs: worker.bornAtMs,
                sequence,
            });
            break;
        case "later":
            yield* applyHeartbeat(term, yield* restartSession(term, known, worker, true), heartbeat, nowMs);
            break;
        case "same":
            if (sequence > known.heartbeatSequence) {
                yield* applyHeartbeat(term, known, heartbeat, nowMs);
            }
            break;
    }
    return { kind: "done" } satisfies JobReply;
});

/**
 * Records the announcement of a worker that it leaves; the worker ends right after it. The announcement of an earlier start
 * changes nothing.
 */
export const removeWorker = Effect.fnUntraced(function*(
    term: Term,
    { worker, bornAtMs }: Extract<JobRequest, { readonly kind: "removeWorker"; }>,
) {
    const session = term.sessions.get(worker);
    const isEarlier = session !== undefined && compareStarts({ bornAtMs }, session.info) === "earlier";
    if (session !== undefined && session.leftAtMs === undefined && !isEarlier) {
        session.leftAtMs = yield* readMonotonicMs;
        term.logger.info("worker leaves", { worker });
    }
    return { kind: "done" } satisfies JobReply;
});
