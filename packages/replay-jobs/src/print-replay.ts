import { certificationLoad, contendedMemoryLoad } from "./contended-loads.js";
import { anyOneRackOfEight, busyHotRack, hotRackOfEight, hotRackOfTwelve } from "./hot-rack-loads.js";
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
import type { ReplayOptions } from "./simulation.js";
import type { TallyRow } from "./tally.js";

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

function describeParts(options: ReplayOptions): string {
    const { hasAdmission = false, hasPreemption = true, learnsSpeeds = false, hasWaits = false } = options;
    const parts = { admission: hasAdmission, preemption: hasPreemption, speeds: learnsSpeeds, waits: hasWaits };
    return Object.entries(parts).map(([part, isOn]) => `${part} ${isOn ? "on" : "off"}`).join(", ");
}

/** Lists what a load is replayed without and with. */
function listVariants(load: Load): readonly ReplayOptions[] {
    if (load.hotRack !== undefined) {
        return [{ hasWaits: false }, { hasWaits: true }];
    }
    return load.unevenness === undefined
        ? [{ hasAdmission: false }, { hasAdmission: true }]
        : [{ learnsSpeeds: false }, { learnsSpeeds: true }];
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
    console.log(`${name}, ${describeParts(options)}: worth ${(earnedValue / attainableValue).toFixed(3)}`);
    if (load.hotRack !== undefined) {
        console.log(describeRackTotal(racks));
    }
    for (const [kind, total] of totals) {
        const figures = [total.earned, total.inTime, total.overTarget].map(figure => figure.toFixed(3)).join("  ");
        const { paceChanges, refusals, starts, preemptions } = total;
        const counts = `paces ${paceChanges.toFixed(0)}  refusals ${refusals.toFixed(0)}  starts ${starts.toFixed(0)}`;
        console.log(
            `  ${kind.padEnd(10)} worth, in time, harmed: ${figures}  ${counts}  preempted ${preemptions.toFixed(1)}`,
        );
    }
}

/** Prints the loads, or only the named one, with admission off and on, with learnt speeds or waits for racks off and on, and with the chosen preemption. */
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
        uneven: unevenLoad,
        slowWorkers: { ...unevenLoad, unevenness: { ...unevenness, failingMs: 0 } },
        failingZone: { ...unevenLoad, unevenness: { ...unevenness, slowMs: 0 } },
        evenWorkers: { ...unevenLoad, unevenness: { ...unevenness, slowMs: 0, failingMs: 0 } },
        hotRackOfEight,
        hotRackOfTwelve,
        anyOneRackOfEight,
        busyHotRack,
    };
    for (const [name, load] of Object.entries(loads)) {
        if (only === undefined || only === name) {
            const hasPreemption = preemption !== "off";
            listVariants(load).forEach(variant => printReplay(name, load, seeds, { ...variant, hasPreemption }));
        }
    }
}

printReplays(Number(process.argv[2] ?? 3), process.argv[3], process.argv[4]);
