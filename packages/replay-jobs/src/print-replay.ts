import { advisoryLoad, overloadedLoad, wholesaleLoad } from "./load.js";
import { replayLoad } from "./replay.js";

const lengthMs = 40_000;
const finishMs = 20_000;

/** Prints the results of each load as means over replays with seeds from 1 to `seeds`. */
function printReplays(seeds: number): void {
    for (
        const [name, load] of Object.entries({
            advisory: advisoryLoad,
            wholesale: wholesaleLoad,
            overloaded: overloadedLoad,
        })
    ) {
        const totals = new Map<string, { earned: number; inTime: number; overTarget: number; paceChanges: number; }>();
        let earnedValue = 0;
        let attainableValue = 0;
        for (let seed = 1; seed <= seeds; seed += 1) {
            for (const row of replayLoad(load, lengthMs, finishMs, seed)) {
                const total = totals.get(row.kind) ?? { earned: 0, inTime: 0, overTarget: 0, paceChanges: 0 };
                total.earned += row.earnedShare / seeds;
                total.inTime += row.inTimeShare / seeds;
                total.overTarget += row.overTargetShare / seeds;
                total.paceChanges += row.paceChanges / seeds;
                totals.set(row.kind, total);
                earnedValue += row.earnedShare * row.attainableValue;
                attainableValue += row.attainableValue;
            }
        }
        console.log(`${name}: worth ${(earnedValue / attainableValue).toFixed(3)}`);
        for (const [kind, { earned: share, inTime, overTarget, paceChanges }] of totals) {
            const figures = [share, inTime, overTarget].map(figure => figure.toFixed(3)).join("  ");
            console.log(`  ${kind.padEnd(10)} worth, in time, harmed: ${figures}  paces ${paceChanges.toFixed(0)}`);
        }
    }
}

printReplays(Number(process.argv[2] ?? 3));
