// Prints a Markdown table with the outcome of each trace for the weights of both users and for the baselines:
// node packages/replay-traces/dist/placement/print-comparison.js [TRACE...]
import { createPlacer, type Placer } from "@chestnutspool/place-tasks";
import { createFirstFitPlacer, createLeastLoadedPlacer } from "./baselines.js";
import { loadPlacementTrace, placementTraceNames } from "./load-trace.js";
import { replayPlacementTrace } from "./replay-trace.js";
import type { Trace } from "./trace.js";
import { userWeights } from "./user-weights.js";

const candidates: readonly (readonly [string, () => Placer])[] = [
    ["first fit", createFirstFitPlacer],
    ["least loaded", createLeastLoadedPlacer],
    ...userWeights.map(({ user, settings }) => [`placer, ${user}`, () => createPlacer(settings)] as const),
];

const columns = [
    "trace",
    "placer",
    "slowdown p50",
    "p99",
    "urgent wait p99 ms",
    "least share",
    "by deadline",
    "batch done",
    "core s kept",
    "lost",
    "evictions",
    "most a minute",
    "wasted starts",
];

function printRow(trace: Trace, name: string, placer: Placer): void {
    const outcome = replayPlacementTrace(trace, placer);
    const cells = [
        trace.head.name,
        name,
        outcome.slowdownP50.toFixed(2),
        outcome.slowdownP99.toFixed(2),
        outcome.urgentWaitP99Ms + (outcome.urgentWaiting > 0 ? ` (${outcome.urgentWaiting} never)` : ""),
        outcome.leastServiceShare.toFixed(2),
        `${outcome.doneByDeadline}/${outcome.dueTasks}`,
        outcome.batchDone,
        outcome.batchCoreSeconds,
        outcome.lostCoreSeconds,
        outcome.evictions,
        outcome.evictionsPerMinute,
        outcome.wastedStarts,
    ];
    console.log(`| ${cells.join(" | ")} |`);
}

const chosen = process.argv.length > 2 ? process.argv.slice(2) : placementTraceNames;
console.log(`| ${columns.join(" | ")} |\n|${columns.map(() => "---|").join("")}`);
for (const name of chosen) {
    const trace = loadPlacementTrace(name).unsafeCoerce();
    for (const [label, createCandidate] of candidates) {
        printRow(trace, label, createCandidate());
    }
}
