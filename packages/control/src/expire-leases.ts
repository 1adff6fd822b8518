import { describeError } from "@chestnutspool/errors";
import { type CommandResult, type ErrorData, readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { computeLeaseExpiryMs, type ControlContext, propose, type ProposedCommand } from "./control-context.js";
import { getWorkerMemory, type LeaderMemory, type SessionMemory } from "./leader-memory.js";

interface ExpiredLease {
    /** Its `expiring` is set so that the lease is not renewed while the expiry is proposed. */
    readonly memory: { expiring: boolean; };
    readonly command: ProposedCommand;
    readonly forget: () => void;
    readonly subject: string;
}

function getSessionMemory(memory: LeaderMemory, entry: string, incarnation: string): SessionMemory {
    const existing = memory.sessions.get(entry);
    if (existing?.incarnation === incarnation) {
        return existing;
    }
    const created = { incarnation, renewedAtMs: memory.termBeganAtMs, appliedRevision: 0, expiring: false };
    memory.sessions.set(entry, created);
    return created;
}

function listExpiredSessions(context: ControlContext, memory: LeaderMemory, nowMs: number): ExpiredLease[] {
    const { sessionTtlMs, sessionMarginMs } = context.settings.leases;
    const limitMs = computeLeaseExpiryMs(context.settings, sessionTtlMs, sessionMarginMs);
    return [...context.machine.state.entries.values()].flatMap(({ entry, incarnation }) => {
        const session = getSessionMemory(memory, entry, incarnation);
        return nowMs - Math.max(session.renewedAtMs, memory.termBeganAtMs) <= limitMs ? [] : [{
            memory: session,
            command: { kind: "expireEntry" as const, entry, incarnation },
            forget: () => memory.sessions.delete(entry),
            subject: `entry ${entry}`,
        }];
    });
}

function listExpiredWorkers(context: ControlContext, memory: LeaderMemory, nowMs: number): ExpiredLease[] {
    const { workerLeaseMs, workerMarginMs } = context.settings.leases;
    const limitMs = computeLeaseExpiryMs(context.settings, workerLeaseMs, workerMarginMs);
    return [...context.machine.state.workers.values()].filter(worker => worker.incarnation !== "").flatMap(
        ({ id, incarnation }) => {
            const worker = getWorkerMemory(memory, id, incarnation);
            return nowMs - Math.max(worker.syncedAtMs, memory.termBeganAtMs) <= limitMs ? [] : [{
                memory: worker,
                command: { kind: "expireWorker" as const, worker: id, incarnation },
                forget: () => memory.workers.delete(id),
                subject: `worker ${id}`,
            }];
        },
    );
}

const expireLease = Effect.fnUntraced(function*(context: ControlContext, lease: ExpiredLease) {
    const { logger } = context;
    yield* Effect.matchEffect(propose(context, lease.command), {
        // `expiring` stays set: the command may still be committed, so the lease must not be renewed. The next run of
        // `expireLeases` proposes the command again.
        onFailure: (error: ErrorData) =>
            Effect.sync(() =>
                logger.warn("lease expiry is not confirmed; it is proposed again", {
                    subject: lease.subject,
                    detail: describeError(error),
                })
            ),
        onSuccess: (result: CommandResult) =>
            Effect.sync(() => {
                lease.forget();
                logger.info("lease expired", { subject: lease.subject, result: result.kind });
            }),
    });
});

/**
 * Expires the sessions and workers whose lease has certainly expired. A lease is counted from the last renewal that
 * this leader received, or from the start of its term when that is later.
 */
export const expireLeases = Effect.fnUntraced(function*(context: ControlContext, memory: LeaderMemory) {
    const nowMs = yield* readMonotonicMs;
    const leases = [
        ...listExpiredSessions(context, memory, nowMs),
        ...listExpiredWorkers(context, memory, nowMs),
    ];
    // There is no yield between reading the leases and setting `expiring`: a renewal handled in between would be granted
    // although its lease expires.
    for (const lease of leases) {
        lease.memory.expiring = true;
    }
    // The log commits concurrent proposals together, so that the expiry of a whole rack takes one round of replication.
    yield* Effect.all(leases.map(lease => expireLease(context, lease)), { concurrency: "unbounded" });
});
