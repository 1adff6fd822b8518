/**
 * Deletes the oldest entry of a collection with more than `limit` of them. Below the limit the oldest one is not looked up:
 * that passes all entries that were deleted since the collection last grew, such as those that were set again as the latest.
 */
export function dropOldest<Key>(collection: Map<Key, unknown> | Set<Key>, limit: number): void {
    if (collection.size > limit) {
        for (const oldest of collection.keys()) {
            collection.delete(oldest);
            return;
        }
    }
}

/** Sets an entry of a map as its latest, and deletes the oldest one above the limit. */
export function setLatest<Key, Value>(map: Map<Key, Value>, key: Key, value: Value, limit: number): void {
    map.delete(key);
    map.set(key, value);
    dropOldest(map, limit);
}
