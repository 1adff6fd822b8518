import { createMetrics } from "@chestnutspool/record-metrics";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { createRecordingLogger, testWithClock } from "./fakes/index.js";
import { superviseLoop } from "./supervise-loop.js";

const loopFailed = "loop failed; it is started again";

// Guards against lines about an exception at each ordinary end of a term.
testWithClock(
    "the interruption of a loop is neither logged nor counted, and does not start it again",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        const metrics = createMetrics();
        let starts = 0;
        const loop = Effect.suspend(() => {
            starts += 1;
            return Effect.sleep(1_000);
        });
        const fiber = yield* Effect.forkScoped(superviseLoop({ logger, metrics }, "planner", { term: 1 }, loop));
        yield* TestClock.adjust(100);
        yield* Fiber.interrupt(fiber);
        yield* TestClock.adjust(2_000);
        assert.equal(starts, 1);
        assert.deepEqual(lines, []);
        assert.deepEqual(metrics.readCounters(), []);
    }),
);

// Guards against a loop that ends because the line about its exception could not be written.
testWithClock(
    "a loop is started again when its exception cannot be logged",
    Effect.gen(function*() {
        const { logger, failOnceAt } = createRecordingLogger();
        let starts = 0;
        const loop = Effect.sync(() => {
            starts += 1;
            if (starts === 1) {
                throw new Error("first start");
            }
        });
        failOnceAt(loopFailed);
        yield* Effect.forkScoped(superviseLoop({ logger, metrics: createMetrics() }, "planner", { term: 1 }, loop));
        yield* TestClock.adjust(1_000);
        assert.equal(starts, 2);
    }),
);

// Guards against a loop that fills the log or keeps the thread, because it fails at each start with a long text.
testWithClock(
    "a loop that always fails is started a few times a second, with one bounded line each",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        const loop = Effect.die(new Error("long\n".repeat(10_000)));
        yield* Effect.forkScoped(superviseLoop({ logger, metrics: createMetrics() }, "pacing", { term: 1 }, loop));
        yield* TestClock.adjust(1_000);
        assert.ok(lines.length >= 2 && lines.length <= 10, `${lines.length} lines in one second`);
        for (const { message, fields } of lines) {
            assert.equal(message, loopFailed);
            const detail = String(fields["detail"]);
            assert.ok(detail.length <= 1_000 && !detail.includes("\n"), detail);
        }
    }),
);
