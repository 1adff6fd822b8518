import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createMetrics, otherTenant } from "./index.js";

void test("percentiles are exact or at most 1% and 1 microsecond too high", () => {
    const values = fc.array(fc.double({ min: 0, max: 3_600_000, noNaN: true }), { minLength: 1, maxLength: 300 });
    fc.assert(
        fc.property(values, all => {
            const metrics = createMetrics();
            for (const value of all) {
                metrics.recordDuration("requestMs", "moreno", "urgent", value);
            }
            const sorted = all.toSorted((left, right) => left - right);
            const exact = (share: number): number => sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? NaN;
            const [found] = metrics.readDistributions();
            assert.ok(found !== undefined);
            assert.equal(found.count, all.length);
            assert.ok(found.p50 <= found.p90 && found.p90 <= found.p99 && found.p999 <= found.max);
            for (
                const [share, value] of [[0.5, found.p50], [0.9, found.p90], [0.99, found.p99], [1, found.max]] as const
            ) {
                assert.ok(value >= exact(share) - 0.001 && value <= exact(share) * 1.01 + 0.001, `${share}: ${value}`);
            }
        }),
        { seed: 14, numRuns: 300 },
    );
});

void test("arbitrary tenant names from callers do not increase the memory in use", () => {
    const metrics = createMetrics(3);
    for (let index = 0; index < 1000; index += 1) {
        metrics.recordDuration("requestMs", `tenant-${index}`, "urgent", 1);
        metrics.countEvent("answered", `tenant-${index}`, "urgent", 2);
    }
    const counts = metrics.readDistributions().map(({ tenant, count }) => [tenant, count]);
    assert.deepEqual(counts, [["tenant-0", 1], ["tenant-1", 1], ["tenant-2", 1], [otherTenant, 997]]);
    assert.equal(metrics.readCounters().find(counter => counter.tenant === otherTenant)?.value, 1994);
});

void test("a duration that is negative, too large or not a number is recorded without an exception", () => {
    const metrics = createMetrics();
    for (const value of [NaN, -5, Infinity, 1e12]) {
        metrics.recordDuration("requestMs", "moreno", "urgent", value);
    }
    const [found] = metrics.readDistributions();
    assert.equal(found?.count, 4);
    assert.ok(found.max <= 3_600_000 * 1.01);
});
