import { contendedRoomLoad } from "./contended-load.js";
import {
    advisoryLoad,
    busyLeaderOverload,
    lastingOverload,
    type Load,
    overloadedLoad,
    sustainedOverload,
    wholesaleLoad,
} from "./load.js";
import { replayLoad } from "./replay.js";

const lengthMs = 40_000;
const finishMs = 20_000;

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
}

/**
 * Prints the results of a load as means over replays with seeds from 1 to `seeds`. A refusal is wrong if the job ended in time in the
 * same replay without admission, and not in this one; 0 if that replay was not printed before.
 */
function printReplay(
    name: string,
    load: Load,
    seeds: number,
    hasAdmission: boolean,
    inTimeWithoutAdmission: Map<string, ReadonlySet<string>>,
): void {
    const totals = new Map<string, Total>();
    let earnedValue = 0;
    let attainableValue = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
        for (const row of replayLoad(load, lengthMs, finishMs, seed, { hasAdmission })) {
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
            if (!hasAdmission) {
                inTimeWithoutAdmission.set(key, row.jobsInTime);
            }
            total.starts += row.starts / seeds;
            totals.set(row.kind, total);
            earnedValue += row.earnedShare * row.attainableValue;
            attainableValue += row.attainableValue;
        }
    }
    console.log(
        `${name}, admission ${hasAdmission ? "on" : "off"}: worth ${(earnedValue / attainableValue).toFixed(3)}`,
    );
    for (const [kind, { earned: share, inTime, largest, nextLargest, overTarget, ...total }] of totals) {
        const { paceChanges, refusals, wrongRefusals, starts } = total;
        const figures = [share, inTime, largest, nextLargest, overTarget].map(figure => figure.toFixed(3)).join("  ");
        const counts = `paces ${paceChanges.toFixed(0)}  refusals ${refusals.toFixed(1)}, wrong ${
            wrongRefusals.toFixed(1)
        }  starts ${starts.toFixed(0)}`;
        console.log(`  ${kind.padEnd(10)} worth, in time (all, largest, next), harmed: ${figures}  ${counts}`);
    }
}

/** Prints the loads, or only the named one, with admission off and on, or only one of these. */
function printReplays(seeds: number, only: string | undefined, admission: string | undefined): void {
    const loads = {
        advisory: advisoryLoad,
        wholesale: wholesaleLoad,
        overloaded: overloadedLoad,
        lasting: lastingOverload,
        sustained: sustainedOverload,
        busyLeader: busyLeaderOverload,
        contendedRoom: contendedRoomLoad,
    };
    for (const [name, load] of Object.entries(loads)) {
        if (only === undefined || only === name) {
            const inTime = new Map<string, ReadonlySet<string>>();
            for (const hasAdmission of [false, true]) {
                if (admission === undefined || (admission === "on") === hasAdmission) {
                    printReplay(name, load, seeds, hasAdmission, inTime);
                }
            }
        }
    }
}

printReplays(Number(process.argv[2] ?? 3), process.argv[3], process.argv[4]);
