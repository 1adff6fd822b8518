import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { makeWorker, type TestSystem, testSystem } from "./fakes/index.js";

const workerCount = 8;
/** Time until a worker that crashed is back under a new id, in milliseconds. */
const restartMs = 3_300;
/** Starts of a task that crashes its workers, at most: three, and two more. */
const startLimit = 5;

const readPhase = (system: TestSystem, job: string) =>
    Effect.map(
        system.ask({ kind: "readJob", job, hostName: "jobs.example", path: `/main/${job}` }),
        reply => reply.kind === "phase" ? reply.phase : reply.kind,
    );

const countStarts = (system: TestSystem, task: string) =>
    Effect.map(system.readStartedRuns, runs => runs.filter(run => run.task === task).length);

/** Workers that crash under task 1 of the job `deadly` and are back under a new id. */
const setUpWorkers = Effect.fnUntraced(function*(system: TestSystem, count = workerCount) {
    let restarts = 0;
    system.workers.setCrashingRuns(
        ({ job, position }) => job === "deadly" && position === 1,
        {
            afterMs: restartMs,
            nextInfo: crashed => {
                restarts += 1;
                return { ...crashed, id: `${crashed.id}-${restarts}` };
            },
        },
        system.announce,
    );
    for (let number = 1; number <= count; number += 1) {
        yield* system.addWorker(makeWorker(`w${number}`));
    }
});

/** Submits small jobs, one every 250 ms, and returns their ids. */
const submitNeighbours = Effect.fnUntraced(function*(system: TestSystem, prefix: string, count: number) {
    const ids: string[] = [];
    for (let number = 0; number < count; number += 1) {
        const id = `${prefix}${number}`;
        ids.push(id);
        yield* system.submit(makeJob(id, [makeStep({ count: 4 })]));
        yield* system.pass(250);
    }
    return ids;
});

// Guards against a task that crashes each worker that starts it and was started without end, because the end of a run by a
// crash counted as no attempt.
testSystem(
    "a task that crashes its workers is started a few times, and its job ends as failed",
    system =>
        Effect.gen(function*() {
            yield* setUpWorkers(system);
            yield* system.submit(makeJob("deadly", [makeStep({ count: 3 })]));
            yield* submitNeighbours(system, "n", 120);
            const starts = yield* countStarts(system, "deadly.0.0.1");
            assert.ok(starts <= startLimit, `${starts} starts`);
            assert.equal(yield* readPhase(system, "deadly"), "failed");
        }),
);

testSystem("the count of crashes outlives the leader", system =>
    Effect.gen(function*() {
        yield* setUpWorkers(system);
        yield* system.submit(makeJob("deadly", [makeStep({ count: 3 })]));
        for (let round = 0; round < 10; round += 1) {
            yield* submitNeighbours(system, `n${round}-`, 10);
            system.log.setLeader(round % 2 === 0 ? "b" : "a");
            yield* system.pass(500);
        }
        const starts = yield* countStarts(system, "deadly.0.0.1");
        assert.ok(starts <= startLimit, `${starts} starts`);
        assert.equal(yield* readPhase(system, "deadly"), "failed");
    }));
