import { Deferred, Effect } from "effect";

/** Lets fibers wait for a change. */
export interface ConditionVariable {
    /** Wakes all fibers that are waiting. */
    readonly notifyAll: () => void;
    /**
     * Returns an effect that completes with the first notification after this call. Call it before the state is read, so
     * that no change between the read and the wait is missed.
     */
    readonly watchNext: () => Effect.Effect<void>;
}

/** Creates a condition variable without waiting fibers. */
export function createConditionVariable(): ConditionVariable {
    let next = Deferred.makeUnsafe<void>();
    return {
        notifyAll: () => {
            const current = next;
            next = Deferred.makeUnsafe();
            Deferred.doneUnsafe(current, Effect.void);
        },
        watchNext: () => Deferred.await(next),
    };
}
