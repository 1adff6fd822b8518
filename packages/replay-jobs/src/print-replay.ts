import { certificationLoad, contendedMemoryLoad } from "./contended-loads.js";
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
import { replayLoad, type ReplayOptions } from "./replay.js";

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
    preemptions: number;
}

/** What a replay is played with. */
type Parts = Pick<ReplayOptions, "hasAdmission" | "hasPreemption" | "learnsSpeeds">;

function describeParts({ hasAdmission = false, hasPreemption = true, learnsSpeeds = false }: Parts): string {
    return `admission ${hasAdmission ? "on" : "off"}, preemption ${hasPreemption ? "on" : "off"}, speeds ${
        learnsSpeeds ? "learnt" : "unknown"
    }`;
}

/** Prints the results of a load as means over replays with seeds from 1 to `seeds`. */
function printReplay(name: string, load: Load, seeds: number, parts: Parts): void {
    const totals = new Map<string, Total>();
    let earnedValue = 0;
    let attainableValue = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
        for (const row of replayLoad(load, lengthMs, finishMs, seed, parts)) {
            const total = totals.get(row.kind)
                ?? { earned: 0, inTime: 0, overTarget: 0, paceChanges: 0, refusals: 0, starts: 0, preemptions: 0 };
            total.earned += row.earnedShare / seeds;
            total.inTime += row.inTimeShare / seeds;
            total.overTarget += row.overTargetShare / seeds;
            total.paceChanges += row.paceChanges / seeds;
            total.refusals += row.refusals / seeds;
            total.starts += row.starts / seeds;
            total.preemptions += row.preemptions / seeds;
            totals.set(row.kind, total);
            earnedValue += row.earnedShare * row.attainableValue;
            attainableValue += row.attainableValue;
        }
    }
    console.log(`${name}, ${describeParts(parts)}: worth ${(earnedValue / attainableValue).toFixed(3)}`);
    for (const [kind, total] of totals) {
        const figures = [total.earned, total.inTime, total.overTarget].map(figure => figure.toFixed(3)).join("  ");
        const { paceChanges, refusals, starts, preemptions } = total;
        const counts = `paces ${paceChanges.toFixed(0)}  refusals ${refusals.toFixed(0)}  starts ${starts.toFixed(0)}`;
        console.log(
            `  ${kind.padEnd(10)} worth, in time, harmed: ${figures}  ${counts}  preempted ${preemptions.toFixed(1)}`,
        );
    }
}

/** Prints the loads, or only the named one, with admission off and on, and with the chosen preemption. */
function printReplays(seeds: number, only: string | undefined, preemption: string | undefined): void {
    const loads = {
        advisory: advisoryLoad,
        wholesale: wholesaleLoad,
        overloaded: overloadedLoad,
        lasting: lastingOverload,
        sustained: sustainedOverload,
        busyLeader: busyLeaderOverload,
        certification: certificationLoad,
        contendedMemory: contendedMemoryLoad,
    };
    for (const [name, load] of Object.entries(loads)) {
        if (only === undefined || only === name) {
            printReplay(name, load, seeds, { hasAdmission: false, hasPreemption: preemption !== "off" });
            printReplay(name, load, seeds, { hasAdmission: true, hasPreemption: preemption !== "off" });
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
            printReplay(name, load, seeds, { learnsSpeeds: false });
            printReplay(name, load, seeds, { learnsSpeeds: true });
        }
    }
}

printReplays(Number(process.argv[2] ?? 3), process.argv[3], process.argv[4]);
