import { Effect, Exit } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { getLog, runTest, splitRoles, startCluster } from "./fakes/test-cluster.js";

/** Advances the clock by 1 ms; the fibers that become ready run meanwhile. */
const advance = Effect.gen(function*() {
    for (let step = 0; step < 10; step += 1) {
        yield* TestClock.adjust(0);
    }
    yield* TestClock.adjust(1);
});

// With a request for each command, a leader with 8 followers and 1,000 commands a second has no processor time left.
void test("commands in quick succession share requests to each follower", () =>
    runTest(Effect.gen(function*() {
        const commands = 40;
        const cluster = yield* startCluster(3);
        const { leader, followers } = splitRoles(cluster);
        const framesBefore = cluster.network.countFrames();
        const fibers = [];
        for (let command = 0; command < commands; command += 1) {
            fibers.push(yield* Effect.forkChild(Effect.exit(getLog(leader).proposeCommand(`c${command}`))));
            yield* advance;
        }
        const frames = cluster.network.countFrames() - framesBefore;
        for (let step = 0; step < 50; step += 1) {
            yield* advance;
        }
        for (const fiber of fibers) {
            const exit = fiber.pollUnsafe();
            assert.ok(exit !== undefined && Exit.isSuccess(exit) && Exit.isSuccess(exit.value));
        }
        assert.equal(leader.machine.listCommands().length, commands);
        // A request and its reply; one request in 10 ms, and one that began before.
        const requests = frames / 2 / followers.length;
        assert.ok(requests <= commands / 10 + 1, `${requests} requests to each follower for ${commands} commands`);
    })));

// A lone command, such as the start of an urgent task on a quiet system, would take longer for nothing.
void test("a command on an idle leader is committed without waiting for further commands", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader } = splitRoles(cluster);
        for (let repeat = 0; repeat < 5; repeat += 1) {
            // At different times since the last heartbeat.
            yield* TestClock.adjust(200 + repeat * 17);
            const fiber = yield* Effect.forkChild(getLog(leader).proposeCommand(`c${repeat}`));
            yield* advance;
            yield* advance;
            assert.notEqual(fiber.pollUnsafe(), undefined, "the command waits");
        }
    })));
