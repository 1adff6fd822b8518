import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeRackWorker, startMs } from "./fakes/make-wants.js";
import { createRackForecast, placeTasks, type TaskNeed } from "./rack-forecast.js";

function makeNeed(cores: number, runMs: number, perWorkerLimit?: number): TaskNeed {
    return {
        resources: { milliCpu: cores * 1_000, memoryMib: 1, accelerators: 0 },
        runMs,
        canRunOn: () => true,
        perWorkerLimit,
        listOwnEnds: () => [],
    };
}

function listPlaceTimes(freeCores: number, ends: readonly number[], need: TaskNeed, tasks: number, isGang = false) {
    const forecast = createRackForecast([makeRackWorker("w1", freeCores, ends)], startMs);
    return placeTasks(forecast, need, tasks, isGang, startMs)?.places.map(({ atMs }) => atMs - startMs);
}

test("tasks get the places that are free, then those of runs that end, then those of each other", () => {
    assert.deepEqual(listPlaceTimes(1, [300, 700], makeNeed(1, 1_000), 4), [0, 300, 700, 1_000]);
    assert.deepEqual(listPlaceTimes(1, [300, 700], makeNeed(2, 1_000), 1), [300]);
    assert.equal(listPlaceTimes(1, [300, 700], makeNeed(4, 1_000), 1), undefined);
});

test("no more tasks of a step are expected on a worker at once than its limit", () => {
    assert.deepEqual(listPlaceTimes(8, [], makeNeed(1, 1_000, 2), 5), [0, 0, 1_000, 1_000, 2_000]);
});

// Guards against a gang that waits for a rack which can never hold it.
test("the tasks of a gang get their places at the same time, or none in a rack that is too small", () => {
    assert.deepEqual(listPlaceTimes(1, [300, 700], makeNeed(1, 1_000), 3, true), [700, 700, 700]);
    assert.equal(listPlaceTimes(1, [300, 700], makeNeed(1, 1_000), 4, true), undefined);
});

test("expected places never take more than a worker has", () => {
    const tasks = fc.array(
        fc.record({ cores: fc.integer({ min: 1, max: 5 }), runMs: fc.integer({ min: 1, max: 900 }), count: fc.nat(4) }),
        { maxLength: 12 },
    );
    const ends = fc.array(fc.integer({ min: 1, max: 2_000 }), { maxLength: 6 });
    fc.assert(
        fc.property(tasks, ends, fc.integer({ min: 0, max: 4 }), (steps, endsAfterMs, freeCores) => {
            const workers = ["w1", "w2"].map(id => makeRackWorker(id, freeCores, endsAfterMs));
            let forecast = createRackForecast(workers, startMs);
            const taken: { readonly worker: string; readonly atMs: number; readonly endMs: number; cores: number; }[] =
                [];
            for (const { cores, runMs, count } of steps) {
                const placed = placeTasks(forecast, makeNeed(cores, runMs), count, false, startMs);
                forecast = placed?.forecast ?? forecast;
                placed?.places.forEach(({ worker, atMs }) => taken.push({ worker, atMs, endMs: atMs + runMs, cores }));
            }
            for (const { worker, atMs } of taken) {
                const used = taken.filter(other => other.worker === worker && other.atMs <= atMs && other.endMs > atMs)
                    .reduce((sum, { cores }) => sum + cores, 0);
                const ended = endsAfterMs.filter(afterMs => startMs + afterMs <= atMs).length;
                assert.ok(used <= freeCores + ended, `${used} of ${freeCores + ended} cores at ${atMs}`);
            }
        }),
        { seed: 20_261_204, numRuns: 500 },
    );
});
