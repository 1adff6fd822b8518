/** Limits retries to a share of first attempts, so that retries cannot multiply an overload. */
export interface RetryBudget {
    readonly recordFirstAttempt: (nowMs: number) => void;
    /** Takes one retry from the budget; false when it is empty. */
    readonly takeRetry: (nowMs: number) => boolean;
}

/** Retries that the share of first attempts may save up; more would allow a burst long after the load. */
const savedRetriesLimit = 100;

/** Creates a budget of `percent` of first attempts, and at least `minPerSecond`. */
export function createRetryBudget(percent: number, minPerSecond: number): RetryBudget {
    let shared = 0;
    let minimum = minPerSecond;
    let refilledAtMs: number | undefined;
    const refill = (nowMs: number): void => {
        const elapsedMs = Math.max(0, nowMs - (refilledAtMs ?? nowMs));
        minimum = Math.min(minPerSecond, minimum + elapsedMs * minPerSecond / 1_000);
        refilledAtMs = nowMs;
    };
    return {
        recordFirstAttempt: nowMs => {
            refill(nowMs);
            shared = Math.min(savedRetriesLimit, shared + percent / 100);
        },
        takeRetry: nowMs => {
            refill(nowMs);
            if (shared >= 1) {
                shared -= 1;
                return true;
            }
            if (minimum >= 1) {
                minimum -= 1;
                return true;
            }
            return false;
        },
    };
}
