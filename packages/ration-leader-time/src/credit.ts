const millisecondsPerSecond = 1_000;
/** Time for which unused credit is kept, in milliseconds; above the longest pause between two passes of the planner. */
const keptMs = 600;

/** Units of work that may be spent. Times are monotonic, in milliseconds. */
export interface Credit {
    units: number;
    creditedAtMs: number;
}

/** Creates credit for one unit. */
export function createCredit(nowMs: number): Credit {
    return { units: 1, creditedAtMs: nowMs };
}

/** Adds what a rate of units a second has given since the last call, and returns the whole units that may be spent. */
export function readCredit(credit: Credit, unitsPerSecond: number, nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - credit.creditedAtMs);
    const most = Math.max(1, unitsPerSecond * keptMs / millisecondsPerSecond);
    credit.units = Math.min(most, credit.units + unitsPerSecond * elapsedMs / millisecondsPerSecond);
    credit.creditedAtMs = nowMs;
    return Math.max(0, Math.floor(credit.units));
}
