import { formatRunKey } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeStep } from "@chestnutspool/job-state/fakes";
import type { RunKey, RunProgress, UnacknowledgedEnd } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { applyReport, createRunStatus, type RunReport, type RunStatuses, type StartState } from "./run-statuses.js";

const key: RunKey = { job: "a", occurrence: 0, step: 0, position: 0, run: 1 };
const emptyReport: RunReport = { running: [], ended: [], isComplete: true };

function setUp(start: StartState, changedAtMs: number) {
    const machine = makeMachine();
    machine.submit(makeJob("a", [makeStep({ count: 2 })]));
    machine.apply({ kind: "startRuns", starts: [{ ...key, worker: "w1" }] });
    const state = machine.state.workers.get("w1");
    assert.ok(state !== undefined);
    const statuses: RunStatuses = new Map([[formatRunKey(key), createRunStatus(key, start, changedAtMs)]]);
    return { state, statuses };
}

function makeProgress(changes: Partial<RunProgress> = {}): RunProgress {
    return { ...key, checkpoint: "", progressPercent: 10, lastReading: undefined, ...changes };
}

test("a run that a report does not list is over if the worker confirmed its start before the renewal was sent", () => {
    const { state, statuses } = setUp("confirmed", 100);
    assert.equal(applyReport(state, statuses, emptyReport, 99, 200).ends.length, 0);
    assert.deepEqual(applyReport(state, statuses, emptyReport, 101, 200).ends.map(end => end.outcome), ["lapsed"]);
});

test("a start without an answer stays open until a stop is answered and a later report does not list the run", () => {
    const { state, statuses } = setUp("unanswered", 100);
    assert.equal(applyReport(state, statuses, emptyReport, 150, 200).ends.length, 0);
    const status = statuses.get(formatRunKey(key));
    assert.ok(status !== undefined);
    status.stoppedAtMs = 300;
    assert.equal(applyReport(state, statuses, emptyReport, 250, 350).ends.length, 0);
    assert.deepEqual(applyReport(state, statuses, emptyReport, 301, 350).ends.map(end => end.outcome), [
        "neverStarted",
    ]);
});

test("a run that an earlier leader recorded and the worker does not list never started", () => {
    const { state, statuses } = setUp("excluded", 100);
    assert.deepEqual(applyReport(state, statuses, emptyReport, 101, 200).ends.map(end => end.outcome), [
        "neverStarted",
    ]);
});

test("an incomplete report ends no run that it does not list", () => {
    const { state, statuses } = setUp("confirmed", 100);
    assert.equal(applyReport(state, statuses, { ...emptyReport, isComplete: false }, 101, 200).ends.length, 0);
});

test("a report that lists a run confirms its start", () => {
    const { state, statuses } = setUp("unanswered", 100);
    applyReport(state, statuses, { ...emptyReport, running: [makeProgress({ checkpoint: "c" })] }, 150, 200);
    const status = statuses.get(formatRunKey(key));
    assert.equal(status?.start, "confirmed");
    assert.equal(status.checkpoint, "c");
});

test("a run that is not recorded for the worker is orphaned", () => {
    const { state, statuses } = setUp("confirmed", 100);
    const report = { ...emptyReport, running: [makeProgress(), makeProgress({ position: 1, run: 7 })] };
    const outcome = applyReport(state, statuses, report, 101, 200);
    assert.deepEqual(outcome.orphanedRuns.map(formatRunKey), ["a.0.0.1#7"]);
});

test("an end of a run that is not recorded for the worker only advances the sequence number", () => {
    const { state, statuses } = setUp("confirmed", 100);
    const old: UnacknowledgedEnd = { ...key, position: 1, outcome: "succeeded", checkpoint: "", sequence: 4 };
    const report = { running: [makeProgress()], ended: [old], isComplete: true };
    const outcome = applyReport(state, statuses, report, 101, 200);
    assert.deepEqual(outcome.ends, []);
    assert.equal(outcome.lastSequence, 4);
});

// Guards against an estimate of lost work that takes the report of a checkpoint for the time at which it was saved.
test("a checkpoint counts as saved half way between the report that lists it first and the one before", () => {
    const { state, statuses } = setUp("confirmed", 100);
    const status = statuses.get(formatRunKey(key));
    for (
        const [nowMs, checkpoint, expectedMs] of [[1_100, "a", 600], [2_100, "a", 600], [3_100, "b", 2_600]] as const
    ) {
        applyReport(state, statuses, { ...emptyReport, running: [makeProgress({ checkpoint })] }, nowMs, nowMs);
        assert.equal(status?.checkpointAtMs, expectedMs);
    }
});
