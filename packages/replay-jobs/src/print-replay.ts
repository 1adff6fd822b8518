import { contendedRoomLoad } from "./contended-load.js";
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
    largest: number;
    nextLargest: number;
    overTarget: number;
    paceChanges: number;
    refusals: number;
    wrongRefusals: number;
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

/**
 * Prints the results of a load as means over replays with seeds from 1 to `seeds`. A refusal is wrong if the job ended in time in the
 * same replay without admission, and not in this one; 0 if that replay was not printed before.
 */
function printReplay(
    name: string,
    load: Load,
    seeds: number,
    options: ReplayOptions,
    inTimeWithoutAdmission: Map<string, ReadonlySet<string>>,
): void {
    const totals = new Map<string, Total>();
    const racks = { near: 0, far: 0, waits: 0, placed: 0, waitedMs: 0, expectedGainMs: 0, gainMs: 0 };
    let earnedValue = 0;
    let attainableValue = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
        const rows = replayLoad(load, lengthMs, finishMs, seed, options);
        rows.slice(0, 1).forEach(row => addRackCounts(racks, row, seeds));
        for (const row of rows) {
            const total = totals.get(row.kind)
                ?? {
                    earned: 0,
                    inTime: 0,
                    largest: 0,
                    nextLargest: 0,
                    overTarget: 0,
                    paceChanges: 0,
                    refusals: 0,
                    wrongRefusals: 0,
                    starts: 0,
                    preemptions: 0,
                };
            total.earned += row.earnedShare / seeds;
            total.inTime += row.inTimeShare / seeds;
            total.largest += row.largestInTimeShare / seeds;
            total.nextLargest += row.nextLargestInTimeShare / seeds;
            total.overTarget += row.overTargetShare / seeds;
            total.paceChanges += row.paceChanges / seeds;
            total.refusals += row.refusals / seeds;
            const key = `${seed}/${row.kind}`;
            const withoutAdmission = inTimeWithoutAdmission.get(key);
            for (const id of row.refusedJobs) {
                total.wrongRefusals += withoutAdmission?.has(id) === true && !row.jobsInTime.has(id) ? 1 / seeds : 0;
            }
            if (options.hasAdmission !== true) {
                inTimeWithoutAdmission.set(key, row.jobsInTime);
            }
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
    for (const [kind, { earned: share, inTime, largest, nextLargest, overTarget, ...total }] of totals) {
        const { paceChanges, refusals, wrongRefusals, starts, preemptions } = total;
        const figures = [share, inTime, largest, nextLargest, overTarget].map(figure => figure.toFixed(3)).join("  ");
        const counts = `paces ${paceChanges.toFixed(0)}  refusals ${refusals.toFixed(1)}, wrong ${
            wrongRefusals.toFixed(1)
        }  starts ${starts.toFixed(0)}  preempted ${preemptions.toFixed(1)}`;
        console.log(`  ${kind.padEnd(10)} worth, in time (all, largest, next), harmed: ${figures}  ${counts}`);
    }
}

/** Prints the loads, or only the named one, without and with the part that it is for; preemption may be switched off. */
function printReplays(seeds: number, only: string | undefined, preemption: string | undefined): void {
    const loads = {
        advisory: advisoryLoad,
        wholesale: wholesaleLoad,
        overloaded: overloadedLoad,
        lasting: lastingOverload,
        sustained: sustainedOverload,
        busyLeader: busyLeaderOverload,
        contendedRoom: contendedRoomLoad,
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
            const inTime = new Map<string, ReadonlySet<string>>();
            for (const variant of listVariants(load)) {
                printReplay(name, load, seeds, { ...variant, hasPreemption }, inTime);
            }
        }
    }
}

printReplays(Number(process.argv[2] ?? 3), process.argv[3], process.argv[4]);
