import { makeJob, makeMachine, makeQueue, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import assert from "node:assert/strict";
import { test } from "node:test";
import { predictLateness } from "./predict-lateness.js";
import { listWaitingSteps, sortWaitingSteps, type WaitingStep } from "./waiting-steps.js";

const slots = 4;
const stepMs = 10;
const queue = makeQueue({ slackFactor: 2, targetLatencyMs: 0, maxAttempts: 1 });
type Order = (waiting: readonly WaitingStep[]) => readonly WaitingStep[];

/** Baseline: earliest deadline first. */
const sortByDeadline: Order = waiting =>
    [...waiting].sort((left, right) =>
        left.job.acceptedAtMs + 2 * readRunMs(left) - right.job.acceptedAtMs - 2 * readRunMs(right)
    );

function readRunMs({ step }: WaitingStep): number {
    return step.spec.expectedRunMs;
}

/**
 * Simulates jobs of one task that arrive at an interval on four slots; returns the share that ends within its
 * objective.
 */
function playArrivals(intervalMs: number, sort: Order): number {
    const machine = makeMachine([makeWorker("w1")], [queue]);
    const jobs = 60;
    const running = new Map<string, number>();
    let inTime = 0;
    for (let nowMs = testStartMs; nowMs < testStartMs + 60_000; nowMs += stepMs) {
        const sinceStartMs = nowMs - testStartMs;
        if (sinceStartMs % intervalMs === 0 && sinceStartMs / intervalMs < jobs) {
            const number = sinceStartMs / intervalMs;
            const spec = makeJob(`j${number}`, [makeStep({ expectedRunMs: 500 + number * 7 % 5 * 250 })]);
            machine.apply({ kind: "submitJob", spec, hostName: "jobs.example", path: `/main/${spec.id}` }, nowMs);
        }
        for (const [job, endsAtMs] of running) {
            const record = machine.state.jobs.get(job);
            if (record !== undefined && nowMs >= endsAtMs) {
                running.delete(job);
                inTime += nowMs - record.acceptedAtMs <= 2 * (record.definition.steps[0]?.expectedRunMs ?? 0) ? 1 : 0;
            }
        }
        for (const waiting of sort(listWaitingSteps(machine.state, nowMs))) {
            if (running.size < slots && !running.has(waiting.job.id)) {
                running.set(waiting.job.id, nowMs + readRunMs(waiting));
                waiting.step.waiting.clear();
            }
        }
    }
    return inTime / jobs;
}

test("under overload more jobs end in time than with earliest deadline first; under light load all do", () => {
    const overloadedMs = 180;
    const ownShare = playArrivals(overloadedMs, sortWaitingSteps);
    const baselineShare = playArrivals(overloadedMs, sortByDeadline);
    assert.ok(ownShare > baselineShare, `${ownShare} against ${baselineShare}`);
    const lightMs = 400;
    assert.equal(playArrivals(lightMs, sortWaitingSteps), 1);
});

test("the lateness of a job follows from the run times of its remaining steps", () => {
    const machine = makeMachine([makeWorker("w1")], [queue]);
    machine.submit(
        makeJob("a", [makeStep({ expectedRunMs: 1_000 }), makeStep({ expectedRunMs: 1_000, dependsOn: [0] })]),
    );
    const job = machine.state.jobs.get("a");
    const occurrence = job?.occurrences.get(0);
    assert.ok(job !== undefined && occurrence !== undefined);
    const rank = (sinceMs: number): string => predictLateness(job, occurrence, testStartMs + sinceMs);
    assert.deepEqual([0, 3_500, 3_700, 9_900, 10_100].map(rank), ["inTime", "inTime", "late", "late", "tooLate"]);
    const [first] = occurrence.steps;
    assert.ok(first !== undefined);
    first.tasksLeft = 0;
    assert.deepEqual([4_500, 4_700, 11_100].map(rank), ["inTime", "late", "tooLate"]);
});

test("the priority of the queue goes before lateness", () => {
    const urgent = makeQueue({ name: "urgent", path: "/urgent/", priority: 0 });
    const machine = makeMachine([makeWorker("w1")], [queue, urgent]);
    machine.submit(makeJob("late-urgent"), "/urgent/");
    machine.apply({
        kind: "submitJob",
        spec: makeJob("fresh"),
        hostName: "jobs.example",
        path: "/main/fresh",
    }, testStartMs + 30_000);
    const order = sortWaitingSteps(listWaitingSteps(machine.state, testStartMs + 30_000)).map(({ job }) => job.id);
    assert.deepEqual(order, ["late-urgent", "fresh"]);
});
