import { silentLogger } from "@chestnutspool/logger";
import * as schema from "@chestnutspool/schema";
import type { ChannelHandler, ControlNotice, ControlReply, ControlRequest } from "@chestnutspool/types";
import { Deferred, Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { runWithClock, startTestControl, type TestControl } from "./fakes/make-control.js";

/** Session TTL of 3,000 ms, 1 % clock drift and 250 ms margin; the loop that expires leases runs every 100 ms. */
const sessionExpiryMs = 3_280;
/** Worker lease of 10,000 ms, 1 % clock drift and 1,000 ms margin. */
const workerExpiryMs = 11_100;
const checkIntervalMs = 100;

const addTenant = ({ callOperator }: TestControl) =>
    callOperator("ApplyTenant", schema.ApplyTenantRequestSchema, schema.ChangeResponseSchema, {
        operatorRequestId: "tenant",
        tenant: { id: "moreno", quota: { milliCpu: 9_000, memoryMib: 9_000 } },
    });

const addWatch = ({ callOperator }: TestControl, operatorRequestId = "watch") =>
    callOperator("ApplyWork", schema.ApplyWorkRequestSchema, schema.ChangeResponseSchema, {
        operatorRequestId,
        work: {
            name: "ash",
            tenant: "moreno",
            command: "follow",
            resources: { milliCpu: 1_000, memoryMib: 100 },
            kind: { case: "watch", value: { checkpointIntervalMs: 500 } },
        },
    });

const setKey = ({ callOperator }: TestControl, value: number) =>
    callOperator("SetConfiguration", schema.SetConfigurationRequestSchema, schema.ChangeResponseSchema, {
        operatorRequestId: `set-${value}`,
        entries: { key: String(value) },
        expectedRevision: BigInt(value - 1),
    });

function getSession(reply: ControlReply): Extract<ControlReply, { readonly kind: "session"; }> {
    assert.equal(reply.kind, "session");
    return reply;
}

function listActions(response: schema.SyncResponse): string[] {
    return response.directives.map(({ task, token, action }) => `${action.case} ${task} ${token}`);
}

/** The error of an effect that must fail. */
const getError = <Value, Failure>(effect: Effect.Effect<Value, Failure>) => Effect.orDie(Effect.flip(effect));

/** Runs an effect, such as a held sync, while the clock advances. */
const advance = <Value, Failure>(held: Effect.Effect<Value, Failure>, milliseconds: number) =>
    Effect.gen(function*() {
        const fiber = yield* Effect.forkChild(held);
        yield* TestClock.adjust(milliseconds);
        return yield* Fiber.join(fiber);
    });

/** Starts the watch on the worker and returns its token. */
const startWatch = Effect.fnUntraced(function*(control: TestControl) {
    yield* addTenant(control);
    yield* addWatch(control);
    const response = yield* advance(control.sync({}), 200);
    assert.equal(response.directives[0]?.action.case, "start");
    const token = response.directives[0].token;
    yield* advance(control.sync({ running: [{ task: "ash/0", token, checkpoint: "c1" }] }), 1_100);
    assert.equal(control.state.tasks.get("ash/0")?.phase, "running");
    return token;
});

void test("a lease expires only after its duration, clock drift and margin", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        getSession(yield* control.renew("entry-0"));
        yield* advance(control.sync({}), 1_000);
        yield* TestClock.adjust(sessionExpiryMs - 1_000);
        assert.ok(control.state.entries.has("entry-0"));
        yield* TestClock.adjust(checkIntervalMs + 1);
        assert.ok(!control.state.entries.has("entry-0"));
        yield* TestClock.adjust(workerExpiryMs - sessionExpiryMs - checkIntervalMs - 1);
        assert.ok(control.state.workers.has("worker-0"));
        yield* TestClock.adjust(checkIntervalMs + 1);
        assert.ok(!control.state.workers.has("worker-0"));
    })));

void test("a new leader expires nothing before a whole lease of its own term", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        yield* control.renew("entry-0");
        yield* advance(control.sync({}), 1_000);
        control.log.setLeader(2, "control-1");
        yield* TestClock.adjust(2_000);
        control.log.setLeader(3, "control-0");
        yield* TestClock.adjust(sessionExpiryMs);
        assert.ok(
            control.state.entries.has("entry-0"),
            "the session was renewed with an earlier leader at an unknown time",
        );
        yield* TestClock.adjust(workerExpiryMs - sessionExpiryMs);
        assert.ok(!control.state.entries.has("entry-0"));
        assert.ok(control.state.workers.has("worker-0"));
        yield* TestClock.adjust(2 * checkIntervalMs);
        assert.ok(!control.state.workers.has("worker-0"));
    })));

void test("a session or worker is not renewed while its expiry is being committed", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        yield* control.renew("entry-0");
        yield* advance(control.sync({}), 1_000);
        const gates = { expireEntry: yield* Deferred.make<void>(), expireWorker: yield* Deferred.make<void>() };
        control.log.beforeCommit = ({ kind }) =>
            kind === "expireEntry" || kind === "expireWorker" ? Deferred.await(gates[kind]) : Effect.void;
        yield* TestClock.adjust(sessionExpiryMs);
        assert.ok(control.state.entries.has("entry-0"));
        const expired = { kind: "error", error: { kind: "sessionExpired", entry: "entry-0" } };
        assert.deepEqual(yield* control.renew("entry-0"), expired);
        yield* Deferred.succeed(gates.expireEntry, undefined);
        yield* TestClock.adjust(workerExpiryMs - sessionExpiryMs + checkIntervalMs);
        assert.ok(!control.state.entries.has("entry-0") && control.state.workers.has("worker-0"));
        assert.equal((yield* getError(control.sync({}))).kind, "sessionExpired");
        getSession(yield* control.renew("entry-0"));
    })));

void test("a restarted entry host gets a session only after the earlier one has ended", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        yield* control.renew("entry-0");
        const early = yield* control.renew("entry-0", 0, "second");
        assert.deepEqual(early, { kind: "error", error: { kind: "sessionExpired", entry: "entry-0" } });
        yield* TestClock.adjust(sessionExpiryMs + 2 * checkIntervalMs);
        const reply = getSession(yield* control.renew("entry-0", 0, "second"));
        assert.equal(reply.ownership?.ownership.length, 64);
        assert.ok(reply.ownership.ownership.every(record => record.owner === "entry-0" && record.afterExpiry));
    })));

void test("an entry host that joins gets its share once the owner has released it", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        yield* control.renew("entry-0");
        yield* control.renew("entry-1");
        const releasing = [...control.state.ownership.values()].filter(record => record.phase === "releasing");
        assert.equal(releasing.length, 32);
        const session = {
            entry: "entry-0",
            incarnation: "first",
            peerAddress: "memory:entry-0",
            availabilityZone: "a",
        };
        const released = releasing.map(({ item, epoch }) => ({ item, epoch, attempts: [] }));
        yield* control.api.handleRequest({
            kind: "renewSession",
            session: { ...session, draining: false },
            appliedRevision: 0,
            ownershipVersion: 0,
            released,
        });
        assert.equal([...control.state.ownership.values()].filter(record => record.owner === "entry-1").length, 32);
    })));

void test("a worker starts, checkpoints, stops and acknowledges a watch, which resumes from its last checkpoint", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        const token = yield* startWatch(control);
        control.decisions.push({ kind: "requestEviction", task: "ash/0", token: Number(token), reason: "busy" });
        const running = [{ task: "ash/0", token, checkpoint: "c1" }];
        const stop = yield* advance(control.sync({ running }), 1_200);
        assert.deepEqual(listActions(stop), [`checkpoint ash/0 ${token}`, `stop ash/0 ${token}`]);
        const held = yield* advance(control.sync({ running }), 1_000);
        assert.deepEqual(
            listActions(held),
            listActions(stop),
            "directives that had no effect are repeated after a pause",
        );
        const ended = [{ task: "ash/0", token, end: schema.TaskEnd.STOPPED, reason: "", checkpoint: "c2" }];
        const acknowledged = yield* control.sync({ ended });
        assert.deepEqual(acknowledged.acknowledged, [token]);
        assert.deepEqual((yield* control.sync({ ended })).acknowledged, [token], "a repetition is acknowledged too");
        const again = yield* advance(control.sync({}), 200);
        assert.ok((again.directives[0]?.token ?? 0n) > token);
        const action = again.directives[0]?.action;
        assert.equal(action?.case === "start" && action.value.resumeFrom, "c2");
    })));

void test("a worker that returns with a stale token is told to stop, and its checkpoint is not recorded", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        const token = yield* startWatch(control);
        yield* TestClock.adjust(workerExpiryMs + 2 * checkIntervalMs);
        assert.ok(!control.state.workers.has("worker-0"));
        const response = yield* control.sync({ running: [{ task: "ash/0", token, checkpoint: "late" }] });
        assert.deepEqual(listActions(response), [`stop ash/0 ${token}`]);
        assert.equal(control.state.tasks.get("ash/0")?.checkpoint, "c1");
        const ended = [{ task: "ash/0", token, end: schema.TaskEnd.SUCCEEDED, reason: "", checkpoint: "late" }];
        assert.deepEqual((yield* control.sync({ ended })).acknowledged, [token]);
        assert.notEqual(control.state.tasks.get("ash/0")?.phase, "succeeded");
    })));

void test("a restarted worker loses its tasks at once, and a late sync of its earlier run changes nothing", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        const token = yield* startWatch(control);
        const response = yield* advance(control.sync({ incarnation: "second" }), 200);
        assert.match(listActions(response)[0] ?? "", /^start ash\/0/);
        const late = yield* getError(control.sync({ running: [{ task: "ash/0", token }] }));
        assert.equal(late.kind, "staleToken");
        assert.equal(control.state.workers.get("worker-0")?.incarnation, "second");
    })));

void test("a later sync of a worker ends the earlier one, and a start whose reply was lost is sent again", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        yield* addTenant(control);
        const first = yield* Effect.forkChild(control.sync({}));
        yield* TestClock.adjust(100);
        const second = yield* Effect.forkChild(control.sync({}));
        yield* TestClock.adjust(0);
        assert.deepEqual(listActions(yield* Fiber.join(first)), []);
        yield* addWatch(control);
        yield* TestClock.adjust(100);
        const lost = listActions(yield* Fiber.join(second));
        assert.equal(lost.length, 1);
        assert.deepEqual(listActions(yield* advance(control.sync({}), 1_000)), lost);
    })));

void test("a cancelled task that its worker never started, or whose start was lost, does not hold its resources", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        yield* addTenant(control);
        yield* advance(control.sync({ sequence: 1n }), 1_000);
        yield* addWatch(control);
        yield* TestClock.adjust(100);
        const task = () => control.state.tasks.get("ash/0");
        assert.equal(task()?.phase, "starting");
        control.decisions.push({ kind: "requestEviction", task: "ash/0", token: task()?.token ?? 0, reason: "busy" });
        yield* TestClock.adjust(1_100);
        assert.equal(task()?.phase, "stopping");
        const lost = yield* advance(control.sync({ sequence: 2n }), 100);
        assert.equal(
            lost.directives[0]?.action.case,
            "start",
            "the first attempt was never sent and has ended at once",
        );
        yield* control.callOperator("CancelWorks", schema.CancelWorksRequestSchema, schema.ChangeResponseSchema, {
            operatorRequestId: "cancel",
            names: ["ash"],
        });
        assert.equal(task()?.phase, "stopping");
        yield* advance(control.sync({ sequence: 2n }), 1_000);
        assert.equal(task()?.phase, "stopping", "the same sync does not show that the start was lost");
        yield* advance(control.sync({ sequence: 3n }), 1_000);
        assert.equal(task()?.phase, "cancelled");
        assert.equal((yield* getError(control.sync({ sequence: 2n }))).kind, "staleToken");
    })));

void test("a new leader does not end an attempt that an earlier leader may have started before the worker reports it", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        const token = yield* startWatch(control);
        control.log.setLeader(3, "control-0");
        control.decisions.push({ kind: "requestEviction", task: "ash/0", token: Number(token), reason: "busy" });
        yield* TestClock.adjust(1_100);
        const late = yield* advance(control.sync({ sequence: 1n }), 1_000);
        assert.equal(control.state.tasks.get("ash/0")?.phase, "stopping");
        assert.deepEqual(listActions(late), [`checkpoint ash/0 ${token}`, `stop ash/0 ${token}`]);
    })));

void test("an entry host hundreds of revisions behind gets the configuration in one reply, but not while a push may arrive", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        yield* control.renew("entry-0");
        const notices: ControlNotice[] = [];
        const link = yield* control.network.createLink("entry-0", silentLogger);
        const handler: ChannelHandler<ControlNotice, never> = {
            handleMessage: (from, notice) => Effect.sync(() => void notices.push(notice)),
        };
        link.openChannel("notice", handler);
        yield* TestClock.adjust(checkIntervalMs);
        yield* setKey(control, 1);
        yield* TestClock.adjust(checkIntervalMs);
        const pushed = notices.at(-1);
        assert.equal(pushed?.kind === "configuration" && pushed.configuration.revision, 1);
        control.network.setCut("control-0", "entry-0", true);
        for (let value = 2; value <= 400; value += 1) {
            yield* setKey(control, value);
        }
        yield* TestClock.adjust(checkIntervalMs);
        assert.equal(
            getSession(yield* control.renew("entry-0", 1)).configuration,
            undefined,
            "the push may still arrive",
        );
        yield* TestClock.adjust(2_000);
        const reply = getSession(yield* control.renew("entry-0", 1));
        assert.deepEqual([reply.configuration?.revision, reply.configuration?.entries["key"]], [400, "400"]);
        assert.equal(getSession(yield* control.renew("entry-0", 400)).configuration, undefined);
        assert.equal(getSession(yield* control.renew("entry-0", 0)).configuration?.revision, 400, "after a restart");
        const seen = yield* control.callOperator(
            "GetConfiguration",
            schema.GetConfigurationRequestSchema,
            schema.GetConfigurationResponseSchema,
            { historyLimit: 3 },
        );
        assert.deepEqual([seen.history.length, seen.revisionByEntry["entry-0"]], [3, 400n]);
    })));

void test("operators read their changes, a repeated change returns the first result, and invalid calls are refused", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        yield* addTenant(control);
        const first = yield* addWatch(control);
        assert.deepEqual(yield* addWatch(control), first);
        assert.equal((yield* getError(addWatch(control, "other"))).kind, "revisionConflict");
        const { callOperator } = control;
        const work = yield* callOperator("GetWork", schema.GetWorkRequestSchema, schema.GetWorkResponseSchema, {
            name: "ash",
        });
        assert.equal(work.work?.revision, 1n);
        assert.equal(work.work.work?.interferenceClass, "ash");
        assert.deepEqual(work.work.tasksByPhase, { pending: 1 });
        const listing = callOperator("ListTasks", schema.ListTasksRequestSchema, schema.ListTasksResponseSchema, {
            limit: 1_001,
        });
        assert.equal((yield* getError(listing)).kind, "invalidArgument");
        const events = callOperator("ListEvents", schema.ListEventsRequestSchema, schema.ListEventsResponseSchema, {
            afterIndex: first.index,
            waitMs: 5_000,
        });
        const waiting = yield* Effect.forkChild(events);
        yield* TestClock.adjust(10);
        yield* setKey(control, 1);
        assert.equal((yield* Fiber.join(waiting)).events[0]?.kind, "configurationChanged");
        for (
            const [method, body] of [["Absent", new Uint8Array()], ["toString", new Uint8Array()], [
                "GetWork",
                Uint8Array.of(255),
            ]] as const
        ) {
            const reply = yield* control.api.handleRequest({ kind: "forwardCall", service: "operator", method, body });
            assert.equal(reply.kind === "error" && reply.error.kind, "invalidArgument");
        }
    })));

void test("a leader that is partitioned from the other replicas renews no lease and answers no read", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        yield* control.renew("entry-0");
        yield* advance(control.sync({}), 1_000);
        control.log.confirms = false;
        const refused = { kind: "error", error: { kind: "notLeader", leader: undefined } };
        assert.deepEqual(yield* control.renew("entry-0"), refused);
        assert.equal((yield* getError(control.sync({}))).kind, "notLeader");
        const minion = { id: "m", service: "s", address: "a", availabilityZone: "a", slots: 8, connections: 64 };
        assert.deepEqual(yield* control.api.handleRequest({ kind: "registerMinion", minion }), refused);
        const read = control.callOperator(
            "ListTenants",
            schema.ListTenantsRequestSchema,
            schema.ListTenantsResponseSchema,
            {},
        );
        assert.equal((yield* getError(read)).kind, "notLeader");
    })));

void test("a follower names the leader over the link, and a drained leader hands over and finishes its calls", () =>
    runWithClock(Effect.gen(function*() {
        const control = yield* startTestControl;
        const link = yield* control.network.createLink("entry-0", silentLogger);
        link.setPeer("control-0", "memory:control-0");
        const channel = link.openChannel<ControlRequest, ControlReply>("control", {});
        const held = yield* Effect.forkChild(control.sync({}));
        yield* TestClock.adjust(100);
        const steps: string[] = [];
        const drain = yield* Effect.forkChild(
            Effect.tap(control.api.drain, () => Effect.sync(() => steps.push("drained"))),
        );
        yield* TestClock.adjust(500);
        assert.deepEqual(steps, [], "a sync is still held");
        yield* TestClock.adjust(600);
        assert.equal((yield* Fiber.join(held)).leaseMs, 10_000);
        yield* Fiber.join(drain);
        const reply = yield* channel.callPeer("control-0", { kind: "removeMinion", minion: "m" }, 1_000);
        assert.deepEqual(reply, { kind: "error", error: { kind: "notLeader", leader: "control-1" } });
    })));
