// Measures the processor time that the planner takes in replays: node packages/replay-jobs/dist/measure/measure-planning.js
// [LOAD,...] [SEED] [LENGTH_MS]
import { grownWholesaleLoad, type Load, overloadedLoad, wholesaleLoad } from "../load.js";
import { replayLoad } from "../replay.js";
import type { PlannerPart } from "../simulation.js";

const loads: Readonly<Record<string, Load>> = {
    wholesale: wholesaleLoad,
    overloaded: overloadedLoad,
    grown: grownWholesaleLoad,
    grownOverloaded: {
        ...grownWholesaleLoad,
        kinds: grownWholesaleLoad.kinds.map(kind =>
            kind.execution.kind === "filling" ? { ...kind, jobsPerSecond: 2 * kind.jobsPerSecond } : kind
        ),
    },
};

function computePercentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Replays a load and prints the calls of each part of the planner with their processor times, and the worth. */
function measureLoad(name: string, load: Load, seed: number, lengthMs: number): void {
    const timesByPart = new Map<PlannerPart, number[]>();
    const rows = replayLoad(load, lengthMs, 0, seed, {
        runCall: (part, call) => {
            const began = process.cpuUsage();
            const result = call();
            const times = timesByPart.get(part) ?? [];
            timesByPart.set(part, times);
            const { user, system } = process.cpuUsage(began);
            times.push((user + system) / 1000);
            return result;
        },
    });
    for (const [part, times] of timesByPart) {
        const totalMs = times.reduce((sum, time) => sum + time, 0);
        const cells = [
            name,
            seed,
            part,
            times.length,
            totalMs.toFixed(0),
            (totalMs / times.length).toFixed(2),
            computePercentile(times, 0.99).toFixed(2),
            Math.max(...times).toFixed(2),
        ];
        console.log(`| ${cells.join(" | ")} |`);
    }
    const earned = rows.reduce((sum, row) => sum + row.earnedShare * row.attainableValue, 0);
    const attainable = rows.reduce((sum, row) => sum + row.attainableValue, 0);
    const shares = rows.map(row => `${row.kind} ${row.earnedShare.toFixed(3)}`).join(", ");
    console.log(`| ${name} | ${seed} | worth ${(earned / attainable).toFixed(3)}: ${shares} | | | | | |`);
}

console.log("| load | seed | part | calls | ms in all | mean ms | p99 | max |");
console.log("|---|---|---|---|---|---|---|---|");
const [, , names = "overloaded,grown", seed = "1", lengthMs = "10000"] = process.argv;
for (const name of names.split(",")) {
    const load = loads[name];
    if (load === undefined) {
        throw new Error(`there is no load ${name}; known are ${Object.keys(loads).join(", ")}`);
    }
    measureLoad(name, load, Number(seed), Number(lengthMs));
}
