import type { ErrorData, LogSection } from "@chestnutspool/types";
import { Effect, Exit, Fiber, Scope } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTestCluster, type TestCluster, testLogSection, type TestReplica } from "./fakes/test-cluster.js";

/** Long enough for an election with a repeated vote, in milliseconds. */
const settleMs = 6_000;

function runTest(body: Effect.Effect<void, ErrorData, Scope.Scope>): Promise<void> {
    return Effect.runPromise(Effect.provide(Effect.scoped(body), TestClock.layer()));
}

const startCluster = Effect.fnUntraced(function*(size: number, section: LogSection = testLogSection) {
    const cluster = yield* createTestCluster(size, 1, section);
    for (const replica of cluster.replicas) {
        yield* cluster.startReplica(replica.id);
    }
    yield* TestClock.adjust(settleMs);
    return cluster;
});

function getLeader(cluster: TestCluster): TestReplica {
    const leader = cluster.findLeader();
    assert.ok(leader !== undefined, "no leader");
    return leader;
}

const settle = <Value>(effect: Effect.Effect<Value, ErrorData>, durationMs = settleMs) =>
    Effect.gen(function*() {
        const fiber = yield* Effect.forkChild(Effect.exit(effect));
        yield* TestClock.adjust(durationMs);
        return yield* Fiber.join(fiber);
    });

const propose = (replica: TestReplica, command: string) =>
    replica.log?.proposeCommand(command) ?? Effect.die("replica does not run");

function getError<Value>(exit: Exit.Exit<Value, ErrorData>): ErrorData {
    assert.ok(Exit.isFailure(exit), "expected a failure");
    const reason = exit.cause.reasons[0];
    assert.ok(reason?._tag === "Fail", String(exit.cause));
    return reason.error;
}

for (const size of [1, 3, 5]) {
    void test(`${size} replicas elect one leader and apply a command everywhere`, () =>
        runTest(Effect.gen(function*() {
            const cluster = yield* startCluster(size);
            const leader = getLeader(cluster);
            assert.deepEqual(yield* settle(propose(leader, "one")), Exit.succeed(1));
            assert.ok(Exit.isSuccess(yield* settle(leader.log?.confirmRead ?? Effect.die("stopped"))));
            for (const replica of cluster.replicas) {
                assert.deepEqual(replica.machine.listCommands(), ["one"]);
            }
        })));
}

void test("a follower refuses a command as certainly not appended and names the leader", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const leader = getLeader(cluster);
        const follower = cluster.replicas.find(replica => replica !== leader) as TestReplica;
        const error = getError(yield* settle(propose(follower, "one")));
        assert.deepEqual(error, { kind: "notLeader", leader: leader.id });
    })));
