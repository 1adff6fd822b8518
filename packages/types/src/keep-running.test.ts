import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { keepRunning } from "./keep-running.js";

// Guards against a loop of the peer link that ends for good because the line about its failure could not be written.
void test("a loop is started again when its failure cannot be logged", () =>
    Effect.runPromise(
        Effect.gen(function*() {
            let starts = 0;
            const loop = Effect.suspend(() => {
                starts += 1;
                return starts === 1 ? Effect.die(new Error("first start")) : Effect.never;
            });
            const failToLog = (): void => {
                throw new Error("no line");
            };
            yield* Effect.forkScoped(keepRunning(loop, failToLog));
            yield* TestClock.adjust(2_000);
            assert.equal(starts, 2);
        }).pipe(Effect.scoped, Effect.provide(TestClock.layer())),
    ));
