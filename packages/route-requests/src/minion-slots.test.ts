import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SlotWorld, worldSlots, type WorldStep } from "./fakes/slot-world.js";

const pick = fc.nat({ max: 20 });
const step: fc.Arbitrary<WorldStep> = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("dispatch" as const), pick }) },
    { weight: 5, arbitrary: fc.record({ kind: fc.constant("deliver" as const), pick }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("complete", "abandon", "seeClose"), pick }) },
    {
        weight: 4,
        arbitrary: fc.record({ kind: fc.constantFrom("announce", "deliverAnnouncement") }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom("repeatAnnouncement", "loseAnnouncement") }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom("move", "expire", "restart") }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("wait" as const), ms: fc.integer({ min: 1, max: 900 }) }) },
);
// Without the size fast-check makes arrays of about ten steps, too few to fill the slots and hand them over.
const history = fc.array(step, { minLength: 10, maxLength: 120, size: "max" });

function createStarted(): SlotWorld {
    const world = new SlotWorld();
    world.applyStep({ kind: "announce" });
    world.applyStep({ kind: "deliverAnnouncement" });
    return world;
}

void test("a minion never runs more than its slots, whatever is late, lost, repeated or handed over", () => {
    fc.assert(
        fc.property(history, steps => {
            const world = createStarted();
            for (const each of steps) {
                world.applyStep(each);
                assert.ok(world.countRunning() <= worldSlots, `${world.countRunning()} runs after ${each.kind}`);
            }
        }),
        { seed: 41, numRuns: 5_000 },
    );
});

for (const by of ["announcements", "time"] as const) {
    void test(`no slot is lost for good: ${by} alone frees all of them after a quiet time`, () => {
        fc.assert(
            fc.property(history, steps => {
                const world = createStarted();
                for (const each of steps) {
                    world.applyStep(each);
                }
                world.settle(by);
                assert.equal(world.owner.countHeld(), 0);
                assert.ok(by === "time" || world.countFree() === worldSlots);
            }),
            { seed: 42, numRuns: 2_000 },
        );
    });
}
