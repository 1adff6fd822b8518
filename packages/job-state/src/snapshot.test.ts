import type { RunOutcome } from "@chestnutspool/types";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeStep, makeWorker, type TestMachine } from "./fakes/index.js";
import { createJobMachine } from "./job-machine.js";

const workers = ["w1", "w2"].map(id => makeWorker(id));
const outcomes: readonly RunOutcome[] = ["succeeded", "failed", "stopped", "lapsed", "neverStarted"];

type Action =
    | { readonly kind: "submit"; readonly job: number; readonly shape: number; }
    | { readonly kind: "cancel"; readonly job: number; }
    | {
        readonly kind: "start";
        readonly job: number;
        readonly step: number;
        readonly position: number;
        readonly worker: number;
    }
    | { readonly kind: "end"; readonly pick: number; readonly outcome: number; readonly checkpoint: string; }
    | { readonly kind: "expire"; readonly worker: number; }
    | { readonly kind: "drain"; readonly worker: number; };

const jobNumber = fc.integer({ min: 0, max: 3 });
const actions: fc.Arbitrary<Action> = fc.oneof(
    fc.record({ kind: fc.constant("submit" as const), job: jobNumber, shape: fc.integer({ min: 0, max: 4 }) }),
    fc.record({ kind: fc.constant("cancel" as const), job: jobNumber }),
    fc.record({
        kind: fc.constant("start" as const),
        job: jobNumber,
        step: fc.integer({ min: 0, max: 1 }),
        position: fc.integer({ min: 0, max: 1 }),
        worker: fc.integer({ min: 0, max: 1 }),
    }),
    fc.record({
        kind: fc.constant("end" as const),
        pick: fc.nat(20),
        outcome: fc.integer({ min: 0, max: outcomes.length - 1 }),
        checkpoint: fc.constantFrom("", "x"),
    }),
    fc.record({ kind: fc.constant("expire" as const), worker: fc.integer({ min: 0, max: 1 }) }),
    fc.record({ kind: fc.constant("drain" as const), worker: fc.constant(1) }),
);

const shapes = [
    [makeStep({ count: 2 })],
    [makeStep({ count: 2 }), makeStep({ dependsOn: [0], checkpointing: true })],
    [makeStep({ count: 2, gang: true })],
    [makeStep({ longRunning: true }), makeStep({ speculative: true })],
    [makeStep({ speculative: true, count: 2 })],
];

function performAction(machine: TestMachine, action: Action): void {
    switch (action.kind) {
        case "submit":
            machine.submit(makeJob(`j${action.job}`, shapes[action.shape]));
            return;
        case "cancel":
            machine.apply({ kind: "cancelJob", job: `j${action.job}` });
            return;
        case "start": {
            const { step, position } = action;
            const task = machine.state.jobs.get(`j${action.job}`)?.occurrences.get(0)?.steps[step]?.tasks[position];
            const run = (task?.lastRun ?? 0) + 1;
            const worker = `w${action.worker + 1}`;
            const start = { job: `j${action.job}`, occurrence: 0, step, position, run, worker };
            machine.apply({ kind: "startRuns", starts: [start] });
            return;
        }
        case "end": {
            const all = [...machine.state.workers].flatMap(([worker, { runs }]) =>
                [...runs.values()].map(run => ({ worker, run }))
            );
            const picked = all[action.pick % Math.max(1, all.length)];
            if (picked === undefined) {
                return;
            }
            const { job, occurrence, step, task, run } = picked.run;
            machine.apply({
                kind: "endRuns",
                worker: picked.worker,
                ends: [{
                    job: job.id,
                    occurrence: occurrence.number,
                    step: step.position,
                    position: task.position,
                    run,
                    outcome: outcomes[action.outcome] ?? "lapsed",
                    checkpoint: action.checkpoint,
                }],
            });
            return;
        }
        case "expire":
            machine.apply({
                kind: "expireWorker",
                worker: `w${action.worker + 1}`,
                isGone: false,
                checkpoints: [],
                ...(action.worker === 0 ? { hasRestarted: true } : {}),
            });
            return;
        case "drain":
            machine.apply({ kind: "drainWorker", worker: `w${action.worker + 1}` });
            return;
    }
}

/** Checks that charges stay within capacity and that the counters of each step match its tasks. */
function checkInvariants(machine: TestMachine): void {
    for (const { info, used, runs } of machine.state.workers.values()) {
        const total = [...runs.values()].reduce((sum, run) => sum + run.step.spec.resources.milliCpu, 0);
        assert.equal(used.milliCpu, total, `use of ${info.id}`);
        assert.ok(used.milliCpu <= info.capacity.milliCpu);
    }
    for (const job of machine.state.openJobs.values()) {
        for (const { steps } of job.occurrences.values()) {
            for (const step of steps) {
                assert.equal(step.tasks.filter(task => !task.isDone).length, step.tasksLeft);
                for (const task of step.tasks) {
                    assert.ok(task.runs.length <= (step.spec.speculative ? 2 : 1));
                    assert.equal(step.waiting.has(task.position), !task.isDone && task.runs.length === 0);
                }
            }
        }
    }
}

// Guards against a leader that takes the first ends of a worker for lost after it has restored a snapshot.
test("a restored snapshot tells which workers may not list their first ends", () => {
    const machine = makeMachine(workers);
    machine.apply({ kind: "registerWorker", worker: makeWorker("w1", { bornAtMs: 2 }), mayOmitEnds: true });
    const restored = createJobMachine();
    restored.restoreSnapshot(machine.takeSnapshot());
    assert.deepEqual([...restored.state.workers.values()].map(({ mayOmitEnds }) => mayOmitEnds), [true, false]);
});

test("random commands keep capacity and runs consistent, and a restored snapshot encodes to the same bytes", () => {
    fc.assert(
        fc.property(fc.array(actions, { maxLength: 60 }), sequence => {
            const machine = makeMachine(workers);
            for (const action of sequence) {
                performAction(machine, action);
                checkInvariants(machine);
            }
            const restored = createJobMachine();
            restored.restoreSnapshot(machine.takeSnapshot());
            assert.equal(restored.state.workerRestarts, machine.state.workerRestarts);
            assert.deepEqual(Buffer.from(restored.takeSnapshot()), Buffer.from(machine.takeSnapshot()));
            assert.deepEqual(
                [...restored.state.workers].map(([id, { used, runs }]) => [id, used, [...runs.keys()].sort()]),
                [...machine.state.workers].map(([id, { used, runs }]) => [id, used, [...runs.keys()].sort()]),
            );
        }),
        { seed: 20_261_203, numRuns: 300 },
    );
});
