import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import type { RunOutcome } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { listOverlaps, makeWorker, testLeaseMs, type TestSystem, testSystem, type WorkerFault } from "./fakes/index.js";

/** Starts a run of 30 s on the first of two workers, and has that one at fault for a time. */
const runBesideFault = Effect.fnUntraced(function*(system: TestSystem, fault: WorkerFault, faultMs: number) {
    system.workers.setBehaviour(() => ({ runMs: 30_000, outcome: "succeeded" }));
    yield* system.addWorker(makeWorker("w1"));
    yield* system.pass(100);
    yield* system.submit(makeJob("a", [makeStep({ expectedRunMs: 30_000 })]));
    yield* system.pass(500);
    yield* system.addWorker(makeWorker("w2"));
    yield* system.pass(1_000);
    system.workers.setFault("w1", fault);
    yield* system.pass(faultMs);
    system.workers.setFault("w1", "none");
    yield* system.pass(40_000);
    return yield* system.readStartedRuns;
});

function describeRuns(
    runs: readonly { readonly worker: string; readonly outcome: RunOutcome | undefined; }[],
): string[] {
    return runs.map(({ worker, outcome }) => `${worker} ${outcome}`);
}

// Guards against giving up the work of a worker that carries out all orders and only answers late, such as one behind a
// congested link, for longer than a lease.
testSystem("a worker that answers after 1.5 s for 20 s keeps its run", system =>
    Effect.gen(function*() {
        const runs = yield* runBesideFault(system, "slow", 20_000);
        assert.deepEqual(describeRuns(runs), ["w1 succeeded"]);
    }));

// Guards against giving up the work of a worker that is silent for less than its lease.
for (const share of [0.25, 0.5, 0.7]) {
    for (const fault of ["cut", "answersLost"] as const) {
        testSystem(
            `a worker at fault (${fault}) for ${share} of its lease keeps its run`,
            system =>
                Effect.gen(function*() {
                    const runs = yield* runBesideFault(system, fault, testLeaseMs * share);
                    assert.deepEqual(describeRuns(runs), ["w1 succeeded"]);
                }),
        );
    }
}

// Guards against a second run while the first one may still be in progress.
for (const fault of ["cut", "answersLost", "slow", "late"] as const) {
    testSystem(
        `runs of a task do not overlap while a worker is at fault (${fault}) for about its lease`,
        system =>
            Effect.gen(function*() {
                for (const share of [0.9, 1, 1.1]) {
                    const runs = yield* runBesideFault(system, fault, testLeaseMs * share);
                    assert.deepEqual(listOverlaps(runs), []);
                }
            }),
    );
}
