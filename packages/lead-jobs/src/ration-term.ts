import type { Urgency } from "@chestnutspool/plan-jobs";
import { adaptRation, isRationed } from "@chestnutspool/ration-leader-time";
import type { Term } from "./term.js";

/** Adapts the ration of a term at `nowMs` after the event loop was busy for `busyMs`, both in milliseconds; logs when it begins and ends. */
export function observeBusyTime(term: Term, busyMs: number, nowMs: number): void {
    const { ration, logger } = term;
    const before = ration.limits;
    adaptRation(ration, busyMs, nowMs);
    if ((before === undefined) === (ration.limits === undefined)) {
        return;
    }
    logger.info(
        ration.limits === undefined ? "deferrable work is not rationed any more" : "deferrable work is rationed",
        {
            term: term.number,
            utilizationPercent: Math.round(100 * ration.utilization),
            startsPerSecond: Math.round(ration.limits?.startsPerSecond ?? before?.startsPerSecond ?? 0),
            deferrableStartsPerSecond: Math.round(ration.startsPerSecond),
        },
    );
}

/**
 * Time for which calls that are not urgent, and their answers, wait for others while the processor time of the leader is rationed, in
 * milliseconds: most of the time that a message takes does not depend on the number of calls in it.
 */
export const rationedPatienceMs = 25;

/** Chooses for how long a call of an urgency may wait for others, in milliseconds. */
export function choosePatienceMs({ ration }: Pick<Term, "ration">, urgency: Urgency): number {
    return urgency === "deferrable" && isRationed(ration) ? rationedPatienceMs : 0;
}
