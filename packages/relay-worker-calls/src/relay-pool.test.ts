import { silentLogger } from "@chestnutspool/logger";
import { createMetrics } from "@chestnutspool/record-metrics";
import type { RelayedAnswer, RelayedCall, WorkerCallMessage } from "@chestnutspool/types";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RelayedWorker } from "./choose-relay.js";
import { createRelayPool, type RelayPool } from "./relay-pool.js";

const seed = 172;
const zone = "z";

interface Sent {
    readonly to: string;
    readonly message: Extract<WorkerCallMessage, { kind: "calls"; }>;
}

/** A pool whose messages and flushes are carried out by the test. */
class TestPool {
    nowMs = 0;
    readonly sent: Sent[] = [];
    readonly disconnected = new Set<string>();
    readonly metrics = createMetrics();
    readonly pool: RelayPool;
    private flushes: (() => void)[] = [];

    constructor() {
        this.pool = createRelayPool({
            incarnation: "run-1",
            sendMessage: (to, message) => {
                assert.equal(message.kind, "calls");
                if (message.kind !== "calls" || this.disconnected.has(to)) {
                    return false;
                }
                this.sent.push({ to, message });
                return true;
            },
            isConnected: relay => !this.disconnected.has(relay),
            readNowMs: () => this.nowMs,
            scheduleFlush: flush => {
                this.flushes.push(flush);
            },
            logger: silentLogger,
            metrics: this.metrics,
        });
    }

    advance(ids: readonly string[] | undefined, elapsedMs = 100): void {
        this.nowMs += elapsedMs;
        this.pool.advance(ids?.map(id => ({ id, address: `${id}:1` })), this.nowMs);
    }

    flush(): void {
        const flushes = this.flushes;
        this.flushes = [];
        flushes.forEach(flush => flush());
    }

    answer(from: string, answers: readonly RelayedAnswer[] = [], incarnation = "run-1"): void {
        this.pool.handleAnswers(from, { kind: "answers", incarnation, availabilityZone: zone, answers });
    }

    /** Messages with calls that were sent since the last call of this method. */
    takeCalls(): Sent[] {
        return this.sent.splice(0).filter(({ message }) => message.calls.length > 0);
    }

    countEvents(name: string): number {
        return this.metrics.readCounters().find(counter => counter.name === name)?.value ?? 0;
    }
}

const worker: RelayedWorker = { id: "w", address: "10.0.0.1:80", availabilityZone: zone };
const run = { job: "j", occurrence: 0, step: 0, position: 0, run: 1 };

/** Starts a call at the relay that is chosen; its answers are added to `outcomes`. */
function startStop(testPool: TestPool, outcomes: string[], called: RelayedWorker = worker): string | undefined {
    const relay = testPool.pool.findRelay(called);
    if (relay !== undefined) {
        testPool.pool.startCall(relay, called, { kind: "stopRun", run, fencingToken: 1 }, 1_000, answer => {
            outcomes.push(answer.kind);
        });
    }
    return relay;
}

function openTestPool(ids: readonly string[]): TestPool {
    const testPool = new TestPool();
    testPool.advance(ids);
    ids.forEach(id => testPool.answer(id));
    testPool.takeCalls();
    return testPool;
}

/** Lets time pass in steps of a probe interval; the given relays answer each probe. */
function pass(testPool: TestPool, ids: readonly string[], answering: readonly string[], steps: number): void {
    for (let step = 0; step < steps; step += 1) {
        testPool.advance(ids);
        answering.forEach(id => testPool.answer(id));
    }
}

// Guards against a frame for each call, which would cost the leader as much as a call of its own.
test("calls of one turn to one relay travel in one message, with only the id and address of the worker", () => {
    const testPool = openTestPool(["a"]);
    const outcomes: string[] = [];
    for (let index = 0; index < 50; index += 1) {
        startStop(testPool, outcomes, { ...worker, id: `w${index}` });
    }
    assert.deepEqual(testPool.takeCalls(), []);
    testPool.flush();
    const messages = testPool.takeCalls();
    assert.equal(messages.length, 1);
    const calls = messages[0]?.message.calls ?? [];
    assert.equal(calls.length, 50);
    assert.deepEqual(calls[0]?.worker, { id: "w0", address: worker.address });
    testPool.answer("a", calls.map(({ id }) => ({ id, answer: { kind: "done", clockMs: 1 } })));
    assert.equal(outcomes.length, 50);
    assert.equal(testPool.pool.countPending(), 0);
    assert.equal(testPool.countEvents("workerCalls.relayed"), 50);
});

// Guards against calls that wait for a process of an earlier version, which never answers a probe.
test("a relay that has never answered is not used", () => {
    const testPool = new TestPool();
    pass(testPool, ["old"], [], 20);
    assert.equal(testPool.pool.findRelay(worker), undefined);
    assert.equal(testPool.pool.countUsable(), 0);
});

// Guards against workers that seem lost because the relay that calls them is frozen.
test("calls at a relay that stops answering become unknown, and later ones go to another relay until it answers", () => {
    const testPool = openTestPool(["a", "b"]);
    const outcomes: string[] = [];
    const first = startStop(testPool, outcomes) ?? "";
    const other = first === "a" ? "b" : "a";
    testPool.flush();
    pass(testPool, ["a", "b"], [other], 3);
    assert.deepEqual(outcomes, []);
    pass(testPool, ["a", "b"], [other], 2);
    assert.deepEqual(outcomes, ["unknown"]);
    assert.equal(testPool.countEvents("workerCalls.lost"), 1);
    assert.equal(testPool.pool.findRelay(worker), other);
    testPool.answer(first);
    assert.equal(testPool.pool.findRelay(worker), first);
});

// Guards against calls that wait for their limit although the relay has ended.
test("calls at a relay whose link closes become unknown at the next probe", () => {
    const testPool = openTestPool(["a"]);
    const outcomes: string[] = [];
    startStop(testPool, outcomes);
    testPool.flush();
    testPool.disconnected.add("a");
    assert.equal(testPool.pool.findRelay(worker), undefined);
    testPool.advance(["a"]);
    assert.deepEqual(outcomes, ["unknown"]);
});

// Guards against a start that is held for possible although it never left the process.
test("a call whose message could not be sent is notSent", () => {
    const testPool = openTestPool(["a"]);
    const outcomes: string[] = [];
    startStop(testPool, outcomes);
    testPool.disconnected.add("a");
    testPool.flush();
    assert.deepEqual(outcomes, ["notSent"]);
    testPool.disconnected.clear();
    startStop(testPool, outcomes);
    testPool.disconnected.add("a");
    testPool.advance(["a"]);
    assert.deepEqual(outcomes, ["notSent", "notSent"]);
    testPool.disconnected.clear();
    testPool.flush();
    assert.deepEqual(testPool.takeCalls(), []);
});

// Guards against pending calls that are kept for ever when an answer is lost.
test("a call without an answer becomes unknown after its limit, although the relay answers probes", () => {
    const testPool = openTestPool(["a"]);
    const outcomes: string[] = [];
    startStop(testPool, outcomes);
    testPool.flush();
    pass(testPool, ["a"], ["a"], 12);
    assert.deepEqual(outcomes, []);
    pass(testPool, ["a"], ["a"], 1);
    assert.deepEqual(outcomes, ["unknown"]);
    assert.equal(testPool.pool.countPending(), 0);
});

// Guards against an answer to an earlier run of this process that settles a call of this one.
test("answers to another incarnation are dropped, and a repeated answer settles nothing", () => {
    const testPool = openTestPool(["a"]);
    const outcomes: string[] = [];
    startStop(testPool, outcomes);
    testPool.flush();
    const [sent] = testPool.takeCalls();
    const id = sent?.message.calls[0]?.id ?? 0;
    const answers: RelayedAnswer[] = [{ id, answer: { kind: "done", clockMs: 1 } }];
    testPool.answer("a", answers, "run-0");
    assert.deepEqual(outcomes, []);
    testPool.answer("a", answers);
    testPool.answer("a", answers);
    assert.deepEqual(outcomes, ["done"]);
});

// Guards against a worker that stays lost because one relay is cut off from it.
test("after a relay failed to reach a worker, the next call takes another relay, and both close their connections", () => {
    const testPool = openTestPool(["a", "b"]);
    const outcomes: string[] = [];
    const first = startStop(testPool, outcomes) ?? "";
    testPool.flush();
    const id = testPool.takeCalls()[0]?.message.calls[0]?.id ?? 0;
    testPool.answer(first, [{ id, answer: { kind: "unknown", detail: "" } }]);
    assert.notEqual(testPool.pool.findRelay(worker), first);
    testPool.pool.closeConnections(worker);
    testPool.flush();
    const closing = testPool.takeCalls().map(({ to, message }) => [to, message.calls[0]?.call.kind]);
    assert.deepEqual(closing.toSorted(), [["a", "closeConnections"], ["b", "closeConnections"]]);
    pass(testPool, ["a", "b"], ["a", "b"], 101);
    assert.equal(testPool.pool.findRelay(worker), first);
});

/** Answers the only call sent since the last call of `takeCalls` as dropped because it was late. */
function dropLate(testPool: TestPool, relay: string): void {
    testPool.flush();
    const id = testPool.takeCalls()[0]?.message.calls[0]?.id ?? 0;
    testPool.answer(relay, [{ id, answer: { kind: "notSent", detail: "late" }, isLate: true }]);
}

// Guards against a relay with a wrong estimate of delays that drops the calls to all of its workers.
test("a relay that drops a call as late is used for no worker for two seconds, and other calls there end", () => {
    const testPool = openTestPool(["a", "b"]);
    const outcomes: string[] = [];
    const first = startStop(testPool, outcomes) ?? "";
    const other = first === "a" ? "b" : "a";
    testPool.flush();
    const earlier = testPool.takeCalls()[0]?.message.calls[0]?.id ?? 0;
    startStop(testPool, outcomes);
    dropLate(testPool, first);
    assert.deepEqual(outcomes, ["notSent"]);
    for (let index = 0; index < 50; index += 1) {
        assert.equal(testPool.pool.findRelay({ ...worker, id: `w${index}` }), other);
    }
    testPool.answer(first, [{ id: earlier, answer: { kind: "done", clockMs: 1 } }]);
    assert.deepEqual(outcomes, ["notSent", "done"]);
    pass(testPool, ["a", "b"], ["a", "b"], 19);
    assert.equal(testPool.pool.countUsable(), 1);
    pass(testPool, ["a", "b"], ["a", "b"], 1);
    assert.equal(testPool.pool.countUsable(), 2);
    assert.equal(testPool.countEvents("workerCalls.late"), 1);
});

// Guards against leases that lapse because all relays drop the renewals while they answer probes.
test("the leader makes its calls itself while every relay drops them as late", () => {
    const testPool = openTestPool(["a", "b"]);
    const outcomes: string[] = [];
    dropLate(testPool, startStop(testPool, outcomes) ?? "");
    dropLate(testPool, startStop(testPool, outcomes) ?? "");
    assert.deepEqual(outcomes, ["notSent", "notSent"]);
    assert.equal(testPool.pool.findRelay(worker), undefined);
    pass(testPool, ["a", "b"], ["a", "b"], 19);
    assert.equal(testPool.pool.findRelay(worker), undefined);
    pass(testPool, ["a", "b"], ["a", "b"], 1);
    assert.notEqual(testPool.pool.findRelay(worker), undefined);
});

// Guards against a process that takes its own pause for the loss of all relays.
test("relays stay in use after a pause of the own process", () => {
    const testPool = openTestPool(["a"]);
    const outcomes: string[] = [];
    startStop(testPool, outcomes);
    testPool.flush();
    testPool.advance(["a"], 5_000);
    assert.deepEqual(outcomes, []);
    assert.equal(testPool.pool.findRelay(worker), "a");
});

// Guards against warnings about every worker when a leader steps down, and against relays that are used after that.
test("a process that no longer leads uses no relay and leaves the calls in progress to end", () => {
    const testPool = openTestPool(["a"]);
    const outcomes: string[] = [];
    startStop(testPool, outcomes);
    testPool.flush();
    testPool.takeCalls();
    testPool.advance(undefined);
    assert.deepEqual(outcomes, []);
    assert.deepEqual(testPool.sent, []);
    testPool.answer("a");
    assert.equal(testPool.pool.findRelay(worker), undefined);
    testPool.advance(["a"]);
    testPool.answer("a");
    assert.equal(testPool.pool.findRelay(worker), "a");
});

// Guards against a relay that is used after it was removed from the members.
test("a member that is removed is dropped, and its calls become unknown", () => {
    const testPool = openTestPool(["a", "b"]);
    const outcomes: string[] = [];
    const first = startStop(testPool, outcomes) ?? "";
    const other = first === "a" ? "b" : "a";
    testPool.flush();
    testPool.advance([other]);
    assert.deepEqual(outcomes, ["unknown"]);
    testPool.answer(first);
    assert.equal(testPool.pool.findRelay(worker), other);
});

type Action =
    | { readonly kind: "call"; readonly worker: number; }
    | { readonly kind: "cancel"; readonly call: number; }
    | { readonly kind: "flush"; }
    /** The oldest message to a relay arrives, is lost, or the oldest answers of it arrive or are lost. */
    | { readonly kind: "arrive" | "lose" | "answer" | "loseAnswer"; readonly relay: number; }
    | { readonly kind: "connect" | "disconnect"; readonly relay: number; }
    | { readonly kind: "pass"; readonly elapsedMs: number; readonly members: number; };

const relayIds = ["a", "b", "c"];
const relayNumbers = fc.nat(relayIds.length - 1);
const actions = fc.array(
    fc.oneof(
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("call" as const), worker: fc.nat(5) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("cancel" as const), call: fc.nat(40) }) },
        { weight: 4, arbitrary: fc.constant({ kind: "flush" as const }) },
        {
            weight: 10,
            arbitrary: fc.record({
                kind: fc.constantFrom("arrive" as const, "arrive" as const, "answer" as const, "answer" as const),
                relay: relayNumbers,
            }),
        },
        {
            weight: 2,
            arbitrary: fc.record({
                kind: fc.constantFrom("lose", "loseAnswer", "disconnect", "connect"),
                relay: relayNumbers,
            }),
        },
        {
            weight: 4,
            arbitrary: fc.record({
                kind: fc.constant("pass" as const),
                elapsedMs: fc.constantFrom(1, 100, 100, 130, 2_000),
                members: fc.constantFrom(0, 7, 7, 7, 7, 3, 5),
            }),
        },
    ),
    { maxLength: 150 },
);

/** Carries out random actions and checks that each call ends once and that `notSent` is true. */
function playActions(all: readonly Action[]): void {
    const testPool = openTestPool(relayIds);
    const toRelay = new Map<string, RelayedCall[][]>(relayIds.map(id => [id, []]));
    const toLeader = new Map<string, RelayedAnswer[][]>(relayIds.map(id => [id, []]));
    const carriedOut = new Set<string>();
    const outcomes: string[][] = [];
    const cancels: (() => void)[] = [];
    const cancelled = new Set<number>();
    let members: readonly string[] = relayIds;
    const collect = (): void => {
        for (const { to, message } of testPool.sent.splice(0)) {
            toRelay.get(to)?.push([...message.calls]);
        }
    };
    const arrive = (relay: string): void => {
        collect();
        const calls = toRelay.get(relay)?.shift();
        calls?.forEach(({ call }) => call.kind === "stopRun" && carriedOut.add(call.run.job));
        if (calls !== undefined) {
            const answers = calls.map(({ id }): RelayedAnswer => ({ id, answer: { kind: "done", clockMs: 1 } }));
            toLeader.get(relay)?.push(answers);
        }
    };
    const perform = (action: Action): void => {
        switch (action.kind) {
            case "call": {
                const called = { ...worker, id: `w${action.worker}` };
                const relay = testPool.pool.findRelay(called);
                if (relay !== undefined) {
                    const results: string[] = [];
                    const job = String(outcomes.push(results) - 1);
                    const call = { kind: "stopRun", run: { ...run, job }, fencingToken: 1 } as const;
                    cancels.push(
                        testPool.pool.startCall(relay, called, call, 1_000, answer => results.push(answer.kind)),
                    );
                }
                break;
            }
            case "cancel":
                if (action.call < cancels.length && outcomes[action.call]?.length === 0) {
                    cancels[action.call]?.();
                    cancelled.add(action.call);
                }
                break;
            case "flush":
                testPool.flush();
                break;
            case "arrive":
                arrive(relayIds[action.relay] ?? "");
                break;
            case "lose":
                collect();
                toRelay.get(relayIds[action.relay] ?? "")?.shift();
                break;
            case "answer": {
                const relay = relayIds[action.relay] ?? "";
                const answers = toLeader.get(relay)?.shift();
                if (answers !== undefined) {
                    testPool.answer(relay, answers);
                }
                break;
            }
            case "loseAnswer":
                toLeader.get(relayIds[action.relay] ?? "")?.shift();
                break;
            case "disconnect":
                testPool.disconnected.add(relayIds[action.relay] ?? "");
                break;
            case "connect":
                testPool.disconnected.delete(relayIds[action.relay] ?? "");
                break;
            case "pass":
                members = relayIds.filter((id, index) => (action.members & (1 << index)) !== 0);
                testPool.advance(members.length === 0 ? undefined : members, action.elapsedMs);
                break;
        }
    };
    all.forEach(perform);
    testPool.flush();
    relayIds.forEach(relay => {
        collect();
        while ((toRelay.get(relay)?.length ?? 0) > 0) {
            arrive(relay);
        }
    });
    for (let step = 0; step < 20; step += 1) {
        testPool.advance(members.length === 0 ? undefined : members);
    }
    assert.equal(testPool.pool.countPending(), 0);
    outcomes.forEach((results, index) => {
        assert.equal(results.length, cancelled.has(index) ? 0 : 1, `call ${index} ended as ${results.join()}`);
        if (results[0] === "notSent") {
            assert.ok(!carriedOut.has(String(index)), `call ${index} was carried out`);
        }
    });
}

// Guards against calls that end twice or never, and against a start that is taken for impossible but takes place.
test(`each call ends exactly once, and never as notSent if a relay carries it out (seed ${seed})`, () => {
    fc.assert(fc.property(actions, all => playActions(all as readonly Action[])), { seed, numRuns: 2_000 });
});
