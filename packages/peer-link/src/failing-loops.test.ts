import { createLogger, silentLogger } from "@chestnutspool/logger";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createChannelHub } from "./channel-hub.js";
import { openWebSocketLink } from "./index.js";

/** Time within which a link over loopback is open, in milliseconds. */
const openLimitMs = 10_000;

// Guards against calls that never end, after an exception in the loop that ends those whose time is over.
void test("calls still time out after an exception while one of them was ended", async () => {
    const lines: string[] = [];
    const logger = createLogger("link", { host: "h", availabilityZone: "z" }, "info", line => lines.push(line));
    await Effect.runPromise(Effect.provide(
        Effect.scoped(Effect.gen(function*() {
            let fails = true;
            const hub = yield* createChannelHub("self", (peer, frame) => {
                if (frame.kind === "cancel" && fails) {
                    fails = false;
                    throw new Error("the frame cannot be sent");
                }
                return true;
            }, logger);
            const channel = hub.openChannel<number, number>("entry", {});
            const first = yield* Effect.forkChild(Effect.flip(channel.callPeer("other", 1, 1_000)));
            const second = yield* Effect.forkChild(Effect.flip(channel.callPeer("other", 2, 1_500)));
            for (let step = 0; step < 10; step += 1) {
                yield* TestClock.adjust(1_000);
            }
            const third = yield* Effect.forkChild(Effect.flip(channel.callPeer("other", 3, 1_000)));
            for (let step = 0; step < 10; step += 1) {
                yield* TestClock.adjust(1_000);
            }
            assert.deepEqual([first, second, third].map(fiber => fiber.pollUnsafe()?._tag), [
                "Success",
                "Success",
                "Success",
            ]);
            assert.equal((yield* Fiber.join(first)).kind, "timeout");
            assert.equal(
                lines.filter(line => line.includes("\"message\":\"loop failed; it is started again\"")).length,
                1,
            );
        })),
        TestClock.layer(),
    ));
});

// Guards against a peer that is never connected again: to set the same address once more has no effect.
void test("a link is opened again after an exception while it was opened", async () => {
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        let failures = 0;
        const logger = {
            ...silentLogger,
            debug: (message: string) => {
                if (message === "link open" && failures === 0) {
                    failures += 1;
                    throw new Error("unexpected");
                }
            },
        };
        const options = { listenHost: "127.0.0.1", listenPort: 0 };
        const left = yield* openWebSocketLink({ ...options, self: "left" }, logger);
        const right = yield* openWebSocketLink({ ...options, self: "right" }, silentLogger);
        left.setPeer("right", right.address);
        const awaitOpen = Effect.gen(function*() {
            while (failures === 0 || !left.isConnected("right")) {
                yield* Effect.sleep(5);
            }
        });
        assert.equal((yield* Effect.timeoutOption(awaitOpen, openLimitMs))._tag, "Some");
    })));
});
