import { makeJob, makeStep, testStartMs } from "@chestnutspool/job-state/fakes";
import { readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { makeWorker, startTestSystemWith, type TestSystem, testWithClock } from "./fakes/index.js";

/** Time for which a crashed worker is silent until it starts again under its id, in milliseconds. */
const silentMs = 600;

const listCrashes = (system: TestSystem) =>
    (system.machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks ?? [])
        .map(({ crashes, crashHistory }) => [crashes?.crashes, crashHistory?.crashes]);

const answers = [
    { kind: "notSent", detail: "socket hang up" },
    { kind: "refused", reason: "leaseOver", clockMs: undefined },
    { kind: "refused", reason: "otherWorker", clockMs: undefined },
] as const;

function describeAnswer(answer: (typeof answers)[number]): string {
    return answer.kind === "notSent" ? answer.kind : `${answer.kind} as ${answer.reason}`;
}

for (const answer of answers) {
    // Guards against a task that is suspected of a crash, and waits for a trial, though its order was never carried out: the crash was
    // counted some milliseconds before the answer arrived.
    testWithClock(
        `the crash of a worker does not count for a run whose order turns out to be ${describeAnswer(answer)}`,
        Effect.gen(function*() {
            yield* TestClock.setTime(testStartMs);
            let isHeld = false;
            const system = yield* startTestSystemWith(port => ({
                ...port,
                startRun: Effect.fnUntraced(function*(worker, order, limitMs) {
                    if (!isHeld) {
                        return yield* port.startRun(worker, order, limitMs);
                    }
                    while (isHeld) {
                        yield* Effect.sleep(5);
                    }
                    return answer;
                }),
            }));
            const nextInfo = (crashed: ReturnType<typeof makeWorker>, nowMs: number) => ({
                ...crashed,
                bornAtMs: nowMs,
            });
            const restart = { afterMs: silentMs, nextInfo, keepsConnections: true };
            system.workers.setCrashingRuns(() => false, restart, system.announce);
            system.workers.setBehaviour(() => ({ runMs: 600_000, outcome: "succeeded" }));
            yield* system.addWorker(makeWorker("w1", { bornAtMs: 1 }));
            yield* system.pass(1_000);
            system.workers.crashWorker("w1", yield* readMonotonicMs);
            isHeld = true;
            yield* system.submit(makeJob("a", [makeStep({ count: 2, longRunning: true })]));
            yield* system.pass(silentMs + 50);
            assert.deepEqual(listCrashes(system), [[1, 1], [1, 1]]);
            isHeld = false;
            yield* system.pass(50);
            assert.deepEqual(listCrashes(system), [[undefined, undefined], [undefined, undefined]]);
            yield* system.pass(1_000);
            const runs = yield* system.readStartedRuns;
            assert.deepEqual(runs.map(({ task }) => task).sort(), ["a.0.0.0", "a.0.0.1"]);
        }),
    );
}

// Guards against an order that is sent to a worker that fell silent while its start was committed: the task waits for the lease of that
// worker, or is suspected of its crash, beside workers that answer.
testWithClock(
    "a start whose worker falls silent while it is committed is not sent, and its task starts elsewhere at once",
    Effect.gen(function*() {
        yield* TestClock.setTime(testStartMs);
        let commitMs = 0;
        const ordered: string[] = [];
        const system = yield* startTestSystemWith(port => ({
            ...port,
            startRun: (worker, order, limitMs) => {
                ordered.push(worker.id);
                return port.startRun(worker, order, limitMs);
            },
        }), {
            wrapLog: log => ({
                ...log,
                proposeCommand: command =>
                    Effect.andThen(
                        Effect.suspend(() => Effect.sleep(command.kind === "startRuns" ? commitMs : 0)),
                        log.proposeCommand(command),
                    ),
            }),
        });
        system.workers.setBehaviour(() => ({ runMs: 600_000, outcome: "succeeded" }));
        yield* system.addWorker(makeWorker("w1", { bornAtMs: 1 }));
        yield* system.pass(1_000);
        commitMs = 3_000;
        yield* system.submit(makeJob("a", [makeStep({ longRunning: true })]));
        yield* system.pass(100);
        system.workers.setFault("w1", "cut");
        yield* system.addWorker(makeWorker("w2", { bornAtMs: 1 }));
        yield* system.pass(2_500);
        commitMs = 0;
        yield* system.pass(1_000);
        assert.deepEqual(ordered, ["w2"]);
        assert.deepEqual(listCrashes(system), [[undefined, undefined]]);
    }),
);

// Guards against a long-running task that starts on a worker that has crashed, though another one has reported since.
testWithClock(
    "a long-running task starts on a worker that has reported lately, not on one that is silent since its crash",
    Effect.gen(function*() {
        yield* TestClock.setTime(testStartMs);
        const system = yield* startTestSystemWith(port => port);
        const nextInfo = (crashed: ReturnType<typeof makeWorker>, nowMs: number) => ({ ...crashed, bornAtMs: nowMs });
        system.workers.setCrashingRuns(
            () => false,
            { afterMs: 5_000, nextInfo, keepsConnections: true },
            system.announce,
        );
        system.workers.setBehaviour(({ job }) => ({ runMs: job === "short" ? 600 : 600_000, outcome: "succeeded" }));
        yield* system.addWorker(makeWorker("w1", { bornAtMs: 1 }));
        yield* system.addWorker(makeWorker("w2", { bornAtMs: 1, labels: ["b", "r0"] }));
        yield* system.pass(1_000);
        system.workers.crashWorker("w1", yield* readMonotonicMs);
        yield* system.submit(makeJob("short", [makeStep({ requiredLabel: "b" })]));
        yield* system.pass(650);
        yield* system.submit(makeJob("a", [makeStep({ longRunning: true })]));
        yield* system.pass(50);
        const runs = yield* system.readStartedRuns;
        assert.deepEqual(runs.map(({ task, worker }) => [task, worker]), [["short.0.0.0", "w2"], ["a.0.0.0", "w2"]]);
    }),
);
