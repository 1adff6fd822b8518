import {
    advisoryLoad,
    busyLeaderOverload,
    lastingOverload,
    type Load,
    overloadedLoad,
    sustainedOverload,
    unevenLoad,
    wholesaleLoad,
} from "./load.js";
import { replayLoad } from "./replay.js";

const lengthMs = 40_000;
const finishMs = 20_000;
const { unevenness } = unevenLoad;

interface Total {
    earned: number;
    inTime: number;
    overTarget: number;
    paceChanges: number;
    refusals: number;
    starts: number;
}

/** Prints the results of a load as means over replays with seeds from 1 to `seeds`. */
function printReplay(name: string, load: Load, seeds: number, hasAdmission: boolean, learnsSpeeds = false): void {
    const totals = new Map<string, Total>();
    let earnedValue = 0;
    let attainableValue = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
        for (const row of replayLoad(load, lengthMs, finishMs, seed, { hasAdmission, learnsSpeeds })) {
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
    console.log(
        `${name}, admission ${hasAdmission ? "on" : "off"}, speeds ${learnsSpeeds ? "learnt" : "unknown"}: worth ${
            (earnedValue / attainableValue).toFixed(3)
        }`,
    );
    for (const [kind, { earned: share, inTime, overTarget, paceChanges, refusals, starts }] of totals) {
        const figures = [share, inTime, overTarget].map(figure => figure.toFixed(3)).join("  ");
        const counts = `paces ${paceChanges.toFixed(0)}  refusals ${refusals.toFixed(0)}  starts ${starts.toFixed(0)}`;
        console.log(`  ${kind.padEnd(10)} worth, in time, harmed: ${figures}  ${counts}`);
    }
}

/** Prints the loads, or only the named one, with admission off and on. */
function printReplays(seeds: number, only: string | undefined): void {
    const loads = {
        advisory: advisoryLoad,
        wholesale: wholesaleLoad,
        overloaded: overloadedLoad,
        lasting: lastingOverload,
        sustained: sustainedOverload,
        busyLeader: busyLeaderOverload,
    };
    for (const [name, load] of Object.entries(loads)) {
        if (only === undefined || only === name) {
            printReplay(name, load, seeds, false);
            printReplay(name, load, seeds, true);
        }
    }
    const unevenLoads = {
        uneven: unevenLoad,
        slowWorkers: { ...unevenLoad, unevenness: { ...unevenness, failingMs: 0 } },
        failingZone: { ...unevenLoad, unevenness: { ...unevenness, slowMs: 0 } },
        evenWorkers: { ...unevenLoad, unevenness: { ...unevenness, slowMs: 0, failingMs: 0 } },
    };
    for (const [name, load] of Object.entries(unevenLoads)) {
        if (only === undefined || only === name) {
            printReplay(name, load, seeds, false);
            printReplay(name, load, seeds, false, true);
        }
    }
}

printReplays(Number(process.argv[2] ?? 3), process.argv[3]);
