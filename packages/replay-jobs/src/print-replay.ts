import { advisoryLoad, overloadedLoad, wholesaleLoad } from "./load.js";
import { replayLoad } from "./replay.js";

const lengthMs = 40_000;
const finishMs = 20_000;

/** Prints what callers get of both loads; the argument is the number of seeds. */
function printReplays(seeds: number): void {
    for (
        const [name, load] of Object.entries({
            advisory: advisoryLoad,
            wholesale: wholesaleLoad,
            overloaded: overloadedLoad,
        })
    ) {
        const totals = new Map<string, { earned: number; inTime: number; harmed: number; paces: number; }>();
        let earned = 0;
        let owed = 0;
        for (let seed = 1; seed <= seeds; seed += 1) {
            for (const row of replayLoad(load, lengthMs, finishMs, seed)) {
                const total = totals.get(row.kind) ?? { earned: 0, inTime: 0, harmed: 0, paces: 0 };
                total.earned += row.earnedShare / seeds;
                total.inTime += row.inTimeShare / seeds;
                total.harmed += row.harmedShare / seeds;
                total.paces += row.paces / seeds;
                totals.set(row.kind, total);
                earned += row.earnedShare * row.owed;
                owed += row.owed;
            }
        }
        console.log(`${name}: worth ${(earned / owed).toFixed(3)}`);
        for (const [kind, { earned: share, inTime, harmed, paces }] of totals) {
            const figures = [share, inTime, harmed].map(figure => figure.toFixed(3)).join("  ");
            console.log(`  ${kind.padEnd(10)} worth, in time, harmed: ${figures}  paces ${paces.toFixed(0)}`);
        }
    }
}

printReplays(Number(process.argv[2] ?? 3));
