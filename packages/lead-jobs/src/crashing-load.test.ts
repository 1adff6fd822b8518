import { makeJob, makeStep, testStartMs } from "@chestnutspool/job-state/fakes";
import { readMonotonicMs, type WorkerInfo } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeWorker, startTestSystem, watchWaitingJobs } from "./fakes/index.js";

/** Time for which a job with room may have nothing running, in milliseconds. */
const waitLimitMs = 3_000;
/** Time until a worker that crashed is back under a new id, in milliseconds. */
const restartMs = 1_500;
/** Time between two jobs, in milliseconds: four a second. */
const submitIntervalMs = 250;
const submitCount = 48;
/** Crashes of workers under a task from which it starts at most twice more. */
const crashLimit = 3;
const startsAfterLimit = 2;
const watchedMs = 60_000;
const stepMs = 50;
const workerCount = 8;
/** Run time of a deadly job that does not crash its worker before, in milliseconds. */
const deadlyRunMs = 20_000;
const resources = { milliCpu: 250, memoryMib: 60, accelerators: 0 };

/** A short job, a gang wider than the workers whose first run crashes a worker, or a job that crashes each worker. */
const anyJob = fc.record({
    kind: fc.constantFrom("short", "short", "short", "gang", "deadly"),
    count: fc.integer({ min: 1, max: 4 }),
    members: fc.integer({ min: 9, max: 16 }),
    runMs: fc.integer({ min: 500, max: 4_000 }),
    soonMs: fc.integer({ min: 50, max: 600 }),
    lateMs: fc.integer({ min: 200, max: 4_000 }),
});

interface PlayedLoad {
    /** Jobs that can complete and had nothing running for too long, with that time in milliseconds. */
    readonly late: readonly string[];
    /** Jobs that can complete and have failed. */
    readonly givenUp: readonly string[];
    /** Deadly jobs that have started too often after their third crash, or have not failed. */
    readonly notGivenUp: readonly string[];
}

const playLoad = Effect.fnUntraced(function*(seed: number) {
    yield* TestClock.setTime(testStartMs);
    const system = yield* startTestSystem;
    const plans = fc.sample(anyJob, { seed, numRuns: submitCount })
        .map((plan, number) => ({ ...plan, id: `${plan.kind}${number}` }));
    const planById = new Map(plans.map(plan => [plan.id, plan]));
    let restarts = 0;
    const nextInfo = (crashed: WorkerInfo, nowMs: number): WorkerInfo => {
        restarts += 1;
        return { ...crashed, bornAtMs: nowMs, id: `${crashed.id.split("-")[0]}-${restarts}` };
    };
    system.workers.setCrashingRuns(() => false, { afterMs: restartMs, nextInfo }, system.announce);
    system.workers.setBehaviour(({ job }) => {
        const { kind, runMs } = planById.get(job) ?? { kind: "short", runMs: 0 };
        return { runMs: kind === "deadly" ? deadlyRunMs : runMs, outcome: "succeeded" };
    });
    for (let number = 1; number <= workerCount; number += 1) {
        yield* system.addWorker(makeWorker(`w${number}`, { bornAtMs: 1 }));
    }
    const crashWorkers = Effect.gen(function*() {
        const nowMs = yield* readMonotonicMs;
        const crashing = new Set<string>();
        for (const { task, run, worker, startedAtMs, endedAtMs } of yield* system.readStartedRuns) {
            const [job = "", , , position] = task.split(".");
            const plan = planById.get(job);
            const ageMs = nowMs - startedAtMs;
            const crashes = endedAtMs === undefined && position === "0"
                && ((plan?.kind === "gang" && run === 1 && ageMs >= plan.soonMs)
                    || (plan?.kind === "deadly" && ageMs >= plan.lateMs));
            if (crashes) {
                crashing.add(worker);
            }
        }
        crashing.forEach(worker => system.workers.crashWorker(worker, nowMs));
    });
    const pass = Effect.fnUntraced(function*(forMs: number) {
        for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
            yield* system.pass(stepMs);
            yield* crashWorkers;
        }
    });
    for (const { kind, id, count, members } of plans) {
        const step = kind === "gang"
            ? makeStep({ resources, gang: true, count: members })
            : makeStep({ resources, count: kind === "deadly" ? 1 : count });
        yield* system.submit(makeJob(id, [step]));
        yield* pass(submitIntervalMs);
    }
    const waits = yield* watchWaitingJobs({ ...system, pass }, watchedMs);
    const runs = yield* system.readStartedRuns;
    const isDeadly = (job: string): boolean => planById.get(job)?.kind === "deadly";
    const hasFailed = (job: string): boolean => system.machine.state.jobs.get(job)?.phase === "failed";
    const countLateStarts = (job: string): number => {
        const ofJob = runs.filter(({ task }) => task.startsWith(`${job}.`));
        const last = ofJob.filter(({ hasCrashed }) => hasCrashed)[crashLimit - 1]?.run ?? Number.POSITIVE_INFINITY;
        return ofJob.filter(({ run }) => run > last).length;
    };
    const ids = plans.map(({ id }) => id);
    return {
        late: waits.filter(({ job, waitedMs }) => !isDeadly(job) && waitedMs > waitLimitMs)
            .map(({ job, waitedMs }) => `${job}: ${waitedMs} ms`),
        givenUp: ids.filter(job => !isDeadly(job) && hasFailed(job)),
        notGivenUp: ids.filter(job => isDeadly(job) && (!hasFailed(job) || countLateStarts(job) > startsAfterLimit)),
    } satisfies PlayedLoad;
});

for (const seed of [101, 102]) {
    let played: Promise<PlayedLoad> | undefined;
    const play = (): Promise<PlayedLoad> => {
        played ??= Effect.runPromise(Effect.scoped(playLoad(seed)).pipe(Effect.provide(TestClock.layer())));
        return played;
    };

    // Guards against jobs that wait for their trial behind those of many others, though workers have room.
    test(`among many crashing jobs with seed ${seed} each job that can complete has a run within 3 s`, async () =>
        assert.deepEqual((await play()).late, []));

    // Guards against a task that is started without end because of the number of those that are suspected beside it.
    test(`among many crashing jobs with seed ${seed} each deadly one starts at most twice after its third crash`, async () =>
        assert.deepEqual((await play()).notGivenUp, []));

    // Guards against jobs that are given up for the crashes of others.
    test(`among many crashing jobs with seed ${seed} none that can complete is given up`, async () =>
        assert.deepEqual((await play()).givenUp, []));
}
