/** How well the waits of a service have met their predictions. */
export interface WaitRecord {
    /** Share of the latest waits whose places came in time. */
    metShare: number;
    /** Mean of the natural logarithms of waits divided by their predictions. */
    factorMean: number;
    /** When a wait last ended, in milliseconds since the epoch. */
    endedAtMs: number;
}

/** What the record of the earlier waits says about the next one. */
export type WaitTrust = Pick<WaitRecord, "metShare"> & {
    /** Latest waits divided by their predictions. */
    readonly waitFactor: number;
};

/** Weight of one wait; about ten waits of one hot rack, which often fail together, make an opinion. */
const waitWeight = 0.1;
/** Time in which half of the opinion about earlier waits is forgotten, in milliseconds; it allows a new attempt. */
const halfLifeMs = 10_000;
/** Least share, so that a wait for a place that is about to come is still tried and the opinion can change. */
const leastMetShare = 0.05;
/** Added to both times before they are compared, in milliseconds: differences of a pass or two say nothing. */
const comparedMs = 50;
const largestFactor = 4;

/** Creates the record of a service in which no task has waited. */
export function createWaitRecord(nowMs: number): WaitRecord {
    return { metShare: 1, factorMean: 0, endedAtMs: nowMs };
}

/** Computes what is left of the opinion at `nowMs`. */
export function computeWaitTrust({ metShare, factorMean, endedAtMs }: WaitRecord, nowMs: number): WaitTrust {
    const kept = 2 ** (-Math.max(0, nowMs - endedAtMs) / halfLifeMs);
    return {
        metShare: Math.max(leastMetShare, 1 - (1 - metShare) * kept),
        // An early place does not make waits look shorter than the forecast says.
        waitFactor: Math.exp(Math.max(0, factorMean * kept)),
    };
}

/** Records a wait that took `waitedMs` instead of `predictedMs`, and whether the place came. */
export function observeWait(
    record: WaitRecord,
    isMet: boolean,
    predictedMs: number,
    waitedMs: number,
    nowMs: number,
): void {
    const kept = 2 ** (-Math.max(0, nowMs - record.endedAtMs) / halfLifeMs);
    record.metShare = 1 - (1 - record.metShare) * kept;
    record.factorMean *= kept;
    const factor = Math.log((waitedMs + comparedMs) / (predictedMs + comparedMs));
    const limit = Math.log(largestFactor);
    record.metShare += ((isMet ? 1 : 0) - record.metShare) * waitWeight;
    record.factorMean += (Math.min(limit, Math.max(-limit, factor)) - record.factorMean) * waitWeight;
    record.endedAtMs = nowMs;
}
