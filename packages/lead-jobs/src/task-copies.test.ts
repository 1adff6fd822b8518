import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import { createMetrics, type Metrics } from "@chestnutspool/record-metrics";
import type { JobDefinition, RunOutcome, StepSpec } from "@chestnutspool/types";
import { Effect, type Scope } from "effect";
import assert from "node:assert/strict";
import {
    createRecordingLogger,
    makeWorker,
    type RecordedLine,
    startTestSystemWith,
    type TestSystem,
    testWithClock,
} from "./fakes/index.js";

/** Run time of the first run of task 3, which is seven times that of the others, in milliseconds. */
const slowRunMs = 7_000;
const workerIds = ["w1", "w2", "w3", "w4", "w5", "w6"];

interface CopySystem extends TestSystem {
    readonly lines: readonly RecordedLine[];
    readonly metrics: Metrics;
}

function makeCopyJob(changes: Partial<StepSpec> = {}): JobDefinition {
    const resources = { milliCpu: 4_000, memoryMib: 100, accelerators: 0 };
    return makeJob("a", [makeStep({ speculative: true, count: 4, resources, ...changes })]);
}

/** Defines a test with six workers that each have room for one task, and a job whose task 3 is slow in its first run. */
function testCopies(
    name: string,
    run: (system: CopySystem) => Effect.Effect<void, never, Scope.Scope>,
    { copy = { runMs: 1_000, outcome: "succeeded" }, job = makeCopyJob() }: {
        readonly copy?: { readonly runMs: number; readonly outcome: RunOutcome; };
        readonly job?: JobDefinition;
    } = {},
): void {
    testWithClock(
        name,
        Effect.gen(function*() {
            const { logger, lines } = createRecordingLogger();
            const metrics = createMetrics();
            const system = yield* startTestSystemWith(port => port, { logger, metrics });
            system.workers.setBehaviour(({ job: id, position, run: number }) =>
                id !== "a"
                    ? { runMs: 60_000, outcome: "succeeded" }
                    : position !== 3
                    ? { runMs: 1_000, outcome: "succeeded" }
                    : number === 1
                    ? { runMs: slowRunMs, outcome: "succeeded" }
                    : copy
            );
            for (const id of workerIds) {
                yield* system.addWorker(makeWorker(id));
            }
            yield* system.pass(200);
            yield* system.submit(job);
            yield* run({ ...system, lines, metrics });
        }),
    );
}

function listRunsOfSlowTask(system: CopySystem) {
    return Effect.map(system.readStartedRuns, runs => runs.filter(({ task }) => task === "a.0.0.3"));
}

const describeRunsOfSlowTask = Effect.fnUntraced(function*(system: CopySystem) {
    return (yield* listRunsOfSlowTask(system)).map(({ run, outcome }) => `${run} ${outcome}`);
});

/** Waits until the copy has started; returns its worker and that of the first run. */
const awaitCopy = Effect.fnUntraced(function*(system: CopySystem) {
    for (let passedMs = 0; passedMs < 3_000; passedMs += 20) {
        const [first, copy] = yield* listRunsOfSlowTask(system);
        if (first !== undefined && copy !== undefined) {
            return { firstWorker: first.worker, copyWorker: copy.worker };
        }
        yield* system.pass(20);
    }
    return assert.fail("no copy was started");
});

function findPhase({ machine }: CopySystem): string | undefined {
    return machine.state.jobs.get("a")?.phase;
}

/** Checks that no run is left, and that the log holds no capacity for one. */
function checkAllEnded({ machine }: CopySystem): void {
    assert.deepEqual([...machine.state.openJobs.keys()], []);
    for (const { used, runs } of machine.state.workers.values()) {
        assert.equal(used.milliCpu, 0);
        assert.equal(runs.size, 0);
    }
}

function listFields({ lines }: CopySystem, message: string): RecordedLine["fields"][] {
    return lines.filter(line => line.message === message).map(({ fields }) => fields);
}

function countEvents({ metrics }: CopySystem, name: string): number {
    return metrics.readCounters().filter(counter => counter.name === name).reduce((sum, { value }) => sum + value, 0);
}

// Guards against a step that is held back by its slowest task, and a loser that goes on and keeps its capacity.
testCopies(
    "a slow task gets a copy, which completes it, and the first run is stopped",
    system =>
        Effect.gen(function*() {
            yield* system.pass(3_500);
            assert.deepEqual(yield* describeRunsOfSlowTask(system), ["1 stopped", "2 succeeded"]);
            assert.equal(findPhase(system), "completed");
            checkAllEnded(system);
            const [ordered] = listFields(system, "copy of a slow task is ordered");
            assert.equal(ordered?.["task"], "a.0.0.3");
            assert.equal(ordered["run"], 2);
            for (const field of ["progressPercent", "elapsedMs", "firstRunEndsInMs", "copyEndsInMs"]) {
                assert.equal(typeof ordered[field], "number", field);
            }
            const outcomes = listFields(system, "copy of a slow task has ended");
            assert.deepEqual(outcomes.map(({ endedFirst, isDone }) => [endedFirst, isDone]), [["copy", true]]);
            const coreMs = Number(outcomes[0]?.["copyCoreMs"]);
            assert.ok(coreMs >= 4_000 && coreMs < 5_000, `${coreMs}`);
            assert.deepEqual(["copies.ordered", "copies.copy"].map(event => countEvents(system, event)), [1, 1]);
        }),
);

testCopies(
    "if the first run ends first, the copy is stopped",
    system =>
        Effect.gen(function*() {
            yield* system.pass(9_000);
            assert.deepEqual(yield* describeRunsOfSlowTask(system), ["1 succeeded", "2 stopped"]);
            assert.equal(findPhase(system), "completed");
            checkAllEnded(system);
            assert.equal(listFields(system, "copy of a slow task has ended")[0]?.["endedFirst"], "firstRun");
        }),
    { copy: { runMs: 20_000, outcome: "succeeded" } },
);

// Guards against a job that fails although one of its two runs still works.
testCopies(
    "the failure of a copy counts, and the first run goes on as the last attempt",
    system =>
        Effect.gen(function*() {
            yield* awaitCopy(system);
            yield* system.pass(1_500);
            const task = system.machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks[3];
            assert.equal(task?.failures, 1);
            yield* system.pass(6_000);
            assert.deepEqual(yield* describeRunsOfSlowTask(system), ["1 succeeded", "2 failed"]);
            assert.equal(findPhase(system), "completed");
            checkAllEnded(system);
        }),
    { copy: { runMs: 600, outcome: "failed" } },
);

// Guards against a first run that is lost, or a third run, with the worker of the copy.
testCopies(
    "if the copy's worker crashes, the first run continues",
    system =>
        Effect.gen(function*() {
            const { copyWorker } = yield* awaitCopy(system);
            system.workers.crashWorker(copyWorker, 0);
            yield* system.pass(9_000);
            assert.deepEqual(yield* describeRunsOfSlowTask(system), ["1 succeeded", "2 lapsed"]);
            assert.equal(findPhase(system), "completed");
            checkAllEnded(system);
        }),
    { copy: { runMs: 20_000, outcome: "succeeded" } },
);

testCopies("if the first run's worker crashes, the copy completes the task", system =>
    Effect.gen(function*() {
        const { firstWorker } = yield* awaitCopy(system);
        system.workers.crashWorker(firstWorker, 0);
        yield* system.pass(9_000);
        assert.deepEqual(yield* describeRunsOfSlowTask(system), ["1 lapsed", "2 succeeded"]);
        assert.equal(findPhase(system), "completed");
        checkAllEnded(system);
    }));

// Guards against a task without a run, or with a third one, after its step loses both workers.
testCopies(
    "if both workers crash, the task starts once more",
    system =>
        Effect.gen(function*() {
            const { firstWorker, copyWorker } = yield* awaitCopy(system);
            system.workers.crashWorker(firstWorker, 0);
            system.workers.crashWorker(copyWorker, 0);
            yield* system.pass(12_000);
            assert.deepEqual(yield* describeRunsOfSlowTask(system), ["1 lapsed", "2 lapsed", "3 succeeded"]);
            assert.equal(findPhase(system), "completed");
        }),
    { copy: { runMs: 1_500, outcome: "succeeded" } },
);

// Guards against a third run of a task whose stalled run is stopped while a copy works on it.
testCopies(
    "a stalled run that has a copy is stopped, and the copy completes the task",
    system =>
        Effect.gen(function*() {
            system.workers.setBehaviour(({ position, run: number }) => ({
                runMs: position === 3 && number === 1 ? 1_000_000 : 1_500,
                outcome: "succeeded",
            }));
            yield* system.submit({ ...makeCopyJob({ expectedRunMs: 500 }), id: "b" });
            yield* system.pass(8_000);
            const runs = (yield* system.readStartedRuns).filter(({ task }) => task === "b.0.0.3");
            assert.deepEqual(runs.map(({ run, outcome }) => `${run} ${outcome}`), ["1 stopped", "2 succeeded"]);
            const stops = listFields(system, "run is stopped").filter(({ task }) => task === "b.0.0.3");
            assert.deepEqual(stops.map(({ reason }) => reason), ["standsStill"]);
            checkAllEnded(system);
        }),
);

// Guards against a leader that starts a third run, or forgets one of two, because it did not order them itself.
for (const copyMs of [1_500, 20_000]) {
    testCopies(
        `a new leader finds both runs and lets the first end count (the copy takes ${copyMs} ms)`,
        system =>
            Effect.gen(function*() {
                yield* awaitCopy(system);
                system.log.setLeader("b");
                yield* system.pass(9_000);
                const expected = copyMs < slowRunMs
                    ? ["1 stopped", "2 succeeded"]
                    : ["1 succeeded", "2 stopped"];
                assert.deepEqual(yield* describeRunsOfSlowTask(system), expected);
                assert.equal(findPhase(system), "completed");
                checkAllEnded(system);
                const endedFirst = copyMs < slowRunMs ? "copy" : "firstRun";
                const outcomes = listFields(system, "copy of a slow task has ended");
                assert.deepEqual(outcomes.map(fields => fields["endedFirst"]), [endedFirst]);
            }),
        { copy: { runMs: copyMs, outcome: "succeeded" } },
    );
}

// Guards against a copy that is lost, or ordered twice, when the leader changes between the commit and the order.
testCopies(
    "a leader that is lost as soon as the copy is recorded leaves at most one copy",
    system =>
        Effect.gen(function*() {
            const hasCopy = (): boolean =>
                [...system.machine.state.workers.values()].some(({ runs }) => runs.has("a.0.0.3#2"));
            for (let passedMs = 0; !hasCopy() && passedMs < 3_000; passedMs += 10) {
                yield* system.pass(10);
            }
            assert.ok(hasCopy());
            system.log.setLeader("b");
            yield* system.pass(200);
            system.log.setLeader("a");
            yield* system.pass(9_000);
            const runs = yield* listRunsOfSlowTask(system);
            assert.ok(runs.length <= 3, `${runs.length} runs`);
            assert.ok(runs.every((run, position) =>
                runs.filter((other, number) =>
                    number < position && (other.endedAtMs ?? Number.POSITIVE_INFINITY) > run.startedAtMs
                ).length <= 1
            ));
            assert.equal(findPhase(system), "completed");
            checkAllEnded(system);
        }),
);

testCopies(
    "a cancelled job with two runs of a task ends once both are stopped",
    system =>
        Effect.gen(function*() {
            yield* awaitCopy(system);
            yield* system.ask({ kind: "cancelJob", job: "a", hostName: "jobs.example", path: "/main/a" });
            yield* system.pass(500);
            assert.deepEqual(yield* describeRunsOfSlowTask(system), ["1 stopped", "2 stopped"]);
            checkAllEnded(system);
            assert.equal(countEvents(system, "copies.notDone"), 1);
        }),
    { copy: { runMs: 20_000, outcome: "succeeded" } },
);

// Guards against copies that take the capacity of waiting work. Each worker has room for one task of three cores and one of one.
testCopies(
    "no copy while a step of the pool waits for capacity",
    system =>
        Effect.gen(function*() {
            const resources = { milliCpu: 3_000, memoryMib: 1, accelerators: 0 };
            yield* system.submit(makeJob("b", [makeStep({ count: 30, resources })]));
            yield* system.pass(3_000);
            assert.equal(listFields(system, "copy of a slow task is ordered").length, 0);
            yield* system.ask({ kind: "cancelJob", job: "b", hostName: "jobs.example", path: "/main/b" });
            yield* system.pass(1_000);
            assert.equal(listFields(system, "copy of a slow task is ordered").length, 1);
        }),
    { job: makeCopyJob({ resources: { milliCpu: 1_000, memoryMib: 100, accelerators: 0 }, perWorkerLimit: 1 }) },
);
