import type { RunStatus } from "@chestnutspool/track-workers";
import { type OrderAnswer, readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";

/** Pace of a run that is not slowed down, in percent. */
const fullPacePercent = 100;

/** Sends one order to change the pace of a run; `before` is the pace that the worker confirmed last. */
export type SendPaceOrder = (percent: number, before: number) => Effect.Effect<OrderAnswer>;

function setPace(status: RunStatus, percent: number, nowMs: number): void {
    if (status.pacePercent < fullPacePercent) {
        status.slowedMs += nowMs - status.paceChangedAtMs;
    }
    status.lowestPacePercent = Math.min(status.lowestPacePercent, percent);
    status.pacePercent = percent;
    status.paceChangedAtMs = nowMs;
}

/**
 * Changes the pace of a run. One order of a run is in progress at a time, because orders through different relays may
 * overtake each other; the pace that is wanted when it ends is sent after it. A pace that fails is replaced by the last
 * confirmed one, so that the next planning repeats it. Without an answer it may have been carried out, so that the next planning
 * repeats the last confirmed one as well.
 */
export const orderPace = Effect.fnUntraced(function*(
    status: RunStatus,
    percent: number,
    sendOrder: SendPaceOrder,
    mayContinue: () => boolean,
) {
    let confirmed = status.pacePercent;
    setPace(status, percent, yield* readMonotonicMs);
    if (status.isPaceOrdered) {
        return;
    }
    status.isPaceOrdered = true;
    const sendUntilLatest = Effect.gen(function*() {
        let isLatest = false;
        while (!isLatest && mayContinue()) {
            const sent = status.pacePercent;
            const answer = yield* sendOrder(sent, confirmed);
            isLatest = status.pacePercent === sent;
            if (answer.kind === "done") {
                confirmed = sent;
                status.isPaceUncertain = false;
                continue;
            }
            status.isPaceUncertain ||= answer.kind === "unknown";
            if (isLatest) {
                status.pacePercent = confirmed;
            }
        }
    });
    yield* Effect.ensuring(
        Effect.onError(sendUntilLatest, () =>
            Effect.sync(() => {
                status.pacePercent = confirmed;
                status.isPaceUncertain = true;
            })),
        Effect.sync(() => {
            status.isPaceOrdered = false;
        }),
    );
});
