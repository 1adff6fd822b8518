import type { RunStart } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { followStartedCopies, takeCopyOutcomes } from "./copy-memory.js";
import { makeRunningStep, makeStart, type RunningStep, startedMs } from "./fakes/make-running-step.js";

const firstRun = makeStart(9);
const copy = { ...makeStart(9), run: 2, worker: "w13" };

/** Two tasks of two cores; task 9 has a copy, which started 500 ms after its first run. */
function makeCopied(): RunningStep {
    const running = makeRunningStep({ step: { resources: { milliCpu: 2_000, memoryMib: 10, accelerators: 0 } } });
    running.start([copy], 500);
    assert.deepEqual(running.plan(500), []);
    return running;
}

function describeOutcomes(running: RunningStep, afterMs: number): string[] {
    return takeCopyOutcomes(running.memory, startedMs + afterMs).map((
        { endedFirst, isDone, firstRunCoreMs, copyCoreMs },
    ) => `${endedFirst} ${isDone} ${firstRunCoreMs} ${copyCoreMs}`);
}

test("the outcome tells which run ended first, and the processor time of both", () => {
    for (const [winner, loser, expected] of [[copy, firstRun, "copy"], [firstRun, copy, "firstRun"]] as const) {
        const running = makeCopied();
        running.endRun(winner, "succeeded", 1_510);
        assert.deepEqual(describeOutcomes(running, 1_510), []);
        running.endRun(loser, "stopped", 1_710);
        const [first, second] = winner === copy ? [1_710, 1_010] : [1_510, 1_210];
        assert.deepEqual(describeOutcomes(running, 1_710), [`${expected} true ${2 * first} ${2 * second}`]);
        assert.deepEqual(describeOutcomes(running, 1_800), []);
    }
});

test("two ends between two passes, a crash of the copy's worker and a cancellation are told apart", () => {
    const both = makeCopied();
    both.endRun(firstRun, "succeeded", 1_000);
    both.endRun(copy, "succeeded", 1_000);
    assert.match(describeOutcomes(both, 1_010)[0] ?? "", /^both true/);
    const crashed = makeCopied();
    crashed.machine.apply({ kind: "expireWorker", worker: "w13", isGone: true, checkpoints: [] });
    assert.deepEqual(describeOutcomes(crashed, 900), []);
    crashed.endRun(firstRun, "succeeded", 1_000);
    assert.match(describeOutcomes(crashed, 1_010)[0] ?? "", /^copy false/);
    const cancelled = makeCopied();
    cancelled.machine.apply({ kind: "cancelJob", job: "a" });
    cancelled.endRun(copy, "stopped", 900);
    assert.deepEqual(describeOutcomes(cancelled, 900), []);
    cancelled.endRun(firstRun, "stopped", 910);
    assert.match(describeOutcomes(cancelled, 910)[0] ?? "", /^copy false/);
});

// Guards against copies of tasks that are slow on any worker: some of these end a little before their first run.
test("a copy pays only if it takes clearly less time than its first run was expected to need", () => {
    for (const [copyMs, expected] of [[900, true], [5_000, false]] as const) {
        const running = makeRunningStep();
        running.report(900, 90, { 9: 13 });
        const starts = running.plan(910);
        running.start(starts, 910);
        const findRun = ({ worker }: RunStart) => running.machine.state.workers.get(worker)?.runs.get("a.0.0.9#2");
        const [followed] = followStartedCopies(running.memory, findRun, starts, startedMs + 910);
        assert.equal(followed?.estimate.progressPercent, 13);
        starts.forEach(start => running.endRun(start, "succeeded", 910 + copyMs));
        takeCopyOutcomes(running.memory, startedMs + 910 + copyMs);
        running.endFirst(9, 6_000, "stopped");
        assert.equal(takeCopyOutcomes(running.memory, startedMs + 6_000).length, 1);
        assert.deepEqual(running.memory.payoffsByService.get("pool"), [expected]);
    }
});

// Guards against copies of tasks that are slow by themselves, so that no copy pays.
test("while copies do not pay, a pool has one at a time", () => {
    const running = makeRunningStep();
    running.memory.payoffsByService.set("pool", Array.from({ length: 8 }, () => false));
    running.report(900, 90, { 7: 13, 8: 13, 9: 13 });
    assert.equal(running.plan(910).length, 1);
    running.memory.payoffsByService.set("pool", [true, true, ...Array.from({ length: 6 }, () => false)]);
    assert.equal(running.plan(1_010).length, 2);
});
