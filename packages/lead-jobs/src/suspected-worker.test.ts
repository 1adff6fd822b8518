import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import type { StepSpec } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { makeWorker, type TestSystem, testSystem } from "./fakes/index.js";

/** A step that only the first worker can run. */
function makeLabelledStep(changes: Partial<StepSpec> = {}): StepSpec {
    return makeStep({ requiredLabel: "b", ...changes });
}

/** Three workers; the first one runs a long-running task and then fails runs of two jobs, so that it is suspected. */
const setUpSuspectedWorker = Effect.fnUntraced(function*(system: TestSystem) {
    let isFailing = false;
    system.workers.setBehaviour(({ job }) => {
        if (job.startsWith("lasting")) {
            return { runMs: 1_000_000, outcome: "succeeded" };
        }
        return { runMs: 300, outcome: isFailing ? "failed" : "succeeded" };
    });
    yield* system.addWorker(makeWorker("w1", { labels: ["b", "r0"] }));
    yield* system.addWorker(makeWorker("w2"));
    yield* system.addWorker(makeWorker("w3"));
    yield* system.pass(200);
    yield* system.submit(makeJob("lasting", [makeLabelledStep({ longRunning: true })]));
    yield* system.pass(500);
    isFailing = true;
    yield* system.submit(makeJob("a", [makeLabelledStep()]));
    yield* system.submit(makeJob("b", [makeLabelledStep()]));
    yield* system.pass(2_000);
    isFailing = false;
});

const readPhase = (system: TestSystem, job: string) =>
    system.ask({ kind: "readJob", job, hostName: "jobs.example", path: `/main/${job}` });

// Guards against losing the rest of a worker for good after some failures: the long-running tasks that it still runs counted
// as the one run that it gets on probation, so that no run could show that it works again.
testSystem(
    "a suspected worker with a long-running task gets a run on probation and is trusted again",
    system =>
        Effect.gen(function*() {
            yield* setUpSuspectedWorker(system);
            yield* system.submit(makeJob("c", [makeLabelledStep({ count: 2 })]));
            yield* system.submit(makeJob("d", [makeLabelledStep({ count: 2 })]));
            yield* system.pass(10_000);
            assert.deepEqual(yield* readPhase(system, "c"), { kind: "phase", phase: "completed" });
            assert.deepEqual(yield* readPhase(system, "d"), { kind: "phase", phase: "completed" });
        }),
);

// Guards against a worker that fails everything and gets many tasks as soon as its pause is over.
testSystem("a suspected worker gets one run at a time", system =>
    Effect.gen(function*() {
        yield* setUpSuspectedWorker(system);
        const before = (yield* system.readStartedRuns).length;
        system.workers.setBehaviour(() => ({ runMs: 5_000, outcome: "succeeded" }));
        yield* system.submit(makeJob("c", [makeLabelledStep({ count: 3, expectedRunMs: 5_000 })]));
        yield* system.pass(4_000);
        assert.equal((yield* system.readStartedRuns).length - before, 1);
    }));
