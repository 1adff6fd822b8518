/** Methods of broadcasting one message from a root to all receivers. */
export type BroadcastMethod = "plain" | "tree" | "correctedTree";

/**
 * Children of a rank in an interleaved binomial tree over `count` ranks with root 0: rank r, reached in step s, sends to
 * r + 2^i for each later step. Interleaving keeps the gaps that a failed rank leaves in the ring small.
 * Source: Küttler et al., Corrected Trees for Reliable Group Communication, PPoPP 2019, section 3.2.
 */
export function listTreeChildren(rank: number, count: number): readonly number[] {
    const children: number[] = [];
    let step = rank === 0 ? 1 : 2 ** (Math.floor(Math.log2(rank)) + 1);
    while (rank + step < count) {
        children.push(rank + step);
        step *= 2;
    }
    return children;
}

/** Ring neighbours to which a rank sends in opportunistic correction: `distance` on each side, nearest first. */
export function listCorrectionTargets(rank: number, count: number, distance: number): readonly number[] {
    const targets: number[] = [];
    for (let offset = 1; offset <= distance; offset += 1) {
        targets.push((rank + offset) % count, (rank - offset + count) % count);
    }
    return targets.filter(target => target !== rank);
}

/** The ranks to which a rank sends, in order, once it has the message from the tree. */
export function planSends(method: BroadcastMethod, rank: number, count: number, distance: number): readonly number[] {
    switch (method) {
        case "plain":
            return rank === 0 ? Array.from({ length: count - 1 }, (item, index) => index + 1) : [];
        case "tree":
            return listTreeChildren(rank, count);
        case "correctedTree":
            return [...listTreeChildren(rank, count), ...listCorrectionTargets(rank, count, distance)];
    }
}
