import assert from "node:assert/strict";
import { test } from "node:test";
import {
    adaptRation,
    createLeaderRation,
    isRationed,
    type LeaderRation,
    recordRationShortage,
    recordStarts,
} from "./leader-ration.js";
import { countAffordableRaises, countAffordableStarts, recordRaises } from "./spend-ration.js";

const sampleMs = 50;

/** A leader that is busy with other work for a share of the time, and for `startMs` with each deferrable start. */
interface SimulatedWork {
    readonly otherShare: number;
    readonly startMs: number;
}

/** Plays samples with a demand of deferrable starts; work that the leader has no time for stays queued. Returns the number of starts. */
function playSamples(
    ration: LeaderRation,
    fromMs: number,
    forMs: number,
    { otherShare, startMs }: SimulatedWork,
    demandPerSecond: number,
): number {
    let started = 0;
    let queuedMs = 0;
    for (let nowMs = fromMs; nowMs < fromMs + forMs; nowMs += sampleMs) {
        const wanted = Math.round(demandPerSecond * sampleMs / 1_000);
        const starts = Math.min(wanted, countAffordableStarts(ration, nowMs));
        if (starts < wanted) {
            recordRationShortage(ration, nowMs);
        }
        recordStarts(ration, { deferrable: starts, urgent: 0 });
        started += starts;
        queuedMs += otherShare * sampleMs + starts * startMs;
        const busyMs = Math.min(sampleMs, queuedMs);
        queuedMs -= busyMs;
        adaptRation(ration, busyMs, nowMs + sampleMs);
    }
    return started;
}

test("nothing is rationed while the leader has time left", () => {
    const ration = createLeaderRation();
    playSamples(ration, 0, 5_000, { otherShare: 0.9, startMs: 0 }, 1_000);
    assert.equal(isRationed(ration), false);
    assert.equal(countAffordableStarts(ration, 5_000), Number.POSITIVE_INFINITY);
});

// Guards against deferrable starts that take all the time of a leader which cannot carry them, or leave much of it unused.
test("the starts settle where the leader is nearly busy, whatever a start costs", () => {
    for (const startMs of [1, 4]) {
        const ration = createLeaderRation();
        const work = { otherShare: 0.4, startMs };
        playSamples(ration, 0, 10_000, work, 2_000);
        assert.equal(isRationed(ration), true);
        const perSecond = playSamples(ration, 10_000, 10_000, work, 2_000) / 10;
        const affordable = 0.6 * 1_000 / startMs;
        assert.ok(perSecond > affordable * 0.75 && perSecond <= affordable * 1.05, `${perSecond} of ${affordable}`);
    }
});

// Guards against deferrable work that stands still while urgent work alone takes all the time.
test("some deferrable tasks start even if the leader stays busy without them", () => {
    const ration = createLeaderRation();
    playSamples(ration, 0, 2_000, { otherShare: 1, startMs: 0 }, 100);
    assert.ok(playSamples(ration, 2_000, 20_000, { otherShare: 0.96, startMs: 0 }, 100) >= 100);
});

test("the ration is lifted once nothing waits for it and the leader has time left", () => {
    const ration = createLeaderRation();
    playSamples(ration, 0, 3_000, { otherShare: 1, startMs: 1 }, 1_000);
    assert.equal(isRationed(ration), true);
    playSamples(ration, 3_000, 4_000, { otherShare: 0.5, startMs: 1 }, 1);
    assert.equal(isRationed(ration), false);
});

// Guards against a host that wakes after a pause and counts as busy for all of it.
test("one long sample counts no more than a short one", () => {
    const ration = createLeaderRation();
    playSamples(ration, 0, 1_000, { otherShare: 0.2, startMs: 1 }, 10);
    adaptRation(ration, 30_000, 31_000);
    assert.equal(isRationed(ration), false);
});

test("raised paces have a rate of their own, which is never zero", () => {
    const ration = createLeaderRation();
    assert.equal(countAffordableRaises(ration, 0), Number.POSITIVE_INFINITY);
    playSamples(ration, 0, 5_000, { otherShare: 1, startMs: 1 }, 1);
    let raised = 0;
    for (let nowMs = 5_000; nowMs < 10_000; nowMs += 100) {
        const raises = countAffordableRaises(ration, nowMs);
        recordRaises(ration, raises);
        raised += raises;
    }
    assert.ok(raised >= 95 && raised <= 110, `${raised}`);
});
