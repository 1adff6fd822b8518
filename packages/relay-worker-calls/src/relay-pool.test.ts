import type { RelayedAnswer } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { openTestPool, pass, startStop, TestPool, worker } from "./fakes/test-pool.js";

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
