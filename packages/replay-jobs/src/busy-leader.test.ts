import assert from "node:assert/strict";
import { test } from "node:test";
import { createLargeAdvisoryLoad, largeAdvisoryPrices } from "./busy-leader-load.js";
import { replayLoad } from "./replay.js";

/** Share of the deployment that is replayed, so that a replay takes seconds. */
const deploymentShare = 0.5;
const seeds = [1, 2];
const lengthMs = 20_000;
const finishMs = 10_000;
/** Largest loss of the urgent queues with half of the processor, as the users state it. */
const largestLoss = 0.05;
/** Least share of its value that each queue earns on the heaviest day of the deployment, as its users state it. */
const leastShare = 0.14;

/** Earned shares of the kinds of jobs, as means over the seeds, with a share of the processor of the hosts. */
function replayWithProcessor(processorShare: number): ReadonlyMap<string, number> {
    const load = createLargeAdvisoryLoad(deploymentShare);
    const shares = new Map<string, number>();
    for (const seed of seeds) {
        const leader = { prices: largeAdvisoryPrices, speed: deploymentShare * processorShare, rationsTime: true };
        for (const { kind, earnedShare } of replayLoad(load, lengthMs, finishMs, seed, { leader })) {
            shares.set(kind, (shares.get(kind) ?? 0) + earnedShare / seeds.length);
        }
    }
    return shares;
}

// Guards against a leader that spends its time on batch work while urgent jobs wait behind it, which on a host with half of the processor
// makes a third of them late.
test("with half of the processor of the leader only batch jobs lose, and no queue is left without service", () => {
    const whole = replayWithProcessor(1);
    const half = replayWithProcessor(0.5);
    const text = JSON.stringify({ whole: [...whole], half: [...half] });
    for (const kind of ["check", "watch"]) {
        assert.ok((half.get(kind) ?? 0) >= (whole.get(kind) ?? 1) - largestLoss, `${kind}: ${text}`);
    }
    for (const [kind, share] of half) {
        assert.ok(share >= leastShare, `${kind}: ${text}`);
    }
});
