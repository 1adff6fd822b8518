import {
    getLog,
    proposeAll,
    runTest,
    splitRoles,
    type TestCluster,
    type TestReplica,
} from "@chestnutspool/replicated-log/fakes";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    listLeaderMembers,
    listVoterIds,
    loseDisk,
    replaceDisk,
    setIsolated,
    startDirectoryCluster,
} from "./fakes/directory-cluster.js";
import { replaceAfterNoContactMs } from "./plan-member-change.js";

const everyone = ["a", "b", "c", "d", "e"];
/** Time within which a process has its vote again once it reaches the leader, in milliseconds. */
const rejoinLimitMs = 4_000;

/** Adds a process until the silent one is removed from the member list. */
const replaceSilent = Effect.fnUntraced(function*(cluster: TestCluster, silent: TestReplica) {
    yield* TestClock.adjust(replaceAfterNoContactMs + 1_000);
    const added = cluster.addReplica("f");
    yield* cluster.startReplica(added.id);
    yield* TestClock.adjust(rejoinLimitMs);
    assert.deepEqual(listVoterIds(cluster), ["a", "b", "c", "d", "e", "f"].filter(id => id !== silent.id));
});

// Guards against a cluster that loses one voter for good with each process that was cut off for some seconds while another
// one joined.
void test("a process that was removed while it was cut off joins again when it is back, without a change of the leader", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startDirectoryCluster(5);
        const { leader, followers } = splitRoles(cluster);
        const away = followers[0] as TestReplica;
        const { term } = getLog(leader).readStatus();
        yield* proposeAll(leader, ["one"]);
        setIsolated(cluster, away, true);
        yield* replaceSilent(cluster, away);
        yield* proposeAll(leader, ["two"]);
        setIsolated(cluster, away, false);
        yield* TestClock.adjust(rejoinLimitMs);
        assert.deepEqual(listVoterIds(cluster), [...everyone, "f"]);
        assert.deepEqual([splitRoles(cluster).leader.id, getLog(leader).readStatus().term], [leader.id, term]);
        assert.deepEqual(away.machine.listCommands(), ["one", "two"]);
    })));

// Guards against the same loss when the process ended and started again with its data.
void test("a process that was removed while it was down joins again with its data", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startDirectoryCluster(5);
        const { leader, followers } = splitRoles(cluster);
        const away = followers[0] as TestReplica;
        yield* proposeAll(leader, ["one"]);
        yield* cluster.crashReplica(away.id, 1);
        yield* replaceSilent(cluster, away);
        yield* cluster.startReplica(away.id);
        yield* TestClock.adjust(rejoinLimitMs);
        assert.deepEqual(listVoterIds(cluster), [...everyone, "f"]);
        assert.deepEqual(away.machine.listCommands(), ["one"]);
    })));

// Guards against a majority that is lost by disks lost one at a time, each after the former process has had 4 s, because
// one admission waits for another.
void test("a process with an empty disk gets its vote although another one that joins does not catch up", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startDirectoryCluster(5);
        const { leader, followers } = splitRoles(cluster);
        const [slow, emptied] = followers as [TestReplica, TestReplica];
        yield* proposeAll(leader, ["one"]);
        yield* loseDisk(cluster, slow);
        yield* cluster.startReplica(slow.id);
        // Its requests arrive at the leader, and nothing of the leader arrives at it.
        cluster.network.setCut(leader.id, slow.id, true);
        yield* TestClock.adjust(1_500);
        yield* replaceDisk(cluster, emptied);
        yield* TestClock.adjust(rejoinLimitMs);
        assert.equal(listVoterIds(cluster).includes(emptied.id), true, JSON.stringify(listLeaderMembers(cluster)));
    })));

// Guards against a wait for the identity of a lost disk that holds up the admission of the same process.
void test("a learner that loses its disk again is replaced at once", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startDirectoryCluster(5);
        const { leader, followers } = splitRoles(cluster);
        const emptied = followers[0] as TestReplica;
        yield* proposeAll(leader, ["one"]);
        yield* loseDisk(cluster, emptied);
        yield* cluster.startReplica(emptied.id);
        emptied.memoryDisk.setSyncDelay(60_000);
        yield* TestClock.adjust(1_500);
        const learner = listLeaderMembers(cluster).find(({ id }) => id === emptied.id);
        assert.equal(learner?.votes, false, "the learner was admitted too early for this test");
        emptied.memoryDisk.setSyncDelay(0);
        yield* replaceDisk(cluster, emptied);
        yield* TestClock.adjust(rejoinLimitMs);
        assert.deepEqual(listVoterIds(cluster), everyone);
    })));

// Guards against a member list of which only a lost disk and one process are left, which no process can change any more.
void test("a voter is not removed for a process that has no vote yet, so that a lost disk does not end the cluster", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startDirectoryCluster(3);
        const { leader, followers } = splitRoles(cluster);
        const [away, emptied] = followers as [TestReplica, TestReplica];
        yield* proposeAll(leader, ["one"]);
        const added = cluster.addReplica("d");
        setIsolated(cluster, away, true);
        yield* TestClock.adjust(replaceAfterNoContactMs + 1_000);
        yield* cluster.startReplica(added.id);
        // The new process answers, and does not catch up before the disk is lost.
        added.memoryDisk.setSyncDelay(5_000);
        yield* TestClock.adjust(1_500);
        yield* replaceDisk(cluster, emptied);
        added.memoryDisk.setSyncDelay(0);
        yield* TestClock.adjust(2_000);
        setIsolated(cluster, away, false);
        yield* TestClock.adjust(12_000);
        assert.deepEqual(listVoterIds(cluster), ["a", "b", "c", "d"]);
        yield* proposeAll(splitRoles(cluster).leader, ["two"]);
        assert.deepEqual(cluster.replicas.map(each => each.machine.listCommands()), Array(4).fill(["one", "two"]));
    })));

// Guards against a majority that grows with each replaced host: the host falls silent only after its successor has joined.
void test("a voter that is gone for good leaves the list also when it fell silent after its successor had joined", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startDirectoryCluster(3);
        const { followers } = splitRoles(cluster);
        const [gone, next] = followers as [TestReplica, TestReplica];
        cluster.addReplica("d");
        yield* cluster.startReplica("d");
        yield* TestClock.adjust(rejoinLimitMs);
        assert.equal(listVoterIds(cluster).length, 4);
        yield* cluster.crashReplica(gone.id, 0);
        yield* TestClock.adjust(replaceAfterNoContactMs + 1_000);
        assert.equal(listLeaderMembers(cluster).some(({ id }) => id === gone.id), false);
        yield* cluster.crashReplica(next.id, 0);
        yield* TestClock.adjust(5_000);
        yield* proposeAll(splitRoles(cluster).leader, ["one"]);
    })));
