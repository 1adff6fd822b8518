import { silentLogger } from "@chestnutspool/logger";
import type { ErrorData, PeerId } from "@chestnutspool/types";
import { Clock, Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { createChannelHub } from "./channel-hub.js";
import type { Frame } from "./frame.js";
import { openWebSocketLink } from "./index.js";

/** Lets fibers that are ready run. */
const runReady = Effect.gen(function*() {
    for (let step = 0; step < 5; step += 1) {
        yield* TestClock.adjust(0);
    }
});

/** A hub whose frames are recorded and not delivered. */
const createRecordedHub = Effect.fnUntraced(function*(accepts: (peer: PeerId) => boolean = () => true) {
    const frames: Frame[] = [];
    const hub = yield* createChannelHub("self", (peer, frame) => {
        frames.push(frame);
        return accepts(peer);
    }, silentLogger);
    const channel = hub.openChannel<number, number>("entry", {});
    const listCancels = () => frames.filter(frame => frame.kind === "cancel");
    const listCallIds = () => frames.flatMap(frame => frame.kind === "call" ? [frame.id] : []);
    return { hub, channel, frames, listCancels, listCallIds };
});

// A timer and its fibers for each call cost the leader more than the call itself.
void test("calls that are answered in time do not set one timer each", async () => {
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const clock = yield* Clock.Clock;
        let sleeps = 0;
        const counting: Clock.Clock = {
            currentTimeMillisUnsafe: () => clock.currentTimeMillisUnsafe(),
            currentTimeMillis: clock.currentTimeMillis,
            currentTimeNanosUnsafe: () => clock.currentTimeNanosUnsafe(),
            currentTimeNanos: clock.currentTimeNanos,
            monotonicTimeNanosUnsafe: () => clock.monotonicTimeNanosUnsafe(),
            monotonicTimeNanos: clock.monotonicTimeNanos,
            sleep: duration => {
                sleeps += 1;
                return clock.sleep(duration);
            },
        };
        const calls = Effect.gen(function*() {
            const { hub, channel, listCallIds } = yield* createRecordedHub();
            for (let call = 0; call < 100; call += 1) {
                const fiber = yield* Effect.forkChild(channel.callPeer("other", call, 60_000));
                yield* Effect.yieldNow;
                yield* Effect.yieldNow;
                hub.handleReplyFrame("other", { kind: "reply", id: listCallIds().at(-1) ?? 0, body: call * 2 });
                assert.equal(yield* Fiber.join(fiber), call * 2);
            }
        });
        yield* Effect.provideService(Effect.scoped(calls), Clock.Clock, counting);
        assert.ok(sleeps <= 1, `${sleeps} timers were set`);
    })));
});

// A cancel frame for a call that has ended is work for both processes without an effect.
void test("a call that fails at the peer is not cancelled there", async () => {
    await Effect.runPromise(Effect.provide(
        Effect.scoped(Effect.gen(function*() {
            const { hub, channel, listCancels, listCallIds } = yield* createRecordedHub();
            const fiber = yield* Effect.forkChild(Effect.flip(channel.callPeer("other", 1, 1_000)));
            yield* runReady;
            const error: ErrorData = { kind: "internal", detail: "refused" };
            hub.handleReplyFrame("other", { kind: "failure", id: listCallIds()[0] ?? 0, error });
            assert.deepEqual(yield* Fiber.join(fiber), error);
            assert.deepEqual(listCancels(), []);
        })),
        TestClock.layer(),
    ));
});

// The peer would work on for a caller that no longer waits.
void test("a call that times out or is interrupted is cancelled at the peer once, and a late reply has no effect", async () => {
    await Effect.runPromise(Effect.provide(
        Effect.scoped(Effect.gen(function*() {
            const { hub, channel, listCancels, listCallIds } = yield* createRecordedHub();
            const long = yield* Effect.forkChild(Effect.flip(channel.callPeer("other", 1, 1_000)));
            yield* runReady;
            // The later call ends first.
            const short = yield* Effect.forkChild(Effect.flip(channel.callPeer("other", 2, 300)));
            yield* runReady;
            yield* TestClock.adjust(299);
            assert.equal(short.pollUnsafe(), undefined);
            yield* TestClock.adjust(1);
            const [longId, shortId] = listCallIds();
            assert.deepEqual(yield* Fiber.join(short), {
                kind: "timeout",
                operation: "call on channel entry to other",
                limitMs: 300,
            });
            assert.deepEqual(listCancels(), [{ kind: "cancel", id: shortId }]);
            hub.handleReplyFrame("other", { kind: "reply", id: shortId ?? 0, body: 4 });
            yield* TestClock.adjust(700);
            assert.equal((yield* Fiber.join(long)).kind, "timeout");
            const interrupted = yield* Effect.forkChild(channel.callPeer("other", 3, 1_000));
            yield* runReady;
            yield* Fiber.interrupt(interrupted);
            yield* TestClock.adjust(2_000);
            const interruptedId = listCallIds()[2];
            assert.deepEqual(listCancels().map(({ id }) => id), [shortId, longId, interruptedId]);
        })),
        TestClock.layer(),
    ));
});

// Guards against the loss of an answer that shows that the peer is alive, and against work for a caller that is gone.
void test("a caller that takes late replies gets one after the timeout, and the call is cancelled after the same time again", async () => {
    await Effect.runPromise(Effect.provide(
        Effect.scoped(Effect.gen(function*() {
            const { hub, channel, listCancels, listCallIds } = yield* createRecordedHub();
            const late: number[] = [];
            for (const request of [1, 2]) {
                const call = channel.callPeer("other", request, 300, reply => {
                    late.push(reply);
                });
                const fiber = yield* Effect.forkChild(Effect.flip(call));
                yield* runReady;
                yield* TestClock.adjust(300);
                assert.equal((yield* Fiber.join(fiber)).kind, "timeout");
            }
            assert.deepEqual(listCancels(), [{ kind: "cancel", id: listCallIds()[0] }]);
            hub.handleReplyFrame("other", { kind: "reply", id: listCallIds()[0] ?? 0, body: 4 });
            hub.handleReplyFrame("other", { kind: "reply", id: listCallIds()[1] ?? 0, body: 5 });
            hub.handleReplyFrame("other", { kind: "reply", id: listCallIds()[1] ?? 0, body: 6 });
            assert.deepEqual(late, [5]);
            yield* TestClock.adjust(1_000);
            assert.equal(listCancels().length, 1);
        })),
        TestClock.layer(),
    ));
});

// A caller that hears no error would wait for a reply that cannot come.
void test("a broken link fails its calls as `outcomeUnknown` and leaves the calls to other peers", async () => {
    await Effect.runPromise(Effect.provide(
        Effect.scoped(Effect.gen(function*() {
            const { hub, channel, listCallIds } = yield* createRecordedHub(peer => peer !== "gone");
            assert.deepEqual(yield* Effect.flip(channel.callPeer("gone", 1, 1_000)), {
                kind: "peerUnavailable",
                peer: "gone",
            });
            const lost = yield* Effect.forkChild(Effect.flip(channel.callPeer("lost", 1, 1_000)));
            const other = yield* Effect.forkChild(channel.callPeer("other", 2, 1_000));
            yield* runReady;
            hub.failCalls("lost");
            assert.deepEqual(yield* Fiber.join(lost), { kind: "outcomeUnknown", subject: "call to lost" });
            hub.handleReplyFrame("other", { kind: "reply", id: listCallIds().at(-1) ?? 0, body: 4 });
            assert.equal(yield* Fiber.join(other), 4);
        })),
        TestClock.layer(),
    ));
});

// Each write is a system call, which costs more than a frame.
void test("frames for one peer that arise in one turn of the event loop are written together", async () => {
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const options = { listenHost: "127.0.0.1", listenPort: 0 };
        const left = yield* openWebSocketLink({ ...options, self: "left" }, silentLogger);
        const right = yield* openWebSocketLink({ ...options, self: "right" }, silentLogger);
        let received = 0;
        right.openChannel<number, number>("entry", {
            handleMessage: () =>
                Effect.sync(() => {
                    received += 1;
                }),
        });
        const channel = left.openChannel<number, number>("entry", {});
        left.setPeer("right", right.address);
        while (!left.isConnected("right")) {
            yield* Effect.sleep(5);
        }
        let writes = 0;
        const prototype = Socket.prototype as unknown as Record<
            "_write" | "_writev",
            (...values: unknown[]) => unknown
        >;
        const original = { _write: prototype._write, _writev: prototype._writev };
        for (const name of ["_write", "_writev"] as const) {
            prototype[name] = function(this: unknown, ...values: unknown[]) {
                writes += 1;
                return original[name].apply(this, values);
            };
        }
        for (let message = 0; message < 50; message += 1) {
            assert.ok(channel.sendMessage("right", message));
        }
        while (received < 50) {
            yield* Effect.sleep(5);
        }
        Object.assign(prototype, original);
        // One write for the messages; pings and pongs of both directions may come in between.
        assert.ok(writes <= 5, `${writes} writes for 50 messages`);
    })));
});
