/** Weight of the latest delay in the smoothed one, so that about ten samples count and one pause refuses nothing. */
const delayWeight = 0.1;
/** Longest delay that one sample counts as, in milliseconds, so that a frozen host is not busy long after it wakes. */
const delayLimitMs = 1_000;

/** How busy a leader is. */
export interface LeaderBusyness {
    /** Smoothed delay of timers, in milliseconds; the event loop is busy for about this time between two events. */
    delayMs: number;
    /** Commands that were proposed and wait to be committed. */
    waitingCommits: number;
}

/** Creates the record of a leader without work. */
export function createLeaderBusyness(): LeaderBusyness {
    return { delayMs: 0, waitingCommits: 0 };
}

/** Records by how much a timer fired late, in milliseconds. */
export function recordDelay(busyness: LeaderBusyness, delayMs: number): void {
    const limited = Math.min(delayLimitMs, Math.max(0, delayMs));
    busyness.delayMs += delayWeight * (limited - busyness.delayMs);
}
