/**
 * Computes a share from 0 to 1 from an id, so that callers are spread without a random source and the same caller always
 * gets the same share: FNV-1a, with the last step of MurmurHash3 because the high bits of FNV-1a hardly depend on the last
 * characters.
 */
export function computeShareOfId(id: string): number {
    let hash = 0x811c9dc5;
    for (const character of id) {
        hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193);
    }
    hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return ((hash ^ hash >>> 16) >>> 0) / 2 ** 32;
}
