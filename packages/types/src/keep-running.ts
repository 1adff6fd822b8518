import { Cause, Effect } from "effect";

/** Longest description of a failure in a log line, in characters. */
const detailLimitCharacters = 1_000;
/** Pause before a loop that has failed starts again, in milliseconds; bounds its log lines if it fails each time. */
const restartPauseMs = 1_000;

/** Describes a failure for a log line, with bounded length. */
export function describeCause(cause: Cause.Cause<unknown>): string {
    return Cause.pretty(cause).slice(0, detailLimitCharacters);
}

/**
 * Runs a loop that never ends by itself until the fiber is interrupted. After an unexpected failure it passes the description
 * to `logFailure` and starts the loop again after a pause.
 */
export function keepRunning(loop: Effect.Effect<never>, logFailure: (detail: string) => void): Effect.Effect<never> {
    const attempt = Effect.catchCause(loop, cause => Effect.sync(() => logFailure(describeCause(cause))));
    return Effect.forever(Effect.andThen(attempt, Effect.sleep(restartPauseMs)));
}
