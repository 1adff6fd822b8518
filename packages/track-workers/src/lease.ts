/** Largest difference between the rates of two clocks, as a share. A worker's clock may be 2% slow. */
export const maxClockDrift = 0.02;
/** Allowance for timers that fire late and for rounding, in milliseconds. */
const timerMarginMs = 50;

/** Allowance for the estimate of an earlier reading from one that is up to some seconds later, in milliseconds. */
const readingMarginMs = 100;

/**
 * Clock and lease of a worker as tracked by the leader. Times with "clock" in their name are readings of the worker's
 * clock; all other times are monotonic times of this process. Both are in milliseconds.
 */
export interface WorkerLease {
    /** Last reading of the worker's clock; the clock showed it at `readAtMs` or before. */
    readonly clockMs: number;
    readonly readAtMs: number;
    /** Latest end of the lease that any order has granted, whether or not the order arrived. */
    readonly grantedUntilClockMs: number;
}

/** Records a reading of the worker's clock that arrived at `nowMs`. */
export function recordClock(lease: WorkerLease | undefined, clockMs: number, nowMs: number): WorkerLease {
    const grantedUntilClockMs = lease?.grantedUntilClockMs ?? Number.NEGATIVE_INFINITY;
    // A delayed reading would set the clock back: renewals would grant less time, and the lease would seem to end
    // later than it does.
    const isDelayed = lease !== undefined && clockMs < estimateClockMs(lease, nowMs);
    return isDelayed ? lease : { clockMs, readAtMs: nowMs, grantedUntilClockMs };
}

/**
 * Whether an answer to a call that was sent at `sentAtMs` shows that another start of the worker gave it: the clock of a start never goes
 * back.
 */
export function isOfOtherStart(lease: WorkerLease | undefined, clockMs: number, sentAtMs: number): boolean {
    return lease !== undefined && clockMs < estimateClockMs(lease, sentAtMs) - readingMarginMs;
}

/** Estimates the lowest reading that the worker's clock can show at `nowMs`. */
export function estimateClockMs(lease: WorkerLease, nowMs: number): number {
    return Math.floor(lease.clockMs + (nowMs - lease.readAtMs) * (1 - maxClockDrift));
}

/** Extends the lease to `durationMs` from now. The order to the worker carries `grantedUntilClockMs`. */
export function renewLease(lease: WorkerLease, durationMs: number, nowMs: number): WorkerLease {
    const renewedUntilClockMs = estimateClockMs(lease, nowMs) + durationMs;
    return { ...lease, grantedUntilClockMs: Math.max(lease.grantedUntilClockMs, renewedUntilClockMs) };
}

/**
 * Computes the time at which all runs on the worker have certainly ended unless the lease is renewed. Until
 * `foreignOrdersUntilMs` other orders than those of `lease` may have granted leases of up to `longestLeaseMs`.
 */
export function computeLeaseEndMs(
    lease: WorkerLease | undefined,
    foreignOrdersUntilMs: number,
    longestLeaseMs: number,
): number {
    const foreignLeasesEndMs = foreignOrdersUntilMs + longestLeaseMs / (1 - maxClockDrift) + timerMarginMs;
    if (lease === undefined || lease.grantedUntilClockMs === Number.NEGATIVE_INFINITY) {
        return foreignLeasesEndMs;
    }
    const leftMs = Math.max(0, lease.grantedUntilClockMs - lease.clockMs);
    return Math.max(foreignLeasesEndMs, lease.readAtMs + leftMs / (1 - maxClockDrift) + timerMarginMs);
}
