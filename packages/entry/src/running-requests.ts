import { computeLeaseEndMs, createQuarantine, createRequestRegistry } from "@chestnutspool/route-requests";
import { type AttemptRef, formatRequestKey, type OwnershipRecord } from "@chestnutspool/types";
import type { EntryContext } from "./entry-context.js";
import { leaseMarginMs } from "./owned-items.js";

/** An attempt of a request that this host coordinates. */
interface CoordinatedAttempt {
    readonly ref: AttemptRef;
    readonly endsAtMs: number;
}

/** Requests that this host coordinates: their keys and the attempts that may be running. */
export interface RunningRequests {
    readonly registry: ReturnType<typeof createRequestRegistry>;
    /** Computes for how long requests with unknown keys of a shard are still refused, in milliseconds. */
    readonly computeQuarantineMs: (shard: number, maxRunMs: number, nowMs: number) => number;
    /** Takes over a shard with the attempts that its previous coordinator listed. */
    readonly addShard: (record: OwnershipRecord, shard: number) => void;
    /** Records an attempt before it may be sent, so that it is listed when its shard is handed over. */
    readonly addAttempt: (ref: AttemptRef, endsAtMs: number) => void;
    /** Records the end of an attempt, which releases a key held for it, here and at a host that took over its shard. */
    readonly confirmEnd: (attempt: string) => void;
    /** Whether an attempt may still be running. */
    readonly hasAttempt: (attempt: string) => boolean;
    readonly listAttempts: (shard: number) => readonly AttemptRef[];
}

/** Interval at which attempts whose run lease has expired are dropped, in milliseconds. */
const sweepIntervalMs = 1_000;

/** Creates an empty set; `onEnd` is called once for each attempt whose end is confirmed. */
export function createRunningRequests(context: EntryContext, onEnd: (ref: AttemptRef) => void): RunningRequests {
    const { sessionTtlMs, sessionMarginMs, clockDriftPercent } = context.settings.leases;
    const registry = createRequestRegistry();
    const quarantine = createQuarantine({
        sessionMs: sessionTtlMs * (1 + clockDriftPercent / 100) + sessionMarginMs,
        leaseMarginMs,
        clockDriftPercent,
    });
    const attempts = new Map<string, CoordinatedAttempt>();
    let nextSweepAtMs = 0;
    const dropEnded = (nowMs: number): void => {
        for (const [id, { endsAtMs }] of [...attempts]) {
            if (endsAtMs <= nowMs) {
                attempts.delete(id);
            }
        }
    };
    return {
        registry,
        computeQuarantineMs: quarantine.computeRemainingMs,
        addShard: (record, shard) => {
            const nowMs = context.readNowMs();
            if (record.afterExpiry) {
                quarantine.recordExpiry(shard, nowMs);
            }
            else {
                quarantine.forgetShard(shard);
            }
            for (const ref of record.attempts) {
                const key = formatRequestKey(ref.tenant, ref.requestId);
                const endsAtMs = computeLeaseEndMs(nowMs, ref.runLeaseLeftMs, { leaseMarginMs, clockDriftPercent });
                registry.addHandedOverRequest(key, shard, ref.attempt, endsAtMs);
                attempts.set(ref.attempt, { ref, endsAtMs });
            }
        },
        addAttempt: (ref, endsAtMs) => {
            const nowMs = context.readNowMs();
            if (nowMs >= nextSweepAtMs) {
                nextSweepAtMs = nowMs + sweepIntervalMs;
                dropEnded(nowMs);
            }
            attempts.set(ref.attempt, { ref, endsAtMs });
        },
        confirmEnd: attempt => {
            const ref = attempts.get(attempt)?.ref;
            attempts.delete(attempt);
            registry.confirmEnd(attempt);
            if (ref !== undefined) {
                onEnd(ref);
            }
        },
        hasAttempt: attempt => attempts.has(attempt),
        listAttempts: shard => {
            const nowMs = context.readNowMs();
            dropEnded(nowMs);
            return [...attempts.values()]
                .filter(({ ref }) => ref.shard === shard)
                .map(({ ref, endsAtMs }) => ({ ...ref, runLeaseLeftMs: Math.max(0, Math.ceil(endsAtMs - nowMs)) }));
        },
    };
}
