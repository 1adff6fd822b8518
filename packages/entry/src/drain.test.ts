import { buildBody } from "@chestnutspool/stand-ins";
import { Effect, Fiber } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    awaitCondition,
    createLastingTestCluster,
    createTestClusterWith,
    describeOutcome,
    runScoped,
    submit,
    type TestEntry,
} from "./fakes/test-cluster.js";

const buildWork = (key: string, runMs: number) => buildBody({ key, runMs, answerBytes: 100 });

void test("a drain interrupts no request in progress, refuses new ones as not run, and hands all items over", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const leaving = yield* cluster.addEntry("entry-1");
        const staying = yield* cluster.addEntry("entry-2");
        const minions = [
            yield* cluster.addMinion([leaving, staying], { minion: "minion-1", slots: 4 }),
            yield* cluster.addMinion([leaving, staying], { minion: "minion-2", slots: 4 }),
        ];
        const calls = yield* Effect.forEach(
            Array.from({ length: 16 }, (item, index) => index),
            index =>
                Effect.forkChild(submit(index % 2 === 0 ? leaving : staying, {
                    body: buildWork(`key-${index}`, 300),
                    requestId: `id-${index}`,
                    idempotent: index % 3 !== 0,
                    deadlineMs: 20_000,
                })),
        );
        yield* awaitCondition(() => minions.reduce((sum, minion) => sum + minion.listRunning().length, 0) === 8);
        // A request that arrived only after the drain began would rightly be refused.
        const callsAtLeaving = calls.filter((call, index) => index % 2 === 0);
        yield* awaitCondition(() => {
            const ended = callsAtLeaving.filter(call => call.pollUnsafe() !== undefined).length;
            return leaving.api.countRequests() + ended === callsAtLeaving.length;
        });
        const drain = yield* Effect.forkChild(leaving.api.drain);
        yield* awaitCondition(() => !leaving.api.readHealth().ready);
        const refused = yield* submit(leaving, { body: buildWork("refused", 1) });
        assert.equal(describeOutcome(refused), "draining");
        assert.ok(refused.kind === "failed" && refused.detail?.notRun === true && refused.detail.retryAfterMs > 0);
        for (const call of calls) {
            assert.equal(describeOutcome(yield* Fiber.join(call)), "answered");
        }
        yield* Fiber.join(drain);
        const owners = new Set([...cluster.state.ownership.values()].map(record => record.owner));
        assert.deepEqual([...owners], ["entry-2"]);
        for (const minion of minions) {
            assert.ok(minion.readHighestRunning() <= 4);
        }
        const runs = minions.flatMap(minion => minion.listRuns());
        assert.equal(runs.length, 16);
        assert.ok(runs.every(run => run.end === "completed"));
        // Keys whose shard moved while they ran are free again, because the old coordinator reported their end.
        for (const index of [1, 2, 4, 5, 7, 8, 10, 11, 13, 14]) {
            const again = yield* submit(staying, { body: buildWork(`key-${index}`, 300), requestId: `id-${index}` });
            assert.equal(describeOutcome(again), "answered");
        }
        yield* leaving.stop;
        assert.equal(describeOutcome(yield* submit(staying, { body: buildWork("after", 1) })), "answered");
    })));

void test("a host that joins takes its share while requests run, without exceeding slots or losing an answer", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const entries: TestEntry[] = [yield* cluster.addEntry("entry-1")];
        const minions = [
            yield* cluster.addMinion(entries, { minion: "minion-1", slots: 2 }),
            yield* cluster.addMinion(entries, { minion: "minion-2", slots: 2 }),
        ];
        const load = yield* Effect.forkChild(
            Effect.forEach(
                Array.from({ length: 60 }, (item, index) => index),
                index =>
                    submit(entries[index % entries.length] as TestEntry, {
                        body: buildWork(`key-${index}`, 40),
                        requestId: `id-${index}`,
                        deadlineMs: 20_000,
                    }),
                { concurrency: 6 },
            ),
        );
        yield* awaitCondition(() => minions[0]?.listRunning().length === 2);
        entries.push(yield* cluster.addEntry("entry-2"));
        const outcomes = (yield* Fiber.join(load)).map(describeOutcome);
        assert.deepEqual(outcomes.filter(outcome => outcome !== "answered"), []);
        yield* awaitCondition(() => [...cluster.state.ownership.values()].every(record => record.phase === "owned"));
        const owned = [...cluster.state.ownership.values()].filter(record => record.owner === "entry-2");
        assert.equal(owned.length, 33);
        for (const minion of minions) {
            assert.ok(minion.readHighestRunning() <= 2);
        }
        assert.equal(minions.flatMap(minion => minion.listRuns()).length, 60);
    })));

void test("a minion that leaves through another host than its owner gets no work after the answer to its leave", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const entries = [yield* cluster.addEntry("entry-1"), yield* cluster.addEntry("entry-2")] as const;
        const leaving = yield* cluster.addMinion([entries[0]], { minion: "minion-1", slots: 2 });
        const other = yield* cluster.addMinion(entries, { minion: "minion-2", slots: 2 });
        const load = yield* Effect.forkChild(
            Effect.forEach(
                Array.from({ length: 40 }, (item, index) => index),
                index =>
                    submit(entries[index % 2] as TestEntry, {
                        body: buildWork(`key-${index}`, 30),
                        deadlineMs: 20_000,
                    }),
                {
                    concurrency: 4,
                },
            ),
        );
        yield* awaitCondition(() => leaving.listRunning().length === 2 && other.listRunning().length > 0);
        const inProgress = yield* leaving.leave;
        assert.ok(inProgress <= 2);
        const runsAtLeave = leaving.listRuns().length;
        const outcomes = (yield* Fiber.join(load)).map(describeOutcome);
        assert.deepEqual(outcomes.filter(outcome => outcome !== "answered"), []);
        assert.equal(leaving.listRuns().length, runsAtLeave);
        assert.ok(leaving.listRuns().every(run => run.end === "completed"));
        assert.equal(cluster.state.minions.has("minion-1"), false);
    })));

void test("a silent minion gets no new work", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestClusterWith({ sessionTtlMs: 60_000 });
        const entry = yield* cluster.addEntry("entry-1");
        const silent = yield* cluster.addMinion([entry], { minion: "minion-1" });
        silent.setSilent(true);
        yield* Effect.sleep(3_200);
        assert.equal(describeOutcome(yield* submit(entry, { body: buildWork("late", 1) })), "noMinion");
        assert.equal(silent.listRuns().length, 0);
        silent.setSilent(false);
        const runs = silent.countAnnounced();
        yield* awaitCondition(() => silent.countAnnounced() > runs);
        assert.equal(describeOutcome(yield* submit(entry, { body: buildWork("again", 1) })), "answered");
    })));
