import { Deferred, Effect } from "effect";

/** Wakes all fibers that wait for a change. */
export interface ConditionVariable {
    /** Wakes those that wait now. */
    readonly notifyAll: () => void;
    /** An effect that ends with the next notification after this call; take it before reading what may change. */
    readonly watchNext: () => Effect.Effect<void>;
}

/** Creates a condition variable that nobody waits for. */
export function createConditionVariable(): ConditionVariable {
    let next = Deferred.makeUnsafe<void>();
    return {
        notifyAll: () => {
            const present = next;
            next = Deferred.makeUnsafe();
            Deferred.doneUnsafe(present, Effect.void);
        },
        watchNext: () => Deferred.await(next),
    };
}
