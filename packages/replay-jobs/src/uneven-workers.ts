import type { Unevenness } from "./load.js";
import { createRandom } from "./random.js";

/** What differs between workers at a time. */
export interface UnevenWorkers {
    /** Speed of a worker; 1 is normal. */
    readonly findSpeed: (worker: number, nowMs: number) => number;
    /** Share of the runs started on a worker that fail beyond those of their kind. */
    readonly findFailingShare: (worker: number, nowMs: number) => number;
    /** Zone of a worker: racks are in the zones in turns. */
    readonly findZone: (rack: number) => string;
}

/** Seed of the draws, apart from those of the jobs so that a load has the same jobs with and without unevenness. */
const seedOffset = 7_919;

/** Draws which workers are slow in each period. Nothing differs if there is no unevenness. */
export function createUnevenWorkers(
    unevenness: Unevenness | undefined,
    workersPerRack: number,
    seed: number,
): UnevenWorkers {
    if (unevenness === undefined) {
        return { findSpeed: () => 1, findFailingShare: () => 0, findZone: () => "z" };
    }
    const { periodMs, slowShare, slowSpeed, slowMs, failingMs, zones, failingShare } = unevenness;
    const random = createRandom(seed + seedOffset);
    const slowByPeriod = new Map<number, Map<number, boolean>>();
    const isSlow = (worker: number, period: number): boolean => {
        const ofPeriod = slowByPeriod.get(period) ?? new Map<number, boolean>();
        slowByPeriod.set(period, ofPeriod);
        const known = ofPeriod.get(worker) ?? random.drawShare() < slowShare;
        ofPeriod.set(worker, known);
        return known;
    };
    const findZone = (rack: number): string => `z${rack % zones}`;
    return {
        // Speeds are asked for in each step of the replay in the order of the workers, so that the draws are the same each time.
        findSpeed: (worker, nowMs) =>
            nowMs % periodMs < slowMs && isSlow(worker, Math.floor(nowMs / periodMs)) ? slowSpeed : 1,
        findFailingShare: (worker, nowMs) => {
            const isFailing = nowMs % periodMs >= periodMs - failingMs
                && findZone(Math.floor(worker / workersPerRack)) === `z${Math.floor(nowMs / periodMs) % zones}`;
            return isFailing ? failingShare : 0;
        },
        findZone,
    };
}
