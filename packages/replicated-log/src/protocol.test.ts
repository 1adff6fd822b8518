import { type Logger, silentLogger } from "@chestnutspool/logger";
import type { Channel, ErrorData } from "@chestnutspool/types";
import { Effect, Exit, Fiber } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { readIdentity } from "./fakes/log-model.js";
import {
    getError,
    getLog,
    proposeAll,
    runReady,
    runTest,
    settle,
    splitRoles,
    startCluster,
    testLogSection,
    type TestReplica,
} from "./fakes/test-cluster.js";
import { type LogEntry, logProtocolVersion, type LogReply, type LogRequest } from "./messages.js";

type RawChannel = Channel<LogRequest, LogReply>;
type Answer = (request: LogRequest) => Effect.Effect<LogReply, ErrorData>;

const callLimitMs = 1_000;
const refuseVotes: Answer = () => Effect.succeed({ kind: "vote", term: 0, granted: false });

/** A cluster in which only replica "b" runs; the test sends and answers the messages of "a" and "c". */
const startSingleReplica = Effect.fnUntraced(function*(answer: Answer = refuseVotes, logger: Logger = silentLogger) {
    const cluster = yield* startCluster(3, testLogSection, logger);
    yield* proposeAll(splitRoles(cluster).leader, ["one"]);
    for (const id of ["a", "c"]) {
        yield* cluster.crashReplica(id, 0);
    }
    // After an election timeout without contact with a leader, replicas grant votes again.
    yield* TestClock.adjust(2_000);
    const channels: RawChannel[] = [];
    for (const id of ["a", "c"]) {
        const link = yield* cluster.network.createLink(id, silentLogger);
        link.setPeer("b", "memory:b");
        channels.push(
            link.openChannel<LogRequest, LogReply>("log", { handleCall: (from, request) => answer(request) }),
        );
    }
    const [first, second] = channels as [RawChannel, RawChannel];
    return { cluster, replica: cluster.getReplica("b"), first, second };
});

const createHeader = (replica: TestReplica, fromIdentity: string, term: number) => ({
    version: logProtocolVersion,
    term,
    fromIdentity,
    toIdentity: readIdentity(replica),
});

const sendVote = (channel: RawChannel, replica: TestReplica, fromIdentity: string, term: number) =>
    channel.callPeer("b", {
        ...createHeader(replica, fromIdentity, term),
        kind: "vote",
        preVote: false,
        transfer: false,
        lastIndex: 1_000,
        lastTerm: 1_000,
    }, callLimitMs);

const sendEntries = (channel: RawChannel, replica: TestReplica, term: number, prevTerm: number, count: number) => {
    const { lastIndex } = getLog(replica).readStatus();
    const entries = Array.from({ length: count }, (item, step): LogEntry => ({
        kind: "noop",
        index: lastIndex + 1 + step,
        term,
    }));
    return channel.callPeer("b", {
        ...createHeader(replica, "first", term),
        kind: "append",
        prevIndex: lastIndex,
        prevTerm,
        entries,
        commitIndex: 0,
    }, callLimitMs);
};

function isGranted(exit: Exit.Exit<LogReply, ErrorData> | undefined): boolean {
    return exit !== undefined && Exit.isSuccess(exit) && exit.value.kind === "vote" && exit.value.granted;
}

void test("a replica grants at most one vote in a term", () =>
    runTest(Effect.gen(function*() {
        const { replica, first, second } = yield* startSingleReplica();
        const term = getLog(replica).readStatus().term + 5;
        assert.ok(isGranted(yield* settle(sendVote(first, replica, "first", term), 200)));
        assert.ok(isGranted(yield* settle(sendVote(first, replica, "first", term), 200)), "a lost reply is repeated");
        assert.ok(!isGranted(yield* settle(sendVote(second, replica, "second", term), 200)));
    })));

// Guards against a second vote in a term after a crash between the answer and the sync.
void test("a vote is synced before the answer", () =>
    runTest(Effect.gen(function*() {
        const { cluster, replica, first, second } = yield* startSingleReplica();
        const term = getLog(replica).readStatus().term + 5;
        replica.memoryDisk.setSyncDelay(50);
        const early = yield* Effect.forkChild(sendVote(first, replica, "first", term));
        yield* runReady;
        const grantedEarly = isGranted(early.pollUnsafe());
        yield* cluster.crashReplica("b", 0);
        yield* Fiber.interrupt(early);
        replica.memoryDisk.setSyncDelay(0);
        yield* cluster.startReplica("b");
        yield* TestClock.adjust(100);
        const grantedLater = isGranted(yield* settle(sendVote(second, replica, "second", term), 200));
        assert.deepEqual([grantedEarly, grantedLater], [false, true]);
    })));

// Guards against a majority that counts entries which a crash of the follower would lose.
void test("a follower reports entries as synced only after their sync", () =>
    runTest(Effect.gen(function*() {
        const { cluster, replica, first } = yield* startSingleReplica();
        const before = getLog(replica).readStatus();
        replica.memoryDisk.setSyncDelay(400);
        // The first request only raises the term; the sync of the term must not count as the sync of the entries.
        yield* settle(sendEntries(first, replica, before.term + 1, before.term, 0), 500);
        const exit = yield* settle(sendEntries(first, replica, before.term + 1, before.term, 3), 150);
        assert.ok(Exit.isSuccess(exit) && exit.value.kind === "append", String(exit));
        assert.equal(exit.value.verifiedIndex, before.lastIndex + 3);
        yield* cluster.crashReplica("b", 0);
        replica.memoryDisk.setSyncDelay(0);
        yield* cluster.startReplica("b");
        assert.ok(getLog(replica).readStatus().lastIndex >= exit.value.syncedIndex, "reported entries are lost");
    })));

// Guards against the commit of an entry of an older term by counting its copies: a later leader may still replace such an
// entry (figure 8 of the Raft paper).
void test("an entry of an older term is not committed before one of the leader's own term", () =>
    runTest(Effect.gen(function*() {
        let synced = 0;
        const { replica, first } = yield* startSingleReplica(request => {
            switch (request.kind) {
                case "vote":
                    return Effect.succeed({ kind: "vote", term: 0, granted: true });
                case "append":
                    return Effect.succeed({
                        kind: "append",
                        term: request.term,
                        accepted: true,
                        verifiedIndex: synced,
                        syncedIndex: synced,
                    });
                case "snapshot":
                case "campaign":
                case "identify":
                    return Effect.die("not expected");
            }
        });
        const before = getLog(replica).readStatus();
        synced = before.lastIndex + 1;
        yield* settle(sendEntries(first, replica, before.term + 1, before.term, 1), 200);
        yield* TestClock.adjust(4_000);
        const { role, commitIndex } = getLog(replica).readStatus();
        assert.equal(role, "leader");
        assert.ok(commitIndex < synced, `entry ${synced} of an older term was committed`);
    })));

// Guards against a majority that counts the unsynced copy of the leader.
void test("the leader's own copy counts for the majority only after its sync", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader, followers } = splitRoles(cluster);
        yield* cluster.crashReplica(followers[0]?.id as string, 0);
        leader.memoryDisk.setSyncDelay(400);
        const proposal = yield* Effect.forkChild(getLog(leader).proposeCommand("one"));
        yield* TestClock.adjust(300);
        assert.equal(proposal.pollUnsafe(), undefined, "acknowledged with one synced copy of three");
        yield* TestClock.adjust(300);
        assert.deepEqual(yield* Fiber.join(proposal), 1);
    })));

// Guards against a read at a new leader that does not know yet which entries the old one had committed.
void test("a new leader confirms reads only after an entry of its term is committed", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(3);
        const { leader, followers } = splitRoles(cluster);
        for (const follower of followers) {
            getLog(follower).watchStatus(status => {
                if (status.role === "leader") {
                    followers.forEach(each => each.memoryDisk.setSyncDelay(1_500));
                }
            });
        }
        const proposal = yield* Effect.forkChild(getLog(leader).proposeCommand("one"));
        yield* TestClock.adjust(2);
        assert.equal(yield* Fiber.join(proposal), 1);
        yield* cluster.crashReplica(leader.id, 0);
        for (let waitedMs = 0; cluster.findLeader() === undefined && waitedMs < 5_000; waitedMs += 10) {
            yield* TestClock.adjust(10);
        }
        const next = splitRoles(cluster).leader;
        assert.deepEqual(next.machine.listCommands(), [], "the commit was known too early for this test");
        const read = Effect.map(getLog(next).confirmRead, () => next.machine.listCommands().length);
        const exit = yield* settle(read, 4_000);
        assert.deepEqual(exit, Exit.succeed(1));
    })));

// Guards against a replica that ends without a line about the cause, or that replaces an entry it has applied.
void test("an entry that conflicts with a committed one stops the replica, with one line that names it", () =>
    runTest(Effect.gen(function*() {
        const lines: { readonly message: string; readonly detail: unknown; }[] = [];
        const logger: Logger = {
            ...silentLogger,
            error: (message, fields) => lines.push({ message, detail: fields?.["detail"] }),
            forService: () => logger,
        };
        const { replica, first } = yield* startSingleReplica(refuseVotes, logger);
        const { term, commitIndex } = getLog(replica).readStatus();
        assert.deepEqual(replica.machine.listCommands(), ["one"]);
        const exit = yield* settle(
            first.callPeer("b", {
                ...createHeader(replica, "first", term + 5),
                kind: "append",
                prevIndex: commitIndex - 1,
                prevTerm: term,
                entries: [{ kind: "noop", index: commitIndex, term: term + 5 }],
                commitIndex,
            }, callLimitMs),
            200,
        );
        const detail = `Error: entry ${commitIndex} of the leader conflicts with a committed entry`;
        assert.deepEqual(getError(exit), { kind: "internal", detail });
        assert.deepEqual(lines, [{ message: "replica stopped", detail }]);
        assert.equal(getLog(replica).readStatus().role, "stopped");
        assert.deepEqual(replica.machine.listCommands(), ["one"]);
        const refused = yield* settle(sendEntries(first, replica, term + 5, term, 0), 200);
        assert.deepEqual(getError(refused), { kind: "internal", detail });
    })));

/**
 * Lets replica "b" follow the test as a leader that asks it for a transfer while its disk is full, and frees the disk 5 s later.
 * Returns the status of "b" before the request, after the 5 s and 3 s later, and how many votes it asked for.
 */
const requestTransferOnFullDisk = Effect.fnUntraced(function*(entriesOnFullDisk: number) {
    let votes = 0;
    const { replica, first } = yield* startSingleReplica(request => {
        votes += request.kind === "vote" ? 1 : 0;
        return refuseVotes(request);
    });
    const before = getLog(replica).readStatus();
    const term = before.term + 5;
    yield* settle(sendEntries(first, replica, term, before.term, 1), 200);
    votes = 0;
    const keepLeading = Effect.fnUntraced(function*(durationMs: number) {
        for (let passedMs = 0; passedMs < durationMs; passedMs += 200) {
            const heartbeat = yield* Effect.forkChild(Effect.exit(sendEntries(first, replica, term, term, 0)));
            yield* TestClock.adjust(200);
            yield* Fiber.interrupt(heartbeat);
        }
        return getLog(replica).readStatus();
    });
    const requested = getLog(replica).readStatus();
    replica.memoryDisk.setFreeBytes(0);
    if (entriesOnFullDisk > 0) {
        yield* settle(sendEntries(first, replica, term, term, entriesOnFullDisk), 200);
    }
    const request = { ...createHeader(replica, "first", term), kind: "campaign" as const };
    yield* Effect.forkScoped(Effect.exit(first.callPeer("b", request, callLimitMs)));
    const whileFull = yield* keepLeading(5_000);
    replica.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
    const afterwards = yield* keepLeading(3_000);
    return { requested, whileFull, afterwards, votes };
});

// Guards against a change of leader minutes after a transfer was given up, when the disk of its target takes writes again.
for (const [state, entriesOnFullDisk] of [["known to fail", 1], ["not written to since it was full", 0]] as const) {
    void test(`a transfer that is asked of a replica whose disk is ${state} is dropped`, () =>
        runTest(Effect.gen(function*() {
            const { requested, whileFull, afterwards, votes } = yield* requestTransferOnFullDisk(entriesOnFullDisk);
            assert.deepEqual([requested.role, requested.leader], ["follower", "a"]);
            for (const [phase, { role, leader, term }] of Object.entries({ whileFull, afterwards })) {
                const found = `${phase}: ${role} of term ${term}`;
                assert.deepEqual([role, leader, term], ["follower", "a", requested.term], found);
            }
            assert.equal(votes, 0);
        })));
}
