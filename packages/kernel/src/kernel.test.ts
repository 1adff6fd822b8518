import { silentLogger } from "@chestnutspool/logger";
import { Effect, Exit } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createKernel, defineService, type KernelService } from "./index.js";

function createRecordingService(
    name: string,
    needs: readonly string[],
    events: string[],
    fails = false,
): KernelService<string> {
    return {
        key: defineService<string>(name),
        needs: needs.map(need => defineService<unknown>(need)),
        start: Effect.gen(function*() {
            if (fails) {
                return yield* Effect.fail({ kind: "internal" as const, detail: "start failed in the test" });
            }
            events.push(`start ${name}`);
            yield* Effect.addFinalizer(() => Effect.sync(() => events.push(`stop ${name}`)));
            return name;
        }),
        drain: () => Effect.sync(() => events.push(`drain ${name}`)),
    };
}

void test("services start after those they need; all are drained before they stop in reverse order", async () => {
    const trail: string[] = [];
    const kernel = createKernel(silentLogger);
    kernel.registerService(createRecordingService("entry", ["link"], trail));
    kernel.registerService(createRecordingService("link", [], trail));
    await Effect.runPromise(kernel.startAll);
    assert.equal(kernel.findService(defineService<string>("link")), "link");
    await Effect.runPromise(kernel.stopAll);
    assert.deepEqual(trail, ["start link", "start entry", "drain entry", "drain link", "stop entry", "stop link"]);
});

void test("when a service fails to start, the services that run are stopped", async () => {
    const trail: string[] = [];
    const kernel = createKernel(silentLogger);
    kernel.registerService(createRecordingService("link", [], trail));
    kernel.registerService(createRecordingService("entry", ["link"], trail, true));
    const exit = await Effect.runPromiseExit(kernel.startAll);
    assert.ok(Exit.isFailure(exit));
    assert.deepEqual(kernel.listRunning(), []);
    assert.equal(trail.at(-1), "stop link");
});

void test("a cycle of services that need each other is reported as an error", async () => {
    const kernel = createKernel(silentLogger);
    kernel.registerService(createRecordingService("a", ["b"], []));
    kernel.registerService(createRecordingService("b", ["a"], []));
    const exit = await Effect.runPromiseExit(kernel.startAll);
    assert.match(String(exit), /cycle/);
});
