import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MinionSimulation, simulatedSlots, type SimulationStep } from "./fakes/minion-simulation.js";

const pick = fc.nat({ max: 20 });
const step: fc.Arbitrary<SimulationStep> = fc.oneof(
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
// Without `size` fast-check makes arrays of about ten steps, too few to fill the slots and hand them over.
const history = fc.array(step, { minLength: 10, maxLength: 120, size: "max" });

function createStartedSimulation(): MinionSimulation {
    const simulation = new MinionSimulation();
    simulation.applyStep({ kind: "announce" });
    simulation.applyStep({ kind: "deliverAnnouncement" });
    return simulation;
}

void test("a minion never runs more than its slots if messages are late, lost or repeated or its owner changes", () => {
    fc.assert(
        fc.property(history, steps => {
            const simulation = createStartedSimulation();
            for (const each of steps) {
                simulation.applyStep(each);
                assert.ok(
                    simulation.countRunning() <= simulatedSlots,
                    `${simulation.countRunning()} runs after ${each.kind}`,
                );
            }
        }),
        { seed: 41, numRuns: 5_000 },
    );
});

for (const by of ["announcements", "time"] as const) {
    void test(`no slot stays in use forever: all are freed by ${by} alone after the runs have ended`, () => {
        fc.assert(
            fc.property(history, steps => {
                const simulation = createStartedSimulation();
                for (const each of steps) {
                    simulation.applyStep(each);
                }
                simulation.settle(by);
                assert.equal(simulation.owner.countHeld(), 0);
                assert.ok(by === "time" || simulation.countFree() === simulatedSlots);
            }),
            { seed: 42, numRuns: 2_000 },
        );
    });
}
