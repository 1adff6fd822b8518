/** Collects items and sends them together. */
export interface Batch<Item> {
    /**
     * Adds an item. It is sent at the end of the current turn of the event loop, or at the latest after `patienceMs` together with what is
     * added until then.
     */
    readonly add: (item: Item, patienceMs?: number) => void;
    /** Drops the items that have not been sent. */
    readonly drop: () => void;
}

/** Runs a function after a delay in milliseconds; with 0 at the end of the current turn of the event loop. */
export type ScheduleFlush = (flush: () => void, delayMs: number) => void;

/** Creates a batch. `send` gets at most `limit` items at once. */
export function createBatch<Item>(
    limit: number,
    send: (items: readonly Item[]) => void,
    schedule: ScheduleFlush,
): Batch<Item> {
    let items: Item[] = [];
    /** Delay of the flush that is scheduled for the items; undefined if none is. */
    let scheduledMs: number | undefined;
    const flush = (): void => {
        scheduledMs = undefined;
        const taken = items;
        items = [];
        for (let first = 0; first < taken.length; first += limit) {
            send(taken.slice(first, first + limit));
        }
    };
    return {
        add: (item, patienceMs = 0) => {
            items.push(item);
            // A flush that an earlier one has made needless finds nothing, or sends patient items a little early.
            if (scheduledMs === undefined || patienceMs < scheduledMs) {
                scheduledMs = patienceMs;
                schedule(flush, patienceMs);
            }
        },
        drop: () => {
            items = [];
        },
    };
}
