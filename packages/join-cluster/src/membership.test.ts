import { getLog, proposeAll, runTest, splitRoles, type TestReplica } from "@chestnutspool/replicated-log/fakes";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { listVoterIds, replaceDisk, setIsolated, startDirectoryCluster } from "./fakes/directory-cluster.js";
import { replaceAfterNoContactMs } from "./plan-member-change.js";

const everyone = ["a", "b", "c", "d", "e"];
/** Time within which a process has its vote again once it reaches the leader, in milliseconds. */
const rejoinLimitMs = 4_000;

// Guards against a cluster that loses one voter for good with each process that was cut off for some seconds while another
// one joined.
void test("a process that was removed while it was cut off joins again when it is back, without a change of the leader", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startDirectoryCluster(5);
        const { leader, followers } = splitRoles(cluster);
        const [away, emptied] = followers as [TestReplica, TestReplica];
        const { term } = getLog(leader).readStatus();
        yield* proposeAll(leader, ["one"]);
        setIsolated(cluster, away, true);
        yield* TestClock.adjust(replaceAfterNoContactMs + 1_000);
        yield* replaceDisk(cluster, emptied);
        yield* TestClock.adjust(rejoinLimitMs);
        assert.equal(listVoterIds(cluster).includes(emptied.id), true);
        yield* proposeAll(leader, ["two"]);
        setIsolated(cluster, away, false);
        yield* TestClock.adjust(rejoinLimitMs);
        assert.deepEqual(listVoterIds(cluster), everyone);
        assert.deepEqual([splitRoles(cluster).leader.id, getLog(leader).readStatus().term], [leader.id, term]);
        assert.deepEqual(away.machine.listCommands(), ["one", "two"]);
    })));

// Guards against the same loss when the process ended and started again with its data.
void test("a process that was removed while it was down joins again with its data", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startDirectoryCluster(5);
        const { leader, followers } = splitRoles(cluster);
        const [away, emptied] = followers as [TestReplica, TestReplica];
        yield* proposeAll(leader, ["one"]);
        yield* cluster.crashReplica(away.id, 1);
        yield* TestClock.adjust(replaceAfterNoContactMs + 1_000);
        yield* replaceDisk(cluster, emptied);
        yield* TestClock.adjust(rejoinLimitMs);
        yield* cluster.startReplica(away.id);
        yield* TestClock.adjust(rejoinLimitMs);
        assert.deepEqual(listVoterIds(cluster), everyone);
    })));
