import { buildAnswer, buildBody } from "@chestnutspool/stand-ins";
import type { ErrorData } from "@chestnutspool/types";
import { Effect, type Scope } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildRequest, createTestCluster } from "./fakes/test-cluster.js";

/** Runs a test on a cluster whose processes end with it. */
export function runOnCluster(run: Effect.Effect<void, ErrorData, Scope.Scope>): Promise<void> {
    return Effect.runPromise(Effect.scoped(run));
}

void test("a request gets the whole answer of its minion, byte for byte", () =>
    runOnCluster(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        yield* cluster.addMinion([entry], { minion: "minion-1" });
        const body = buildBody({ key: "first", runMs: 5, answerBytes: 1_000 });
        const answer = yield* Effect.promise(() => entry.client.submit(buildRequest({ body })));
        assert.equal(answer.status, 200);
        assert.deepEqual(Buffer.from(answer.answer), Buffer.from(buildAnswer(body)));
    })));
