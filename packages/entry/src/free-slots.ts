import type { EntryId } from "@chestnutspool/types";

/** Free slots that the other entry hosts advertise. */
export interface FreeSlots {
    readonly recordAdvertisement: (
        entry: EntryId,
        freeByService: Readonly<Record<string, number>>,
        nowMs: number,
    ) => void;
    /** The host with the most free slots of a service; undefined when none advertises one. */
    readonly findHost: (service: string, nowMs: number) => EntryId | undefined;
    readonly countFree: (service: string, nowMs: number) => number;
    /** Counts a slot as taken until the next advertisement, so that not all requests go to one slot. */
    readonly takeSlot: (entry: EntryId, service: string) => void;
    /** Drops an advertisement that proved wrong. */
    readonly forgetSlots: (entry: EntryId, service: string) => void;
}

/** Advertisements that are older than this many intervals are not used: twice the interval of unchanged ones. */
const staleIntervals = 10;
/** Intervals after which numbers are sent although none has changed; a host that joined has none yet. */
export const repeatIntervals = 5;

/** Creates a view without advertisements. */
export function createFreeSlots(intervalMs: number): FreeSlots {
    const byEntry = new Map<EntryId, { readonly atMs: number; readonly free: Map<string, number>; }>();
    const getFree = (entry: EntryId, service: string, nowMs: number): number => {
        const advertisement = byEntry.get(entry);
        return advertisement === undefined || nowMs - advertisement.atMs > intervalMs * staleIntervals
            ? 0
            : advertisement.free.get(service) ?? 0;
    };
    return {
        recordAdvertisement: (entry, freeByService, nowMs) => {
            byEntry.set(entry, { atMs: nowMs, free: new Map(Object.entries(freeByService)) });
        },
        findHost: (service, nowMs) => {
            let best: EntryId | undefined;
            for (const entry of byEntry.keys()) {
                const free = getFree(entry, service, nowMs);
                if (free > 0 && (best === undefined || free > getFree(best, service, nowMs))) {
                    best = entry;
                }
            }
            return best;
        },
        countFree: (service, nowMs) =>
            [...byEntry.keys()].reduce((sum, entry) => sum + getFree(entry, service, nowMs), 0),
        takeSlot: (entry, service) => {
            const free = byEntry.get(entry)?.free;
            free?.set(service, Math.max(0, (free.get(service) ?? 0) - 1));
        },
        forgetSlots: (entry, service) => {
            byEntry.get(entry)?.free.set(service, 0);
        },
    };
}
