import { type Load, wholesaleLoad } from "./load.js";
import { replayLoad } from "./replay.js";
import { busySlowTasksLoad, slowTasksLoad, speculativeLoad } from "./slow-tasks-load.js";

const lengthMs = 30_000;
const finishMs = 15_000;
const loads: Readonly<Record<string, Load>> = {
    slowTasks: slowTasksLoad,
    speculative: speculativeLoad,
    busySlowTasks: busySlowTasksLoad,
    wholesale: wholesaleLoad,
};

/** Prints the results of one seed of a load without and with copies of slow tasks. */
function printCopies(name: string, load: Load, seed: number): void {
    for (const hasCopies of [false, true]) {
        let copyMs = 0;
        const outcomes = new Map<string, number>();
        let coreMs = 0;
        const rows = replayLoad(load, lengthMs, finishMs, seed, {
            hasCopies,
            observeCopy: ({ isDone, endedFirst, copyCoreMs }) => {
                const key = isDone ? endedFirst : "notDone";
                outcomes.set(key, (outcomes.get(key) ?? 0) + 1);
                coreMs += copyCoreMs;
            },
            runCall: (part, call) => {
                const startedMs = performance.now();
                const result = call();
                copyMs += part === "planCopies" ? performance.now() - startedMs : 0;
                return result;
            },
        });
        const earned = rows.reduce((sum, row) => sum + row.earnedShare * row.attainableValue, 0);
        const attainable = rows.reduce((sum, row) => sum + row.attainableValue, 0);
        const kinds = rows.map(row =>
            `${row.kind} ${row.earnedShare.toFixed(3)} (${row.inTimeShare.toFixed(3)} in time)`
        );
        const ends = [...outcomes].sort().map(([outcome, count]) => `${outcome} ${count}`).join(", ");
        console.log(
            `${name}, seed ${seed}, copies ${hasCopies ? "on " : "off"}: worth ${(earned / attainable).toFixed(3)}`,
        );
        console.log(`  ${kinds.join(", ")}`);
        console.log(
            `  copies: ${ends === "" ? "none" : ends}; ${(coreMs / 1_000).toFixed(0)} core-seconds; planned in ${
                copyMs.toFixed(0)
            } ms`,
        );
    }
}

const [, , seeds = "4", only] = process.argv;
for (const [name, load] of Object.entries(loads)) {
    for (let seed = 1; seed <= Number(seeds) && (only === undefined || only === name); seed += 1) {
        printCopies(name, load, seed);
    }
}
