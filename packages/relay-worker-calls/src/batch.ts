/** Collects items and sends those of one turn of the event loop together. */
export interface Batch<Item> {
    readonly add: (item: Item) => void;
    /** Drops the items that have not been sent. */
    readonly drop: () => void;
}

/** Runs a function at the end of the current turn of the event loop. */
export type ScheduleFlush = (flush: () => void) => void;

/** Creates a batch. `send` gets at most `limit` items at once. */
export function createBatch<Item>(
    limit: number,
    send: (items: readonly Item[]) => void,
    schedule: ScheduleFlush,
): Batch<Item> {
    let items: Item[] = [];
    let isScheduled = false;
    const flush = (): void => {
        isScheduled = false;
        const taken = items;
        items = [];
        for (let first = 0; first < taken.length; first += limit) {
            send(taken.slice(first, first + limit));
        }
    };
    return {
        add: item => {
            items.push(item);
            if (!isScheduled) {
                isScheduled = true;
                schedule(flush);
            }
        },
        drop: () => {
            items = [];
        },
    };
}
