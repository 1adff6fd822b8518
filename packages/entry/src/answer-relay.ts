import { Deferred, Effect } from "effect";
import type { EmitReply } from "./dispatch-attempt.js";

/** Passes an answer to its caller until the caller disconnects, and drops the rest. */
export interface AnswerRelay {
    readonly emit: EmitReply;
    /** Drops all further parts, and the one that currently waits for the caller. */
    readonly detach: () => void;
}

/** Creates the relay of one answer. */
export function createAnswerRelay(emit: EmitReply): AnswerRelay {
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
