/** Limits retries to a share of first attempts, so that retries cannot multiply an overload. */
export interface RetryBudget {
    readonly recordFirstAttempt: (nowMs: number) => void;
    /** Takes one retry from the budget; false when it is empty. */
    readonly takeRetry: (nowMs: number) => boolean;
}

/** Largest number of retries saved up from first attempts; more would allow a burst long after the load. */
const savedRetriesLimit = 100;

/** Creates a budget of `percent` of first attempts, and at least `minPerSecond`. */
export function createRetryBudget(percent: number, minPerSecond: number): RetryBudget {
    let savedRetries = 0;
    let minimumRetries = minPerSecond;
    let refilledAtMs: number | undefined;
    const refill = (nowMs: number): void => {
        const elapsedMs = Math.max(0, nowMs - (refilledAtMs ?? nowMs));
        minimumRetries = Math.min(minPerSecond, minimumRetries + elapsedMs * minPerSecond / 1_000);
        refilledAtMs = nowMs;
    };
    return {
        recordFirstAttempt: nowMs => {
            refill(nowMs);
            savedRetries = Math.min(savedRetriesLimit, savedRetries + percent / 100);
        },
        takeRetry: nowMs => {
            refill(nowMs);
            if (savedRetries >= 1) {
                savedRetries -= 1;
                return true;
            }
            if (minimumRetries >= 1) {
                minimumRetries -= 1;
                return true;
            }
            return false;
        },
    };
}
