/** Largest difference between the rates of two clocks, as a share. Workers' clocks may be 2% slow. */
export const maxClockDrift = 0.02;
/** Allowance for timers that fire late and for rounding, in milliseconds. */
const marginMs = 50;

/**
 * What the leader knows of a worker's clock and of the lease on it. Times without "clock" in their name are monotonic times
 * of this process in milliseconds; those with it are readings of the worker's clock.
 */
export interface WorkerLease {
    /** Last reading of the worker's clock, which the clock had reached at `readAtMs` at the latest. */
    readonly clockMs: number;
    readonly readAtMs: number;
    /** Highest reading until which any order allowed the worker's runs to go on; it counts whether or not it arrived. */
    readonly grantedUntilClockMs: number;
}

/** Takes a reading of the worker's clock that arrived at `nowMs`. */
export function recordClock(lease: WorkerLease | undefined, clockMs: number, nowMs: number): WorkerLease {
    const grantedUntilClockMs = lease?.grantedUntilClockMs ?? Number.NEGATIVE_INFINITY;
    // A reading that is older than the last one would make the lease look shorter than it is.
    const isLate = lease !== undefined && clockMs < estimateClock(lease, nowMs);
    return isLate ? lease : { clockMs, readAtMs: nowMs, grantedUntilClockMs };
}

/** The least that the worker's clock shows at `nowMs`. */
export function estimateClock(lease: WorkerLease, nowMs: number): number {
    return Math.floor(lease.clockMs + (nowMs - lease.readAtMs) * (1 - maxClockDrift));
}

/** The lease after a renewal by `durationMs`; the order carries `grantedUntilClockMs`. */
export function renewLease(lease: WorkerLease, durationMs: number, nowMs: number): WorkerLease {
    const until = estimateClock(lease, nowMs) + durationMs;
    return { ...lease, grantedUntilClockMs: Math.max(lease.grantedUntilClockMs, until) };
}

/**
 * Time at which everything on the worker has certainly ended unless the lease is renewed. `openedAtMs` is when this leader's
 * term began: earlier leaders may have granted up to `longestLeaseMs` until then.
 */
export function computeLeaseEnd(lease: WorkerLease | undefined, openedAtMs: number, longestLeaseMs: number): number {
    const byEarlierLeader = openedAtMs + longestLeaseMs / (1 - maxClockDrift) + marginMs;
    if (lease === undefined || lease.grantedUntilClockMs === Number.NEGATIVE_INFINITY) {
        return byEarlierLeader;
    }
    const leftMs = Math.max(0, lease.grantedUntilClockMs - lease.clockMs);
    return Math.max(byEarlierLeader, lease.readAtMs + leftMs / (1 - maxClockDrift) + marginMs);
}
