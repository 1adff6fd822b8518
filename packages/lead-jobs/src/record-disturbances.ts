import { type DisturbanceEstimate, type ErrorData, readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { canSendOrders, logStepError, propose, type Term } from "./term.js";

/**
 * Interval at which estimates are recorded, in milliseconds; a change of leader loses the updates of one interval at
 * most.
 */
const recordIntervalMs = 1_500;
/** Smallest change of a disturbance that is recorded; harmful and harmless pairs are some units apart. */
const minRecordedChange = 0.4;

function isWorthRecording(term: Term, pair: DisturbanceEstimate): boolean {
    const recorded = term.machine.state.disturbances.get(`${pair.image} ${pair.other}`);
    return recorded === undefined || Math.abs(recorded.disturbance - pair.disturbance) > minRecordedChange
        || pair.variance < recorded.variance / 2;
}

/**
 * Records estimates of the disturbance between images until the term ends, so that the next leader need not learn them
 * again.
 */
export const runDisturbanceRecording = Effect.fnUntraced(function*(term: Term) {
    while (canSendOrders(term, yield* readMonotonicMs)) {
        yield* Effect.sleep(recordIntervalMs);
        const pairs = term.interference.listPairs()
            .filter(pair => isWorthRecording(term, pair))
            .map(({ image, other, disturbance, variance }) => ({ image, other, disturbance, variance }));
        if (pairs.length > 0) {
            for (const { image, other, disturbance, variance } of pairs) {
                term.logger.info("disturbance learnt", { image, other, disturbance, variance });
            }
            yield* Effect.catch(
                propose(term, { kind: "recordDisturbances", pairs }),
                (error: ErrorData) => logStepError(term.logger, "record disturbances", error),
            );
        }
    }
});
