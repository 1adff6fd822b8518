import { Cause, Effect } from "effect";

/** Layout of the description of a failure: `lines` keeps its line breaks, `singleLine` joins its lines. */
export type DetailLayout = "lines" | "singleLine";

/** How a loop that has failed is described and started again. */
export interface RestartPolicy {
    /** Pause before the next start, in milliseconds; bounds the log lines of a loop that fails each time. */
    readonly pauseMs: number;
    /** Longest description of a failure, in characters. */
    readonly detailLimitCharacters: number;
    readonly detailLayout: DetailLayout;
}

const defaultPolicy: RestartPolicy = { pauseMs: 1_000, detailLimitCharacters: 1_000, detailLayout: "lines" };

/** Describes a failure for a log line, with bounded length. */
export function describeCause(
    cause: Cause.Cause<unknown>,
    { detailLimitCharacters, detailLayout }: Omit<RestartPolicy, "pauseMs"> = defaultPolicy,
): string {
    const lines = Cause.pretty(cause);
    const detail = detailLayout === "singleLine" ? lines.replaceAll(/\s+/g, " ") : lines;
    return detail.slice(0, detailLimitCharacters);
}

/**
 * Runs a loop and starts it again after each unexpected failure, once `logFailure` has received the description and the
 * pause is over. `resume` runs instead of `loop` after a failure. An interruption of the fiber ends both without a call.
 */
export function keepRunning<Value, Requirements>(
    loop: Effect.Effect<Value, never, Requirements>,
    logFailure: (detail: string) => void,
    policy: RestartPolicy = defaultPolicy,
    resume: Effect.Effect<Value, never, Requirements> = loop,
): Effect.Effect<Value, never, Requirements> {
    return Effect.catchCause(
        loop,
        cause =>
            Effect.sync(() => logFailure(describeCause(cause, policy))).pipe(
                // An exception while the line is written must not end the loop either.
                Effect.ignoreCause,
                Effect.andThen(Effect.sleep(policy.pauseMs)),
                Effect.andThen(Effect.suspend(() => keepRunning(resume, logFailure, policy))),
            ),
    );
}
