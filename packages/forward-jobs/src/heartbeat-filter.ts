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
}

/** The last heartbeat of each worker that a leader has acknowledged to this process. */
export type HeartbeatFilter = Map<WorkerId, Acknowledged>;

/** Formats what a heartbeat tells besides its number and clock. */
function formatContent({ worker }: WorkerHeartbeat): string {
    return JSON.stringify(worker);
}

/**
 * Whether the leader has just acknowledged a heartbeat that says the same, so that this one need not reach it. A heartbeat
 * that announces draining always reaches the leader before it is acknowledged, and so does each one to a new leader.
 */
export function isRepeatedHeartbeat(
    filter: HeartbeatFilter,
    heartbeat: WorkerHeartbeat,
    leader: PeerId | undefined,
    nowMs: number,
): boolean {
    const known = filter.get(heartbeat.worker.id);
    return known !== undefined && !heartbeat.draining && known.leader === leader
        && nowMs - known.atMs < repeatIntervalMs && known.content === formatContent(heartbeat);
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
    filter.set(heartbeat.worker.id, { content: formatContent(heartbeat), leader, atMs: sentAtMs });
}
