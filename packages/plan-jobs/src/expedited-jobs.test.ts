import { formatTaskKey } from "@chestnutspool/job-state";
import { makeJob, makeStep, makeWorker } from "@chestnutspool/job-state/fakes";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type DisturbedPool, makeDisturbedPool, measureLongestWait } from "./fakes/make-disturbed-pool.js";

/** Longest time for which an accepted job may have no run while most of the pool is free, by the users' terms. */
const longestWithoutRunMs = 3_000;
/** Simulated time for which jobs are watched, in milliseconds. */
const watchedMs = 60_000;

/** Ends all runs on a worker that refuses each start. */
function refuseStarts({ machine }: DisturbedPool, worker: string): void {
    for (const { job, occurrence, step, task, run } of [...machine.state.workers.get(worker)?.runs.values() ?? []]) {
        const key = { job: job.id, occurrence: occurrence.number, step: step.position, position: task.position, run };
        machine.apply({ kind: "endRuns", worker, ends: [{ ...key, outcome: "neverStarted", checkpoint: "" }] });
    }
}

// Guards against a job that never runs because the only worker on which it disturbs nothing refuses its starts: each planned start makes
// the planner forget how long the job has waited, and the next one goes to the same worker.
test("a job without a run starts on another worker if the only undisturbed one refuses its starts", () => {
    const pool = makeDisturbedPool(8);
    pool.machine.apply({ kind: "registerWorker", worker: makeWorker("refusing") });
    pool.submitForecast("forecast", { expectedRunMs: 1_000 });
    const longestMs = measureLongestWait(pool, watchedMs, undefined, () => refuseStarts(pool, "refusing"));
    assert.ok(longestMs <= longestWithoutRunMs, `${longestMs} ms`);
});

// Guards against a job that never runs because only the last worker that has refused it is left out, and the first is chosen again.
test("a job without a run starts on another worker if the only two undisturbed ones refuse its starts", () => {
    const pool = makeDisturbedPool(8);
    const refusing = ["refusing1", "refusing2"];
    refusing.forEach(id => pool.machine.apply({ kind: "registerWorker", worker: makeWorker(id) }));
    pool.submitForecast("forecast", { expectedRunMs: 1_000 });
    const longestMs = measureLongestWait(
        pool,
        watchedMs,
        undefined,
        () => refusing.forEach(id => refuseStarts(pool, id)),
    );
    assert.ok(longestMs <= longestWithoutRunMs, `${longestMs} ms`);
});

// Guards against a job that never runs on a worker that takes starts again, because it has refused one and is left out until the job has a
// run.
test("a job without a run starts within 3 s after the only workers that can run it take starts again", () => {
    const recoveryMs = 10_000;
    const pool = makeDisturbedPool(8);
    const refusing = ["refusing1", "refusing2"];
    refusing.forEach(id =>
        pool.machine.apply({ kind: "registerWorker", worker: makeWorker(id, { labels: ["rare"] }) })
    );
    pool.submitForecast("forecast", { expectedRunMs: 1_000, requiredLabel: "rare" });
    let startedAtMs = Number.POSITIVE_INFINITY;
    pool.planUntil(watchedMs, undefined, atMs => {
        if (atMs < recoveryMs) {
            refusing.forEach(id => refuseStarts(pool, id));
        }
        else if ((pool.machine.state.openJobs.get("forecast")?.runsInProgress ?? 0) > 0) {
            startedAtMs = Math.min(startedAtMs, atMs);
        }
    });
    assert.ok(startedAtMs <= recoveryMs + longestWithoutRunMs, `${startedAtMs} ms`);
});

// Guards against a job that never runs because the only worker on which it disturbs nothing gives no answer to its starts: each is given up
// after more than a second, so that it counted as a run that ended the wait.
test("a job without a run starts on another worker within 3 s if the only undisturbed one does not carry out its starts", () => {
    const givenUpAfterMs = 2_000;
    const pool = makeDisturbedPool(8);
    const { machine, unstartedRuns } = pool;
    machine.apply({ kind: "registerWorker", worker: makeWorker("silent") });
    pool.submitForecast("forecast", { expectedRunMs: 1_000 });
    machine.apply({ kind: "beginJobs", jobs: ["forecast"] });
    let startedAtMs = Number.POSITIVE_INFINITY;
    const foundAtMs = new Map<string, number>();
    pool.planUntil(watchedMs, undefined, atMs => {
        const [silent] = machine.state.workers.get("silent")?.runs ?? [];
        if (silent === undefined) {
            const isRunning = (machine.state.openJobs.get("forecast")?.runsInProgress ?? 0) > 0;
            startedAtMs = Math.min(startedAtMs, isRunning ? atMs : Number.POSITIVE_INFINITY);
            return;
        }
        const [runKey, { run }] = silent;
        foundAtMs.set(runKey, foundAtMs.get(runKey) ?? atMs);
        if (atMs - (foundAtMs.get(runKey) ?? atMs) >= givenUpAfterMs) {
            const key = { job: "forecast", occurrence: 0, step: 0, position: 0, run };
            unstartedRuns.set(formatTaskKey(key), run);
            const end = { ...key, outcome: "neverStarted" as const, checkpoint: "" };
            machine.apply({ kind: "endRuns", worker: "silent", ends: [end] });
        }
    });
    assert.ok(startedAtMs <= longestWithoutRunMs, `${startedAtMs} ms`);
});

// Guards against a job that never runs because the first of its steps fits nowhere and takes all ratings of starved steps: the attempt
// counts for the whole job, so that each further one begins with the same step.
test("a job without a run starts the step that fits although an earlier one takes the ratings of a pass", () => {
    const workerCount = 10;
    // A quarter of the limit, for starved steps, is reached with the first step, as with the least limit at 1,300 workers.
    const pool = makeDisturbedPool(workerCount, 4 * workerCount);
    const bestEffort = { usesIdleCpu: true, image: "forecast" };
    const huge = makeStep({ ...bestEffort, resources: { milliCpu: 1_000, memoryMib: 5_000, accelerators: 0 } });
    const small = makeStep({ ...bestEffort, resources: { milliCpu: 1_000, memoryMib: 10, accelerators: 0 } });
    pool.machine.submit(makeJob("mixed", [huge, small]));
    const longestMs = measureLongestWait(pool, watchedMs);
    assert.ok(longestMs <= longestWithoutRunMs, `${longestMs} ms`);
});

// Guards against jobs that get one start a second because the pool counts as in use: the capacity of the workers that take no starts is
// left out, so that the others seem to be all there is.
test("none of many jobs is without a run for 3 s while a zone is evacuated and most of the pool is free", () => {
    const pool = makeDisturbedPool(8, undefined, "inUse");
    for (let number = 0; number < 4; number += 1) {
        const worker = makeWorker(`evacuated${number}`, { availabilityZone: "evacuated" });
        pool.machine.apply({ kind: "registerWorker", worker });
    }
    pool.machine.apply({ kind: "setZoneAdmission", availabilityZone: "evacuated", isEvacuated: true });
    for (let number = 0; number < 24; number += 1) {
        pool.submitForecast(`forecast${number}`, { expectedRunMs: 1_000 });
    }
    // The serving tasks reserve two fifths of the processors and of the memory of the pool.
    const longestMs = measureLongestWait(pool, watchedMs);
    assert.ok(longestMs <= longestWithoutRunMs, `${longestMs} ms`);
});
