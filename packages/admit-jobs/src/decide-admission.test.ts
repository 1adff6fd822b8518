import { makeJob, makeQueue, makeStep } from "@chestnutspool/job-state/fakes";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { BacklogEntry } from "./backlog.js";
import { type AdmissionInputs, decideAdmission } from "./decide-admission.js";
import { createLeaderBusyness, recordDelay } from "./leader-busyness.js";
import { createThroughput, readRates, recordEnded, recordPoolState, recordStarted } from "./throughput.js";

const nowMs = 100_000;
const wallMs = 1_000_000;

/** A pool that has run ten tasks of one second on one core each second for ten seconds, with tasks waiting. */
function makeThroughput(usedShare = 1) {
    const throughput = createThroughput();
    for (let atMs = nowMs - 10_000; atMs < nowMs; atMs += 100) {
        recordStarted(throughput, 1_000, atMs);
        recordEnded(throughput, 1_000, atMs);
        recordPoolState(throughput, 10, usedShare, false, 10, atMs);
    }
    return throughput;
}

function makeEntry(seconds: number, changes: Partial<BacklogEntry> = {}): BacklogEntry {
    const tasks = seconds * 10;
    return { service: "pool", priority: 1, lateness: "inTime", size: 1, tasks, coreMs: tasks * 1_000, ...changes };
}

function makeInputs(changes: Partial<AdmissionInputs> = {}): AdmissionInputs {
    return {
        backlog: [],
        throughput: makeThroughput(),
        busyness: createLeaderBusyness(),
        priorities: [0, 1, 2],
        workers: 0,
        ...changes,
    };
}

function decide(inputs: AdmissionInputs, priority = 1, definition = makeJob("a")) {
    return decideAdmission(definition, makeQueue({ priority }), inputs, nowMs, wallMs);
}

// Guards against accepting work whose result would have no value: the objective of the job is 2.5 s, so that the result has
// none after 7.5 s, and a prediction may be off by a factor of two.
test("a job is refused when it is predicted to end after its result has lost its value", () => {
    assert.equal(decide(makeInputs({ backlog: [makeEntry(13)] })).cause, undefined);
    const refused = decide(makeInputs({ backlog: [makeEntry(15)] }));
    assert.equal(refused.cause, "tooLate");
    assert.ok(Math.abs(refused.waitMs - 15_000) < 1_000, `${refused.waitMs}`);
    // In 13.5 s the wait has become short enough to end in time; callers are spread over half of that.
    assert.ok(refused.retryAfterMs >= 12_500 && refused.retryAfterMs <= 21_750, `${refused.retryAfterMs}`);
});

// Guards against refusing urgent work because of less urgent work, work of another pool or work that goes last anyway.
test("only work that goes first counts", () => {
    const others = [
        makeEntry(30, { priority: 2 }),
        makeEntry(30, { service: "other" }),
        makeEntry(30, { lateness: "tooLate" }),
    ];
    assert.equal(decide(makeInputs({ backlog: others })).cause, undefined);
    assert.equal(decide(makeInputs({ backlog: [makeEntry(30, { priority: 0 })] })).cause, "tooLate");
});

// Guards against refusals from declared run times that are ten times too long: the wait is measured in the same unit.
test("declared run times that are wrong by the same factor do not change the decision", () => {
    const throughput = createThroughput();
    for (let atMs = nowMs - 10_000; atMs < nowMs; atMs += 100) {
        recordStarted(throughput, 10_000, atMs);
        recordEnded(throughput, 10_000, atMs);
        recordPoolState(throughput, 10, 1, false, 10, atMs);
    }
    const entry = makeEntry(2);
    assert.equal(
        decide(makeInputs({ throughput, backlog: [{ ...entry, coreMs: entry.coreMs * 10 }] })).cause,
        undefined,
    );
});

// Guards against refusals with little data: a burst, or a pool in which tasks wait for another reason than room.
test("nothing is refused for waiting work unless the pool has been full for the whole window", () => {
    const backlog = [makeEntry(100)];
    const fresh = createThroughput();
    recordPoolState(fresh, 1_000, 1, false, 0, nowMs - 4_000);
    assert.equal(decide(makeInputs({ backlog, throughput: fresh })).cause, undefined);
    assert.equal(decide(makeInputs({ backlog, throughput: makeThroughput(0.2) })).cause, undefined);
});

// Guards against refusing long tasks because none of them has ended in the window.
test("work in progress counts as throughput while few tasks end", () => {
    const throughput = createThroughput();
    recordPoolState(throughput, 10, 1, false, 40, nowMs);
    assert.equal(readRates(throughput, nowMs).cores, 40);
});

// Guards against a busy leader that takes on more, and against refusing urgent jobs first.
test("a busy leader refuses the least urgent queues first and all of them when it is very busy", () => {
    const refuses = (delayMs: number, priority: number): boolean => {
        const busyness = createLeaderBusyness();
        for (let sample = 0; sample < 60; sample += 1) {
            recordDelay(busyness, delayMs);
        }
        return decide(makeInputs({ busyness }), priority).cause === "leaderBusy";
    };
    assert.deepEqual([0, 1, 2].map(priority => refuses(100, priority)), [false, false, false]);
    assert.deepEqual([0, 1, 2].map(priority => refuses(200, priority)), [false, false, true]);
    assert.deepEqual([0, 1, 2].map(priority => refuses(300, priority)), [false, true, true]);
    assert.deepEqual([0, 1, 2].map(priority => refuses(600, priority)), [true, true, true]);
});

// Guards against refusals after a single pause, such as a garbage collection or a frozen host that wakes up.
test("one long delay refuses nothing", () => {
    const busyness = createLeaderBusyness();
    recordDelay(busyness, 5_000);
    assert.deepEqual([0, 1, 2].map(priority => decide(makeInputs({ busyness }), priority).cause), [
        undefined,
        undefined,
        undefined,
    ]);
});

// Guards against refusing jobs whose tasks do not compete for the time until their result loses its value.
test("long-running jobs and jobs for later are refused only because of a busy leader", () => {
    const lasting = makeJob("a", [makeStep({ longRunning: true, expectedRunMs: 0 })]);
    const later = { ...makeJob("a"), firstAtMs: wallMs + 60_000 };
    const backlog = [makeEntry(100)];
    const busyness = { delayMs: 900, waitingCommits: 0 };
    for (const definition of [lasting, later]) {
        assert.equal(decide(makeInputs({ backlog }), 1, definition).cause, undefined);
        assert.equal(decide(makeInputs({ backlog, busyness }), 1, definition).cause, "leaderBusy");
    }
});

/** A pool that has been full for two seconds, in which it started ten cores' worth of work, declared `factor` times too long. */
function makeBurst(factor = 1) {
    const throughput = createThroughput();
    for (let atMs = nowMs - 2_000; atMs < nowMs; atMs += 100) {
        recordPoolState(throughput, 10, 1, false, 10, atMs);
        recordStarted(throughput, 1_000 * factor, atMs);
    }
    return throughput;
}

// Guards against accepting hopeless jobs for the first seconds of a burst of the batch queue; the result has no value after 7.5 s.
test("early in a burst a job of a shared pool is refused that cannot end before three objectives", () => {
    const makeBurstInputs = (seconds: number, factor = 1) => {
        const backlog = [...Array(seconds * 10).keys()].map(() => makeEntry(1, { tasks: 1, coreMs: 1_000 * factor }));
        return makeInputs({ backlog, throughput: makeBurst(factor), isShared: true });
    };
    const definition = (factor: number) => makeJob("a", [makeStep({ expectedRunMs: 1_000 * factor })]);
    assert.equal(decide(makeBurstInputs(5)).cause, undefined);
    assert.equal(decide(makeBurstInputs(12)).cause, "tooLate");
    // A caller that comes back too early meets the same backlog and is refused again.
    assert.equal(decide(makeBurstInputs(12)).cause, "tooLate");
    assert.equal(decide({ ...makeBurstInputs(12), isShared: false }).cause, undefined);
    // Run times declared ten times too long do not refuse what would be served: its objective is 20.5 s then.
    assert.equal(decide(makeBurstInputs(5, 10), 1, definition(10)).cause, undefined);
});

// Guards against refusing work that the planner would serve: in a contended pool larger waiting jobs, and those that are late, do not
// go first. Under sustained overload 25 jobs were refused that ended in time without admission.
test("in a shared pool only work that certainly goes first counts, also after seconds of overload", () => {
    const larger = [...Array(20).keys()].map(() => makeEntry(10));
    const late = [...Array(200).keys()].map(() => makeEntry(1, { coreMs: 1_000, lateness: "late" }));
    assert.equal(decide(makeInputs({ backlog: [...larger, ...late], isShared: true })).cause, undefined);
    assert.equal(decide(makeInputs({ backlog: [...larger, ...late], isShared: false })).cause, "tooLate");
});

// Guards against accepting work that the workers have room for and a leader without processor time cannot start before it has lost its
// value.
test("in a contended pool a job is refused when the leader cannot start what goes first in time", () => {
    const backlog = Array.from({ length: 100 }, () => makeEntry(0.1, { coreMs: 1 }));
    const decideAt = (startsPerSecond: number | undefined) =>
        decide(makeInputs({ backlog, isShared: true, startsPerSecond })).cause;
    assert.equal(decideAt(undefined), undefined);
    assert.equal(decideAt(50), undefined);
    assert.equal(decideAt(5), "tooLate");
});
