import { findRack } from "@chestnutspool/job-state";
import { countUnprovedRuns } from "@chestnutspool/track-workers";
import type { StepSpec, WorkerId } from "@chestnutspool/types";
import { rateWorker, type RatingContext } from "./rate-workers.js";
import { hasCapacity, hasRoomBesideTrial, type WorkerCandidate } from "./worker-candidate.js";

/** Ratings of the workers for the tasks of one step in a planning pass. */
export interface StepRatings {
    /** Chooses the worker with the highest rating; the excluded one only if no other is suitable. */
    readonly chooseWorker: (excluded: WorkerId | undefined) => WorkerCandidate | undefined;
    /**
     * Chooses the worker on which a task that may crash it does the least harm: with the fewest runs that have not proved
     * themselves, then with the fewest runs. Members of a gang join those that are on trial already. Only a task that may share its trial
     * is placed beside runs that are still suspected, and only if no other worker is suitable, unless it joins them.
     */
    readonly chooseTrialWorker: (canShare: boolean) => WorkerCandidate | undefined;
    /** Whether a worker has room for a task of the step but takes none because of a trial there. */
    readonly hasRoomOnTrial: boolean;
    /** Updates the ratings after a task was planned on a worker. */
    readonly updateAfterStart: (started: WorkerCandidate) => void;
}

/** What a crash of a worker would cost. */
interface Harm {
    /** Odds of the tasks there that are suspected, which hide the cause of a crash. */
    readonly suspectedOdds: number;
    /** Runs that would be suspected as well. */
    readonly unprovedRuns: number;
    readonly runs: number;
}

function estimateHarm({ state, statuses, plannedRuns, suspected }: WorkerCandidate): Harm {
    return {
        suspectedOdds: suspected.odds,
        unprovedRuns: countUnprovedRuns(state, statuses) + plannedRuns,
        runs: state.runs.size + plannedRuns,
    };
}

function compareHarm(left: Harm, right: Harm): number {
    return left.suspectedOdds - right.suspectedOdds || left.unprovedRuns - right.unprovedRuns || left.runs - right.runs;
}

/**
 * Rates the workers for a step once. A start changes only the rating of its worker, or of all workers of its rack if
 * the step prefers one rack. `countRating` is called for each rating.
 */
export function createStepRatings(
    candidates: readonly WorkerCandidate[],
    spec: StepSpec,
    stepKey: string,
    context: RatingContext,
    countRating: () => void,
): StepRatings {
    const rate = (candidate: WorkerCandidate): number | undefined => {
        countRating();
        return hasCapacity(candidate, spec, stepKey, context.joins)
            ? rateWorker(candidate, spec, context)
            : undefined;
    };
    const suitable: { readonly candidate: WorkerCandidate; rating: number; }[] = [];
    let hasRoomOnTrial = false;
    for (const candidate of candidates) {
        hasRoomOnTrial ||= (candidate.isOnTrial || candidate.suspected.count > 0)
            && hasRoomBesideTrial(candidate, spec, stepKey);
        const rating = rate(candidate);
        if (rating !== undefined) {
            suitable.push({ candidate, rating });
        }
    }
    return {
        hasRoomOnTrial,
        chooseWorker: excluded => {
            let best: WorkerCandidate | undefined;
            let bestRating = Number.NEGATIVE_INFINITY;
            let excludedCandidate: WorkerCandidate | undefined;
            for (const { candidate, rating } of suitable) {
                if (candidate.state.info.id === excluded) {
                    excludedCandidate = candidate;
                }
                else if (rating > bestRating) {
                    best = candidate;
                    bestRating = rating;
                }
            }
            return best ?? excludedCandidate;
        },
        chooseTrialWorker: canShare => {
            let best: WorkerCandidate | undefined;
            let leastHarm: Harm | undefined;
            for (const { candidate } of suitable) {
                if (candidate.trialGang === stepKey) {
                    return candidate;
                }
                if (candidate.suspected.count > 0 && context.joins === "none" && !canShare) {
                    continue;
                }
                const harm = estimateHarm(candidate);
                if (leastHarm === undefined || compareHarm(harm, leastHarm) < 0) {
                    best = candidate;
                    leastHarm = harm;
                }
            }
            return best;
        },
        updateAfterStart: started => {
            const rack = findRack(started.state.info);
            // A worker that is no longer suitable does not become suitable again within a step.
            for (let position = suitable.length - 1; position >= 0; position -= 1) {
                const entry = suitable[position];
                const isChanged = entry !== undefined
                    && (entry.candidate === started
                        || (spec.prefersOneRack && findRack(entry.candidate.state.info) === rack));
                if (!isChanged) {
                    continue;
                }
                const rating = rate(entry.candidate);
                if (rating === undefined) {
                    suitable.splice(position, 1);
                }
                else {
                    entry.rating = rating;
                }
            }
        },
    };
}
