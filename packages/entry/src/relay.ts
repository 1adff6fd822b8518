import { Deferred, Effect } from "effect";
import type { EmitReply } from "./dispatch-attempt.js";

/** Passes an answer to its caller until the caller goes away, and drops the rest. */
export interface Relay {
    readonly emit: EmitReply;
    /** Drops all further parts; a part that waits for the caller is dropped too. */
    readonly detach: () => void;
}

/** Creates a relay to one caller. */
export function createRelay(emit: EmitReply): Relay {
    const detached = Deferred.makeUnsafe<void>();
    const emitOrDetach = (reply: Parameters<EmitReply>[0]): Effect.Effect<void> =>
        Effect.catch(emit(reply), () => Effect.asVoid(Deferred.succeed(detached, undefined)));
    return {
        emit: reply =>
            Deferred.isDoneUnsafe(detached)
                ? Effect.void
                : Effect.raceFirst(emitOrDetach(reply), Deferred.await(detached)),
        detach: () => {
            Deferred.doneUnsafe(detached, Effect.void);
        },
    };
}
