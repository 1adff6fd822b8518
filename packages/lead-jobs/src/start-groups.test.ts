import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import { Effect, type Scope } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { listOverlaps, makeWorker, startTestSystemWith, type TestSystem } from "./fakes/index.js";

const taskCount = 400;
/** Starts that the planner may send before it gives up the thread. */
const startsPerTurn = 50;

interface SentStart {
    /** Turn of the event loop in which it was sent. */
    readonly turn: number;
    /** Task and number of the run. */
    readonly run: string;
}

/** Runs a test on a system with two large workers; `onStart` is called before each start is sent, with their number. */
function testStarts(
    name: string,
    run: (system: TestSystem, sent: readonly SentStart[]) => Effect.Effect<void, never, Scope.Scope>,
    onStart: (system: TestSystem, sentCount: number) => void,
): void {
    test(name, async () => {
        let turn = 0;
        let isEnded = false;
        const countTurns = (): void => {
            turn += 1;
            if (!isEnded) {
                setImmediate(countTurns);
            }
        };
        setImmediate(countTurns);
        const sent: SentStart[] = [];
        const current: { system: TestSystem | undefined; } = { system: undefined };
        await Effect.runPromise(
            Effect.scoped(Effect.gen(function*() {
                const system = yield* startTestSystemWith(port => ({
                    ...port,
                    startRun: (worker, order, limitMs) =>
                        Effect.suspend(() => {
                            sent.push({ turn, run: `${order.position}/${order.run}` });
                            if (current.system !== undefined) {
                                onStart(current.system, sent.length);
                            }
                            return port.startRun(worker, order, limitMs);
                        }),
                }));
                current.system = system;
                const capacity = { milliCpu: 1_000_000, memoryMib: 1_000_000, accelerators: 0 };
                yield* system.addWorker(makeWorker("w1", { capacity }));
                yield* system.addWorker(makeWorker("w2", { capacity }));
                yield* system.pass(200);
                yield* system.submit(makeJob("a", [makeStep({ count: taskCount })]));
                yield* run(system, sent);
            })).pipe(
                Effect.provide(TestClock.layer()),
                Effect.ensuring(Effect.sync(() => {
                    isEnded = true;
                })),
            ),
        );
    });
}

function countLargestTurn(sent: readonly SentStart[]): number {
    const counts = new Map<number, number>();
    sent.forEach(({ turn }) => counts.set(turn, (counts.get(turn) ?? 0) + 1));
    return Math.max(...counts.values());
}

// Guards against a burst of starts that keeps the thread, so that leases are renewed late and callers wait.
testStarts(
    "the starts of a pass are sent in groups, and each of them once",
    (system, sent) =>
        Effect.gen(function*() {
            yield* system.pass(500);
            assert.equal(sent.length, taskCount);
            assert.equal(new Set(sent.map(({ run }) => run)).size, taskCount);
            const largest = countLargestTurn(sent);
            assert.ok(largest <= startsPerTurn, `${largest} starts in one turn of the event loop`);
        }),
    () => undefined,
);

// Guards against starts that are sent twice or never because the term ends between two groups.
testStarts(
    "when the term ends between two groups of starts, each start is sent at most once and each task ends",
    (system, sent) =>
        Effect.gen(function*() {
            yield* system.pass(8_000);
            assert.equal(new Set(sent.map(({ run }) => run)).size, sent.length);
            const runs = yield* system.readStartedRuns;
            assert.deepEqual(listOverlaps(runs), []);
            assert.equal(runs.filter(({ outcome }) => outcome === "succeeded").length, taskCount);
        }),
    (system, sentCount) => {
        if (sentCount === 120) {
            system.log.setLeader("b");
        }
    },
);
