import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import type { RunStart, WorkerInfo } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { planStarts } from "./plan-starts.js";

type Machine = ReturnType<typeof makeMachine>;

const urgentQueue = makeQueue({ name: "urgent", path: "/urgent/", priority: 0 });
/** A task that takes a whole worker. */
const wholeWorker = { milliCpu: 4_000, memoryMib: 10, accelerators: 0 };
const lastingStep = makeStep({ longRunning: true, resources: wholeWorker });

/** Age from which a long-running job without a run is overdue, in milliseconds. */
const overdueMs = 2_000;

function plan(machine: Machine): RunStart[] {
    const starts = planStarts(makePlanInput(machine.state), testStartMs);
    machine.apply({ kind: "startRuns", starts });
    return starts;
}

/** Thirty workers, two of which are kept for short tasks if the service has two queues. */
function setUp(queues = [makeQueue(), urgentQueue], changes: Partial<WorkerInfo> = {}): Machine {
    return makeMachine([...Array(30).keys()].map(number => makeWorker(`w${number}`, changes)), queues);
}

// Guards against urgent tasks without room: the pattern is a service whose long-running tasks need more processors than all
// of its workers have, so that each place that becomes free is taken by the next one.
test("new long-running tasks leave some workers to short tasks", () => {
    const machine = setUp();
    machine.submit(makeJob("lasting", [{ ...lastingStep, count: 40 }]));
    assert.equal(plan(machine).length, 28);
    assert.equal(plan(machine).length, 0);
    machine.submit(makeJob("check", [makeStep({ count: 2, resources: wholeWorker })]), "/urgent/");
    assert.deepEqual(plan(machine).map(({ job }) => job), ["check", "check"]);
});

// Guards against a long-running task that stays away although there is capacity for it.
test("an interrupted long-running task may start on any worker", () => {
    const machine = setUp();
    machine.submit(makeJob("lasting", [{ ...lastingStep, count: 28 }]));
    const [first] = plan(machine);
    assert.ok(first !== undefined);
    machine.apply({ kind: "expireWorker", worker: first.worker, isGone: true, checkpoints: [] });
    assert.deepEqual(plan(machine).map(({ job, run }) => [job, run]), [["lasting", 2]]);
});

// Guards against a long-running task that waits without end for a label that only the kept workers have.
test("a long-running task that only kept workers could run starts there", () => {
    const machine = makeMachine(
        [...Array(30).keys()].map(number => makeWorker(`w${number}`, { labels: [number < 1 ? "rare" : "a", "r0"] })),
        [makeQueue(), urgentQueue],
    );
    machine.submit(makeJob("rare", [{ ...lastingStep, requiredLabel: "rare" }]));
    for (const atMs of [0, overdueMs]) {
        const starts = planStarts(makePlanInput(machine.state), testStartMs + atMs);
        assert.deepEqual(starts.map(({ worker }) => worker), ["w0"], `after ${atMs} ms`);
    }
});

// Guards against idle workers where nothing but long-running tasks can arrive.
test("a service with one queue keeps no worker", () => {
    const machine = setUp([makeQueue()]);
    machine.submit(makeJob("lasting", [{ ...lastingStep, count: 40 }]));
    assert.equal(plan(machine).length, 30);
});

// Guards against urgent tasks without room, because long-running ones that need more than all processors are overdue without end.
test("overdue long-running tasks leave the kept workers of a service in use to short tasks", () => {
    const machine = setUp();
    const quarter = { ...wholeWorker, milliCpu: 1_000 };
    machine.submit(makeJob("lasting", [{ ...lastingStep, count: 160, resources: quarter }]));
    assert.equal(plan(machine).length, 112);
    assert.deepEqual(planStarts(makePlanInput(machine.state), testStartMs + overdueMs), []);
});

// Guards against short tasks without room, because long-running ones that are overdue take the last workers that are kept for them.
test("an overdue long-running task leaves a kept worker that has no room for another one to short tasks", () => {
    const machine = setUp();
    machine.submit(makeJob("lasting", [{ ...lastingStep, count: 40 }]));
    assert.equal(plan(machine).length, 28);
    assert.deepEqual(planStarts(makePlanInput(machine.state), testStartMs + overdueMs), []);
});
