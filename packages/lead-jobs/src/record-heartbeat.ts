import { recordClock } from "@chestnutspool/track-workers";
import {
    isSameAmount,
    type JobReply,
    readMonotonicMs,
    type WorkerHeartbeat,
    type WorkerId,
    type WorkerInfo,
} from "@chestnutspool/types";
import { Effect, FiberMap } from "effect";
import { superviseLoop } from "./supervise-loop.js";
import { propose, registerWorker, type Term, wakePlanner, type WorkerSession } from "./term.js";
import { createSession, resumeSession, runSession } from "./worker-session.js";

/** Opens the session of a worker and starts the fiber that renews its lease. */
export const openSession = Effect.fnUntraced(function*(term: Term, info: WorkerInfo) {
    const nowMs = yield* readMonotonicMs;
    const session = yield* createSession(term, info, nowMs);
    term.sessions.set(info.id, session);
    const context = { term: term.number, worker: info.id };
    const loop = superviseLoop(term, "session", context, runSession(term, session), resumeSession(term, session));
    yield* FiberMap.run(term.sessionLoops, info.id, loop);
    return session;
});

const recordDraining = Effect.fnUntraced(function*(term: Term, session: WorkerSession, heartbeat: WorkerHeartbeat) {
    const state = term.machine.state.workers.get(session.info.id);
    if (!heartbeat.draining || state?.isDraining === true) {
        return;
    }
    if (state === undefined) {
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

/** Records a heartbeat of a worker. A delayed heartbeat with an older sequence number is acknowledged and ignored. */
export const recordHeartbeat = Effect.fnUntraced(function*(term: Term, heartbeat: WorkerHeartbeat) {
    const nowMs = yield* readMonotonicMs;
    const { worker, sequence, clockMs } = heartbeat;
    const known = term.sessions.get(worker.id);
    if (known !== undefined && sequence <= known.heartbeatSequence) {
        return { kind: "done" } satisfies JobReply;
    }
    const session = known ?? (yield* openSession(term, worker));
    if (known === undefined) {
        term.logger.info("worker announced itself", {
            worker: worker.id,
            address: worker.address,
            pool: worker.service,
            milliCpu: worker.capacity.milliCpu,
            sequence,
        });
    }
    session.heartbeatSequence = sequence;
    session.heartbeatAtMs = nowMs;
    if (clockMs !== undefined && session.lease !== undefined) {
        session.lease = recordClock(session.lease, clockMs, nowMs);
    }
    yield* recordCapacity(term, session, worker);
    yield* recordDraining(term, session, heartbeat);
    return { kind: "done" } satisfies JobReply;
});

/** Records the announcement of a worker that it leaves; the worker ends right after it. */
export const removeWorker = Effect.fnUntraced(function*(term: Term, worker: WorkerId) {
    const session = term.sessions.get(worker);
    if (session !== undefined && session.leftAtMs === undefined) {
        session.leftAtMs = yield* readMonotonicMs;
        term.logger.info("worker leaves", { worker });
    }
    return { kind: "done" } satisfies JobReply;
});
