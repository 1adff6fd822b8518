import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import type { JobReply } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { makeWorker, type TestSystem, testSystem } from "./fakes/index.js";

function setEvacuated(system: TestSystem, isEvacuated: boolean, availabilityZone = "z2"): Effect.Effect<JobReply> {
    return system.ask({ kind: "setZoneAdmission", availabilityZone, isEvacuated });
}

const addWorkers = Effect.fnUntraced(function*(system: TestSystem) {
    yield* system.addWorker(makeWorker("w1", { availabilityZone: "z" }));
    yield* system.addWorker(makeWorker("w2", { availabilityZone: "z2" }));
});

const countStarts = (system: TestSystem, worker: string) =>
    Effect.map(system.readStartedRuns, runs => runs.filter(run => run.worker === worker).length);

testSystem(
    "no task starts in an evacuated zone under this leader or the next one, until it is in use again",
    system =>
        Effect.gen(function*() {
            yield* addWorkers(system);
            yield* system.pass(300);
            assert.deepEqual(yield* setEvacuated(system, true), { kind: "done" });
            yield* system.submit(makeJob("a", [makeStep({ count: 12 })]));
            yield* system.pass(1_500);
            assert.equal(yield* countStarts(system, "w2"), 0);
            system.log.setLeader("b");
            yield* system.pass(3_000);
            assert.equal(yield* countStarts(system, "w2"), 0);
            assert.equal(yield* countStarts(system, "w1"), 12);
            assert.deepEqual(yield* setEvacuated(system, false), { kind: "done" });
            yield* system.submit(makeJob("b", [makeStep({ count: 8 })]));
            yield* system.pass(1_000);
            assert.equal(yield* countStarts(system, "w2"), 4);
        }),
);

// Guards against refusing a repeated order, and against an order of one operator that undoes that of another unnoticed.
testSystem(
    "an order is acknowledged again when it is repeated, and the last one holds",
    system =>
        Effect.gen(function*() {
            yield* addWorkers(system);
            for (const isEvacuated of [true, true, false, false, true]) {
                assert.deepEqual(yield* setEvacuated(system, isEvacuated), { kind: "done" });
            }
            assert.deepEqual([...system.machine.state.evacuatedZones], ["z2"]);
        }),
);

testSystem("an order for an unknown zone is refused and changes nothing", system =>
    Effect.gen(function*() {
        yield* addWorkers(system);
        const reply = yield* setEvacuated(system, true, "elsewhere");
        assert.equal(reply.kind, "invalid");
        assert.equal(system.machine.state.evacuatedZones.size, 0);
    }));

// Guards against refusing a job as impossible because the only workers that could run it are in an evacuated zone.
testSystem(
    "a job that only an evacuated zone can run waits and runs when the zone is in use again",
    system =>
        Effect.gen(function*() {
            yield* system.addWorker(makeWorker("w1", { availabilityZone: "z" }));
            yield* system.addWorker(makeWorker("w2", { availabilityZone: "z2", labels: ["b", "r1"] }));
            yield* system.pass(300);
            yield* setEvacuated(system, true);
            assert.deepEqual(yield* system.submit(makeJob("a", [makeStep({ requiredLabel: "b" })])), {
                kind: "accepted",
            });
            yield* system.pass(2_000);
            assert.equal(yield* countStarts(system, "w2"), 0);
            yield* setEvacuated(system, false);
            yield* system.pass(500);
            assert.equal(yield* countStarts(system, "w2"), 1);
        }),
);

testSystem("what runs in a zone goes on when it is evacuated", system =>
    Effect.gen(function*() {
        yield* system.addWorker(makeWorker("w2", { availabilityZone: "z2" }));
        yield* system.submit(makeJob("a", [makeStep({ count: 2 })]));
        yield* system.pass(300);
        yield* setEvacuated(system, true);
        yield* system.pass(2_000);
        assert.deepEqual((yield* system.readStartedRuns).map(({ outcome }) => outcome), ["succeeded", "succeeded"]);
    }));
