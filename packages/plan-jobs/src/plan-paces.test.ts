import { formatRunKey } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel, createUsageHistory } from "@chestnutspool/learn-interference";
import { createRunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import type { RunKey } from "@chestnutspool/types";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { listObsoleteRuns } from "./list-obsolete-runs.js";
import { listStalledRuns } from "./list-stalled-runs.js";
import { hasUncertainPairs, observeMargins, recordUsage } from "./observe-report.js";
import { type PaceDetail, planPaces } from "./plan-paces.js";

const bestEffortStep = makeStep({
    usesIdleCpu: true,
    checkpointing: true,
    resources: { milliCpu: 1_000, memoryMib: 10, accelerators: 0 },
});

function listFirstRuns(job: string, count: number): RunKey[] {
    return Array.from({ length: count }, (unused, position) => ({ job, occurrence: 0, step: 0, position, run: 1 }));
}

/** A worker with a serving task, and a harmful and a harmless best-effort task. */
function setUp() {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    machine.submit(makeJob("web", [makeStep({ longRunning: true, tailTargetMs: 20, image: "web" })]));
    machine.submit(makeJob("harmful", [{ ...bestEffortStep, image: "harmful" }]));
    machine.submit(makeJob("harmless", [{ ...bestEffortStep, image: "harmless" }]));
    const statuses: RunStatuses = new Map();
    for (const job of ["web", "harmful", "harmless"]) {
        const key = { job, occurrence: 0, step: 0, position: 0, run: 1 };
        machine.apply({ kind: "startRuns", starts: [{ ...key, worker: "w1" }] });
        statuses.set(formatRunKey(key), createRunStatus(key, "confirmed", 0));
    }
    const interference = createInterferenceModel();
    interference.addPairs([
        { image: "web", other: "harmful", disturbance: 6, variance: 0.05 },
        { image: "web", other: "harmless", disturbance: 0.5, variance: 0.05 },
    ]);
    const state = machine.state.workers.get("w1");
    assert.ok(state !== undefined);
    const getStatus = (job: string) => {
        const status = statuses.get(`${job}.0.0.0#1`);
        assert.ok(status !== undefined);
        return status;
    };
    return { machine, statuses, interference, state, getStatus };
}

test("only the most disturbing task is slowed down, before the serving task exceeds its target", () => {
    const { state, statuses, interference } = setUp();
    interference.observeMargin("web", "web", 2, [], 0);
    const changes = planPaces(state, statuses, interference, "fine");
    assert.deepEqual(changes.map(change => change.runKey), ["harmful.0.0.0#1"]);
    assert.ok((changes[0]?.percent ?? 100) < 100);
});

test("a slowed task returns to full pace when the serving task has enough margin again", () => {
    const { state, statuses, interference, getStatus } = setUp();
    getStatus("harmful").pacePercent = 0;
    for (let atMs = 0; atMs < 1_000; atMs += 250) {
        interference.observeMargin("web", "web", 1.6, [], atMs);
    }
    assert.deepEqual(planPaces(state, statuses, interference, "fine"), []);
    for (let atMs = 1_000; atMs < 9_000; atMs += 250) {
        interference.observeMargin("web", "web", 6, [], atMs);
    }
    assert.deepEqual(planPaces(state, statuses, interference, "fine"), [{ runKey: "harmful.0.0.0#1", percent: 100 }]);
});

test("reports update the estimated disturbance of the tasks that were running", () => {
    const { state, statuses, interference, getStatus } = setUp();
    const history = createUsageHistory();
    assert.ok(!hasUncertainPairs(state, statuses, interference));
    const fresh = createInterferenceModel();
    assert.ok(hasUncertainPairs(state, statuses, fresh));
    getStatus("web").progressPercent = 100;
    getStatus("web").lastReading = 200;
    for (let atMs = 2_000; atMs < 6_000; atMs += 250) {
        recordUsage(state, statuses, history, atMs);
        observeMargins(state, statuses, fresh, history, atMs);
    }
    assert.ok(fresh.listPairs().length === 2);
});

test("a best-effort task that makes no progress moves only if another worker can run it", () => {
    const { machine, statuses, interference, getStatus } = setUp();
    const input = {
        state: machine.state,
        isUsable: () => true,
        findStartLimit: () => undefined,
        findFailedWorker: () => undefined,
        interference,
        findRunStatuses: (worker: string) => worker === "w1" ? statuses : undefined,
    };
    const starved = getStatus("harmful");
    starved.pacePercent = 0;
    getStatus("harmless").progressAtMs = 5_000;
    assert.deepEqual(listStalledRuns(input, 5_000), [
        { worker: "w1", runKey: "harmful.0.0.0#1", reason: "noIdleProcessors" },
    ]);
    starved.progressAtMs = 4_900;
    assert.deepEqual(listStalledRuns(input, 5_000), []);
    starved.progressAtMs = 0;
    machine.apply({ kind: "drainWorker", worker: "w2" }, testStartMs);
    assert.deepEqual(listStalledRuns(input, 5_000), []);
});

test("runs of a cancelled job are obsolete", () => {
    const { machine, state } = setUp();
    assert.deepEqual(listObsoleteRuns(state), []);
    machine.apply({ kind: "cancelJob", job: "web" });
    assert.deepEqual(listObsoleteRuns(state), ["web.0.0.0#1"]);
});

/** Best-effort tasks on a worker of the load below; the steps of batch jobs are wide. */
const neighbours = 8;

/** Counts the changes of pace in 40 s while the load of a serving task swings, and the longest time for which it was over its target on end. */
function countChanges(
    detail: PaceDetail,
    intervalMs: number,
): { readonly changes: number; readonly longestOverMs: number; } {
    const machine = makeMachine([makeWorker("w1")]);
    machine.submit(makeJob("web", [makeStep({ longRunning: true, tailTargetMs: 20, image: "web" })]));
    machine.submit(makeJob("batch", [{ ...bestEffortStep, count: neighbours, image: "batch" }]));
    const statuses: RunStatuses = new Map();
    for (const key of listFirstRuns("web", 1).concat(listFirstRuns("batch", neighbours))) {
        machine.apply({ kind: "startRuns", starts: [{ ...key, worker: "w1" }] });
        statuses.set(formatRunKey(key), createRunStatus(key, "confirmed", 0));
    }
    const state = machine.state.workers.get("w1");
    assert.ok(state?.runs.size === neighbours + 1);
    const batch = [...statuses.values()].filter(({ key }) => key.job === "batch");
    const fullShare = bestEffortStep.resources.milliCpu / state.info.capacity.milliCpu;
    const interference = createInterferenceModel();
    interference.addPairs([{ image: "web", other: "batch", disturbance: 3, variance: 0.05 }]);
    const errors = fc.sample(fc.double({ min: 0.9, max: 1.1, noNaN: true }), { seed: 61, numRuns: 400 });
    let changes = 0;
    let overSinceMs: number | undefined;
    let longestOverMs = 0;
    for (let atMs = 0; atMs < 40_000; atMs += intervalMs) {
        const headroom = 2 + Math.sin(atMs / 10_000 * 2 * Math.PI);
        const used = batch.reduce((sum, { pacePercent }) => sum + pacePercent / 100 * fullShare, 0);
        overSinceMs = headroom - 3 * used < 1 ? overSinceMs ?? atMs : undefined;
        longestOverMs = Math.max(longestOverMs, overSinceMs === undefined ? 0 : atMs + intervalMs - overSinceMs);
        // Reported tails are rough: each one is off by up to a tenth.
        interference.observeMargin("web", "web", headroom * (errors[atMs / intervalMs] ?? 1), [], atMs);
        for (const { runKey, percent } of planPaces(state, statuses, interference, detail)) {
            const status = statuses.get(runKey);
            assert.ok(status !== undefined);
            status.pacePercent = percent;
            changes += 1;
        }
    }
    return { changes, longestOverMs };
}

/** Time on end for which callers may find a serving task over its target, in milliseconds; the shortest one of the deployments. */
const harmLimitMs = 4_000;

// Guards against a busy leader whose changes of pace take the processor time that starts need; half of the cost is the target.
test("coarse paces that are planned half as often need at most half of the changes, and keep the target of serving tasks", () => {
    const fine = countChanges("fine", 150);
    const coarse = countChanges("coarse", 300);
    assert.ok(
        coarse.changes > 0 && coarse.changes * 2 <= fine.changes,
        `${coarse.changes} and ${fine.changes} changes`,
    );
    assert.ok(coarse.longestOverMs < harmLimitMs, `${coarse.longestOverMs} ms over the target`);
});
