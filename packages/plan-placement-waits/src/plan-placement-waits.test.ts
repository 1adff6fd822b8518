import assert from "node:assert/strict";
import { test } from "node:test";
import { makeRacks, makeRackWorker, makeWant, startMs } from "./fakes/make-wants.js";
import { takeEndedWaits } from "./placement-memory.js";

/** A job of one step of one second that is in time only in its rack. */
const decisive = { objectiveAtMs: startMs + 2_000 } as const;

// Guards against waits and kept racks without need.
test("idle rack: tasks that find room there start at once, and nobody stays away from it", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 8)] });
    const { placements, keptWorkers } = racks.plan([makeWant("a", { tasks: 4 }), makeWant("b", { tasks: 4 })]);
    assert.deepEqual(placements.get("a"), { kind: "wait", rack: "r1", startable: 4 });
    assert.deepEqual(placements.get("b"), { kind: "wait", rack: "r1", startable: 4 });
    assert.equal(keptWorkers.size, 0);
    racks.plan([], 20);
    assert.deepEqual(takeEndedWaits(racks.memory), []);
});

// Guards against a hot rack that is shared out among all jobs that want it, so that none of them is in time.
test("hot rack: the jobs that gain most wait for it, and what cannot fit is spread at once", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 0, [200, 200, 200, 200, 200])] });
    const wants = ["a", "b", "c"].map(key => makeWant(key, { ...decisive, tasks: 4 }));
    const late = makeWant("late", { objectiveAtMs: startMs + 500, readyAtMs: startMs - 900 });
    const small = makeWant("small", { ...decisive, tasks: 1, workLeft: 500 });
    const { placements, keptWorkers } = racks.plan([late, ...wants, small]);
    const waiting = [...placements].filter(([, { kind }]) => kind === "wait").map(([key]) => key);
    // The small one and the first of the others take the five places; the next ones would come too late.
    assert.deepEqual(waiting.sort(), ["a", "small"]);
    assert.deepEqual([...keptWorkers], ["w1"]);
    assert.equal(racks.memory.wakeAtMs !== undefined && racks.memory.wakeAtMs <= startMs + 400, true);
});

// Guards against jobs whose first step takes places in the rack although the next one finds none, so that they are late.
test("hot rack: a job whose next step would come too late is spread from the start", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 2)] });
    const needOfTwo = { ...makeWant("").need, resources: { milliCpu: 2_000, memoryMib: 1, accelerators: 0 } };
    const next = [{ tasks: 3, isGang: false, need: needOfTwo }];
    // Its steps end after 1 s and 4 s in the rack.
    const chain = makeWant("chain", { later: next, laterMs: 1_000, objectiveAtMs: startMs + 3_500 });
    assert.equal(racks.plan([chain]).placements.get("chain")?.kind, "start");
    const relaxed = { ...chain, key: "relaxed", objectiveAtMs: startMs + 4_500 };
    assert.equal(racks.plan([relaxed], 20).placements.get("relaxed")?.kind, "wait");
});

test("hot rack: the places for the next step of a job that has begun there are not promised to others", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 1)] });
    const first = makeWant("first", { ...decisive, job: "begun" });
    racks.plan([first]);
    racks.racks = { r1: [makeRackWorker("w1", 0, [900])] };
    const next = makeWant("next", { job: "begun", startsAtMs: startMs + 900, objectiveAtMs: startMs + 2_500 });
    const other = makeWant("other", { ...decisive, workLeft: 1 });
    assert.equal(racks.plan([other, next], 100).placements.get("other")?.kind, "start");
    assert.equal(racks.plan([{ ...other, key: "alone" }], 120).placements.get("alone")?.kind, "wait");
});

test("hot rack: a step that is spread leaves the places to those that wait, until its own wait would have ended", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 0, [400])] });
    const [first, second] = [
        makeWant("first", decisive),
        makeWant("second", { ...decisive, tasks: 2, workLeft: 9_000 }),
    ];
    const { placements } = racks.plan([first, second]);
    assert.deepEqual(placements.get("second"), { kind: "start", avoidedRack: "r1" });
    const old = { ...second, key: "old", readyAtMs: startMs - 2_000 };
    assert.deepEqual(racks.plan([first, old], 20).placements.get("old"), { kind: "start" });
});

test("hot rack: a promise holds when smaller jobs come later", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 0, [400, 400])] });
    const first = makeWant("first", { ...decisive, tasks: 2 });
    racks.plan([first]);
    const second = makeWant("second", { ...decisive, workLeft: 1, readyAtMs: startMs + 100 });
    const { placements } = racks.plan([first, second], 100);
    assert.equal(placements.get("first")?.kind, "wait");
    assert.equal(placements.get("second")?.kind, "start");
});

test("tasks take the free places at once while the others of their step wait", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 2, [300])] });
    const { placements } = racks.plan([makeWant("a", { tasks: 3 })]);
    assert.deepEqual(placements.get("a"), { kind: "wait", rack: "r1", startable: 2 });
});

// Guards against tasks that wait for a rack which is lost, drained or evacuated: it has no worker that takes starts.
test("a wait ends when the rack is lost", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 0, [500])] });
    const want = makeWant("a");
    assert.equal(racks.plan([want]).placements.get("a")?.kind, "wait");
    racks.racks = {};
    assert.equal(racks.plan([want], 100).placements.get("a")?.kind, "start");
    assert.deepEqual(takeEndedWaits(racks.memory).map(({ outcome }) => outcome), ["rackLost"]);
    // A lost rack is no fault of the estimates.
    assert.equal(racks.memory.records.get("pool")?.metShare, 1);
});

test("a wait ends when the place has not come by the predicted time, and the step does not wait again", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 0, [400])] });
    const want = makeWant("a");
    racks.plan([want]);
    assert.equal(racks.plan([want], 500).placements.get("a")?.kind, "wait");
    assert.equal(racks.plan([want], 560).placements.get("a")?.kind, "start");
    assert.equal(racks.plan([want], 580).placements.get("a")?.kind, "start");
    const [ended] = takeEndedWaits(racks.memory);
    assert.equal(ended?.outcome, "late");
    assert.equal(ended.expectedGainMs, 1_600);
    assert.equal(ended.gainMs, -560);
});

test("a wait ends early when the place is no longer expected in time", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 0, [400])] });
    const want = makeWant("a");
    racks.plan([want]);
    racks.racks = { r1: [makeRackWorker("w1", 0, [1_500])] };
    assert.equal(racks.plan([want], 100).placements.get("a")?.kind, "start");
});

test("the gain of a wait is counted by the time that it took", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 0, [400])] });
    const want = makeWant("a");
    racks.plan([want]);
    racks.racks = { r1: [makeRackWorker("w1", 1)] };
    assert.deepEqual(racks.plan([want], 300).placements.get("a"), { kind: "wait", rack: "r1", startable: 1 });
    racks.plan([], 320);
    const [ended] = takeEndedWaits(racks.memory);
    assert.deepEqual([ended?.outcome, ended?.expectedGainMs, ended?.gainMs], ["placed", 1_600, 1_700]);
});

// Guards against estimates ten times off: runs that were expected to end after 150 ms take 1,500 ms.
test("after ten waits that failed only shorter ones are tried, and after some time long ones again", () => {
    const racks = makeRacks({ r1: [] });
    const planFresh = (key: string, atMs: number, expectedMs: number): string | undefined => {
        racks.racks = { r1: [makeRackWorker("w1", 0, [atMs + expectedMs])] };
        const [readyAtMs, objectiveAtMs] = [startMs + atMs, startMs + atMs + 60_000];
        return racks.plan([makeWant(key, { readyAtMs, objectiveAtMs })], atMs).placements.get(key)?.kind;
    };
    assert.equal(planFresh("first", 0, 900), "wait");
    for (let round = 0; round < 10; round += 1) {
        const [key, atMs] = [`a${round}`, round * 300];
        assert.equal(planFresh(key, atMs, 150), "wait");
        racks.racks = { r1: [makeRackWorker("w1", 0, [atMs + 1_500])] };
        assert.equal(racks.plan([makeWant(key)], atMs + 290).placements.get(key)?.kind, "start");
    }
    assert.equal(planFresh("long", 3_000, 900), "start");
    assert.equal(planFresh("short", 3_000, 100), "wait");
    assert.equal(planFresh("later", 60_000, 900), "wait");
});

// Guards against a group that waits for a rack which can never hold it, and against one that starts in parts.
test("a gang starts whole in the rack, waits for it, or is spread", () => {
    const gang = (key: string, tasks: number) => {
        const want = makeWant(key, { tasks, racks: ["r1", "r2"] });
        return { ...want, spec: { ...want.spec, gang: true, prefersOneRack: true, rackOfData: undefined } };
    };
    const racks = makeRacks({
        r1: [makeRackWorker("w1", 2, [900])],
        r2: [makeRackWorker("w2", 1, [400, 400])],
    });
    const { placements, keptWorkers } = racks.plan([gang("fits", 2), gang("waits", 3), gang("large", 4)]);
    assert.deepEqual(placements.get("fits"), { kind: "wait", rack: "r1", startable: 2 });
    assert.deepEqual(placements.get("waits"), { kind: "wait", rack: "r2", startable: 0 });
    assert.deepEqual(placements.get("large"), { kind: "start" });
    assert.deepEqual([...keptWorkers], ["w2"]);
});

// Guards against a pass that compares hundreds of steps with a forecast.
test("of very many steps that want a rack, a bounded number is compared with it and the others are spread", () => {
    const racks = makeRacks({ r1: [makeRackWorker("w1", 500)] });
    const { placements } = racks.plan(Array.from({ length: 100 }, (none, index) => makeWant(`a${index}`)));
    assert.equal([...placements.values()].filter(({ kind }) => kind === "wait").length, 40);
});

// Guards against a job without a run that waits for a full rack while the others are idle: the wait is limited by what a place there
// saves, which grows with the run time.
test("a job without a run waits for its rack no longer than the bound while most of the pool is idle", () => {
    const longestDelayMs = 3_000;
    const endsAfterMs = 30_000;
    const want = makeWant("a", { objectiveAtMs: startMs + 600_000 });
    const long = { ...want, need: { ...want.need, runMs: 20_000 } };
    const racks = makeRacks({ r1: [makeRackWorker("w1", 0, [endsAfterMs])] }, 0.2);
    let startedAtMs = 0;
    while (startedAtMs < endsAfterMs) {
        const placement = racks.plan([long], startedAtMs).placements.get("a");
        if (placement?.kind !== "wait" || placement.startable > 0) {
            break;
        }
        startedAtMs += 100;
    }
    assert.ok(startedAtMs <= longestDelayMs, `the job may start after ${startedAtMs} ms`);
});
