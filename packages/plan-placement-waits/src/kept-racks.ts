import type { WorkerId } from "@chestnutspool/types";

/** Demand for one rack beyond what is free there. All times are in milliseconds since the epoch. */
interface RackDemand {
    /** When other tasks began to stay away. */
    sinceMs: number;
    /** When a task last found no place. */
    wantedAtMs: number;
    /** When they last stopped staying away, and for how long they had. */
    releasedAtMs: number;
    keptMs: number;
    isKept: boolean;
}

/** Racks that tasks without a preference stay away from, by service and rack. */
export type KeptRacks = Map<string, RackDemand>;

/** Time for which a rack is kept after a task last found no place there, in milliseconds; arrivals have gaps. */
const demandHoldMs = 1_000;
/** Longest time for which others stay away from a rack, in milliseconds. At least as long a time without follows. */
export const longestKeptMs = 10_000;
/** Largest share of the workers of a service that is kept; in small services it may be none. */
export const keptWorkersShare = 0.1;

/** Creates the record of a leader that has kept no rack. */
export function createKeptRacks(): KeptRacks {
    return new Map();
}

function updateDemand(demand: RackDemand, isWanted: boolean, nowMs: number): void {
    demand.wantedAtMs = isWanted ? nowMs : demand.wantedAtMs;
    const isNeeded = nowMs - demand.wantedAtMs <= demandHoldMs;
    if (demand.isKept) {
        if (!isNeeded || nowMs - demand.sinceMs >= longestKeptMs) {
            demand.isKept = false;
            demand.releasedAtMs = nowMs;
            demand.keptMs = nowMs - demand.sinceMs;
        }
    }
    else if (isNeeded && nowMs - demand.releasedAtMs >= demand.keptMs) {
        demand.isKept = true;
        demand.sinceMs = nowMs;
    }
}

/**
 * Lists the workers that tasks without a rack preference stay away from. Each rack is kept for at most `longestKeptMs`,
 * then left to all for at least as long as it was kept; at most `keptWorkersShare` of the workers of a service are kept.
 * `listWorkers` returns the workers of a rack, `countWorkers` those of its service.
 */
export function listKeptRackWorkers(
    kept: KeptRacks,
    wanted: ReadonlySet<string>,
    listWorkers: (rackKey: string) => readonly WorkerId[],
    countWorkers: (rackKey: string) => { readonly service: string; readonly workers: number; },
    nowMs: number,
): ReadonlySet<WorkerId> {
    for (const key of wanted) {
        if (!kept.has(key)) {
            kept.set(key, {
                sinceMs: nowMs,
                wantedAtMs: nowMs,
                releasedAtMs: Number.NEGATIVE_INFINITY,
                keptMs: 0,
                isKept: false,
            });
        }
    }
    const workers = new Set<WorkerId>();
    const keptByService = new Map<string, number>();
    for (const [key, demand] of kept) {
        updateDemand(demand, wanted.has(key), nowMs);
        if (!demand.isKept) {
            if (nowMs - demand.releasedAtMs >= demand.keptMs && nowMs - demand.wantedAtMs > demandHoldMs) {
                kept.delete(key);
            }
            continue;
        }
        const { service, workers: ofService } = countWorkers(key);
        const used = keptByService.get(service) ?? 0;
        const taken = listWorkers(key).slice(0, Math.max(0, Math.floor(ofService * keptWorkersShare) - used));
        keptByService.set(service, used + taken.length);
        taken.forEach(worker => workers.add(worker));
    }
    return workers;
}
