import type { PeerId, WorkerHeartbeat, WorkerId } from "@chestnutspool/types";

/**
 * Time for which an acknowledged heartbeat stands for later ones that say the same, in milliseconds. Workers send one each
 * second. The leader removes a silent worker after 15 s, and learns of a living one from its answers to renewals.
 */
const repeatIntervalMs = 2_500;
/** Number of records from which outdated ones are removed. */
const recordLimit = 2_000;

interface Acknowledged {
    readonly content: string;
    readonly leader: PeerId;
    readonly atMs: number;
    /** Number of the last heartbeat that this process has answered. */
    sequence: number;
}

/** The last heartbeat of each worker that a leader has acknowledged to this process. */
export type HeartbeatFilter = Map<WorkerId, Acknowledged>;

/** Formats what a heartbeat tells besides its number and clock. */
function formatContent({ worker, coldRemainingMs = 0 }: WorkerHeartbeat): string {
    return JSON.stringify([worker, coldRemainingMs > 0]);
}

/**
 * Accepts a heartbeat in place of the leader, which has just acknowledged one that says the same. Returns false if it must reach the
 * leader: if it announces draining, if another process leads, or if the worker has sent another one meanwhile elsewhere, which
 * may have told the leader of a change.
 */
export function acceptRepeatedHeartbeat(
    filter: HeartbeatFilter,
    heartbeat: WorkerHeartbeat,
    leader: PeerId | undefined,
    nowMs: number,
): boolean {
    const known = filter.get(heartbeat.worker.id);
    const isRepeated = known !== undefined && !heartbeat.draining && known.leader === leader
        && nowMs - known.atMs < repeatIntervalMs && heartbeat.sequence === known.sequence + 1
        && known.content === formatContent(heartbeat);
    if (isRepeated) {
        known.sequence = heartbeat.sequence;
    }
    return isRepeated;
}

/** Records that a leader has acknowledged a heartbeat that was sent at `sentAtMs`. */
export function recordAcknowledged(
    filter: HeartbeatFilter,
    heartbeat: WorkerHeartbeat,
    leader: PeerId,
    sentAtMs: number,
): void {
    if (heartbeat.draining) {
        filter.delete(heartbeat.worker.id);
        return;
    }
    if (filter.size >= recordLimit) {
        [...filter].filter(([, { atMs }]) => sentAtMs - atMs >= repeatIntervalMs).forEach(([id]) => filter.delete(id));
    }
    const { worker, sequence } = heartbeat;
    filter.set(worker.id, { content: formatContent(heartbeat), leader, atMs: sentAtMs, sequence });
}
