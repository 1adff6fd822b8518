import type { PeerId, WorkerInfo } from "@chestnutspool/types";
import { createHash } from "node:crypto";

/** What the choice of a relay needs to know of a worker. */
export type RelayedWorker = Pick<WorkerInfo, "id" | "address" | "availabilityZone">;

/** A control process that may carry out calls. */
export interface RelayCandidate {
    readonly id: PeerId;
    /** Undefined until the process has answered. */
    readonly availabilityZone: string | undefined;
}

const scoreBytes = 6;

// CRC-32 is linear, so that the scores of two relays would differ by the same bits for all workers and the load would
// be uneven.
function computeScore(relay: PeerId, worker: string): number {
    return createHash("sha1").update(`${relay} ${worker}`).digest().readUIntBE(0, scoreBytes);
}

/**
 * Ranks the relays for a worker by rendezvous hashing, those in the worker's availability zone first. Every leader
 * finds the same order, and a relay that fails or comes back changes the choice only for its own workers.
 */
export function rankRelays(worker: RelayedWorker, relays: readonly RelayCandidate[]): readonly PeerId[] {
    return relays
        .map(({ id, availabilityZone }) => ({
            id,
            isNear: availabilityZone === worker.availabilityZone,
            score: computeScore(id, worker.id),
        }))
        .sort((left, right) =>
            Number(right.isNear) - Number(left.isNear) || right.score - left.score || (left.id < right.id ? -1 : 1)
        )
        .map(({ id }) => id);
}

/**
 * Chooses the first usable relay that is not the avoided one; the avoided one if it is the only usable one. Undefined
 * if no relay is usable.
 */
export function chooseRelay(
    ranking: readonly PeerId[],
    isUsable: (relay: PeerId) => boolean,
    avoided: PeerId | undefined,
): PeerId | undefined {
    const chosen = ranking.find(relay => relay !== avoided && isUsable(relay));
    return chosen ?? (avoided !== undefined && ranking.includes(avoided) && isUsable(avoided) ? avoided : undefined);
}
