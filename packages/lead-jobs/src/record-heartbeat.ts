import { recordClock } from "@chestnutspool/track-workers";
import {
    type JobReply,
    readMonotonicMs,
    type WorkerHeartbeat,
    type WorkerId,
    type WorkerInfo,
} from "@chestnutspool/types";
import { Effect, FiberMap } from "effect";
import { superviseLoop } from "./supervise-loop.js";
import { propose, type Term, wakePlanner, type WorkerSession } from "./term.js";
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
        yield* propose(term, { kind: "registerWorker", worker: session.info });
    }
    // Draining is recorded before it is acknowledged, so that the next leader starts no runs on the worker either.
    yield* propose(term, { kind: "drainWorker", worker: session.info.id });
    term.logger.info("worker drains", { worker: session.info.id, remainingMs: heartbeat.remainingMs });
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
