import type { EntryId } from "@chestnutspool/types";

/** Free slots that the other entry hosts advertise. */
export interface FreeSlots {
    readonly recordAdvertisement: (
        entry: EntryId,
        freeByService: Readonly<Record<string, number>>,
        nowMs: number,
    ) => void;
    /** Finds the host with the most free slots of a service; undefined when none advertises one. */
    readonly findHost: (service: string, nowMs: number) => EntryId | undefined;
    readonly countFree: (service: string, nowMs: number) => number;
    /** Reserves a slot until the next advertisement, so that several requests do not go to the same slot. */
    readonly takeSlot: (entry: EntryId, service: string) => void;
    /** Drops the advertisement of a service after the host had no slot for it. */
    readonly forgetSlots: (entry: EntryId, service: string) => void;
}

/** Age above which an advertisement is ignored, in intervals: twice `resendIntervals`. */
const staleIntervals = 10;
/** Intervals after which unchanged numbers are sent again, for hosts that have joined since. */
export const resendIntervals = 5;

/** Creates an empty record of advertisements. */
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
