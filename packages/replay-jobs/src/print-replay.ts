import { anyOneRackOfEight, busyHotRack, hotRackOfEight, hotRackOfTwelve } from "./hot-rack-loads.js";
import {
    advisoryLoad,
    busyLeaderOverload,
    lastingOverload,
    type Load,
    overloadedLoad,
    sustainedOverload,
    wholesaleLoad,
} from "./load.js";
import { replayLoad, type ReplayOptions } from "./replay.js";
import type { TallyRow } from "./tally.js";

const lengthMs = 40_000;
const finishMs = 20_000;

interface Total {
    earned: number;
    inTime: number;
    overTarget: number;
    paceChanges: number;
    refusals: number;
    starts: number;
}

/** Means over the seeds. */
interface RackTotal {
    near: number;
    far: number;
    waits: number;
    placed: number;
    waitedMs: number;
    expectedGainMs: number;
    gainMs: number;
}

function addRackCounts(total: RackTotal, { nearStarts, farStarts, waits }: TallyRow, seeds: number): void {
    total.near += nearStarts / seeds;
    total.far += farStarts / seeds;
    total.waits += waits.waits / seeds;
    total.placed += waits.placed / seeds;
    total.waitedMs += waits.waitedMs / seeds;
    total.expectedGainMs += waits.expectedGainMs / seeds;
    total.gainMs += waits.gainMs / seeds;
}

function describeRackTotal({ near, far, waits, placed, waitedMs, expectedGainMs, gainMs }: RackTotal): string {
    const [waited, expected, gained] = [waitedMs, expectedGainMs, gainMs].map(sum =>
        (sum / Math.max(1, waits)).toFixed(0)
    );
    return `  starts near ${near.toFixed(0)}, far ${far.toFixed(0)}; waits ${waits.toFixed(0)}, placed ${
        placed.toFixed(0)
    }; `
        + `mean of a wait ${waited} ms, expected gain ${expected} ms, gain ${gained} ms`;
}

/** Prints the results of a load as means over replays with seeds from 1 to `seeds`. */
function printReplay(name: string, load: Load, seeds: number, options: ReplayOptions): void {
    const totals = new Map<string, Total>();
    const racks = { near: 0, far: 0, waits: 0, placed: 0, waitedMs: 0, expectedGainMs: 0, gainMs: 0 };
    let earnedValue = 0;
    let attainableValue = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
        const rows = replayLoad(load, lengthMs, finishMs, seed, options);
        rows.slice(0, 1).forEach(row => addRackCounts(racks, row, seeds));
        for (const row of rows) {
            const total = totals.get(row.kind)
                ?? { earned: 0, inTime: 0, overTarget: 0, paceChanges: 0, refusals: 0, starts: 0 };
            total.earned += row.earnedShare / seeds;
            total.inTime += row.inTimeShare / seeds;
            total.overTarget += row.overTargetShare / seeds;
            total.paceChanges += row.paceChanges / seeds;
            total.refusals += row.refusals / seeds;
            total.starts += row.starts / seeds;
            totals.set(row.kind, total);
            earnedValue += row.earnedShare * row.attainableValue;
            attainableValue += row.attainableValue;
        }
    }
    const { hasAdmission = false, hasWaits = false } = options;
    const variant = `admission ${hasAdmission ? "on" : "off"}, waits for racks ${hasWaits ? "on" : "off"}`;
    console.log(`${name}, ${variant}: worth ${(earnedValue / attainableValue).toFixed(3)}`);
    if (load.hotRack !== undefined) {
        console.log(describeRackTotal(racks));
    }
    for (const [kind, { earned: share, inTime, overTarget, paceChanges, refusals, starts }] of totals) {
        const figures = [share, inTime, overTarget].map(figure => figure.toFixed(3)).join("  ");
        const counts = `paces ${paceChanges.toFixed(0)}  refusals ${refusals.toFixed(0)}  starts ${starts.toFixed(0)}`;
        console.log(`  ${kind.padEnd(10)} worth, in time, harmed: ${figures}  ${counts}`);
    }
}

/** Prints the loads, or only the named one, with admission off and on, or with waits for racks off and on. */
function printReplays(seeds: number, only: string | undefined): void {
    const loads = {
        advisory: advisoryLoad,
        wholesale: wholesaleLoad,
        overloaded: overloadedLoad,
        lasting: lastingOverload,
        sustained: sustainedOverload,
        busyLeader: busyLeaderOverload,
        hotRackOfEight,
        hotRackOfTwelve,
        anyOneRackOfEight,
        busyHotRack,
    };
    for (const [name, load] of Object.entries(loads)) {
        if (only === undefined || only === name) {
            const variants = load.hotRack === undefined
                ? [{ hasAdmission: false }, { hasAdmission: true }]
                : [{ hasWaits: false }, { hasWaits: true }];
            variants.forEach(options => printReplay(name, load, seeds, options));
        }
    }
}

printReplays(Number(process.argv[2] ?? 3), process.argv[3]);
