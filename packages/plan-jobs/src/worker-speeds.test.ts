import { makeJob, makeMachine, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import type { StepSpec } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { planStarts } from "./plan-starts.js";

const resources = { milliCpu: 500, memoryMib: 10, accelerators: 0 };

/** Plans the tasks of one step on workers with the given speeds; the workers are in racks of their own, r0, r1 and so on. */
function planOnSpeeds(speeds: readonly number[] | undefined, step: Partial<StepSpec>, workers = speeds?.length ?? 0) {
    const infos = [...Array(workers).keys()].map(number => makeWorker(`w${number}`, { labels: ["a", `r${number}`] }));
    const machine = makeMachine(infos);
    machine.submit(makeJob("a", [makeStep({ resources, ...step })]));
    const input = makePlanInput(machine.state);
    const predictSpeed = speeds === undefined ? undefined : (worker: string) => speeds[Number(worker.slice(1))] ?? 1;
    return planStarts({ ...input, predictSpeed }, testStartMs).map(({ worker }) => worker);
}

/** Counts the tasks on each worker. */
function countByWorker(planned: readonly string[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    planned.forEach(worker => counts.set(worker, (counts.get(worker) ?? 0) + 1));
    return counts;
}

// Guards against another plan for deployments that do not learn speeds, or on workers that are all normal.
test("the plan is the same without speeds and with normal ones", () => {
    for (const step of [{ count: 20 }, { count: 20, usesIdleCpu: true }, { count: 3, rackOfData: "r2" }]) {
        const planned = planOnSpeeds(undefined, step, 6);
        assert.deepEqual(planOnSpeeds([1, 1, 1, 1, 1, 1], step), planned);
        // Estimates of normal workers scatter.
        assert.deepEqual(planOnSpeeds([0.8, 1, 0.9, 1, 0.76, 1], step), planned);
    }
});

// Load: a sixth of the workers are five times slower.
test("tasks start on a slow worker only when the others are full, and only a few at a time", () => {
    const few = countByWorker(planOnSpeeds([0.2, 1, 1, 1, 1, 1], { count: 4 }));
    assert.equal(few.has("w0"), false);
    const many = countByWorker(planOnSpeeds([0.2, 1, 1, 1, 1, 1], { count: 500 }));
    assert.equal(many.get("w0"), 2);
    assert.ok((many.get("w1") ?? 0) > 2);
});

test("a best-effort task prefers a normal worker as well", () => {
    assert.equal(countByWorker(planOnSpeeds([0.2, 1, 1], { count: 1, usesIdleCpu: true })).has("w0"), false);
});

// Load: all workers look slow at once, because of a common cause or of wrong estimates.
// Guards against a pool that is idle while tasks wait.
test("at most a third of a pool is avoided although all estimates say slow", () => {
    const counts = countByWorker(planOnSpeeds([0.2, 0.21, 0.22, 0.23, 0.24, 0.25, 0.26, 0.27, 0.28], { count: 500 }));
    const limited = [...counts].filter(([, count]) => count === 2).map(([worker]) => worker);
    assert.deepEqual(limited.sort(), ["w0", "w1", "w2"]);
});

// Guards against suspected and slow workers that together are more than a third of the pool.
test("suspected workers count among those that are avoided", () => {
    const infos = [...Array(6).keys()].map(number => makeWorker(`w${number}`));
    const machine = makeMachine(infos);
    machine.submit(makeJob("a", [makeStep({ count: 500, resources })]));
    const starts = planStarts({
        ...makePlanInput(machine.state),
        findStartLimit: worker => worker === "w0" || worker === "w1" ? 0 : undefined,
        predictSpeed: () => 0.2,
    }, testStartMs);
    const counts = countByWorker(starts.map(({ worker }) => worker));
    assert.deepEqual([...counts.keys()].sort(), ["w2", "w3", "w4", "w5"]);
    assert.ok([...counts.values()].every(count => count > 2));
});

// A run takes three times as long away from the rack of its data.
test("a slow worker in the rack of the data is worth less than a normal one elsewhere, a somewhat slower one more", () => {
    assert.deepEqual(planOnSpeeds([1, 0.2, 1], { count: 1, rackOfData: "r1" }).includes("w1"), false);
    assert.deepEqual(planOnSpeeds([1, 0.6, 1], { count: 1, rackOfData: "r1" }), ["w1"]);
});
