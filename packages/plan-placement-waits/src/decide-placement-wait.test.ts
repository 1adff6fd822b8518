import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { decidePlacementWait, type WaitOffer } from "./decide-placement-wait.js";

const nowMs = 1_000_000;

/** A task of one second that runs three times longer elsewhere, in a service with processors to spare. */
function makeOffer(changes: Partial<WaitOffer> = {}): WaitOffer {
    return {
        placeAtMs: nowMs + 500,
        runMs: 1_000,
        farFactor: 3,
        readyAtMs: nowMs,
        objectiveAtMs: nowMs + 60_000,
        laterMs: 0,
        loadShare: 0.5,
        hasRun: false,
        metShare: 1,
        waitFactor: 1,
        ...changes,
    };
}

function decide(changes: Partial<WaitOffer>) {
    return decidePlacementWait(makeOffer(changes), nowMs);
}

// Guards against a fixed delay: the same wait pays off for a long task and not for a short one.
test("a task waits for a place if its expected end there is earlier than elsewhere", () => {
    assert.deepEqual(decide({}), { kind: "wait", untilMs: nowMs + 685, limit: "prediction", gainMs: 1_500 });
    assert.equal(decide({ runMs: 200 }).kind, "start");
    assert.equal(decide({ placeAtMs: nowMs + 2_100 }).kind, "start");
    assert.equal(decide({ farFactor: 1.2 }).kind, "start");
});

// Guards against runs elsewhere that fill a busy service with three times the work.
test("on a busy service a task waits longer, because a run elsewhere delays others", () => {
    const placeAtMs = nowMs + 2_500;
    assert.equal(decide({ placeAtMs, loadShare: 0.7 }).kind, "start");
    assert.equal(decide({ placeAtMs, loadShare: 0.95 }).kind, "wait");
});

// Guards against a wait after which the job is late wherever its task runs.
test("a wait ends before the objective is missed", () => {
    // A run elsewhere is too late already; one in the rack has to start within 400 ms.
    assert.equal(decide({ objectiveAtMs: nowMs + 1_400 }).kind, "start");
    const close = decide({ objectiveAtMs: nowMs + 1_900, laterMs: 300 });
    assert.deepEqual(close, { kind: "wait", untilMs: nowMs + 600, limit: "objective", gainMs: 1_500 });
    // A run elsewhere can still be in time, and stays possible.
    const safe = decide({ objectiveAtMs: nowMs + 3_550 });
    assert.deepEqual(safe, { kind: "wait", untilMs: nowMs + 550, limit: "objective", gainMs: 1_500 });
    assert.equal(decide({ objectiveAtMs: nowMs + 900 }).kind, "start");
});

// Guards against a new leader that lets a task wait again for as long as it has already waited.
test("time since the step was ready counts, whoever has waited", () => {
    assert.equal(decide({ readyAtMs: nowMs - 1_400 }).kind, "wait");
    assert.equal(decide({ readyAtMs: nowMs - 1_600 }).kind, "start");
});

// Guards against long waits that keep failing when estimates are wrong.
test("waits that failed or took longer than predicted shorten the next one", () => {
    assert.equal(decide({ placeAtMs: nowMs + 1_000, metShare: 0.4 }).kind, "start");
    assert.equal(decide({ placeAtMs: nowMs + 700, waitFactor: 3 }).kind, "start");
    assert.equal(decide({ placeAtMs: nowMs + 300, metShare: 0.4 }).kind, "wait");
});

test("no wait is longer than what a run elsewhere costs, and each one ends before the objective", () => {
    const offers = fc.record({
        placeAtMs: fc.integer({ min: nowMs, max: nowMs + 20_000 }),
        runMs: fc.integer({ min: 1, max: 20_000 }),
        farFactor: fc.double({ min: 1, max: 5, noNaN: true }),
        readyAtMs: fc.integer({ min: nowMs - 20_000, max: nowMs }),
        objectiveAtMs: fc.integer({ min: nowMs - 5_000, max: nowMs + 40_000 }),
        laterMs: fc.integer({ min: 0, max: 10_000 }),
        loadShare: fc.double({ min: 0, max: 1, noNaN: true }),
        hasRun: fc.boolean(),
        metShare: fc.double({ min: 0, max: 1, noNaN: true }),
        waitFactor: fc.double({ min: 1, max: 4, noNaN: true }),
    });
    fc.assert(
        fc.property(offers, offer => {
            const decision = decidePlacementWait(offer, nowMs);
            if (decision.kind === "wait") {
                assert.ok(decision.untilMs - offer.readyAtMs <= 2 * offer.runMs * (offer.farFactor - 1) + 1e-6);
                assert.ok(decision.untilMs + offer.runMs + offer.laterMs <= offer.objectiveAtMs);
                assert.ok(decision.untilMs > nowMs);
                // The users' bound for an accepted job without a run while most of the service is free.
                assert.ok(offer.hasRun || offer.loadShare >= 0.5 || decision.untilMs - offer.readyAtMs <= 3_000);
            }
        }),
        { seed: 20_261_204, numRuns: 2_000 },
    );
});
