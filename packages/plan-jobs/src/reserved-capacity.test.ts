import { makeJob, makeMachine, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import type { RunStart } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makePlanInput } from "./fakes/make-plan-input.js";
import { planStarts } from "./plan-starts.js";
import type { CapacityReservation } from "./worker-candidate.js";

const resources = { milliCpu: 3_000, memoryMib: 100, accelerators: 0 };

/** Plans the starts of jobs on two workers of four cores, on the first of which capacity is reserved. */
function planBesideReservation(
    jobs: readonly (readonly [id: string, milliCpu: number])[],
    stepKey: string,
): RunStart[] {
    const machine = makeMachine([makeWorker("w1"), makeWorker("w2")]);
    for (const [id, milliCpu] of jobs) {
        machine.submit(makeJob(id, [makeStep({ resources: { ...resources, milliCpu } })]));
    }
    const reservations: CapacityReservation[] = [{ worker: "w1", stepKey, resources }];
    return planStarts({ ...makePlanInput(machine.state), reservations }, testStartMs);
}

// Guards against tasks that take the room for which others were stopped.
test("only tasks of its step take reserved capacity, others what is left", () => {
    const jobs = [["a", 2_000], ["b", 2_000], ["c", 1_000], ["d", 2_000]] as const;
    const starts = planBesideReservation(jobs, "e.0.0");
    assert.deepEqual(starts.filter(({ worker }) => worker === "w1").map(({ job }) => job), ["c"]);
    assert.equal(starts.length, 3);
});

// Guards against a step that is left out because another one that needs as much found no room.
test("a step with a reservation starts although an equal step before it finds no room", () => {
    const jobs = [["a", 3_000], ["b", 3_000], ["c", 3_000]] as const;
    const starts = planBesideReservation(jobs, "c.0.0");
    assert.deepEqual(starts.map(({ job, worker }) => `${job} ${worker}`), ["a w2", "c w1"]);
});
