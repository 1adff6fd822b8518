import { makeStep } from "@chestnutspool/job-state/fakes";
import type { WorkerInfo } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeWorker, playTimedEvents, startTestSystem, workerFaults } from "./fakes/index.js";
import type { StartedRun, SystemEvent, TimedEvent } from "./fakes/index.js";

const workerIds = ["w1", "w2", "w3", "w4", "w5"];
/** Attempts of a task in the queue of the test system. */
const maxAttempts = 2;
/** Time until a worker that crashed starts again, in milliseconds. */
const restartMs = 300;
/** Time in which all jobs end once the faults are over, in milliseconds. */
const settleMs = 40_000;

const worker = fc.nat(workerIds.length - 1);
const events: fc.Arbitrary<SystemEvent> = fc.oneof(
    fc.record({ kind: fc.constant("fault" as const), worker, fault: fc.nat(workerFaults.length - 1) }),
    fc.record({ kind: fc.constant("restart" as const), worker }),
    fc.record({ kind: fc.constant("leader" as const) }),
    fc.record({ kind: fc.constant("submit" as const) }),
    fc.record({ kind: fc.constant("cancel" as const), job: fc.nat(5) }),
);
const timedEvents = fc.array(fc.record({ afterMs: fc.integer({ min: 10, max: 1_500 }), event: events }), {
    minLength: 8,
    maxLength: 20,
});

/** Lists the runs during whose start two other runs of their task were in progress. */
function listThirdRuns(runs: readonly StartedRun[]): string[] {
    return runs.filter(run =>
        runs.filter(other =>
            other !== run && other.task === run.task && other.startedAtMs <= run.startedAtMs
            && (other.endedAtMs ?? Number.POSITIVE_INFINITY) > run.startedAtMs
        ).length > 1
    ).map(({ task, run, worker: id }) => `${task}: run ${run} on ${id}`);
}

const playEvents = Effect.fnUntraced(
    function*(
        list: readonly TimedEvent[],
        counts: { copies: number; },
    ) {
        const system = yield* startTestSystem;
        // Task 3 is slow in its first run, and the second run of task 2 fails.
        system.workers.setBehaviour(({ position, run }) => ({
            runMs: position === 3 && run === 1 ? 7_000 : 1_000,
            outcome: position === 2 && run === 2 ? "failed" : "succeeded",
        }));
        const nextInfo = (crashed: WorkerInfo, nowMs: number) => ({ ...crashed, bornAtMs: nowMs });
        system.workers.setCrashingRuns(() => false, { afterMs: restartMs, nextInfo }, system.announce);
        for (const id of workerIds) {
            yield* system.addWorker(makeWorker(id, { bornAtMs: 1 }));
        }
        const steps = [makeStep({ count: 4, speculative: true }), makeStep({ dependsOn: [0] })];
        const first: TimedEvent = { afterMs: 0, event: { kind: "submit" } };
        yield* playTimedEvents(system, workerIds, steps, [first, ...list], settleMs);
        const runs = yield* system.readStartedRuns;
        assert.deepEqual(listThirdRuns(runs), [], "three runs of a task at once");
        assert.deepEqual(runs.filter(run => run.endedAtMs === undefined), [], "a run has not ended");
        assert.deepEqual([...system.machine.state.openJobs.keys()], [], "a job is open");
        for (const { info, used, runs: placed } of system.machine.state.workers.values()) {
            assert.deepEqual([used.milliCpu, placed.size], [0, 0], `capacity of ${info.id}`);
        }
        for (const task of new Set(runs.map(run => run.task))) {
            const ofTask = runs.filter(run => run.task === task);
            assert.ok(
                ofTask.filter(({ outcome }) => outcome === "failed").length <= maxAttempts,
                `failures of ${task}`,
            );
            counts.copies += ofTask.some(run =>
                    ofTask.some(other =>
                        other.run > run.run && other.startedAtMs < (run.endedAtMs ?? 0)
                    )
                )
                ? 1
                : 0;
        }
    },
    Effect.scoped,
);

// Guards against a third run, a run that is forgotten, and capacity that is never freed, when orders, workers and leaders fail
// while tasks have two runs.
test("with random faults a speculative task has at most two runs, and every run and job ends", async () => {
    const counts = { copies: 0 };
    await fc.assert(
        fc.asyncProperty(
            timedEvents,
            list => Effect.runPromise(playEvents(list, counts).pipe(Effect.provide(TestClock.layer()))),
        ),
        { seed: 20_261_205, numRuns: 30, endOnFailure: true },
    );
    assert.ok(counts.copies >= 20, `only ${counts.copies} tasks had two runs`);
});
