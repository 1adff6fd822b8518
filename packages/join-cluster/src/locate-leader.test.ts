import { silentLogger } from "@chestnutspool/logger";
import { createMemoryNetwork } from "@chestnutspool/peer-link";
import type { ControlAddress, DirectoryReply, DirectoryRequest } from "@chestnutspool/types";
import { Effect, type Scope } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createControlView, locateLeader } from "./locate-leader.js";

function makeAddress(id: string): ControlAddress {
    return { id, address: `${id}:1` };
}

/** A network on which the given processes answer, and a process `entry` that asks. */
const openNetwork = Effect.fnUntraced(function*(replies: Readonly<Record<string, DirectoryReply>>) {
    const network = yield* createMemoryNetwork;
    for (const [id, reply] of Object.entries(replies)) {
        const link = yield* network.createLink(id, silentLogger);
        link.openChannel<DirectoryRequest, DirectoryReply>("directory", { handleCall: () => Effect.succeed(reply) });
    }
    const link = yield* network.createLink("entry", silentLogger);
    return { network, link, channel: link.openChannel<DirectoryRequest, DirectoryReply>("directory", {}) };
});

function run(effect: Effect.Effect<void, never, Scope.Scope>): Promise<void> {
    return Effect.runPromise(Effect.scoped(effect));
}

test("the leader is found through a seed that knows it, and becomes known with the other members", () =>
    run(Effect.gen(function*() {
        const members = ["a", "b", "c"].map(makeAddress);
        const reply = { leader: makeAddress("c"), members };
        const { link, channel } = yield* openNetwork({ a: { leader: undefined, members: [] }, b: reply, c: reply });
        const view = createControlView(["a", "b"].map(makeAddress));
        assert.deepEqual(yield* locateLeader(view, link, channel), makeAddress("c"));
        assert.deepEqual([...view.candidates.keys()].sort(), ["a", "b", "c"]);
    })));

test("a process that names itself takes precedence over one that names an earlier leader", () =>
    run(Effect.gen(function*() {
        const members = ["a", "b"].map(makeAddress);
        const { link, channel } = yield* openNetwork({
            a: { leader: makeAddress("c"), members },
            b: { leader: makeAddress("b"), members },
        });
        const view = createControlView(members);
        assert.deepEqual(yield* locateLeader(view, link, channel), makeAddress("b"));
    })));

test("the leader is found although some seeds are unreachable", () =>
    run(Effect.gen(function*() {
        const { link, channel, network } = yield* openNetwork({
            a: { leader: makeAddress("a"), members: [makeAddress("a")] },
            b: { leader: makeAddress("a"), members: [makeAddress("a")] },
        });
        network.setCut("entry", "b", true);
        const view = createControlView(["gone", "b", "a"].map(makeAddress));
        assert.deepEqual(yield* locateLeader(view, link, channel), makeAddress("a"));
    })));

test("without a leader the result is undefined", () =>
    run(Effect.gen(function*() {
        const { link, channel } = yield* openNetwork({ a: { leader: undefined, members: [makeAddress("a")] } });
        assert.equal(yield* locateLeader(createControlView([makeAddress("a")]), link, channel), undefined);
    })));

// Guards against calls to a deposed leader for as long as its followers have not noticed that it stepped down.
test("a process that answers and does not name itself is not the leader, although others name it", () =>
    run(Effect.gen(function*() {
        const members = ["a", "b", "c"].map(makeAddress);
        const outdated = { leader: makeAddress("a"), members };
        const { link, channel } = yield* openNetwork({ a: { leader: undefined, members }, b: outdated, c: outdated });
        const view = createControlView(members);
        assert.equal(yield* locateLeader(view, link, channel), undefined);
        assert.equal(view.leader, undefined);
    })));
