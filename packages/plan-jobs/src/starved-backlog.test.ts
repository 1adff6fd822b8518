import assert from "node:assert/strict";
import { test } from "node:test";
import { makeDisturbedPool, measureLongestWait } from "./fakes/make-disturbed-pool.js";

/** Longest time for which an accepted job may have no run while most of the pool is free, by the users' terms. */
const longestWithoutRunMs = 3_000;

/** Plans a pool of eight workers with a number of jobs whose tasks disturb serving tasks; returns the longest wait of any. */
function measureWaitOfJobs(jobCount: number, expectedRunMs: number): number {
    const pool = makeDisturbedPool(8);
    for (let number = 0; number < jobCount; number += 1) {
        pool.submitForecast(`forecast${number}`, { count: 20, expectedRunMs });
    }
    return measureLongestWait(pool, 30_000, { outcome: "succeeded", afterMs: 2_700 });
}

// Guards against accepted jobs without a run for ten seconds and more, although three quarters of the pool are free: one task a second
// started for all jobs that disturb serving tasks, however many there were (LOST of issue 42).
test("none of many jobs that disturb serving tasks is without a run for 3 s while most of the pool is free", () => {
    for (const jobCount of [1, 6, 24]) {
        const longestMs = measureWaitOfJobs(jobCount, 1_000);
        assert.ok(longestMs <= longestWithoutRunMs, `${jobCount} jobs: ${longestMs} ms`);
    }
});

// Guards against the same wait of jobs that count as in time because their declared run time is far too long.
test("none of many jobs in time is without a run for 3 s while most of the pool is free", () => {
    const longestMs = measureWaitOfJobs(24, 60_000);
    assert.ok(longestMs <= longestWithoutRunMs, `${longestMs} ms`);
});
