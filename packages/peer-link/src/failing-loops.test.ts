import { createLogger } from "@chestnutspool/logger";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createChannelHub } from "./channel-hub.js";

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
            assert.equal(lines.filter(line => line.includes("\"message\":\"loop failed and starts again\"")).length, 1);
        })),
        TestClock.layer(),
    ));
});
