import { Effect } from "effect";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { BroadcastMethod } from "./broadcast-plan.js";
import { type BroadcastResult, measureBroadcast } from "./measure-broadcast.js";
import { measureSendCost } from "./measure-send-cost.js";

const receiverCounts = [8, 50, 1_300];
const failedPercents = [0, 1, 4];
const methods: readonly BroadcastMethod[] = ["plain", "tree", "correctedTree"];
const trialCount = 200;
const correctionDistance = 4;
const delayMs = 1;
/** A configuration of 64 keys with values of usual length, in bytes. */
const messageBytes = 4_096;

function chooseFailedRanks(count: number, percent: number, seed: number): ReadonlySet<number> {
    const random = xoroshiro128plus(seed);
    const failedCount = percent === 0 ? 0 : Math.max(1, Math.round(count * percent / 100));
    const failed = new Set<number>();
    while (failed.size < failedCount) {
        failed.add(1 + (random.next() >>> 0) % (count - 1));
    }
    return failed;
}

function formatMean(
    results: readonly BroadcastResult[],
    readFigure: (result: BroadcastResult) => number,
    digits: number,
): string {
    return (results.reduce((sum, result) => sum + readFigure(result), 0) / results.length).toFixed(digits);
}

/** Measures the send cost, then prints messages, latency and missed receivers of each method at each size. */
export const compareFanOut = Effect.gen(function*() {
    const sendCostMs = yield* measureSendCost(messageBytes);
    console.log(
        `send cost of ${messageBytes} bytes: ${(sendCostMs * 1_000).toFixed(1)} µs; delay ${delayMs} ms one way; `
            + `${trialCount} trials, seeds 1 to ${trialCount}; correction distance ${correctionDistance}`,
    );
    console.log(
        "| receivers | failed | method | messages | by root | latency ms (mean) | latency ms (max) | missed (mean) | missed (max) |",
    );
    console.log("|---|---|---|---|---|---|---|---|---|");
    for (const receivers of receiverCounts) {
        for (const percent of failedPercents) {
            for (const method of methods) {
                const results: BroadcastResult[] = [];
                for (let seed = 1; seed <= trialCount; seed += 1) {
                    const count = receivers + 1;
                    const failedRanks = chooseFailedRanks(count, percent, seed);
                    results.push(
                        measureBroadcast({
                            method,
                            count,
                            failedRanks,
                            distance: correctionDistance,
                            sendCostMs,
                            delayMs,
                        }),
                    );
                }
                const cells = [
                    receivers,
                    `${percent}%`,
                    method,
                    formatMean(results, result => result.messages, 0),
                    formatMean(results, result => result.rootMessages, 0),
                    formatMean(results, result => result.latencyMs, 2),
                    Math.max(...results.map(result => result.latencyMs)).toFixed(2),
                    formatMean(results, result => result.missed, 2),
                    Math.max(...results.map(result => result.missed)),
                ];
                console.log(`| ${cells.join(" | ")} |`);
            }
        }
    }
});
