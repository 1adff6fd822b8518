import { describeError } from "@chestnutspool/errors";
import type { ErrorData } from "@chestnutspool/types";
import { Effect } from "effect";
import { isLeaderOfTerm, type Term } from "./term.js";

/** Interval at which a term is checked for a worker that refused its orders, in milliseconds. */
const checkIntervalMs = 200;
/** Pause before a transfer that failed is repeated, in milliseconds; about as long as the log takes to give one up. */
const retryPauseMs = 2_000;

/**
 * Gives up the leadership when the term is fenced. Its log would keep it otherwise, and a term that the worker accepts
 * could not follow.
 */
export const runStepDown = Effect.fnUntraced(function*(term: Term) {
    while (isLeaderOfTerm(term.log.readStatus(), term.number) && !term.isFenced) {
        yield* Effect.sleep(checkIntervalMs);
    }
    while (isLeaderOfTerm(term.log.readStatus(), term.number)) {
        term.logger.warn("leadership is given up; a worker accepted a later leader", { term: term.number });
        yield* Effect.catch(
            term.log.transferLeadership,
            (error: ErrorData) =>
                Effect.sync(() =>
                    term.logger.warn("leadership could not be transferred", {
                        term: term.number,
                        detail: describeError(error),
                    })
                ),
        );
        yield* Effect.sleep(retryPauseMs);
    }
});
