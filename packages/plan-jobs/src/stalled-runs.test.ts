import { makeJob, makeMachine, makeQueue, makeStep, makeWorker } from "@chestnutspool/job-state/fakes";
import { createRunStatus, type RunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import type { StepSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { listStalledRuns } from "./list-stalled-runs.js";

const reportMs = 500;

/** A worker that runs all tasks of a step, beside an idle one. */
function setUp(changes: Partial<StepSpec>) {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")], [makeQueue()]);
    const step = makeStep({ resources: { milliCpu: 500, memoryMib: 10, accelerators: 0 }, ...changes });
    machine.submit(makeJob("job", [step]));
    const keys = Array.from({ length: step.count }, (item, position) => ({
        job: "job",
        occurrence: 0,
        step: 0,
        position,
        run: 1,
    }));
    machine.apply({ kind: "startRuns", starts: keys.map(key => ({ ...key, worker: "w1" })) });
    const runs = keys.map(key => createRunStatus(key, "confirmed", 0));
    const statuses: RunStatuses = new Map(
        [...machine.state.workers.get("w1")?.runs.keys() ?? []].map((key, index) => [key, runs[index] as RunStatus]),
    );
    const input = {
        ...makePlanInput(machine.state),
        findRunStatuses: (worker: string) => worker === "w1" ? statuses : undefined,
    };
    const report = (percent: number, nowMs: number): void => {
        for (const status of runs) {
            status.firstPercent ??= percent;
            status.progressAtMs = status.progressPercent === percent ? status.progressAtMs : nowMs;
            status.progressPercent = percent;
            status.readAtMs = nowMs;
        }
    };
    return { runs, report, listStalled: (nowMs: number) => listStalledRuns(input, nowMs) };
}

/** Reports progress for a minute; returns when runs were to be stopped. */
function listStopTimes(changes: Partial<StepSpec>, readPercent: (atMs: number) => number): number[] {
    const { report, listStalled } = setUp(changes);
    const stopTimes: number[] = [];
    for (let atMs = reportMs; atMs <= 60_000; atMs += reportMs) {
        report(readPercent(atMs), atMs);
        stopTimes.push(...listStalled(atMs).map(() => atMs));
    }
    return stopTimes;
}

// Guards against long-running best-effort tasks that are moved every two seconds, because 100% never changes.
test("a long-running best-effort task at work on a sound worker is not stopped within a minute", () => {
    const lasting = { count: 6, longRunning: true, usesIdleCpu: true, checkpointing: true, expectedRunMs: 0 };
    assert.deepEqual(listStopTimes(lasting, () => 100), []);
});

// Guards against tasks that work for minutes and are stopped again and again, because a percent takes them longer than two seconds.
test("a task that needs more than two seconds for a percent is not stopped within a minute", () => {
    assert.deepEqual(listStopTimes({ expectedRunMs: 20_000 }, atMs => Math.floor(atMs / 3_000)), []);
    assert.deepEqual(listStopTimes({ expectedRunMs: 20_000 }, atMs => 50 + Math.floor(atMs / 4_000)), []);
});

// Guards against a task that stands still and is not restarted elsewhere.
test("a task that stands still is stopped after three times the time of a percent", () => {
    const stopTimes = listStopTimes({ expectedRunMs: 100 }, atMs => Math.min(10, Math.floor(atMs / 1_000)));
    assert.equal(stopTimes[0], 13_500);
});

// Guards against more tasks of a long-running step away at the same time than its caller allows (AVAIL).
test("no more tasks of a long-running step are moved at the same time than its limit allows", () => {
    for (const [awayLimit, expected] of [[undefined, 4], [2, 2], [1, 1], [0, 0]] as const) {
        const lasting = { count: 4, longRunning: true, usesIdleCpu: true, checkpointing: true, expectedRunMs: 0 };
        const { runs, report, listStalled } = setUp({ ...lasting, awayLimit });
        report(100, 1_000);
        runs.forEach(status => {
            status.pacePercent = 0;
            status.paceChangedAtMs = 1_000;
        });
        assert.equal(listStalled(2_000).length, 0);
        assert.equal(listStalled(3_000).length, expected, `limit ${awayLimit}`);
        const [first] = runs;
        if (awayLimit === 1 && first !== undefined) {
            first.stopWantedAtMs = 3_000;
            assert.equal(listStalled(3_100).length, 0);
        }
    }
});
