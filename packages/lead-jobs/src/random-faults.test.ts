import { makeStep } from "@chestnutspool/job-state/fakes";
import type { WorkerInfo } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    listOverlaps,
    listRepeated,
    makeWorker,
    playTimedEvents,
    type StartedRun,
    startTestSystem,
    type SystemEvent,
    type TimedEvent,
    workerFaults,
} from "./fakes/index.js";

const workerIds = ["w1", "w2", "w3"];

const events: fc.Arbitrary<SystemEvent> = fc.oneof(
    fc.record({
        kind: fc.constant("fault" as const),
        worker: fc.nat(workerIds.length - 1),
        fault: fc.nat(workerFaults.length - 1),
    }),
    fc.record({ kind: fc.constant("leader" as const) }),
    fc.record({ kind: fc.constant("submit" as const) }),
    fc.record({ kind: fc.constant("cancel" as const), job: fc.nat(5) }),
);
const eventsWithRestarts: fc.Arbitrary<SystemEvent> = fc.oneof(
    events,
    fc.record({ kind: fc.constant("restart" as const), worker: fc.nat(workerIds.length - 1) }),
);

function makeTimedEvents(event: fc.Arbitrary<SystemEvent>) {
    return fc.array(fc.record({ afterMs: fc.integer({ min: 10, max: 2_000 }), event }), {
        minLength: 5,
        maxLength: 20,
    });
}

/** Time until a worker that crashed starts again, in milliseconds. */
const restartMs = 300;
/** Crashes of workers under a task after which its job may be given up. */
const crashesToGiveUp = 2;

/** Counts the runs of a task that ended because their worker crashed. */
function countCrashes(runs: readonly StartedRun[], task: string): number {
    return runs.filter(run => run.task === task && run.hasCrashed).length;
}

/** Time in which all jobs end once the faults are over, in milliseconds. */
const settleMs = 30_000;

/** How workers that crash start again. */
interface RestartOptions {
    readonly keepsConnections: boolean;
    /** Time until the first heartbeat of the later start is sent, in milliseconds. */
    readonly announceMs: number;
}

/** Plays events; `failingRun` tells which runs of the second task of a step fail. */
function playEvents(
    list: readonly TimedEvent[],
    failingRun: (run: number) => boolean,
    { keepsConnections, announceMs }: RestartOptions = { keepsConnections: false, announceMs: 0 },
): Promise<void> {
    const play = Effect.gen(function*() {
        const system = yield* startTestSystem;
        system.workers.setBehaviour(run => ({
            runMs: 400 + 2_500 * run.position,
            outcome: run.position === 1 && failingRun(run.run) ? "failed" : "succeeded",
        }));
        const restart = {
            afterMs: restartMs,
            nextInfo: (crashed: WorkerInfo, nowMs: number) => ({ ...crashed, bornAtMs: nowMs }),
            keepsConnections,
        };
        const announce = (worker: WorkerInfo) => Effect.andThen(Effect.sleep(announceMs), system.announce(worker));
        system.workers.setCrashingRuns(() => false, restart, announce);
        for (const [position, id] of workerIds.entries()) {
            yield* system.addWorker(makeWorker(id, { bornAtMs: 1 }), [0.98, 1, 1.02][position]);
        }
        const steps = [makeStep({ count: 3 }), makeStep({ dependsOn: [0] })];
        yield* playTimedEvents(system, workerIds, steps, list, settleMs);
        const runs = yield* system.readStartedRuns;
        assert.deepEqual(listOverlaps(runs), [], "overlapping runs of a task");
        assert.deepEqual(listRepeated(runs), [], "runs after an acknowledged success");
        assert.deepEqual(runs.filter(run => run.endedAtMs === undefined), [], "a run has not ended");
        for (const job of system.machine.state.jobs.values()) {
            const isGivenUp = job.failure?.reason === "workerCrashes"
                && countCrashes(runs, job.failure.task) >= crashesToGiveUp;
            assert.ok(isGivenUp || ["completed", "cancelled"].includes(job.phase), `job ${job.id} is ${job.phase}`);
        }
    });
    return Effect.runPromise(Effect.scoped(play).pipe(Effect.provide(TestClock.layer())));
}

test("with lost and late orders, lost answers and leader changes no runs of a task overlap and every job ends", () =>
    fc.assert(fc.asyncProperty(makeTimedEvents(events), list => playEvents(list, run => run % 4 === 1)), {
        seed: 20_261_203,
        numRuns: 15,
    }));

test("with workers that start again under their ids besides, no success that was acknowledged is repeated", () =>
    // Restarts raise the run numbers, so that only the first run fails: two failures would end a job.
    fc.assert(fc.asyncProperty(makeTimedEvents(eventsWithRestarts), list => playEvents(list, run => run === 1)), {
        seed: 20_261_204,
        numRuns: 30,
        endOnFailure: true,
    }));

/** Checks plays in which workers start again while their connections stay open. */
function checkOpenConnections(seed: number, numRuns: number): Promise<void> {
    const property = fc.asyncProperty(
        makeTimedEvents(eventsWithRestarts),
        fc.integer({ min: 10, max: 1_000 }),
        (list, announceMs) => playEvents(list, run => run === 1, { keepsConnections: true, announceMs }),
    );
    return fc.assert(property, { seed, numRuns, endOnFailure: true });
}

// Guards against orders to an earlier start that reach the later one before the leader knows of it.
test("with workers that start again while their connections stay open, no runs of a task overlap", () =>
    checkOpenConnections(20_261_206, 30));

// Guards against an acknowledgement to an earlier start that reaches the later one, which then never lists its first ends; with this
// seed the leader repeated a task seven times.
test("with workers that start again while their connections stay open, no success is repeated", () =>
    checkOpenConnections(8_104, 40));
