import { describeCause, keepRunning, type RestartPolicy } from "@chestnutspool/types";
import { Effect } from "effect";
import type { LeaderDependencies } from "./term.js";

const restartPolicy: RestartPolicy = { pauseMs: 200, detailLimitCharacters: 600, detailLayout: "singleLine" };

/** Loops of the leader. */
export type LoopName =
    | "begunJobs"
    | "disturbances"
    | "leadership"
    | "loadReport"
    | "pacing"
    | "planner"
    | "session"
    | "sessions"
    | "speeds"
    | "stepDown"
    | "stop"
    | "term";

/** Orders that no loop repeats. */
export type OrderName = "pace" | "renewal" | "start" | "stop";

/** What the log lines about a failure name; the loop over all terms names none. */
export interface FailureContext {
    readonly term: number | undefined;
    readonly worker?: string;
    readonly task?: string;
}

/** Where failures are reported. */
export type FailureReporter = Pick<LeaderDependencies, "logger" | "metrics">;

/**
 * Runs a loop and starts it again after each unexpected exception, because nothing else would for the rest of the term.
 * `resume` runs instead of `loop` after an exception. An interruption of the fiber ends both without a line.
 */
export function superviseLoop<Requirements>(
    { logger, metrics }: FailureReporter,
    name: LoopName,
    context: FailureContext,
    loop: Effect.Effect<void, never, Requirements>,
    resume: Effect.Effect<void, never, Requirements> = loop,
): Effect.Effect<void, never, Requirements> {
    const recordFailure = (detail: string): void => {
        metrics.countEvent("loops.failed", "", name);
        logger.error("loop failed; it is started again", { loop: name, ...context, detail });
    };
    return keepRunning(loop, recordFailure, restartPolicy, resume);
}

/** Runs an order; an unexpected exception is logged, and `recover` applies it like the answer of a lost order. */
export function superviseOrder<Requirements>(
    { logger, metrics }: FailureReporter,
    name: OrderName,
    context: FailureContext,
    order: Effect.Effect<void, never, Requirements>,
    recover: Effect.Effect<void> = Effect.void,
): Effect.Effect<void, never, Requirements> {
    return Effect.catchCause(order, cause =>
        Effect.andThen(
            recover,
            Effect.sync(() => {
                metrics.countEvent("orders.failed", "", name);
                logger.error("order failed", { order: name, ...context, detail: describeCause(cause, restartPolicy) });
            }),
        ));
}
