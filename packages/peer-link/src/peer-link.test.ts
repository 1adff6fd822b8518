import { silentLogger } from "@chestnutspool/logger";
import type { Channel, ChannelHandler, ErrorData, PeerLink } from "@chestnutspool/types";
import { Effect, Exit, Fiber, Scope } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createMemoryNetwork, openWebSocketLink } from "./index.js";

interface Pair {
    readonly left: PeerLink;
    readonly right: PeerLink;
}

const openWebSocketPair = Effect.gen(function*() {
    const options = { listenHost: "127.0.0.1", listenPort: 0 };
    const left = yield* openWebSocketLink({ ...options, self: "left" }, silentLogger);
    const right = yield* openWebSocketLink({ ...options, self: "right" }, silentLogger);
    return { left, right };
});

const openMemoryPair = Effect.gen(function*() {
    const network = yield* createMemoryNetwork;
    return {
        left: yield* network.createLink("left", silentLogger),
        right: yield* network.createLink("right", silentLogger),
    };
});

const awaitConnected = (link: PeerLink, peer: string) =>
    Effect.gen(function*() {
        while (!link.isConnected(peer)) {
            yield* Effect.sleep(5);
        }
    });

const handler: ChannelHandler<number, number> = {
    handleCall: (from, request) =>
        request < 0 ? Effect.fail<ErrorData>({ kind: "internal", detail: "negative" }) : Effect.succeed(request * 2),
    handleStream: (from, count, emit) =>
        Effect.gen(function*() {
            for (let item = 0; item < count; item += 1) {
                yield* emit(item);
            }
        }),
};

function openChannels(pair: Pair): Channel<number, number> {
    pair.left.setPeer("right", pair.right.address);
    pair.right.openChannel("entry", handler);
    return pair.left.openChannel<number, number>("entry", {});
}

const transports: readonly (readonly [string, Effect.Effect<Pair, ErrorData, Scope.Scope>])[] = [
    ["WebSocket", openWebSocketPair],
    ["memory", openMemoryPair],
];

for (const [name, openPair] of transports) {
    void test(`${name}: each of many concurrent calls gets its own reply`, async () => {
        await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
            const pair = yield* openPair;
            const channel = openChannels(pair);
            yield* awaitConnected(pair.left, "right");
            const requests = Array.from({ length: 200 }, (item, index) => index);
            const replies = yield* Effect.all(
                requests.map(request => channel.callPeer("right", request, 5_000)),
                { concurrency: "unbounded" },
            );
            assert.deepEqual(replies, requests.map(request => request * 2));
            const failed = yield* Effect.exit(channel.callPeer("right", -1, 5_000));
            assert.ok(Exit.isFailure(failed));
        })));
    });

    void test(`${name}: a stream longer than its window arrives complete and in order`, async () => {
        await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
            const pair = yield* openPair;
            const channel = openChannels(pair);
            yield* awaitConnected(pair.left, "right");
            const items: number[] = [];
            yield* channel.callStream("right", 1_000, 5_000, item =>
                Effect.sync(() => {
                    items.push(item);
                }));
            assert.deepEqual(items, Array.from({ length: 1_000 }, (item, index) => index));
        })));
    });
}

void test("a call to a peer without a link fails as `peerUnavailable`, and a call on a lost link as `outcomeUnknown`", async () => {
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const network = yield* createMemoryNetwork;
        const left = yield* network.createLink("left", silentLogger);
        const channel = left.openChannel<number, number>("entry", {});
        const unsent = yield* Effect.flip(channel.callPeer("right", 1, 1_000));
        assert.equal(unsent.kind, "peerUnavailable");
        const rightScope = yield* Scope.make();
        const right = yield* Scope.provide(network.createLink("right", silentLogger), rightScope);
        right.openChannel<number, number>("entry", { handleCall: () => Effect.never });
        left.setPeer("right", right.address);
        const call = yield* Effect.forkChild(Effect.flip(channel.callPeer("right", 1, 60_000)));
        yield* Effect.sleep(20);
        yield* Scope.close(rightScope, Exit.void);
        const lost = yield* Fiber.join(call);
        assert.equal(lost.kind, "outcomeUnknown");
    })));
});
