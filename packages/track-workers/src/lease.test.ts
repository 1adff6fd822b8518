import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    computeLeaseEndMs,
    estimateClockMs,
    isOfOtherStart,
    recordClock,
    renewLease,
    type WorkerLease,
} from "./lease.js";

const longestLeaseMs = 6_000;

test("a renewal never extends the lease further than the longest lease beyond the worker's own clock", () => {
    fc.assert(
        fc.property(
            fc.integer({ min: 0, max: 1_000_000 }),
            fc.double({ min: 0.98, max: 1.02, noNaN: true }),
            fc.array(fc.record({ waitMs: fc.nat(5_000), delayMs: fc.nat(800), reads: fc.boolean() }), {
                maxLength: 20,
            }),
            (firstClockMs, rate, rounds) => {
                let nowMs = 10_000;
                const readWorkerClock = (atMs: number): number => firstClockMs + (atMs - 10_000) * rate;
                let lease: WorkerLease = recordClock(undefined, Math.floor(readWorkerClock(nowMs)), nowMs);
                for (const { waitMs, delayMs, reads } of rounds) {
                    nowMs += waitMs;
                    if (reads) {
                        lease = recordClock(lease, Math.floor(readWorkerClock(nowMs)), nowMs + delayMs);
                        nowMs += delayMs;
                    }
                    lease = renewLease(lease, longestLeaseMs, nowMs);
                    assert.ok(estimateClockMs(lease, nowMs) <= readWorkerClock(nowMs) + 1);
                    assert.ok(lease.grantedUntilClockMs <= readWorkerClock(nowMs) + longestLeaseMs + 1);
                }
            },
        ),
        { seed: 20_261_203, numRuns: 500 },
    );
});

test("a lease counts as expired only when a worker's clock that is 2% slow has passed its end", () => {
    fc.assert(
        fc.property(fc.nat(100_000), fc.nat(900), fc.nat(3_000), (clockMs, delayMs, renewedAfterMs) => {
            const readAtMs = 50_000;
            // The worker read its clock up to `delayMs` before the answer arrived.
            const rate = 0.98;
            const lease = renewLease(
                recordClock(undefined, clockMs, readAtMs),
                longestLeaseMs,
                readAtMs + renewedAfterMs,
            );
            const endMs = computeLeaseEndMs(lease, 0, longestLeaseMs);
            const clockAtEnd = clockMs + (endMs - (readAtMs - delayMs)) * rate;
            assert.ok(clockAtEnd >= lease.grantedUntilClockMs);
        }),
        { seed: 20_261_203, numRuns: 500 },
    );
});

test("a new leader waits for the longest lease that an earlier one may have granted", () => {
    const openedAtMs = 20_000;
    assert.ok(computeLeaseEndMs(undefined, openedAtMs, longestLeaseMs) >= openedAtMs + longestLeaseMs / 0.98);
    const fresh = recordClock(undefined, 5, openedAtMs + 10);
    assert.ok(computeLeaseEndMs(fresh, openedAtMs, longestLeaseMs) >= openedAtMs + longestLeaseMs / 0.98);
});

test("a delayed reading does not set the clock back", () => {
    const lease = recordClock(undefined, 1_000, 0);
    assert.equal(recordClock(lease, 1_200, 4_000), lease);
    assert.equal(recordClock(lease, 5_000, 4_000).clockMs, 5_000);
});

// Guards against a restart that is noticed a second late, while the later start carries out orders to the earlier one.
test("an answer whose clock shows less than it did when the call was sent is of another start", () => {
    const lease = recordClock(undefined, 60_000, 1_000);
    assert.equal(isOfOtherStart(undefined, 0, 1_000), false);
    assert.equal(isOfOtherStart(lease, 100, 2_000), true);
    // A delayed answer shows the clock as it was after the call.
    assert.equal(isOfOtherStart(lease, 60_980, 2_000), false);
    assert.equal(isOfOtherStart(recordClock(lease, 65_000, 6_000), 60_980, 2_000), false);
});
