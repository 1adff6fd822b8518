import { createJobMachine } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import type { TestMachine } from "@chestnutspool/job-state/fakes";
import { createPlacementMemory, keptWorkersShare, longestKeptMs } from "@chestnutspool/plan-placement-waits";
import type { RunStart, StepSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { createPlanMemory } from "./plan-memory.js";
import { planStarts } from "./plan-starts.js";

/** A step whose tasks take one of the four cores of a worker for one second, in rack `r1` if there is room. */
const rackStep: Partial<StepSpec> = { rackOfData: "r1" };

/** Racks `r0` to `r9` of two workers with four cores each; worker `w10` and `w11` are in `r1`, of zone `z1`. */
function makeRackWorkers(racks = 10) {
    return Array.from(
        { length: racks },
        (none, rack) =>
            [0, 1].map(number =>
                makeWorker(`w${rack}${number}`, { labels: ["a", `r${rack}`], availabilityZone: `z${rack}` })
            ),
    ).flat();
}

/** A planner with a memory of its own; `plan` also records the starts. */
function makePlanner(machine: TestMachine, farFactor = 3) {
    const memory = createPlanMemory();
    const placementWaits = farFactor > 1 ? { farFactor, memory: createPlacementMemory() } : undefined;
    return {
        placementWaits,
        plan: (afterMs: number): readonly RunStart[] => {
            const nowMs = testStartMs + afterMs;
            const starts = planStarts({ ...makePlanInput(machine.state), placementWaits }, nowMs, memory);
            if (starts.length > 0) {
                machine.apply({ kind: "startRuns", starts }, nowMs);
            }
            return starts;
        },
    };
}

function endRuns(machine: TestMachine, starts: readonly RunStart[], afterMs: number): void {
    for (const { worker, ...key } of starts) {
        machine.apply(
            { kind: "endRuns", worker, ends: [{ ...key, outcome: "succeeded", checkpoint: "" }] },
            testStartMs + afterMs,
        );
    }
}

function countNear(starts: readonly RunStart[]): number {
    return starts.filter(({ worker }) => worker.startsWith("w1")).length;
}

/** Fills rack `r1` at the start with tasks of one second, which were declared with `expectedRunMs`. */
function fillRack(machine: TestMachine, expectedRunMs = 1_000, plan = makePlanner(machine).plan): readonly RunStart[] {
    machine.submit(makeJob("first", [makeStep({ ...rackStep, count: 8, expectedRunMs })]));
    const starts = plan(0);
    assert.equal(countNear(starts), 8);
    return starts;
}

function makeRackMachine() {
    return makeMachine(makeRackWorkers(), [makeQueue({ slackFactor: 2, targetLatencyMs: 1_000 })]);
}

// Guards against runs that take three times as long although a place in the rack becomes free soon.
test("a task that finds no room in the rack of its data waits for it and starts there", () => {
    const machine = makeRackMachine();
    const { plan, placementWaits } = makePlanner(machine);
    const running = fillRack(machine, 1_000, plan);
    machine.submit(makeJob("b", [makeStep(rackStep)]));
    assert.deepEqual(plan(600), []);
    assert.ok((placementWaits?.memory.wakeAtMs ?? 0) > testStartMs + 1_000);
    endRuns(machine, running.slice(0, 1), 950);
    assert.equal(countNear(plan(960)), 1);
    plan(970);
    assert.deepEqual(placementWaits?.memory.ended.map(({ outcome }) => outcome), ["placed"]);
});

test("without the setting the same task starts elsewhere at once", () => {
    const machine = makeRackMachine();
    const { plan } = makePlanner(machine, 1);
    fillRack(machine, 1_000, plan);
    machine.submit(makeJob("b", [makeStep(rackStep)]));
    const starts = plan(600);
    assert.equal(starts.length, 1);
    assert.equal(countNear(starts), 0);
});

// Guards against tasks that wait for a rack on which nothing starts any more.
test("a wait ends in the next pass after the rack is evacuated, drained or lost", () => {
    for (const loss of ["evacuated", "drained", "lost"] as const) {
        const machine = makeRackMachine();
        const { plan } = makePlanner(machine);
        fillRack(machine, 1_000, plan);
        machine.submit(makeJob("b", [makeStep(rackStep)]));
        assert.deepEqual(plan(600), []);
        const workers = ["w10", "w11"];
        switch (loss) {
            case "evacuated":
                machine.apply({ kind: "setZoneAdmission", availabilityZone: "z1", isEvacuated: true });
                break;
            case "drained":
                workers.forEach(worker => machine.apply({ kind: "drainWorker", worker }));
                break;
            case "lost":
                workers.forEach(worker =>
                    machine.apply({ kind: "expireWorker", worker, isGone: true, checkpoints: [] })
                );
                break;
        }
        const starts = plan(620);
        assert.ok(starts.some(({ job }) => job === "b"), loss);
        assert.equal(countNear(starts), 0, loss);
    }
});

// Guards against waits for a place that was predicted from declared run times alone.
test("a task does not wait for runs that are declared ten times shorter than they are", () => {
    const machine = makeRackMachine();
    const { plan } = makePlanner(machine);
    fillRack(machine, 100, plan);
    machine.submit(makeJob("b", [makeStep(rackStep)]));
    // The runs are overdue: they are expected to go on for a share of their age.
    assert.deepEqual(plan(300), []);
    for (let afterMs = 320; afterMs < 520; afterMs += 20) {
        plan(afterMs);
    }
    assert.equal(machine.state.jobs.get("b")?.runsInProgress, 1);
});

test("a task does not wait for long after runs that are declared ten times longer than they are", () => {
    const machine = makeRackMachine();
    const { plan } = makePlanner(machine);
    const running = fillRack(machine, 10_000, plan);
    machine.submit(makeJob("b", [makeStep(rackStep)]));
    const starts = plan(600);
    assert.equal(starts.length, 1, "the place is expected too late");
    endRuns(machine, running, 1_000);
    machine.submit(makeJob("c", [makeStep(rackStep)]));
    assert.equal(countNear(plan(1_000)), 1);
});

/** A planner of a leader that restores the state from a snapshot and remembers nothing. */
function makeNextLeader(machine: TestMachine) {
    const restored = createJobMachine();
    restored.restoreSnapshot(machine.takeSnapshot());
    return makePlanner({ ...machine, state: restored.state });
}

// Guards against a wait that begins again from zero under each new leader.
test("after leader changes a step waits no longer than it would under one leader", () => {
    const machine = makeRackMachine();
    fillRack(machine, 700);
    machine.submit(makeJob("b", [makeStep({ ...rackStep, expectedRunMs: 400 }), makeStep({ dependsOn: [0] })]));
    assert.deepEqual(makeNextLeader(machine).plan(250), []);
    let startedAfterMs: number | undefined;
    for (let afterMs = 300; afterMs < 3_000 && startedAfterMs === undefined; afterMs += 50) {
        startedAfterMs = makeNextLeader(machine).plan(afterMs).length > 0 ? afterMs : undefined;
    }
    // Twice its run time, from its acceptance at 0 ms on.
    assert.ok((startedAfterMs ?? 3_000) <= 800, `${startedAfterMs} ms`);
});

// Guards against a later step that has no time left to wait, because its job has waited before.
test("under a new leader the wait of a later step counts from the end of the step before", () => {
    const machine = makeRackMachine();
    const { plan } = makePlanner(machine);
    machine.submit(makeJob("b", [makeStep({ rackOfData: "r2" }), makeStep({ ...rackStep, dependsOn: [0] })]));
    const started = plan(0);
    machine.submit(makeJob("first", [makeStep({ ...rackStep, count: 8 })]));
    assert.equal(countNear(plan(2_000)), 8);
    endRuns(machine, started, 2_500);
    assert.deepEqual(makeNextLeader(machine).plan(2_550), []);
    // Its objective is at 5,000 ms, so that it has to start before 4,000 ms to be in time.
    assert.equal(makeNextLeader(machine).plan(4_050).length, 1);
});

// Guards against a step that prefers one rack and is spread because its first task took the fullest worker.
test("a step that prefers one rack goes to one that holds all its tasks, or is spread if none can", () => {
    for (const gang of [false, true]) {
        const machine = makeRackMachine();
        const { plan } = makePlanner(machine);
        // One core less in each rack but `r5`.
        for (const rack of [0, 1, 2, 3, 4, 6, 7, 8, 9]) {
            machine.submit(makeJob(`other${rack}`, [makeStep({ rackOfData: `r${rack}` })]));
        }
        assert.equal(plan(0).length, 9);
        machine.submit(makeJob("b", [makeStep({ count: 8, prefersOneRack: true, gang })]));
        const starts = plan(10);
        assert.deepEqual([starts.length, new Set(starts.map(({ worker }) => worker.slice(0, 2)))], [
            8,
            new Set(["w5"]),
        ]);
        machine.submit(makeJob("c", [makeStep({ count: 9, prefersOneRack: true, gang })]));
        const spread = plan(20).filter(({ job }) => job === "c");
        assert.equal(spread.length, gang ? 9 : spread.length);
    }
});

/** A full rack with more demand, and tasks of a second queue with and without room elsewhere. */
function makeHotRack(racks: number) {
    const machine = makeMachine(makeRackWorkers(racks), [
        makeQueue({ priority: 0, slackFactor: 2, targetLatencyMs: 20_000 }),
        makeQueue({ name: "other", path: "/other/", priority: 2 }),
    ]);
    return { machine, ...makePlanner(machine) };
}

// Guards against tasks without a preference that take the places which others wait for.
test("tasks without a rack preference stay away from a hot rack, and use it again when the demand is over", () => {
    const { machine, plan } = makeHotRack(10);
    const running = fillRack(machine, 1_000, plan);
    machine.submit(makeJob("b", [makeStep({ ...rackStep, count: 4 })]));
    plan(900);
    endRuns(machine, running.slice(0, 4), 1_000);
    machine.submit(makeJob("c", [makeStep({ count: 80 })]), "/other/");
    const starts = plan(1_010);
    assert.deepEqual(
        new Set(starts.filter(({ worker }) => worker.startsWith("w1")).map(({ job }) => job)),
        new Set(["b"]),
    );
    endRuns(machine, running.slice(4), 1_100);
    assert.equal(plan(1_110).length, 0);
    // The demand was last seen at 900 ms and counts for a second.
    assert.equal(countNear(plan(2_100)), 4);
});

// Guards against a hot rack that starves another queue: the bound on the wait of others.
test("another queue without room elsewhere waits at most ten seconds for room in a hot rack", () => {
    const { machine, plan } = makeHotRack(10);
    assert.equal(machine.state.workers.size * keptWorkersShare, 2);
    machine.submit(makeJob("small", [makeStep({ ...rackStep, expectedRunMs: 600_000 })]));
    for (const rack of [0, 2, 3, 4, 5, 6, 7, 8, 9]) {
        const filling = makeStep({ count: 8, rackOfData: `r${rack}`, expectedRunMs: 600_000 });
        machine.submit(makeJob(`filler${rack}`, [filling]), "/other/");
    }
    assert.equal(plan(0).length, 73);
    // Each task of the urgent queue needs a whole worker of the rack, so that three cores of the other one stay free.
    const wholeWorker = { ...rackStep, resources: { milliCpu: 4_000, memoryMib: 100, accelerators: 0 } };
    let startedAfterMs: number | undefined;
    for (let second = 1; second < 30 && startedAfterMs === undefined; second += 1) {
        machine.submit(makeJob(`hot${second}`, [makeStep({ ...wholeWorker, count: 2 })]));
        const running: RunStart[] = [];
        for (let afterMs = second * 1_000; afterMs < second * 1_000 + 1_000; afterMs += 100) {
            const starts = plan(afterMs);
            startedAfterMs ??= starts.some(({ job }) => job === "c") ? afterMs : undefined;
            running.push(...starts.filter(({ job }) => job.startsWith("hot")));
            if (second === 1 && afterMs === 1_000) {
                machine.submit(makeJob("c", [makeStep()]), "/other/");
            }
        }
        endRuns(machine, running, second * 1_000 + 950);
    }
    assert.ok(startedAfterMs !== undefined, "the task of the other queue starves");
    assert.ok(startedAfterMs > 2_000, "nobody stayed away from the rack");
    assert.ok(startedAfterMs <= 1_000 + longestKeptMs + 100, `${startedAfterMs} ms`);
});

test("in a service so small that a tenth of it is no worker, nobody stays away", () => {
    const { machine, plan } = makeHotRack(4);
    const running = fillRack(machine, 1_000, plan);
    machine.submit(makeJob("b", [makeStep({ ...rackStep, count: 1 })]));
    plan(900);
    machine.submit(makeJob("c", [makeStep({ count: 27 })]), "/other/");
    endRuns(machine, running.slice(0, 4), 1_000);
    assert.equal(plan(1_010).length, 28);
});
