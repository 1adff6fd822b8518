import { makeJob, makeQueue, makeStep } from "@chestnutspool/job-state/fakes";
import type { JobReply } from "@chestnutspool/types";
import { Effect, type Scope } from "effect";
import assert from "node:assert/strict";
import {
    createRecordingLogger,
    type FaultSwitch,
    listOverlaps,
    makeWorker,
    type RecordedLine,
    startTestSystemWith,
    type TestSystem,
    testWithClock,
} from "./fakes/index.js";

/** Stop orders that do not arrive while `isFailing`, and take `delayMs`. */
interface StopFault extends FaultSwitch {
    delayMs: number;
}

interface Scene {
    readonly system: TestSystem;
    readonly lines: readonly RecordedLine[];
    readonly fault: StopFault;
}

const queues = [
    makeQueue({ name: "urgent", path: "/urgent/", priority: 0 }),
    makeQueue({ name: "batch", path: "/batch/", priority: 2 }),
];
const half = { milliCpu: 1_000, memoryMib: 500, accelerators: 0 };

function submit(system: TestSystem, queue: "urgent" | "batch", id: string, count = 1): Effect.Effect<JobReply> {
    const usesIdleCpu = queue === "batch";
    const spec = makeJob(id, [makeStep({ count, resources: half, usesIdleCpu, checkpointing: usesIdleCpu })]);
    return system.ask({ kind: "submitJob", spec, hostName: "jobs.example", path: `/${queue}/${id}` });
}

/** Starts a system with one worker whose memory is held by two batch runs of 20 s, long enough for a budget to grow. */
const startScene = Effect.gen(function*() {
    const fault: StopFault = { isFailing: false, delayMs: 0 };
    const { logger, lines } = createRecordingLogger();
    const system = yield* startTestSystemWith(port => ({
        ...port,
        stopRun: (info, run, token, limitMs) =>
            Effect.suspend(() =>
                fault.isFailing
                    ? Effect.as(Effect.sleep(limitMs), { kind: "notSent", detail: "no connection" } as const)
                    : Effect.andThen(Effect.sleep(fault.delayMs), port.stopRun(info, run, token, limitMs))
            ),
    }), { logger });
    const { configuration } = system.machine.state;
    assert.ok(configuration !== undefined);
    yield* system.ask({ kind: "setConfiguration", configuration: { ...configuration, version: 2, queues } });
    system.workers.setBehaviour(({ job }) => ({
        runMs: job.startsWith("b") ? 20_000 : 1_000,
        outcome: "succeeded",
    }));
    yield* system.addWorker(makeWorker("w1", { capacity: { milliCpu: 64_000, memoryMib: 1_000, accelerators: 0 } }));
    yield* system.pass(300);
    yield* submit(system, "batch", "b", 2);
    yield* system.pass(2_500);
    return { system, lines, fault } satisfies Scene;
});

function testScene(name: string, run: (scene: Scene) => Effect.Effect<void, never, Scope.Scope>): void {
    testWithClock(name, Effect.flatMap(startScene, run));
}

const countRuns = (system: TestSystem, job: string, outcome?: string) =>
    Effect.map(
        system.readStartedRuns,
        runs =>
            runs.filter(run => run.task.startsWith(`${job}.`) && (outcome === undefined || run.outcome === outcome))
                .length,
    );

function listLines(lines: readonly RecordedLine[], message: string): string[] {
    return lines.filter(line => line.message === message && line.level === "info")
        .map(({ fields: { reason, outcome, task } }) => `${reason ?? outcome ?? task}`);
}

testScene(
    "an urgent task starts in place of a batch run, which runs again afterwards",
    ({ system, lines }) =>
        Effect.gen(function*() {
            yield* submit(system, "urgent", "u");
            yield* system.pass(600);
            assert.equal(yield* countRuns(system, "u"), 1);
            assert.equal(yield* countRuns(system, "b", "stopped"), 1);
            yield* system.pass(2_000);
            assert.equal(yield* countRuns(system, "u", "succeeded"), 1);
            assert.equal(yield* countRuns(system, "b"), 3);
            assert.deepEqual(listOverlaps(yield* system.readStartedRuns), []);
            assert.deepEqual(listLines(lines, "run is stopped"), ["preempted"]);
            assert.deepEqual(listLines(lines, "capacity is reserved for a task"), ["u.0.0.0"]);
            assert.deepEqual(listLines(lines, "reservation ended"), ["started"]);
        }),
);

// Guards against a stop that a lost leader decided and a later one believes to have happened.
testScene(
    "a leader is lost between the decision and the stop: nothing is stopped until the next one decides",
    scene =>
        Effect.gen(function*() {
            const { system, lines, fault } = scene;
            fault.isFailing = true;
            yield* submit(system, "urgent", "u");
            yield* system.pass(200);
            assert.deepEqual(listLines(lines, "run is stopped"), ["preempted"]);
            system.log.setLeader("b");
            fault.isFailing = false;
            yield* system.pass(100);
            assert.equal(yield* countRuns(system, "b", "stopped"), 0);
            yield* system.pass(5_000);
            yield* submit(system, "urgent", "v");
            yield* system.pass(2_000);
            assert.equal(yield* countRuns(system, "v"), 1);
            assert.deepEqual(listOverlaps(yield* system.readStartedRuns), []);
        }),
);

// Guards against a freed place that the next leader gives to a batch task, and against a second victim.
testScene(
    "a leader is lost after the stop: the next one starts the urgent task in the freed room",
    ({ system, fault }) =>
        Effect.gen(function*() {
            yield* submit(system, "urgent", "u");
            fault.delayMs = 30;
            let passedMs = 0;
            while ((yield* countRuns(system, "b", "stopped")) === 0 && passedMs < 1_000) {
                yield* system.pass(10);
                passedMs += 10;
            }
            system.log.setLeader("b");
            yield* submit(system, "batch", "b2");
            yield* system.pass(800);
            assert.equal(yield* countRuns(system, "b", "stopped"), 1);
            assert.equal(yield* countRuns(system, "u"), 1);
            assert.equal(yield* countRuns(system, "b2"), 0);
            assert.deepEqual(listOverlaps(yield* system.readStartedRuns), []);
        }),
);

// Guards against giving the room away while a worker carries out its stop late.
testScene(
    "an end that is listed 0.7 s after the stop frees the room for the urgent task",
    ({ system, lines, fault }) =>
        Effect.gen(function*() {
            fault.delayMs = 700;
            yield* submit(system, "urgent", "u");
            yield* system.pass(300);
            yield* submit(system, "batch", "b2");
            yield* system.pass(1_200);
            assert.equal(yield* countRuns(system, "b", "stopped"), 1);
            assert.equal(yield* countRuns(system, "u"), 1);
            assert.equal(yield* countRuns(system, "b2"), 0);
            assert.deepEqual(listLines(lines, "reservation ended"), ["started"]);
        }),
);

testScene(
    "the waiting job is cancelled meanwhile: a batch task gets the room",
    ({ system, lines, fault }) =>
        Effect.gen(function*() {
            fault.delayMs = 150;
            yield* submit(system, "urgent", "u");
            yield* system.pass(150);
            assert.deepEqual(
                yield* system.ask({ kind: "cancelJob", job: "u", hostName: "jobs.example", path: "/urgent/u" }),
                { kind: "done" },
            );
            yield* system.pass(700);
            assert.equal(yield* countRuns(system, "u"), 0);
            assert.equal(yield* countRuns(system, "b"), 3);
            assert.deepEqual(listLines(lines, "reservation ended"), ["notNeeded"]);
        }),
);
