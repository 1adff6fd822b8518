import { type DisturbanceEstimate, type ErrorData, readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { canGiveOrders, logStepError, propose, type Term } from "./term.js";

/** Interval at which what was learnt is recorded, in milliseconds; a change of leader loses at most so much. */
const recordIntervalMs = 1_500;
/** Change of a disturbance that is worth recording; harmful and harmless pairs are some units apart. */
const recordedChange = 0.4;

function isWorthRecording(term: Term, pair: DisturbanceEstimate): boolean {
    const recorded = term.machine.state.disturbances.get(`${pair.image} ${pair.other}`);
    return recorded === undefined || Math.abs(recorded.disturbance - pair.disturbance) > recordedChange
        || pair.variance < recorded.variance / 2;
}

/** The fiber that records what was learnt of pairs of images, so that the next leader need not learn it again. */
export const runDisturbanceRecording = Effect.fnUntraced(function*(term: Term) {
    while (canGiveOrders(term, yield* readMonotonicMs)) {
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
