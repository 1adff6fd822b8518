import { silentLogger } from "@chestnutspool/logger";
import { createMemoryNetwork, type MemoryNetwork } from "@chestnutspool/peer-link";
import { createMetrics } from "@chestnutspool/record-metrics";
import type { OrderAnswer, ReplicaRole, ReplicaStatus } from "@chestnutspool/types";
import { Deferred, Effect, Exit, Fiber, Scope } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFakePort, type FakePort, makeWorker, order, run, zone } from "./fakes/fake-port.js";
import { openWorkerCalls, type RelayedWorkerCalls } from "./index.js";

interface Member {
    readonly calls: RelayedWorkerCalls;
    readonly fake: FakePort;
    readonly setRole: (role: ReplicaRole) => void;
    /** Makes the next read of the status throw. */
    readonly failStatusOnce: () => void;
}

/** Opens the calls of a control process in a cluster of the given processes. */
const openMember = Effect.fnUntraced(function*(
    network: MemoryNetwork,
    self: string,
    ids: readonly string[],
    role: ReplicaRole,
    answer: Effect.Effect<OrderAnswer> = Effect.succeed({ kind: "done", clockMs: 7 }),
) {
    const link = yield* network.createLink(self, silentLogger);
    ids.forEach(id => link.setPeer(id, `${id}:1`));
    const fake = createFakePort(answer);
    const members = ids.map(id => ({ id, address: `${id}:1`, replicaIdentity: id, votes: true }));
    const makeStatus = (present: ReplicaRole): ReplicaStatus => ({
        self,
        identity: self,
        role: present,
        term: 1,
        leader: undefined,
        lastIndex: 0,
        commitIndex: 0,
        appliedIndex: 0,
        snapshotIndex: 0,
        members,
    });
    let status = makeStatus(role);
    let failsStatus = false;
    const listeners = new Set<(status: ReplicaStatus) => void>();
    const calls = yield* openWorkerCalls({
        link,
        log: {
            readStatus: () => {
                if (failsStatus) {
                    failsStatus = false;
                    throw new Error("the status cannot be read");
                }
                return status;
            },
            watchStatus: listener => {
                listeners.add(listener);
                return () => listeners.delete(listener);
            },
        },
        workers: fake.port,
        availabilityZone: zone,
        logger: silentLogger,
        metrics: createMetrics(),
    });
    const setRole = (next: ReplicaRole): void => {
        status = makeStatus(next);
        listeners.forEach(listener => listener(status));
    };
    const failStatusOnce = (): void => {
        failsStatus = true;
    };
    return { calls, fake, setRole, failStatusOnce } satisfies Member;
});

const awaitCondition = (check: () => boolean) =>
    Effect.gen(function*() {
        while (!check()) {
            yield* Effect.sleep(5);
        }
    });

const awaitRelays = (member: Member, count: number) => awaitCondition(() => member.calls.countRelays() === count);

function testScoped(name: string, body: Effect.Effect<void, never, Scope.Scope>): void {
    test(name, { timeout: 60_000 }, () => Effect.runPromise(Effect.scoped(body)));
}

// Guards against calls that lose a field on their way, and against a leader that works although it has relays.
testScoped(
    "each kind of call is carried out by a relay, and its answer comes back",
    Effect.gen(function*() {
        const network = yield* createMemoryNetwork;
        const leader = yield* openMember(network, "a", ["a", "b"], "leader");
        const relay = yield* openMember(network, "b", ["a", "b"], "follower");
        yield* awaitRelays(leader, 1);
        const { port } = leader.calls;
        const worker = makeWorker("w");
        assert.deepEqual(yield* port.startRun(worker, order, 1_000), { kind: "done", clockMs: 7 });
        assert.equal((yield* port.stopRun(worker, run, 3, 1_000)).kind, "done");
        assert.equal((yield* port.paceRun(worker, run, 40, 3, 1_000)).kind, "done");
        const renewal = { leaseUntilMs: undefined, fencingToken: 3, acknowledgedSequence: 0, waitMs: 0 };
        const report = yield* port.renewLease(worker, renewal, 1_000);
        assert.deepEqual(report, { kind: "report", clockMs: 7, running: [], ended: [], isComplete: true });
        port.closeConnections(worker);
        yield* awaitCondition(() => relay.fake.calls.length >= 5);
        const kinds = ["startRun", "stopRun", "paceRun", "renewLease", "closeConnections"];
        assert.deepEqual(relay.fake.calls, kinds.map(kind => `${kind} w w:80`));
        assert.deepEqual(leader.fake.calls, ["closeConnections w w:80"]);
    }),
);

// Guards against a leader that spends its processor time on encoding calls which a relay encodes again.
testScoped(
    "a call that a relay carries out is not prepared by the leader",
    Effect.gen(function*() {
        const network = yield* createMemoryNetwork;
        const leader = yield* openMember(network, "a", ["a", "b"], "leader");
        yield* openMember(network, "b", ["a", "b"], "follower");
        yield* awaitRelays(leader, 1);
        const { port } = leader.calls;
        const worker = makeWorker("w");
        yield* port.startRun(worker, order, 1_000);
        yield* port.stopRun(worker, run, 3, 1_000);
        yield* port.paceRun(worker, run, 40, 3, 1_000);
        const renewal = { leaseUntilMs: undefined, fencingToken: 3, acknowledgedSequence: 0, waitMs: 0 };
        yield* port.renewLease(worker, renewal, 1_000);
        assert.deepEqual(leader.fake.prepared, []);
    }),
);

// Guards against a single control process that waits for relays.
testScoped(
    "a leader without a usable relay carries out its calls itself",
    Effect.gen(function*() {
        const network = yield* createMemoryNetwork;
        const leader = yield* openMember(network, "a", ["a"], "leader");
        assert.equal((yield* leader.calls.port.startRun(makeWorker("w"), order, 1_000)).kind, "done");
        assert.deepEqual(leader.fake.calls, ["startRun w w:80"]);
    }),
);

// Guards against an update during which the leader hands calls to processes that do not know the channel.
testScoped(
    "a process of an earlier version is not used",
    Effect.gen(function*() {
        const network = yield* createMemoryNetwork;
        const leader = yield* openMember(network, "a", ["a", "old", "new"], "leader");
        yield* network.createLink("old", silentLogger);
        const relay = yield* openMember(network, "new", ["a", "old", "new"], "follower");
        yield* awaitRelays(leader, 1);
        for (let index = 0; index < 20; index += 1) {
            assert.equal((yield* leader.calls.port.startRun(makeWorker(`w${index}`), order, 1_000)).kind, "done");
        }
        assert.equal(relay.fake.calls.length, 20);
        assert.equal(leader.calls.countRelays(), 1);
    }),
);

// Guards against workers that seem lost, or calls that hang, because a relay does not answer or has ended.
testScoped(
    "calls at a relay whose answers are lost or which ends become unknown, and it is used again when it answers",
    Effect.gen(function*() {
        const network = yield* createMemoryNetwork;
        const leader = yield* openMember(network, "a", ["a", "b"], "leader");
        const scope = yield* Scope.fork(yield* Effect.scope);
        const relay = yield* Scope.provide(openMember(network, "b", ["a", "b"], "follower", Effect.never), scope);
        yield* awaitRelays(leader, 1);
        const startOne = leader.calls.port.startRun(makeWorker("w"), order, 60_000);
        const silent = yield* Effect.forkChild(startOne);
        yield* Effect.yieldNow;
        network.setCut("b", "a", true);
        assert.equal((yield* Fiber.join(silent)).kind, "unknown");
        assert.equal((yield* startOne).kind, "done");
        assert.deepEqual(leader.fake.calls, ["startRun w w:80"]);
        network.setCut("b", "a", false);
        yield* awaitRelays(leader, 1);
        const ended = yield* Effect.forkChild(startOne);
        yield* awaitCondition(() => relay.fake.calls.length === 2);
        yield* Scope.close(scope, Exit.void);
        assert.equal((yield* Fiber.join(ended)).kind, "unknown");
        assert.equal((yield* startOne).kind, "done");
        const again = yield* openMember(network, "b", ["a", "b"], "follower");
        yield* awaitRelays(leader, 1);
        assert.equal((yield* startOne).kind, "done");
        assert.deepEqual(again.fake.calls, ["startRun w w:80"]);
    }),
);

// Guards against calls that fail, and workers that count as not answering, each time a process is replaced.
testScoped(
    "a relay that is drained ends its calls and gets no further ones, and the next process in its place is used",
    Effect.gen(function*() {
        const network = yield* createMemoryNetwork;
        const leader = yield* openMember(network, "a", ["a", "b", "c"], "leader");
        const scope = yield* Scope.fork(yield* Effect.scope);
        const isAnswering = yield* Deferred.make<void>();
        const answer = Effect.as(Deferred.await(isAnswering), { kind: "done", clockMs: 7 } as const);
        const leaving = yield* Scope.provide(openMember(network, "b", ["a", "b", "c"], "follower", answer), scope);
        const other = yield* openMember(network, "c", ["a", "b", "c"], "follower", answer);
        yield* awaitRelays(leader, 2);
        const outcomes: string[] = [];
        const startSome = Effect.gen(function*() {
            const expected = leaving.fake.calls.length + other.fake.calls.length + 20;
            for (let index = 0; index < 20; index += 1) {
                const start = leader.calls.port.startRun(makeWorker(`w${index}`), order, 1_000);
                yield* Effect.forkScoped(Effect.map(start, ({ kind }) => outcomes.push(kind)));
            }
            yield* awaitCondition(() => leaving.fake.calls.length + other.fake.calls.length === expected);
        });
        yield* startSome;
        const before = leaving.fake.calls.length;
        assert.ok(before > 0 && before < 20);
        const drained = yield* Effect.forkChild(Effect.andThen(leaving.calls.drain, Scope.close(scope, Exit.void)));
        yield* awaitRelays(leader, 1);
        assert.equal(drained.pollUnsafe(), undefined, "the leader learns of it only when the process has ended");
        yield* startSome;
        yield* Deferred.succeed(isAnswering, undefined);
        yield* Fiber.join(drained);
        yield* awaitCondition(() => outcomes.length === 40);
        assert.equal(leaving.fake.calls.length, before);
        assert.equal(other.fake.calls.length, 40 - before);
        assert.deepEqual(outcomes, Array.from({ length: 40 }, () => "done"));
        yield* openMember(network, "b", ["a", "b", "c"], "follower");
        yield* awaitRelays(leader, 2);
    }),
);

// Guards against a process that takes seconds to stop because a worker does not answer, or although it serves nobody.
testScoped(
    "draining ends at once without a leader, and after a second in any case",
    Effect.gen(function*() {
        const network = yield* createMemoryNetwork;
        const alone = yield* openMember(network, "x", ["x"], "follower");
        // Fails if the drain waits for anything.
        Effect.runSync(alone.calls.drain);
        const leader = yield* openMember(network, "a", ["a", "b"], "leader");
        const relay = yield* openMember(network, "b", ["a", "b"], "follower", Effect.never);
        yield* awaitRelays(leader, 1);
        yield* Effect.forkScoped(leader.calls.port.startRun(makeWorker("w"), order, 60_000));
        yield* awaitCondition(() => relay.fake.calls.length === 1);
        const drainedMs = performance.now();
        yield* relay.calls.drain;
        const tookMs = performance.now() - drainedMs;
        assert.ok(tookMs > 900 && tookMs < 1_500, `draining took ${tookMs} ms`);
    }),
);

// Guards against a new leader that makes its first calls itself, and against probes between all processes at all times.
testScoped(
    "a process uses relays as soon as it becomes leader, and none after it",
    Effect.gen(function*() {
        const network = yield* createMemoryNetwork;
        const first = yield* openMember(network, "a", ["a", "b"], "leader");
        const second = yield* openMember(network, "b", ["a", "b"], "follower");
        yield* awaitRelays(first, 1);
        assert.equal(second.calls.countRelays(), 0);
        first.setRole("follower");
        second.setRole("candidate");
        yield* awaitRelays(second, 1);
        assert.equal(first.calls.countRelays(), 0);
        second.setRole("leader");
        assert.equal((yield* second.calls.port.startRun(makeWorker("w"), order, 1_000)).kind, "done");
        assert.deepEqual(first.fake.calls, ["startRun w w:80"]);
    }),
);

// Guards against a leader that finds no relays any more after one exception in the loop that probes them.
testScoped(
    "relays are still probed after an exception in the loop that does it",
    Effect.gen(function*() {
        const network = yield* createMemoryNetwork;
        const leader = yield* openMember(network, "a", ["a", "b"], "leader");
        leader.failStatusOnce();
        yield* Effect.sleep(500);
        yield* openMember(network, "b", ["a", "b"], "follower");
        const found = yield* Effect.timeoutOption(awaitRelays(leader, 1), 10_000);
        assert.equal(found._tag, "Some");
    }),
);
