/** Times from which the length of a quarantine is computed, in milliseconds. */
export interface QuarantineTimes {
    /** Session time with its margins, during which another host may still accept a spill of the old coordinator. */
    readonly sessionMs: number;
    /** Margin that is added to a run lease. */
    readonly leaseMarginMs: number;
    /** Largest difference of clock rates in percent. */
    readonly clockDriftPercent: number;
}

/** Quarantine of shards whose last coordinator was lost together with its records of running requests. */
export interface Quarantine {
    /** Starts the quarantine of a shard, counted from when this host learnt of the expiry. */
    readonly recordExpiry: (shard: number, nowMs: number) => void;
    /**
     * Time left for requests of a service whose runs last at most `maxRunMs`, in milliseconds; 0 without quarantine.
     */
    readonly computeRemainingMs: (shard: number, maxRunMs: number, nowMs: number) => number;
    readonly forgetShard: (shard: number) => void;
}

/** Creates a quarantine without shards. */
export function createQuarantine(times: QuarantineTimes): Quarantine {
    const expiredAtMs = new Map<number, number>();
    return {
        recordExpiry: (shard, nowMs) => {
            expiredAtMs.set(shard, nowMs);
        },
        computeRemainingMs: (shard, maxRunMs, nowMs) => {
            const startedMs = expiredAtMs.get(shard);
            if (startedMs === undefined) {
                return 0;
            }
            const leaseMs = maxRunMs * (1 + times.clockDriftPercent / 100) + times.leaseMarginMs;
            return Math.max(0, Math.ceil(startedMs + times.sessionMs + leaseMs - nowMs));
        },
        forgetShard: shard => {
            expiredAtMs.delete(shard);
        },
    };
}
