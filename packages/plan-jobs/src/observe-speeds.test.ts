import { formatRunKey, type WorkerRun } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import { createSpeedModel } from "@chestnutspool/learn-worker-speed";
import { createRunStatus } from "@chestnutspool/track-workers";
import assert from "node:assert/strict";
import { test } from "node:test";
import { observeSpeeds } from "./observe-speeds.js";

const reportMs = 1_000;

/** Observes a report that lists one run of a step, and tells how often its keys were read. */
function countKeyReads(step: Parameters<typeof makeStep>[0], reports: readonly number[]): number {
    const machine = makeMachine([makeWorker("w")]);
    machine.submit(makeJob("a", [makeStep(step)]));
    const key = { job: "a", occurrence: 0, step: 0, position: 0, run: 1 };
    machine.apply({ kind: "startRuns", starts: [{ ...key, worker: "w" }] });
    const state = machine.state.workers.get("w");
    const run = state?.runs.get(formatRunKey(key));
    assert.ok(state !== undefined && run !== undefined);
    let reads = 0;
    const counted: WorkerRun = {
        ...run,
        get occurrence() {
            reads += 1;
            return run.occurrence;
        },
    };
    const model = createSpeedModel();
    for (const nowMs of reports) {
        const status = { ...createRunStatus(key, "confirmed", 0), progressPercent: nowMs / 100, readAtMs: nowMs };
        const runs = new Map([[formatRunKey(key), counted]]);
        observeSpeeds({ ...state, runs }, new Map([[formatRunKey(key), status]]), model, testStartMs, nowMs);
    }
    return reads;
}

// Guards against a leader that spends its processor time on describing runs that say nothing about their worker, which are most
// runs of most reports.
test("only runs that tell something about the speed of their worker are described", () => {
    assert.equal(countKeyReads({ longRunning: true }, [reportMs]), 0);
    assert.equal(countKeyReads({ gang: true }, [reportMs]), 0);
    assert.equal(countKeyReads({ usesIdleCpu: true }, [reportMs]), 0);
    assert.equal(countKeyReads({}, [reportMs]), 1);
    // The second report comes too soon after the first one.
    assert.equal(countKeyReads({}, [reportMs, reportMs + 100]), 1);
});
