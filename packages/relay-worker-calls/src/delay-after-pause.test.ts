import { silentLogger } from "@chestnutspool/logger";
import type { RelayedAnswer, WorkerCallMessage, WorkerPort, WorkerRef } from "@chestnutspool/types";
import { Effect } from "effect";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type DelayBaseline, estimateDelay } from "./message-delay.js";
import { serveWorkerCalls } from "./serve-worker-calls.js";

const seed = 173;
/** Shortest limit of a call to a worker, in milliseconds: that of a change of pace. */
const shortestLimitMs = 500;
/** Longest limit of a call to a worker, in milliseconds; longer ones are dropped by a relay. */
const longestLimitMs = 1_500;
/** Longest lease of a worker, in milliseconds. */
const longestLeaseMs = 6_000;

function measureDroppedMs(messages: readonly (readonly [sentAtMs: number, nowMs: number])[]): number {
    let baseline: DelayBaseline | undefined;
    const late: number[] = [];
    for (const [sentAtMs, nowMs] of messages) {
        const estimate = estimateDelay(baseline, sentAtMs, nowMs);
        baseline = estimate.baseline;
        if (estimate.delayMs >= longestLimitMs) {
            late.push(nowMs);
        }
    }
    return late.length === 0 ? 0 : (late.at(-1) ?? 0) - (late[0] ?? 0);
}

// Guards against relays that drop all calls of a leader whose host was suspended; the steady clock does not count that time.
test("a sender whose clock stood still for two seconds is late for less than a lease", () => {
    const before = Array.from({ length: 100 }, (item, index) => [index * 100, index * 100 + 1] as const);
    const after = Array.from({ length: 700 }, (item, index) => [10_000 + index * 100, 12_001 + index * 100] as const);
    const droppedMs = measureDroppedMs([...before, ...after]);
    assert.ok(droppedMs < longestLeaseMs, `calls were dropped for ${droppedMs} ms`);
});

// Guards against relays that drop all calls of a process that leads again, because the clocks drifted while it did not.
test("a sender that pauses for two minutes is late for less than a lease when clocks differ by 2%", () => {
    const before = Array.from({ length: 100 }, (item, index) => [index * 100, index * 102] as const);
    const after = Array.from(
        { length: 700 },
        (item, index) => [130_000 + index * 100, (130_000 + index * 100) * 1.02] as const,
    );
    const droppedMs = measureDroppedMs([...before, ...after]);
    assert.ok(droppedMs < longestLeaseMs, `calls were dropped for ${droppedMs} ms`);
});

// Guards against a wrong baseline that lasts, whatever the sequence of pauses, shifts of a clock and jitter.
test("messages that come every 100 ms with little jitter are in time 3.2 s after any disturbance", () => {
    const disturbance = fc.record({ senderMs: fc.nat(5_000), receiverMs: fc.nat(5_000) });
    fc.assert(
        fc.property(
            fc.array(disturbance, { minLength: 1, maxLength: 8 }),
            fc.array(fc.nat(90), { minLength: 60, maxLength: 60 }),
            (disturbances, jitter) => {
                let baseline: DelayBaseline | undefined;
                let sentAtMs = 0;
                let clockMs = 70_000;
                const observe = (extraMs: number): number => {
                    const estimate = estimateDelay(baseline, sentAtMs, clockMs + extraMs);
                    baseline = estimate.baseline;
                    return estimate.delayMs;
                };
                for (const { senderMs, receiverMs } of disturbances) {
                    sentAtMs += senderMs;
                    clockMs += receiverMs;
                    observe(0);
                }
                const late = jitter.map((extraMs, index) => {
                    sentAtMs += 100;
                    clockMs += 100;
                    return index >= 32 ? observe(extraMs) : Math.min(0, observe(extraMs));
                });
                assert.ok(Math.max(...late) < shortestLimitMs, `a message was late by ${Math.max(...late)} ms`);
            },
        ),
        { seed, numRuns: 2_000 },
    );
});

// Guards against leases of all workers that lapse after a suspension of the leader's host, although all relays are sound.
test("renewals that arrive at once are carried out after the sender's clock stood still for two seconds", () =>
    Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const answers: RelayedAnswer[] = [];
        const workers: WorkerPort<WorkerRef> = {
            startRun: () => Effect.succeed({ kind: "done", clockMs: 0 }),
            stopRun: () => Effect.succeed({ kind: "done", clockMs: 0 }),
            paceRun: () => Effect.succeed({ kind: "done", clockMs: 0 }),
            renewLease: () => Effect.succeed({ kind: "report", clockMs: 0, running: [], ended: [], isComplete: true }),
            closeConnections: () => undefined,
        };
        const { handleCalls: handle } = yield* serveWorkerCalls({
            workers,
            availabilityZone: "z",
            sendMessage: (to, message: WorkerCallMessage) => {
                if (message.kind === "answers") {
                    answers.push(...message.answers);
                }
                return true;
            },
            scheduleFlush: flush => {
                setImmediate(flush);
            },
            logger: silentLogger,
        });
        const order = { leaseUntilMs: undefined, fencingToken: 1, acknowledgedSequence: 0, waitMs: 900 };
        for (let sentAtMs = 0; sentAtMs < 10_000; sentAtMs += 100) {
            yield* handle("a", { kind: "calls", incarnation: "1", sentAtMs, calls: [] }, sentAtMs);
        }
        for (let sentAtMs = 10_000; sentAtMs < 20_000; sentAtMs += 100) {
            const calls = [{
                id: sentAtMs,
                worker: { id: "w", address: "10.0.0.1:80" },
                limitMs: longestLimitMs,
                call: { kind: "renewLease", order },
            }] as const;
            yield* handle("a", { kind: "calls", incarnation: "1", sentAtMs, calls }, sentAtMs + 2_000);
        }
        yield* Effect.sleep(50);
        const notSent = answers.filter(({ answer }) => answer.kind === "notSent").length;
        assert.equal(answers.length, 100);
        assert.ok(notSent < 60, `${notSent} of 100 renewals in 10 s were not sent`);
    }))));
