/** Weighted sum of observations whose weights halve with each half-life. */
export interface DecayingSum {
    weight: number;
    sum: number;
    /** Time up to which the weights are decayed, in monotonic milliseconds. */
    atMs: number;
}

/** Observations at one moment. */
export interface Evidence {
    readonly weight: number;
    readonly sum: number;
}

/** Creates a sum without observations. */
export function createDecayingSum(nowMs: number): DecayingSum {
    return { weight: 0, sum: 0, atMs: nowMs };
}

/** Computes the share of a weight that is left after `elapsedMs`. */
export function computeRemainingShare(elapsedMs: number, halfLifeMs: number): number {
    return 0.5 ** (Math.max(0, elapsedMs) / halfLifeMs);
}

/** Reads a sum at `nowMs` without changing it. */
export function readDecayed(known: DecayingSum | undefined, halfLifeMs: number, nowMs: number): Evidence {
    if (known === undefined) {
        return { weight: 0, sum: 0 };
    }
    const share = computeRemainingShare(nowMs - known.atMs, halfLifeMs);
    return { weight: known.weight * share, sum: known.sum * share };
}

/** Adds an observation to a sum. */
export function addDecayed(known: DecayingSum, { weight, sum }: Evidence, halfLifeMs: number, nowMs: number): void {
    const decayed = readDecayed(known, halfLifeMs, nowMs);
    known.weight = decayed.weight + weight;
    known.sum = decayed.sum + sum;
    known.atMs = Math.max(known.atMs, nowMs);
}

/** Subtracts the evidence of a member from that of its group; rounding does not make a weight negative. */
export function subtractEvidence(group: Evidence, member: Evidence): Evidence {
    return { weight: Math.max(0, group.weight - member.weight), sum: group.sum - member.sum };
}

/** Computes the mean of the evidence and of a prior mean that has the weight of `priorWeight` observations. */
export function computeShrunkMean({ weight, sum }: Evidence, priorMean: number, priorWeight: number): number {
    return (sum + priorMean * priorWeight) / (weight + priorWeight);
}
