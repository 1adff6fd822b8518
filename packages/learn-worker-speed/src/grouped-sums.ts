import type { WorkerId } from "@chestnutspool/types";
import {
    addDecayed,
    computeShrunkMean,
    createDecayingSum,
    type DecayingSum,
    type Evidence,
    readDecayed,
    subtractEvidence,
} from "./decaying-sums.js";

/** A worker, its rack and its availability zone. */
export interface WorkerPlace {
    readonly worker: WorkerId;
    readonly rack: string;
    readonly availabilityZone: string;
}

/** Half-life of the evidence, and the weight of the prior of each level, in observations. */
export interface GroupedSumsLimits {
    readonly halfLifeMs: number;
    readonly workerPriorWeight: number;
    readonly rackPriorWeight: number;
    readonly zonePriorWeight: number;
}

/** Sums of one quantity by worker, with those of racks and zones as weaker evidence. */
export interface GroupedSums {
    readonly addEvidence: (place: WorkerPlace, evidence: Evidence, nowMs: number) => void;
    /** Reads the evidence of a worker alone. */
    readonly readWorker: (worker: WorkerId, nowMs: number) => Evidence;
    /** Reads the evidence of all workers outside a zone. */
    readonly readOutside: (availabilityZone: string, nowMs: number) => Evidence;
    /**
     * Estimates the mean of a worker. Its prior is the mean of the other workers of its rack, whose prior is that of the other
     * racks of its zone, whose prior is `zonePriorMean`.
     */
    readonly estimateMean: (place: WorkerPlace, zonePriorMean: number, nowMs: number) => number;
    /** Takes the evidence of a worker out of all sums. */
    readonly removeWorker: (place: WorkerPlace, nowMs: number) => void;
}

const allKey = "";

/** Sum of a key, created when it is first needed. */
function getSum(sums: Map<string, DecayingSum>, key: string, nowMs: number): DecayingSum {
    let known = sums.get(key);
    if (known === undefined) {
        known = createDecayingSum(nowMs);
        sums.set(key, known);
    }
    return known;
}

/** Creates sums without evidence. The callers bound the number of workers; racks and zones are fewer. */
export function createGroupedSums(limits: GroupedSumsLimits): GroupedSums {
    const { halfLifeMs, workerPriorWeight, rackPriorWeight, zonePriorWeight } = limits;
    const byWorker = new Map<string, DecayingSum>();
    const byRack = new Map<string, DecayingSum>();
    const byZone = new Map<string, DecayingSum>();
    const ofAll = new Map<string, DecayingSum>();
    /** Workers with evidence, by rack and by zone, so that empty groups are removed. */
    const members = new Map<string, Set<WorkerId>>();

    // Racks of different zones may have the same name.
    const formatRack = ({ rack, availabilityZone }: WorkerPlace): string => `${availabilityZone}/${rack}`;
    const read = (sums: ReadonlyMap<string, DecayingSum>, key: string, nowMs: number): Evidence =>
        readDecayed(sums.get(key), halfLifeMs, nowMs);

    const listSums = (place: WorkerPlace): readonly (readonly [Map<string, DecayingSum>, string])[] => [
        [byWorker, place.worker],
        [byRack, formatRack(place)],
        [byZone, place.availabilityZone],
        [ofAll, allKey],
    ];

    return {
        addEvidence: (place, evidence, nowMs) => {
            for (const [sums, key] of listSums(place)) {
                addDecayed(getSum(sums, key, nowMs), evidence, halfLifeMs, nowMs);
            }
            const rack = formatRack(place);
            const ofRack = members.get(rack) ?? new Set<WorkerId>();
            members.set(rack, ofRack);
            ofRack.add(place.worker);
        },
        readWorker: (worker, nowMs) => read(byWorker, worker, nowMs),
        readOutside: (availabilityZone, nowMs) =>
            subtractEvidence(read(ofAll, allKey, nowMs), read(byZone, availabilityZone, nowMs)),
        estimateMean: (place, zonePriorMean, nowMs) => {
            const ofWorker = read(byWorker, place.worker, nowMs);
            const ofRack = read(byRack, formatRack(place), nowMs);
            const ofZone = read(byZone, place.availabilityZone, nowMs);
            const zoneMean = computeShrunkMean(subtractEvidence(ofZone, ofRack), zonePriorMean, zonePriorWeight);
            const rackMean = computeShrunkMean(subtractEvidence(ofRack, ofWorker), zoneMean, rackPriorWeight);
            return computeShrunkMean(ofWorker, rackMean, workerPriorWeight);
        },
        removeWorker: (place, nowMs) => {
            const { weight, sum } = read(byWorker, place.worker, nowMs);
            for (const [sums, key] of listSums(place)) {
                const known = sums.get(key);
                if (known !== undefined) {
                    addDecayed(known, { weight: -weight, sum: -sum }, halfLifeMs, nowMs);
                }
            }
            byWorker.delete(place.worker);
            const rack = formatRack(place);
            const ofRack = members.get(rack);
            ofRack?.delete(place.worker);
            if (ofRack?.size === 0) {
                members.delete(rack);
                byRack.delete(rack);
            }
        },
    };
}
