import type { ErrorData } from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";

/** Load of a service as one host sees it. */
export interface LoadView {
    /** Requests that are served before the new one. */
    readonly queuedAhead: number;
    /** Slots that may serve the service. */
    readonly slots: number;
    readonly freeSlots: number;
    /** Mean service time in milliseconds; undefined before the first observation. */
    readonly serviceTimeMs: number | undefined;
}

/** Shortest retry-after time in milliseconds, so that rejected callers do not retry in a tight loop. */
const shortestRetryAfterMs = 10;
/** Retry-after time when no minion of a service accepts work, in milliseconds: the interval of announcements. */
export const noMinionRetryAfterMs = 1_000;

/** Expected time until a new request gets a slot, in milliseconds; 0 without observations. */
export function estimateWaitMs(load: LoadView): number {
    const waitingFor = load.queuedAhead + 1 - load.freeSlots;
    if (waitingFor <= 0 || load.slots === 0) {
        return 0;
    }
    return waitingFor * (load.serviceTimeMs ?? 0) / load.slots;
}

/** Time after which a rejected caller can expect a shorter queue, in milliseconds. */
export function estimateRetryAfterMs(load: LoadView): number {
    return Math.max(shortestRetryAfterMs, Math.ceil(estimateWaitMs(load) / 2));
}

/**
 * Admits a request with its expected completion time in milliseconds, or rejects it with `notRun` when it cannot finish
 * before its deadline.
 */
export function decideAdmission(load: LoadView, deadlineLeftMs: number): Either<ErrorData, number> {
    if (load.slots === 0) {
        return Left({ kind: "notRun", reason: "noMinion", retryAfterMs: noMinionRetryAfterMs });
    }
    const completionMs = estimateWaitMs(load) + (load.serviceTimeMs ?? 0);
    if (deadlineLeftMs <= 0 || completionMs > deadlineLeftMs) {
        return Left({ kind: "notRun", reason: "deadlineTooShort", retryAfterMs: estimateRetryAfterMs(load) });
    }
    return Right(completionMs);
}
