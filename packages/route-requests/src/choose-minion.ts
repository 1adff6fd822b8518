import type { MinionId } from "@chestnutspool/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Rule by which a minion is chosen; all but the first are baselines for measurements. */
export type ChoiceRule = "leastExpectedWait" | "leastOutstanding" | "roundRobin" | "twoChoices";

/** A minion that has a free slot. */
export interface MinionCandidate {
    readonly minion: MinionId;
    readonly ownZone: boolean;
    readonly outstanding: number;
    readonly slots: number;
    /** Decaying mean of its response times in milliseconds; undefined before the first. */
    readonly meanMs: number | undefined;
}

/** Chooses among candidates; keeps the position of round robin and the state of the random number generator. */
export interface MinionChooser {
    /** `undefined` without candidates; `serviceMeanMs` is used for a minion without observations. */
    readonly chooseMinion: (
        candidates: readonly MinionCandidate[],
        serviceMeanMs: number | undefined,
    ) => MinionId | undefined;
}

/** Round trip to another availability zone in milliseconds; the own one is preferred unless it is slower by more. */
const zoneRoundTripMs = 2;

function computeExpectedMs(candidate: MinionCandidate, serviceMeanMs: number | undefined): number {
    const meanMs = candidate.meanMs ?? serviceMeanMs ?? 0;
    return meanMs * (1 + candidate.outstanding / candidate.slots) + (candidate.ownZone ? 0 : zoneRoundTripMs);
}

function findLowest(
    candidates: readonly MinionCandidate[],
    score: (candidate: MinionCandidate) => number,
): MinionCandidate | undefined {
    let best: MinionCandidate | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const candidateScore = score(candidate);
        const isBetter = candidateScore < bestScore
            || (candidateScore === bestScore && best !== undefined && candidate.outstanding < best.outstanding);
        if (isBetter) {
            best = candidate;
            bestScore = candidateScore;
        }
    }
    return best;
}

/** Creates a chooser; the seed drives the random choices of `twoChoices`. */
export function createMinionChooser(rule: ChoiceRule, seed: number): MinionChooser {
    const random = xoroshiro128plus(seed);
    let position = 0;
    const chooseRandom = (candidates: readonly MinionCandidate[]): MinionCandidate | undefined =>
        candidates[uniformInt(random, 0, candidates.length - 1)];
    return {
        chooseMinion: (candidates, serviceMeanMs) => {
            if (candidates.length === 0) {
                return undefined;
            }
            const score = (candidate: MinionCandidate): number => computeExpectedMs(candidate, serviceMeanMs);
            switch (rule) {
                case "leastExpectedWait":
                    return findLowest(candidates, score)?.minion;
                case "leastOutstanding":
                    return findLowest(candidates, candidate => candidate.outstanding)?.minion;
                case "roundRobin":
                    position += 1;
                    return candidates[position % candidates.length]?.minion;
                case "twoChoices": {
                    const pair = [chooseRandom(candidates), chooseRandom(candidates)].filter(each =>
                        each !== undefined
                    );
                    return findLowest(pair, score)?.minion;
                }
            }
        },
    };
}
