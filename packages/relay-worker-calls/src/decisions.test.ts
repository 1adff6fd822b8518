import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseRelay, rankRelays, type RelayCandidate, type RelayedWorker } from "./choose-relay.js";
import { type DelayBaseline, estimateDelay } from "./message-delay.js";
import { advanceRunningMs, findRelayFault } from "./relay-health.js";

const seed = 171;

function makeWorker(index: number, availabilityZone: string): RelayedWorker {
    return { id: `i-${index}`, address: `10.0.0.${index}:80`, availabilityZone };
}

const relays: readonly RelayCandidate[] = ["a", "b", "c", "d"].flatMap(zone => [
    { id: `10.1.${zone}.1`, availabilityZone: zone },
    { id: `10.1.${zone}.2`, availabilityZone: zone },
]);

// Guards against bytes between availability zones that are not needed.
test("relays in the availability zone of the worker come before all others", () => {
    for (let index = 0; index < 200; index += 1) {
        const ranking = rankRelays(makeWorker(index, "b"), relays);
        assert.deepEqual(ranking.slice(0, 2).toSorted(), ["10.1.b.1", "10.1.b.2"]);
        assert.equal(new Set(ranking).size, relays.length);
    }
});

// Guards against a hash that gives some relays far more workers than others.
test("workers spread evenly over the relays", () => {
    const workers = 1_300;
    const counts = new Map<string, number>();
    for (let index = 0; index < workers; index += 1) {
        const [first = ""] = rankRelays(makeWorker(index, "elsewhere"), relays);
        counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    const mean = workers / relays.length;
    for (const relay of relays) {
        const count = counts.get(relay.id) ?? 0;
        assert.ok(count > mean * 0.75 && count < mean * 1.25, `${relay.id} has ${count} workers`);
    }
});

// Guards against connections that are opened anew because another relay failed, or because another process leads.
test("a relay that is not usable moves only its own workers, whatever the order of the list", () => {
    fc.assert(
        fc.property(fc.nat(5_000), fc.nat(relays.length - 1), fc.constantFrom("a", "d", "x"), (index, lost, zone) => {
            const worker = makeWorker(index, zone);
            const ranking = rankRelays(worker, relays);
            assert.deepEqual(rankRelays(worker, relays.toReversed()), ranking);
            const lostId = relays[lost]?.id;
            const chosen = chooseRelay(ranking, () => true, undefined);
            const without = chooseRelay(ranking, id => id !== lostId, undefined);
            assert.equal(chosen, ranking[0]);
            assert.equal(without, chosen === lostId ? ranking[1] : chosen);
            assert.deepEqual(
                rankRelays(worker, relays.filter(({ id }) => id !== lostId)),
                ranking.filter(id => id !== lostId),
            );
        }),
        { seed, numRuns: 300 },
    );
});

// Guards against calls that go to a relay which has just failed to reach the worker, and against none being sent.
test("an avoided relay is chosen only when no other is usable, and none when none is usable", () => {
    assert.equal(chooseRelay(["a", "b"], () => true, "a"), "b");
    assert.equal(chooseRelay(["a", "b"], id => id === "a", "a"), "a");
    assert.equal(chooseRelay(["a", "b"], () => false, "a"), undefined);
    assert.equal(chooseRelay(["b"], () => true, "removed"), "b");
    assert.equal(chooseRelay([], () => true, "removed"), undefined);
});

// Guards against a frozen relay that stays in use, and against a process of an earlier version that is used.
test("a relay is faulty without a link, before its first answer, and after 400 ms of silence", () => {
    assert.equal(findRelayFault({ isConnected: false, silentMs: 0 }), "notConnected");
    assert.equal(findRelayFault({ isConnected: true, silentMs: undefined }), "neverAnswered");
    assert.equal(findRelayFault({ isConnected: true, silentMs: 399 }), undefined);
    assert.equal(findRelayFault({ isConnected: true, silentMs: 400 }), "silent");
});

// Guards against a leader that takes its own pause for the silence of all relays.
test("a pause of the own process is not silence of a relay", () => {
    assert.equal(advanceRunningMs(1_000, 100), 1_100);
    assert.equal(advanceRunningMs(1_000, 30_000), 1_150);
    assert.equal(advanceRunningMs(1_000, -5), 1_000);
});

function listDelays(messages: readonly (readonly [sentAtMs: number, nowMs: number])[]): number[] {
    let baseline: DelayBaseline | undefined;
    return messages.map(([sentAtMs, nowMs]) => {
        const estimate = estimateDelay(baseline, sentAtMs, nowMs);
        baseline = estimate.baseline;
        return estimate.delayMs;
    });
}

// Guards against calls that a paused relay carries out although their limit is long over.
test("messages that waited while the receiver was paused are late by the time that they waited", () => {
    const before = Array.from({ length: 80 }, (item, index) => [index * 100, index * 100 + 70_001] as const);
    const waiting = Array.from({ length: 90 }, (item, index) => [8_000 + index * 100, 87_000] as const);
    const after = Array.from({ length: 80 }, (item, index) => [17_000 + index * 100, 87_001 + index * 100] as const);
    const delays = listDelays([...before, ...waiting, ...after]);
    assert.ok(delays.slice(0, 80).every(delay => delay === 0));
    assert.deepEqual(delays.slice(80, 170), waiting.map(([sentAtMs]) => 86_999 - 70_000 - sentAtMs));
    assert.ok(delays.slice(170).every(delay => delay === 0));
});

// Guards against sound calls that are dropped because the clocks of two hosts run at different rates.
test("clocks that differ by 2% give a delay of 200 ms at most", () => {
    const messages = Array.from({ length: 6_000 }, (item, index) => [index * 100, index * 102] as const);
    assert.ok(Math.max(...listDelays(messages)) <= 210);
});

// Guards against a path that becomes slower and on which every call is dropped from then on.
test("a delay that lasts is that of the path", () => {
    const fast = Array.from({ length: 100 }, (item, index) => [index * 100, index * 100 + 1] as const);
    const slow = Array.from({ length: 700 }, (item, index) => [10_000 + index * 100, 10_900 + index * 100] as const);
    const delays = listDelays([...fast, ...slow]);
    assert.equal(delays[110], 899);
    assert.equal(delays.at(-1), 0);
});
