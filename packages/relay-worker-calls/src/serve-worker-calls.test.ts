import { silentLogger } from "@chestnutspool/logger";
import type { OrderAnswer, RelayedAnswer, RelayedCall } from "@chestnutspool/types";
import { Effect, Scope } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFakePort, type FakePort, order, zone } from "./fakes/fake-port.js";
import { serveWorkerCalls } from "./index.js";

function testScoped(name: string, body: Effect.Effect<void, never, Scope.Scope>): void {
    test(name, { timeout: 60_000 }, () => Effect.runPromise(Effect.scoped(body)));
}

interface Relay {
    readonly receive: (sentAtMs: number, nowMs: number, calls: readonly RelayedCall[]) => Effect.Effect<void>;
    readonly fake: FakePort;
    readonly messages: (readonly RelayedAnswer[])[];
    readonly flush: () => void;
}

const openRelay = Effect.fnUntraced(function*(answer: Effect.Effect<OrderAnswer>) {
    const fake = createFakePort(answer);
    const messages: (readonly RelayedAnswer[])[] = [];
    const flushes: (() => void)[] = [];
    const { handleCalls } = yield* serveWorkerCalls({
        workers: fake.port,
        availabilityZone: zone,
        sendMessage: (to, message) => {
            assert.equal(to, "leader");
            assert.equal(message.incarnation, "run-1");
            assert.ok(message.kind === "answers" && message.availabilityZone === zone);
            messages.push(message.answers);
            return true;
        },
        scheduleFlush: flush => {
            flushes.push(flush);
        },
        logger: silentLogger,
    });
    const relay: Relay = {
        fake,
        messages,
        flush: () => flushes.splice(0).forEach(flush => flush()),
        receive: (sentAtMs, nowMs, calls) =>
            handleCalls("leader", { kind: "calls", incarnation: "run-1", sentAtMs, calls }, nowMs),
    };
    return relay;
});

function makeCalls(count: number, limitMs: number): RelayedCall[] {
    return Array.from({ length: count }, (item, index) => ({
        id: index + 1,
        worker: { id: "w", address: "w:80" },
        limitMs,
        call: { kind: "startRun", order },
    }));
}

// Guards against a message for each answer, and against answers that are left out or repeated.
testScoped(
    "a relay answers each call once, and the answers of one turn in one message",
    Effect.gen(function*() {
        const relay = yield* openRelay(Effect.succeed({ kind: "done", clockMs: 1 }));
        yield* relay.receive(0, 0, makeCalls(30, 1_000));
        while (relay.fake.calls.length < 30) {
            yield* Effect.yieldNow;
        }
        yield* Effect.yieldNow;
        relay.flush();
        assert.equal(relay.messages.length, 1);
        assert.deepEqual(relay.messages[0]?.map(({ id }) => id), makeCalls(30, 0).map(({ id }) => id));
    }),
);

// Guards against probes that wait behind calls.
testScoped(
    "a relay answers a probe at once while its calls are in progress",
    Effect.gen(function*() {
        const relay = yield* openRelay(Effect.never);
        yield* relay.receive(0, 0, makeCalls(3, 1_000));
        yield* relay.receive(100, 100, []);
        assert.deepEqual(relay.messages, [[]]);
    }),
);

// Guards against a start that a relay carries out seconds after it was ordered, because it was paused in between.
testScoped(
    "a call that was under way for its limit is notSent; one that was under way for less has the rest of the time",
    Effect.gen(function*() {
        const relay = yield* openRelay(Effect.succeed({ kind: "done", clockMs: 1 }));
        yield* relay.receive(0, 500, []);
        yield* relay.receive(100, 1_600, makeCalls(2, 1_000));
        assert.deepEqual(relay.fake.calls, []);
        yield* relay.receive(1_000, 1_900, makeCalls(1, 1_000));
        while (relay.fake.calls.length < 1) {
            yield* Effect.yieldNow;
        }
        assert.deepEqual(relay.fake.limitsMs, [600]);
        relay.flush();
        assert.deepEqual(relay.messages[1]?.map(({ answer }) => answer.kind).slice(0, 2), ["notSent", "notSent"]);
    }),
);

// Guards against a call that never ends because the port failed.
testScoped(
    "a call whose port fails unexpectedly is unknown",
    Effect.gen(function*() {
        const relay = yield* openRelay(Effect.die(new Error("defect")));
        yield* relay.receive(0, 0, makeCalls(1, 1_000));
        while (relay.messages.length === 0) {
            yield* Effect.yieldNow;
            relay.flush();
        }
        assert.equal(relay.messages[0]?.[0]?.answer.kind, "unknown");
    }),
);
