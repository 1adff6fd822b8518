/** Times that a quarantine is made of, in milliseconds. */
export interface QuarantineTimes {
    /** Session time with its margins: for so long another host may accept a spill of the old coordinator. */
    readonly sessionMs: number;
    /** Margin that is added to a run lease. */
    readonly leaseMarginMs: number;
    /** Largest difference of clock rates in percent. */
    readonly clockDriftPercent: number;
}

/** Shards whose last coordinator was lost together with its knowledge of running requests. */
export interface Quarantine {
    /** Starts the quarantine of a shard, counted from when this host learnt of the expiry. */
    readonly recordExpiry: (shard: number, nowMs: number) => void;
    /** Time left for requests of a service with this longest run, in milliseconds; 0 without quarantine. */
    readonly computeLeftMs: (shard: number, maxRunMs: number, nowMs: number) => number;
    readonly forgetShard: (shard: number) => void;
}

/** Creates a quarantine without shards. */
export function createQuarantine(times: QuarantineTimes): Quarantine {
    const expiredAtMs = new Map<number, number>();
    return {
        recordExpiry: (shard, nowMs) => {
            expiredAtMs.set(shard, nowMs);
        },
        computeLeftMs: (shard, maxRunMs, nowMs) => {
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
