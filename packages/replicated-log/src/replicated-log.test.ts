import type { ErrorData, MemberChange } from "@chestnutspool/types";
import { Clock, Effect, Exit, Fiber } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { readIdentity } from "./fakes/log-model.js";
import {
    getError,
    getLog,
    proposeAll,
    runTest,
    settle,
    splitRoles,
    startCluster,
    type TestCluster,
    testLogSection,
    type TestReplica,
} from "./fakes/test-cluster.js";

function setIsolated(cluster: TestCluster, replica: TestReplica, cut: boolean): void {
    for (const other of cluster.replicas.filter(candidate => candidate !== replica)) {
        cluster.network.setCut(replica.id, other.id, cut);
        cluster.network.setCut(other.id, replica.id, cut);
    }
}

const applyMemberChanges = Effect.fnUntraced(function*(cluster: TestCluster, changes: readonly MemberChange[]) {
    for (const change of changes) {
        const exit = yield* settle(getLog(splitRoles(cluster).leader).changeMembers(change));
        assert.ok(Exit.isSuccess(exit), `${change.kind} ${change.id}: ${String(exit)}`);
    }
});

function planMemberAddition(replica: TestReplica): readonly MemberChange[] {
    const { id } = replica;
    return [
        { kind: "addLearner", id, address: `memory:${id}`, replicaIdentity: readIdentity(replica) },
        { kind: "promoteLearner", id },
    ];
}

for (const size of [1, 3, 5]) {
    void test(`${size} replicas elect one leader and apply a command everywhere`, () =>
        runTest(Effect.gen(function*() {
            const cluster = yield* startCluster(size);
            const { leader } = splitRoles(cluster);
            assert.deepEqual(yield* settle(getLog(leader).proposeCommand("one")), Exit.succeed(1));
            assert.ok(Exit.isSuccess(yield* settle(getLog(leader).confirmRead)));
            for (const replica of cluster.replicas) {
                assert.deepEqual(replica.machine.listCommands(), ["one"]);
            }
        })));
}

void test("a follower refuses a command with notLeader and names the leader", () =>
    runTest(Effect.gen(function*() {
        const { leader, followers } = splitRoles(yield* startCluster(3));
        const exit = yield* settle(getLog(followers[0] as TestReplica).proposeCommand("one"));
        assert.deepEqual(getError(exit), { kind: "notLeader", leader: leader.id });
    })));

// Guards against stale reads, and against `notLeader`, which means "not appended", for a command in the old leader's log.
void test("a partitioned leader fails reads, reports appended commands as outcomeUnknown and steps down", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader, followers } = splitRoles(cluster);
        setIsolated(cluster, leader, true);
        const both = Effect.all([
            Effect.exit(getLog(leader).confirmRead),
            Effect.exit(getLog(leader).proposeCommand("lost")),
        ], { concurrency: "unbounded" });
        const exit = yield* settle(both);
        assert.ok(Exit.isSuccess(exit));
        assert.equal(getError(exit.value[0]).kind, "notLeader");
        assert.equal(getError(exit.value[1]).kind, "outcomeUnknown");
        assert.notEqual(getLog(leader).readStatus().role, "leader");
        const next = splitRoles(cluster).leader;
        assert.ok(followers.includes(next));
        yield* proposeAll(next, ["kept"]);
        setIsolated(cluster, leader, false);
        yield* TestClock.adjust(2_000);
        assert.deepEqual(leader.machine.listCommands(), ["kept"]);
    })));

// Guards against a partitioned replica that raises its term and makes a healthy leader step down when it is reconnected.
void test("a follower that is reconnected after a partition does not end the leadership", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader, followers } = splitRoles(cluster);
        const { term } = getLog(leader).readStatus();
        setIsolated(cluster, followers[0] as TestReplica, true);
        yield* TestClock.adjust(10_000);
        setIsolated(cluster, followers[0] as TestReplica, false);
        yield* TestClock.adjust(3_000);
        assert.equal(splitRoles(cluster).leader, leader);
        assert.equal(getLog(leader).readStatus().term, term);
    })));

// Guards against a process that was suspended and resumed (SIGSTOP): its timers have not run yet when the first call comes.
void test("a leader suspended for longer than the election timeout refuses commands and steps down", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader } = splitRoles(cluster);
        const clock = yield* Clock.Clock;
        const jumped = Object.assign(Object.create(clock) as Clock.Clock, {
            monotonicTimeNanos: Effect.map(clock.monotonicTimeNanos, nanoseconds => nanoseconds + 2_000_000_000n),
        });
        const proposal = getLog(leader).proposeCommand("late").pipe(Effect.provideService(Clock.Clock, jumped));
        assert.equal(getError(yield* Effect.exit(proposal)).kind, "notLeader");
        assert.notEqual(getLog(leader).readStatus().role, "leader");
    })));

void test("a replica hundreds of entries behind gets a snapshot in chunks, and covered files are removed", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3, { ...testLogSection, snapshotEveryEntries: 50 });
        const { leader, followers } = splitRoles(cluster);
        const behind = followers[0] as TestReplica;
        yield* cluster.crashReplica(behind.id, 0);
        // 400 commands of 4 KiB are a snapshot of 1.6 MiB, which is seven chunks.
        const commands = Array.from({ length: 400 }, (item, index) => `${index}`.padEnd(4_096, "."));
        yield* proposeAll(leader, commands);
        yield* cluster.startReplica(behind.id);
        yield* TestClock.adjust(3_000);
        assert.deepEqual(behind.machine.listCommands(), commands);
        assert.ok(getLog(behind).readStatus().snapshotIndex >= 350);
        for (const replica of [leader, behind]) {
            const files = replica.memoryDisk.listNames().filter(name => name.startsWith("log-"));
            assert.ok(files.length <= 2, `log files left on ${replica.id}: ${files.join(" ")}`);
        }
        yield* cluster.crashReplica(behind.id, 0);
        yield* cluster.startReplica(behind.id);
        yield* TestClock.adjust(2_000);
        assert.deepEqual(behind.machine.listCommands(), commands);
    })));

void test("a transfer moves leadership and loses no command", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader } = splitRoles(cluster);
        const proposals = Effect.all([
            Effect.exit(getLog(leader).proposeCommand("one")),
            Effect.exit(getLog(leader).transferLeadership),
            Effect.exit(Effect.delay(getLog(leader).proposeCommand("two"), 1)),
        ], { concurrency: "unbounded" });
        const exit = yield* settle(proposals, 400);
        assert.ok(Exit.isSuccess(exit));
        assert.deepEqual(exit.value[0], Exit.succeed(1));
        assert.ok(Exit.isSuccess(exit.value[1]));
        assert.equal(getError(exit.value[2]).kind, "notLeader");
        assert.notEqual(splitRoles(cluster).leader, leader);
    })));

// Guards against a replica with an emptied folder whose vote elects a leader without the acknowledged commands.
for (const emptied of ["a", "b", "c"]) {
    void test(`replica ${emptied} with an emptied folder neither votes nor forms a cluster until it is added again`, () =>
        runTest(Effect.gen(function*() {
            const cluster = yield* startCluster(3);
            yield* proposeAll(splitRoles(cluster).leader, ["one"]);
            const replica = cluster.getReplica(emptied);
            yield* cluster.crashReplica(emptied, 0);
            replica.memoryDisk.removeAll();
            yield* cluster.startReplica(emptied);
            yield* TestClock.adjust(6_000);
            assert.equal(getLog(replica).readStatus().role, "learner");
            const { leader } = splitRoles(cluster);
            yield* cluster.crashReplica(leader.id, 0);
            yield* TestClock.adjust(6_000);
            assert.equal(cluster.findLeader(), undefined, "a leader without a majority of the members");
            yield* cluster.startReplica(leader.id);
            yield* TestClock.adjust(6_000);
            const [addLearner] = planMemberAddition(replica);
            const early = yield* settle(getLog(splitRoles(cluster).leader).changeMembers(addLearner as MemberChange));
            assert.equal(getError(early).kind, "invalidArgument");
            yield* applyMemberChanges(cluster, [{ kind: "removeMember", id: emptied }, ...planMemberAddition(replica)]);
            assert.deepEqual(replica.machine.listCommands(), ["one"]);
        })));
}

// Guards against a promotion before the new replica has synced what the others acknowledged.
void test("the loss of a second replica just after the first was replaced loses no command", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const commands = Array.from({ length: 30 }, (item, index) => `command-${index}`);
        yield* proposeAll(splitRoles(cluster).leader, commands);
        const repaired = cluster.getReplica("c");
        yield* cluster.crashReplica("c", 0);
        repaired.memoryDisk.removeAll();
        yield* cluster.startReplica("c");
        yield* TestClock.adjust(6_000);
        yield* applyMemberChanges(cluster, [{ kind: "removeMember", id: "c" }, ...planMemberAddition(repaired)]);
        const second = splitRoles(cluster).leader;
        assert.notEqual(second.id, "c");
        yield* cluster.crashReplica(second.id, 0);
        second.memoryDisk.removeAll();
        yield* TestClock.adjust(6_000);
        yield* proposeAll(splitRoles(cluster).leader, ["last"]);
        assert.deepEqual(repaired.machine.listCommands(), [...commands, "last"]);
    })));

void test("a replica that was not an initial member replaces the leader, one change at a time", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader } = splitRoles(cluster);
        yield* proposeAll(leader, ["one"]);
        const added = cluster.addReplica("d");
        yield* cluster.startReplica("d");
        yield* applyMemberChanges(cluster, [...planMemberAddition(added), { kind: "removeMember", id: leader.id }]);
        const next = splitRoles(cluster).leader;
        assert.notEqual(next, leader);
        assert.deepEqual(getLog(next).readStatus().members.map(member => member.id).includes(leader.id), false);
        yield* proposeAll(next, ["two"]);
        assert.deepEqual(added.machine.listCommands(), ["one", "two"]);
    })));

// Guards against two member lists whose majorities do not overlap.
void test("a second member change is refused during the first, and a learner gets no vote before it has caught up", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader } = splitRoles(cluster);
        const [first, second] = [cluster.addReplica("d"), cluster.addReplica("e")];
        yield* cluster.startReplica("d");
        yield* cluster.startReplica("e");
        const additions = [first, second].map(replica => planMemberAddition(replica)[0] as MemberChange);
        const changes = Effect.forEach(additions, change => Effect.exit(getLog(leader).changeMembers(change)), {
            concurrency: "unbounded",
        });
        const exit = yield* settle(changes);
        assert.ok(Exit.isSuccess(exit));
        assert.ok(Exit.isSuccess(exit.value[0] as Exit.Exit<void>));
        assert.equal(getError(exit.value[1] as Exit.Exit<void, ErrorData>).kind, "membershipChangeInProgress");
        yield* cluster.crashReplica("d", 0);
        yield* proposeAll(leader, ["one"]);
        const promotion = yield* Effect.forkChild(getLog(leader).changeMembers({ kind: "promoteLearner", id: "d" }));
        yield* TestClock.adjust(5_000);
        assert.equal(promotion.pollUnsafe(), undefined);
        assert.equal(getLog(leader).readStatus().members.find(member => member.id === "d")?.votes, false);
    })));

// Guards against a learner that is gone and holds up the replacement of other replicas, or its own, for a minute.
void test("other members are changed while a learner catches up, and its promotion ends when it is replaced", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader } = splitRoles(cluster);
        const gone = cluster.addReplica("d");
        yield* cluster.startReplica("d");
        const [addition, promotion] = planMemberAddition(gone) as [MemberChange, MemberChange];
        yield* applyMemberChanges(cluster, [addition]);
        yield* cluster.crashReplica("d", 0);
        yield* proposeAll(leader, ["one"]);
        const waiting = yield* Effect.forkChild(Effect.exit(getLog(leader).changeMembers(promotion)));
        yield* TestClock.adjust(1_000);
        const added = cluster.addReplica("e");
        yield* cluster.startReplica("e");
        yield* applyMemberChanges(cluster, planMemberAddition(added));
        assert.equal(waiting.pollUnsafe(), undefined);
        gone.memoryDisk.removeAll();
        yield* cluster.startReplica("d");
        yield* applyMemberChanges(cluster, [{ kind: "removeMember", id: "d" }, ...planMemberAddition(gone)]);
        assert.equal(getError(yield* Fiber.join(waiting)).kind, "notFound");
        const voters = getLog(leader).readStatus().members.filter(({ votes }) => votes).map(({ id }) => id);
        assert.deepEqual(voters, ["a", "b", "c", "e", "d"]);
    })));
