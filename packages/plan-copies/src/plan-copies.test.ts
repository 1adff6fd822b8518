import { makeJob, makeStep, makeWorker } from "@chestnutspool/job-state/fakes";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeRunningStep, makeStart, type RunningStep } from "./fakes/make-running-step.js";
import type { CopyInput } from "./plan-copies.js";

/** Nine tasks of a step end after a second, while task 9 is at 14%: the load of the second deployment. */
function runSlowTask(running: RunningStep): void {
    running.report(900, 90, { 9: 13 });
    for (let position = 0; position < 9; position += 1) {
        running.endFirst(position, 1_000);
    }
}

function describe(running: RunningStep, afterMs: number, changes: Partial<CopyInput> = {}): string[] {
    return running.plan(afterMs, changes).map(({ position, run }) => `${position}#${run}`);
}

test("a task that takes seven times as long as its siblings gets one copy on another worker", () => {
    const running = makeRunningStep();
    runSlowTask(running);
    const copies = running.plan(1_010);
    assert.deepEqual(copies.map(({ position, run }) => `${position}#${run}`), ["9#2"]);
    assert.notEqual(copies[0]?.worker, "w9");
    running.start(copies, 1_010);
    assert.deepEqual(describe(running, 1_200), []);
    // Nor once the copy has ended without success.
    copies.forEach(copy => running.endRun(copy, "lapsed", 1_300));
    assert.deepEqual(describe(running, 1_400), []);
});

test("a slow task gets a copy by the progress of its siblings before any of them has ended", () => {
    const running = makeRunningStep();
    running.report(500, 50, { 9: 7 });
    assert.deepEqual(describe(running, 510), ["9#2"]);
});

// Guards against wasted processors on a step whose run times differ by the usual third, or that is slow as a whole.
test("no copies for tasks of usual spread, for a step that is slow as a whole, or at the very start", () => {
    const spread = makeRunningStep();
    spread.report(500, 50, { 3: 40, 4: 62, 9: 35 });
    assert.deepEqual(describe(spread, 510), []);
    const slow = makeRunningStep();
    slow.report(900, 13);
    assert.deepEqual(describe(slow, 910), []);
    const early = makeRunningStep();
    early.report(120, 12, { 9: 1 });
    assert.deepEqual(describe(early, 121), []);
});

// Guards against judging by the declared run time, which is wrong by up to a factor of ten.
test("without siblings the declared run time is no evidence", () => {
    const alone = makeRunningStep({ step: { count: 1, expectedRunMs: 100 } });
    alone.report(3_000, 10);
    assert.deepEqual(describe(alone, 3_010), []);
    const unknown = makeRunningStep({ step: { count: 2, expectedRunMs: 100 } });
    unknown.report(3_000, 0);
    assert.deepEqual(describe(unknown, 3_010), []);
});

test("with one sibling a task must be slower by a factor of three", () => {
    const slow = makeRunningStep({ step: { count: 2 } });
    slow.report(900, 90, { 1: 13 });
    slow.endFirst(0, 1_000);
    assert.deepEqual(describe(slow, 1_010), ["1#2"]);
    const slower = makeRunningStep({ step: { count: 2 } });
    slower.report(900, 90, { 1: 40 });
    slower.endFirst(0, 1_000);
    assert.deepEqual(describe(slower, 1_010), []);
});

// Guards against paying a copy of a task in the middle of a step that would save less than it takes, and against waiting for
// the last task, which holds back the next step.
test("the last tasks of a step get a copy for a smaller gain than the others", () => {
    const others = { 9: 40 };
    const early = makeRunningStep();
    early.report(800, 80, others);
    assert.deepEqual(describe(early, 810), []);
    const late = makeRunningStep();
    late.report(800, 96, { 9: 35 });
    for (let position = 0; position < 9; position += 1) {
        late.endFirst(position, 830);
    }
    assert.deepEqual(describe(late, 840), ["9#2"]);
});

// Guards against waiting for the lease of a worker that has crashed or was cut off.
test("a task of a worker that has fallen silent gets a copy", () => {
    const running = makeRunningStep();
    running.report(400, 40);
    for (let position = 0; position < 9; position += 1) {
        running.endFirst(position, 1_000);
    }
    assert.deepEqual(describe(running, 1_010), []);
    assert.deepEqual(describe(running, 2_500), ["9#2"]);
});

test("tasks that show no progress are judged by time alone", () => {
    const running = makeRunningStep();
    for (let position = 0; position < 9; position += 1) {
        running.endFirst(position, 1_000);
    }
    running.report(1_500, 0);
    assert.deepEqual(describe(running, 1_510), []);
    running.report(2_000, 0);
    assert.deepEqual(describe(running, 2_010), ["9#2"]);
});

// Guards against more failures than the queue allows, and against two runs where the other members rely on one.
test("no copies of the last attempt, of a task that may crash its worker, of gangs, long-running or best-effort tasks", () => {
    for (
        const changes of [
            { queue: { maxAttempts: 1 } },
            { step: { gang: true } },
            { step: { longRunning: true } },
            { step: { usesIdleCpu: true } },
            { step: { speculative: false } },
        ]
    ) {
        const running = makeRunningStep(changes);
        running.report(900, 90, { 9: 13 });
        assert.deepEqual(describe(running, 910), [], JSON.stringify(changes));
    }
    const control = makeRunningStep({ queue: { maxAttempts: 2 } });
    control.report(900, 90, { 9: 13 });
    assert.deepEqual(describe(control, 910), ["9#2"]);
    const failed = makeRunningStep({ queue: { maxAttempts: 2 } });
    failed.endFirst(9, 100, "failed");
    failed.start([{ ...makeStart(9), run: 2 }], 100);
    failed.report(900, 90, { 9: 13 });
    assert.deepEqual(describe(failed, 910), []);
    const crashed = makeRunningStep();
    const [, , , , , , , , , task] = crashed.machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks ?? [];
    assert.ok(task !== undefined);
    task.crashes = { crashes: 1, suspicions: 1, certain: 0, run: 0 };
    crashed.report(900, 90, { 9: 13 });
    assert.deepEqual(describe(crashed, 910), []);
});

test("a stopped run that does not end gets a copy, one that is just being stopped does not", () => {
    for (const [sinceMs, expected] of [[200, []], [1_500, ["9#2"]]] as const) {
        const running = makeRunningStep();
        runSlowTask(running);
        const status = running.findStatus(makeStart(9));
        assert.ok(status !== undefined);
        status.stopWantedAtMs = 10_000 + 1_010 - sinceMs;
        assert.deepEqual(describe(running, 1_010), expected);
    }
});

test("a new leader judges a run by its start in the log", () => {
    const running = makeRunningStep();
    const status = running.findStatus(makeStart(9));
    assert.ok(status !== undefined);
    // The status that the new leader creates begins with its term.
    running.report(900, 90, { 9: 13 });
    Object.assign(status, { orderedAtMs: 10_000 + 880 });
    assert.deepEqual(describe(running, 910), ["9#2"]);
});

test("a leader that finds two runs of a task starts no third one", () => {
    const running = makeRunningStep();
    running.start([{ ...makeStart(9), run: 2, worker: "w13" }], 500);
    runSlowTask(running);
    assert.deepEqual(describe(running, 1_010), []);
    assert.equal(running.memory.copies.size, 1);
});

// Guards against copies that delay the work of others.
test("no copy on capacity that the pass has given away or that a step waits for", () => {
    const full = makeRunningStep();
    runSlowTask(full);
    full.machine.submit(makeJob("b", [makeStep({ count: 100 })]));
    assert.deepEqual(describe(full, 1_010), []);
    for (const count of [9, 10]) {
        assert.deepEqual(describe(...makeTaken(count)), count === 10 ? [] : ["9#2"], `${count} starts`);
    }
});

/** Eleven workers, of which starts of the pass take `count` whole ones. */
function makeTaken(count: number): [RunningStep, number, Partial<CopyInput>] {
    const taken = makeRunningStep({ workers: [...Array(11).keys()].map(number => makeWorker(`w${number}`)) });
    runSlowTask(taken);
    taken.machine.submit(
        makeJob("b", [makeStep({ count, resources: { milliCpu: 4_000, memoryMib: 100, accelerators: 0 } })]),
    );
    const starts = [0, 1, 2, 3, 4, 5, 6, 7, 8, 10].slice(0, count).map((number, position) => ({
        job: "b",
        occurrence: 0,
        step: 0,
        position,
        run: 1,
        worker: `w${number}`,
    }));
    return [taken, 1_010, { starts }];
}

function makeSlow(): RunningStep {
    const running = makeRunningStep();
    runSlowTask(running);
    return running;
}

// Load: a pool whose processors long-running tasks reserve while more of them wait for some to end. Guards against a pool that
// never copies because such a step always waits.
test("a long-running step that fits on no worker does not keep a copy from idle processors", () => {
    const running = makeSlow();
    const reserved = { milliCpu: 1_500, memoryMib: 100, accelerators: 0 };
    running.machine.submit(makeJob("b", [makeStep({ count: 14, longRunning: true, resources: reserved })]));
    const starts = [...Array(14).keys()].map(number => ({ ...makeStart(number), job: "b" }));
    running.start(starts, 0);
    running.machine.submit(
        makeJob("c", [makeStep({ longRunning: true, resources: { ...reserved, milliCpu: 3_500 } })]),
    );
    assert.deepEqual(describe(running, 1_010), ["9#2"]);
    // It fits once the short task on a worker has ended.
    const soon = makeSlow();
    soon.machine.submit(makeJob("c", [makeStep({ longRunning: true, resources: { ...reserved, milliCpu: 3_500 } })]));
    assert.deepEqual(describe(soon, 1_010), []);
});

test("a step that waits for workers with another label does not keep a copy from idle ones", () => {
    const running = makeSlow();
    running.machine.submit(makeJob("b", [makeStep({ requiredLabel: "other" })]));
    assert.deepEqual(describe(running, 1_010), ["9#2"]);
});

test("a copy goes to no suspected, unusable or slow worker, nor to that of the last failed run", () => {
    const allowed = new Set(["w9", "w11"]);
    const inputs: Partial<CopyInput>[] = [
        { findStartLimit: worker => allowed.has(worker) ? undefined : 1 },
        { isUsable: worker => allowed.has(worker) },
        { predictSpeed: worker => allowed.has(worker) ? 1 : 0.2 },
    ];
    for (const changes of inputs) {
        assert.deepEqual(makeSlow().plan(1_010, changes).map(({ worker }) => worker), ["w11"]);
        assert.deepEqual(describe(makeSlow(), 1_010, { ...changes, findFailedWorker: () => "w11" }), []);
    }
});

test("a copy respects the limit per worker, and goes to the rack of the data or of its step", () => {
    for (const [perWorkerLimit, expected] of [[1, []], [2, ["9#2"]]] as const) {
        const limited = makeRunningStep({
            step: { perWorkerLimit },
            workers: [...Array(10).keys()].map(number => makeWorker(`w${number}`)),
        });
        limited.report(900, 90, { 9: 13 });
        assert.deepEqual(describe(limited, 910), expected);
    }
    const workers = [...Array(14).keys()].map(number =>
        makeWorker(`w${number}`, {
            labels: ["a", number < 12 ? "r0" : "r1"],
        })
    );
    for (const step of [{ rackOfData: "r0" }, { prefersOneRack: true }]) {
        const inRack = makeRunningStep({ step, workers });
        runSlowTask(inRack);
        const [copy] = inRack.plan(1_010, { isUsable: worker => worker !== "w10" });
        assert.ok(copy !== undefined && copy.worker !== "w12" && copy.worker !== "w13");
    }
    const far = makeRunningStep({ step: { rackOfData: "r1" }, workers });
    runSlowTask(far);
    assert.deepEqual(describe(far, 1_010), []);
});

// Guards against a fault common to many tasks that doubles the load of the pool.
test("copies are a limited share of the running tasks", () => {
    const running = makeRunningStep({
        step: { count: 40 },
        workers: [...Array(50).keys()].map(number => makeWorker(`w${number}`)),
    });
    running.report(900, 90, { 0: 13, 1: 13, 2: 13, 3: 13, 4: 13, 5: 13, 6: 13, 7: 13 });
    assert.equal(running.plan(910).length, 4);
});

/** Counts how often the labels of workers are compared while copies of the last tasks are planned; a step with a label waits. */
function countComparisons(slowTasks: number): number {
    let comparisons = 0;
    const workers = [...Array(14).keys()].map(number => {
        const labels = ["a", "counted"];
        labels.includes = label => {
            comparisons += 1;
            return labels.indexOf(label) >= 0;
        };
        return makeWorker(`w${number}`, { labels });
    });
    const running = makeRunningStep({ workers });
    const slow = [...Array(slowTasks).keys()].map(number => 9 - number);
    running.report(900, 90, Object.fromEntries(slow.map(position => [position, 13])));
    for (let position = 0; position < 10 - slowTasks; position += 1) {
        running.endFirst(position, 1_000);
    }
    running.machine.submit(makeJob("b", [makeStep({ requiredLabel: "counted" })]));
    comparisons = 0;
    assert.deepEqual(describe(running, 1_010), []);
    return comparisons;
}

// Guards against passes that take tens of milliseconds while steps wait: each slow task was compared with all that waits.
test("the waiting steps are compared with a worker once, however many tasks are slow", () => {
    const ofOne = countComparisons(1);
    assert.ok(ofOne > 0);
    assert.ok(countComparisons(4) <= ofOne + 4, `${countComparisons(4)} comparisons, ${ofOne} for one slow task`);
});
