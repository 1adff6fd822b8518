import { silentLogger } from "@chestnutspool/logger";
import { Effect, Exit } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createKernel, defineService, type KernelService } from "./index.js";

function recordService(name: string, needs: readonly string[], trail: string[], fails = false): KernelService<string> {
    return {
        key: defineService<string>(name),
        needs: needs.map(need => defineService<unknown>(need)),
        start: Effect.gen(function*() {
            if (fails) {
                return yield* Effect.fail({ kind: "internal" as const, detail: "broken on purpose" });
            }
            trail.push(`start ${name}`);
            yield* Effect.addFinalizer(() => Effect.sync(() => trail.push(`stop ${name}`)));
            return name;
        }),
        drain: () => Effect.sync(() => trail.push(`drain ${name}`)),
    };
}

void test("services start after those they need and stop in reverse, all drained first", async () => {
    const trail: string[] = [];
    const kernel = createKernel(silentLogger);
    kernel.registerService(recordService("entry", ["link"], trail));
    kernel.registerService(recordService("link", [], trail));
    await Effect.runPromise(kernel.startAll);
    assert.equal(kernel.findService(defineService<string>("link")), "link");
    await Effect.runPromise(kernel.stopAll);
    assert.deepEqual(trail, ["start link", "start entry", "drain entry", "drain link", "stop entry", "stop link"]);
});

void test("a service that fails to start leaves nothing running", async () => {
    const trail: string[] = [];
    const kernel = createKernel(silentLogger);
    kernel.registerService(recordService("link", [], trail));
    kernel.registerService(recordService("entry", ["link"], trail, true));
    const exit = await Effect.runPromiseExit(kernel.startAll);
    assert.ok(Exit.isFailure(exit));
    assert.deepEqual(kernel.listRunning(), []);
    assert.equal(trail.at(-1), "stop link");
});

void test("a cycle of needs is named instead of hanging the start", async () => {
    const kernel = createKernel(silentLogger);
    kernel.registerService(recordService("a", ["b"], []));
    kernel.registerService(recordService("b", ["a"], []));
    const exit = await Effect.runPromiseExit(kernel.startAll);
    assert.match(String(exit), /cycle/);
});
