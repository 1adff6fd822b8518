import type { ErrorData, NotRunReason } from "@chestnutspool/types";
import type { RetryBudget } from "./retry-budget.js";

/** How a failed attempt ended. */
export type FailedAttempt =
    | { readonly state: "notSent"; readonly reason: NotRunReason; readonly retryAfterMs: number | undefined; }
    | {
        readonly state: "maybeRun";
        /** Monotonic time at which the run lease has certainly expired. */
        readonly endsAtMs: number;
        /** True once a part of the answer was sent to the caller; a retry could then mix two answers. */
        readonly answerBegun: boolean;
    };

/** Properties of a request on which the decision about a retry depends. */
export interface RetryContext {
    readonly requestId: string;
    readonly idempotent: boolean;
    readonly deadlineAtMs: number;
    /** Expected service time in milliseconds; undefined before the first observation. */
    readonly serviceTimeMs: number | undefined;
}

/** Whether and when a request is retried. */
export type RetryDecision =
    | { readonly kind: "retry"; readonly atMs: number; }
    | { readonly kind: "giveUp"; readonly error: ErrorData; };

function decideAfterNotSent(
    attempt: Extract<FailedAttempt, { state: "notSent"; }>,
    context: RetryContext,
    budget: RetryBudget,
    nowMs: number,
): RetryDecision {
    const { retryAfterMs } = attempt;
    if (nowMs + (context.serviceTimeMs ?? 0) > context.deadlineAtMs) {
        return { kind: "giveUp", error: { kind: "notRun", reason: attempt.reason, retryAfterMs } };
    }
    if (!budget.takeRetry(nowMs)) {
        return { kind: "giveUp", error: { kind: "notRun", reason: "retryBudgetEmpty", retryAfterMs } };
    }
    return { kind: "retry", atMs: nowMs };
}

/**
 * Decides whether to retry. A retry never starts while an earlier attempt may run, and a request that is not idempotent
 * is never retried after `maybeRun`. The error `notRun` is reported only after `notSent`.
 */
export function decideRetry(
    attempt: FailedAttempt,
    context: RetryContext,
    budget: RetryBudget,
    nowMs: number,
): RetryDecision {
    switch (attempt.state) {
        case "notSent":
            return decideAfterNotSent(attempt, context, budget, nowMs);
        case "maybeRun": {
            const startMs = Math.max(nowMs, attempt.endsAtMs);
            const isLate = startMs + (context.serviceTimeMs ?? 0) >= context.deadlineAtMs;
            if (!context.idempotent || attempt.answerBegun || isLate || !budget.takeRetry(nowMs)) {
                const subject = `request "${context.requestId}"`;
                return { kind: "giveUp", error: { kind: "outcomeUnknown", subject } };
            }
            return { kind: "retry", atMs: startMs };
        }
    }
}
