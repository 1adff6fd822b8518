import type { RelayedAnswer, RelayedCall } from "@chestnutspool/types";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { openTestPool, run, worker } from "./fakes/test-pool.js";

const seed = 172;

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
                        testPool.pool.startCall(
                            relay,
                            called,
                            call,
                            { limitMs: 1_000, patienceMs: 0 },
                            answer => results.push(answer.kind),
                        ),
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
