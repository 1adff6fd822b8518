import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import { createMetrics } from "@chestnutspool/record-metrics";
import type { JobCommand, RunOutcome } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import {
    createRecordingLogger,
    makeWorker,
    startTestSystemWith,
    type TestParts,
    type TestSystem,
    testWithClock,
} from "./fakes/index.js";

const workers = ["w1", "w2", "w3", "w4", "w5", "w6"];
const usualRunMs = 400;

/** Starts a system with six workers of four cores, and keeps the commands of its log. */
const startSystem = Effect.fnUntraced(function*(parts: TestParts) {
    const commands: JobCommand[] = [];
    const system = yield* startTestSystemWith(port => port, {
        ...parts,
        wrapLog: log => ({
            ...log,
            proposeCommand: command => {
                commands.push(command);
                return log.proposeCommand(command);
            },
        }),
    });
    for (const worker of workers) {
        yield* system.addWorker(makeWorker(worker));
    }
    yield* system.pass(200);
    return { system, commands };
});

/** Submits a job with ten tasks of one core each 250 ms, which keeps two thirds of the workers busy. */
const submitJobs = Effect.fnUntraced(function*(system: TestSystem, prefix: string, lengthMs: number) {
    for (let passedMs = 0; passedMs < lengthMs; passedMs += 250) {
        yield* system.submit(makeJob(`${prefix}${passedMs}`, [makeStep({ count: 10, expectedRunMs: 4_000 })]));
        yield* system.pass(250);
    }
});

/** Sets that runs on the first worker take `factor` times as long. */
function setFirstWorker(system: TestSystem, factor: number, outcome: RunOutcome = "succeeded"): void {
    system.workers.setBehaviour((run, worker) =>
        worker === "w1" ? { runMs: usualRunMs * factor, outcome } : { runMs: usualRunMs, outcome: "succeeded" }
    );
}

/** Counts the runs that started on the first worker from `fromMs` on. */
const countStarts = Effect.fnUntraced(function*(system: TestSystem, fromMs: number) {
    const runs = yield* system.readStartedRuns;
    return runs.filter(({ worker, startedAtMs }) => worker === "w1" && startedAtMs >= fromMs).length;
});

const readNowMs = Effect.clockWith(clock => Effect.sync(() => Number(clock.monotonicTimeNanosUnsafe()) / 1_000_000));

// Load: one worker of six is five times slower for 6.5 s; declared run times are ten times too long.
testWithClock(
    "a worker that is five times slower gets few tasks after 1.5 s, and its share again after it has recovered",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        const metrics = createMetrics();
        const { system } = yield* startSystem({ logger, metrics, limits: { learnsWorkerSpeed: true } });
        setFirstWorker(system, 1);
        yield* submitJobs(system, "usual", 2_000);
        setFirstWorker(system, 5);
        yield* submitJobs(system, "recognising", 1_500);
        const recognisedMs = yield* readNowMs;
        yield* submitJobs(system, "slow", 5_000);
        const startsWhileSlow = yield* countStarts(system, recognisedMs);
        setFirstWorker(system, 1);
        yield* submitJobs(system, "recovering", 3_000);
        const recoveredMs = yield* readNowMs;
        yield* submitJobs(system, "recovered", 5_000);
        const startsAfterwards = yield* countStarts(system, recoveredMs);
        // A worker with its full share starts about seven tasks a second.
        assert.ok(startsWhileSlow <= 8, `${startsWhileSlow} starts while slow`);
        assert.ok(startsAfterwards >= 25, `${startsAfterwards} starts after the recovery`);
        const changes = lines.filter(({ message }) =>
            message === "worker is slow" || message === "worker is normal again"
        );
        assert.deepEqual([changes[0]?.message, changes.at(-1)?.message], ["worker is slow", "worker is normal again"]);
        assert.equal(changes[0]?.fields["worker"], "w1");
        assert.ok(changes.every(({ fields }) => fields["worker"] === "w1"));
        assert.ok(Number(changes[0]?.fields["speedPercent"]) < 50);
        assert.ok(metrics.readCounters().some(({ name }) => name === "workers.slow"));
    }),
);

// Load: one worker of six fails every second run.
testWithClock(
    "a worker that fails half of its runs although it answers gets fewer tasks",
    Effect.gen(function*() {
        const starts: number[] = [];
        for (const learnsWorkerSpeed of [false, true]) {
            const { system } = yield* startSystem({ limits: { learnsWorkerSpeed } });
            system.workers.setBehaviour(({ position }, worker) => ({
                runMs: usualRunMs,
                outcome: worker === "w1" && position % 2 === 0 ? "failed" : "succeeded",
            }));
            yield* submitJobs(system, "learning", 4_000);
            const fromMs = yield* readNowMs;
            yield* submitJobs(system, "learnt", 5_000);
            starts.push(yield* countStarts(system, fromMs));
        }
        const [without = 0, learnt = 0] = starts;
        assert.ok(learnt < without / 2, `${without} starts without, ${learnt} with the learnt share`);
    }),
);

// Guards against another behaviour of deployments that did not ask for this.
testWithClock(
    "without the switch a slow or cold worker gets as many tasks as before, and nothing is recorded or logged",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        const { system, commands } = yield* startSystem({ logger });
        setFirstWorker(system, 5);
        yield* system.heartbeat(makeWorker("w1"), false, 60_000);
        const fromMs = yield* readNowMs;
        yield* submitJobs(system, "slow", 3_000);
        assert.ok((yield* countStarts(system, fromMs)) >= 5);
        assert.ok(commands.every(({ kind }) => kind !== "recordWorkerSpeeds"));
        assert.ok(lines.every(({ message }) => !message.startsWith("worker is slow")));
    }),
);

// Guards against a new leader that sends task after task to a worker that the one before knew to be slow.
testWithClock(
    "the next leader avoids a worker from its first pass on that the one before found slow",
    Effect.gen(function*() {
        const { system, commands } = yield* startSystem({ limits: { learnsWorkerSpeed: true } });
        setFirstWorker(system, 5);
        yield* submitJobs(system, "slow", 4_000);
        const records = commands.flatMap(command => command.kind === "recordWorkerSpeeds" ? [command] : []);
        assert.ok(records.length >= 1 && records.length <= 4, `${records.length} records in 4 s`);
        assert.ok(records.every(({ estimates }) => estimates.length <= workers.length));
        // The worker is empty, so that only the summary tells the next leader of it.
        yield* system.pass(1_000);
        system.log.setLeader("b");
        const fromMs = yield* readNowMs;
        yield* system.pass(500);
        yield* submitJobs(system, "next", 500);
        assert.ok((yield* countStarts(system, fromMs)) <= 2);
    }),
);

testWithClock(
    "a cold worker gets few tasks for the time that its heartbeat says",
    Effect.gen(function*() {
        const { system } = yield* startSystem({ limits: { learnsWorkerSpeed: true } });
        setFirstWorker(system, 1);
        yield* system.heartbeat(makeWorker("w1"), false, 2_000);
        const coldMs = yield* readNowMs;
        yield* submitJobs(system, "cold", 1_800);
        assert.ok((yield* countStarts(system, coldMs)) <= 2);
        yield* system.pass(300);
        const warmMs = yield* readNowMs;
        yield* submitJobs(system, "warm", 2_000);
        assert.ok((yield* countStarts(system, warmMs)) >= 8);
    }),
);

// Guards against a worker that stays slow in the leader's eyes although its heartbeat says that it is warm.
testWithClock(
    "a heartbeat that says that the worker is warm ends its time as a cold one",
    Effect.gen(function*() {
        const { system } = yield* startSystem({ limits: { learnsWorkerSpeed: true } });
        setFirstWorker(system, 1);
        yield* system.heartbeat(makeWorker("w1"), false, 60_000);
        yield* system.heartbeat(makeWorker("w1"), false, 0);
        const fromMs = yield* readNowMs;
        yield* submitJobs(system, "warm", 2_000);
        assert.ok((yield* countStarts(system, fromMs)) >= 8);
    }),
);
