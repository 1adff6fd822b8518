import { createLogger } from "@chestnutspool/logger";
import type { ChannelHandler } from "@chestnutspool/types";
import { Deferred, Effect } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { openWebSocketLink } from "./index.js";

/** Time within which a reply over loopback arrives, in milliseconds. */
const replyLimitMs = 5_000;

/** A WebSocket link from "left" to "right", which handles the channel "entry"; keeps the log lines of "right". */
const openPair = Effect.fnUntraced(function*<Request, Reply>(handler: ChannelHandler<Request, Reply>) {
    const lines: string[] = [];
    const logger = createLogger("link", { host: "h", availabilityZone: "z" }, "info", line => lines.push(line));
    const options = { listenHost: "127.0.0.1", listenPort: 0 };
    const left = yield* openWebSocketLink({ ...options, self: "left" }, logger);
    const right = yield* openWebSocketLink({ ...options, self: "right" }, logger);
    right.openChannel<Request, Reply>("entry", handler);
    right.openChannel<number, number>("log", { handleCall: (from, request) => Effect.succeed(request * 2) });
    const log = left.openChannel<number, number>("log", {});
    left.setPeer("right", right.address);
    while (!left.isConnected("right")) {
        yield* Effect.sleep(5);
    }
    return { channel: left.openChannel<Request, Reply>("entry", {}), log, lines };
});

/** What a handler of another build returns for a request that it does not know. */
const nothing = undefined as unknown as Effect.Effect<never>;

// Guards against a connection that stays open and serves nothing any more, the calls of the log included.
void test("a message handler that fails is logged, and the next frames of the connection are served", async () => {
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const received: string[] = [];
        const { channel, log, lines } = yield* openPair<string, never>({
            handleMessage: (from, message) => {
                received.push(message);
                switch (message) {
                    case "throw":
                        throw new Error("a long reason ".repeat(200));
                    case "die":
                        return Effect.die("died");
                    case "interrupt":
                        return Effect.interrupt;
                    case "nothing":
                        return nothing;
                    default:
                        return Effect.void;
                }
            },
        });
        const messages = ["throw", "die", "interrupt", "nothing", "other"];
        for (const message of messages) {
            assert.ok(channel.sendMessage("right", message));
            assert.equal(yield* log.callPeer("right", 1, replyLimitMs), 2);
        }
        assert.deepEqual(received, messages);
        const failures = lines.filter(line => line.includes("\"message\":\"message handler failed\""));
        assert.equal(failures.length, 4);
        assert.ok(failures.every(line => line.includes("\"peer\":\"left\",\"channel\":\"entry\"")));
        assert.ok(failures.every(line => line.length < 2_000));
    })));
});

// Guards against a process that cannot end because a handler in progress outlives its connection.
void test("a message handler in progress ends with the link and is not logged as failed", async () => {
    let started = false;
    let ended = false;
    const lines = await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const { channel, log, lines } = yield* openPair<string, never>({
            handleMessage: () => {
                started = true;
                return Effect.onInterrupt(Effect.never, () => Effect.sync(() => void (ended = true)));
            },
        });
        assert.equal(yield* log.callPeer("right", 1, replyLimitMs), 2);
        assert.ok(channel.sendMessage("right", "wait"));
        while (!started) {
            yield* Effect.sleep(5);
        }
        return lines;
    })));
    assert.equal(ended, true);
    assert.ok(!lines.some(line => line.includes("handler failed")));
});

// Guards against a caller that waits for its whole time limit, and against a failure that no log line tells.
void test("a call whose handler returns nothing, or a reply that cannot be encoded, fails at once and is logged", async () => {
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const { channel, log, lines } = yield* openPair<string, unknown>({
            handleCall: (from, request) => request === "nothing" ? nothing : Effect.succeed(2n ** 80n),
            handleStream: (from, request, emit) => request === "nothing" ? nothing : emit(2n ** 80n),
        });
        for (const request of ["nothing", "large"]) {
            const failed = yield* Effect.flip(channel.callPeer("right", request, replyLimitMs));
            assert.equal(failed.kind, "internal");
            const stream = channel.callStream("right", request, replyLimitMs, () => Effect.void);
            assert.equal((yield* Effect.flip(stream)).kind, "internal");
        }
        assert.equal(lines.filter(line => line.includes("\"message\":\"call handler failed\"")).length, 4);
        assert.equal(yield* log.callPeer("right", 1, replyLimitMs), 2);
    })));
});

// Guards against a late reply whose handler throws into the socket that read it, which ends the process.
void test("a handler of late replies that fails is logged and does not disturb the link", async () => {
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        let arrived = false;
        const timedOut = yield* Deferred.make<void>();
        const { channel, log, lines } = yield* openPair<string, number>({
            handleCall: () => Effect.as(Deferred.await(timedOut), 1),
        });
        const call = channel.callPeer("right", "late", 1_000, () => {
            arrived = true;
            throw new Error("a long reason ".repeat(200));
        });
        assert.equal((yield* Effect.flip(call)).kind, "timeout");
        yield* Deferred.succeed(timedOut, undefined);
        while (!arrived) {
            yield* Effect.sleep(5);
        }
        assert.equal(yield* log.callPeer("right", 1, replyLimitMs), 2);
        const failures = lines.filter(line => line.includes("\"message\":\"handler of a late reply failed\""));
        assert.equal(failures.length, 1);
        assert.ok(failures.every(line => line.includes("\"peer\":\"right\"") && line.length < 2_000));
    })));
});
