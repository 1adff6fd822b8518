import { Effect, type Scope } from "effect";
import { TestClock } from "effect/testing";
import { test } from "node:test";
import { startTestSystem, type TestSystem } from "./test-system.js";

/** Defines a test that runs on a system in simulated time. */
export function testSystem(
    name: string,
    run: (system: TestSystem) => Effect.Effect<void, never, Scope.Scope>,
): void {
    test(name, () =>
        Effect.runPromise(
            Effect.scoped(Effect.flatMap(startTestSystem, run)).pipe(Effect.provide(TestClock.layer())),
        ));
}

/** Defines a test in simulated time that starts its system itself. */
export function testWithClock(name: string, run: Effect.Effect<void, never, Scope.Scope>): void {
    test(name, () => Effect.runPromise(Effect.scoped(run).pipe(Effect.provide(TestClock.layer()))));
}
