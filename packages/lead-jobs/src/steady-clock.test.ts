import assert from "node:assert/strict";
import { test } from "node:test";
import { createSteadyClock, readSteadyClock } from "./steady-clock.js";

const epochMs = 1_700_000_000_000;

// Guards against jobs that all look late, or new ones that look older than waiting ones, while the clock of the leader is
// 5 s ahead or behind for 3 s.
test("a step of the wall clock that is taken back hardly moves the time of a term", () => {
    for (const stepMs of [5_000, -5_000]) {
        const clock = createSteadyClock(0, epochMs);
        let previousMs = epochMs;
        for (let nowMs = 50; nowMs <= 10_000; nowMs += 50) {
            const isStepped = nowMs >= 1_000 && nowMs < 4_000;
            const shownMs = readSteadyClock(clock, nowMs, epochMs + nowMs + (isStepped ? stepMs : 0));
            assert.ok(Math.abs(shownMs - epochMs - nowMs) <= 301, `${shownMs - epochMs} ms at ${nowMs} ms`);
            assert.ok(shownMs >= previousMs, `the time went back at ${nowMs} ms`);
            previousMs = shownMs;
        }
        assert.equal(previousMs, epochMs + 10_000);
    }
});

// Guards against occurrences of scheduled jobs that start late for as long as a term lasts.
test("the time of a term follows a step of the wall clock that stays within a minute", () => {
    const clock = createSteadyClock(0, epochMs);
    for (let nowMs = 50; nowMs <= 60_000; nowMs += 50) {
        readSteadyClock(clock, nowMs, epochMs + nowMs + 5_000);
    }
    assert.equal(readSteadyClock(clock, 60_000, epochMs + 65_000), epochMs + 65_000);
});

// Guards against a time that goes back when two readings carry the same or an earlier monotonic time.
test("readings at the same monotonic time show the same time", () => {
    const clock = createSteadyClock(1_000, epochMs);
    assert.equal(readSteadyClock(clock, 1_000, epochMs + 5_000), epochMs);
    assert.equal(readSteadyClock(clock, 900, epochMs + 5_000), epochMs - 100);
    assert.equal(readSteadyClock(clock, 1_000, epochMs + 5_000), epochMs);
});
