import { Effect } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { awaitCondition, createTestCluster, runScoped, submit, type TestEntry } from "./fakes/test-cluster.js";

const setConfiguration = (entry: TestEntry, revision: number) =>
    Effect.promise(() =>
        entry.operator.setConfiguration({
            operatorRequestId: `change-${revision}`,
            entries: { limit: String(revision) },
            expectedRevision: BigInt(revision - 1),
        })
    );

void test("a partitioned host is not ready before control gives its items to another, also when replies are slow", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const cut = yield* cluster.addEntry("entry-1");
        yield* cluster.addEntry("entry-2");
        // The session time counts from the sending of a renewal, so replies that are late by most of it must not extend
        // it.
        cluster.network.setDelay("control", "entry-1", 800);
        yield* Effect.sleep(2_000);
        cluster.network.setCut("entry-1", "control", true);
        let wasReady = true;
        while ([...cluster.state.ownership.values()].some(record => record.owner === "entry-1")) {
            wasReady = cut.api.readHealth().ready;
            yield* Effect.sleep(1);
        }
        assert.equal(wasReady, false);
        const outcome = yield* submit(cut, { body: Buffer.from("x") });
        assert.ok(outcome.kind === "failed" && outcome.detail?.reason === "noSession" && outcome.detail.notRun);
        cluster.network.setDelay("control", "entry-1", 0);
        cluster.network.setCut("entry-1", "control", false);
        yield* awaitCondition(() => cut.api.readHealth().ready);
    })));

void test("a configuration takes effect at each host, never goes back, and one renewal brings many changes", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entries = [yield* cluster.addEntry("entry-1"), yield* cluster.addEntry("entry-2")] as const;
        const seen: number[] = [];
        yield* Effect.forkScoped(Effect.forever(Effect.andThen(
            Effect.sync(() => seen.push(entries[1].api.readHealth().configurationRevision)),
            Effect.sleep(1),
        )));
        yield* setConfiguration(entries[0], 1);
        yield* awaitCondition(() => entries.every(entry => entry.api.readHealth().configurationRevision === 1));
        cluster.network.setCut("control", "entry-2", true);
        for (let revision = 2; revision <= 200; revision += 1) {
            yield* setConfiguration(entries[0], revision);
        }
        yield* awaitCondition(() => !entries[1].api.readHealth().configurationConfirmed);
        assert.equal(entries[1].api.readHealth().ready, false);
        cluster.network.setCut("control", "entry-2", false);
        yield* awaitCondition(() => entries[1].api.readHealth().configurationRevision === 200);
        assert.deepEqual(seen, seen.toSorted((left, right) => left - right));
    })));

void test("events are watched in order without gaps or repeats, and health and statistics are served locally", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        yield* cluster.addMinion([entry], { minion: "minion-1" });
        yield* setConfiguration(entry, 1);
        const watched = yield* Effect.promise(async () => {
            const events: string[] = [];
            for await (const event of entry.operator.watchEvents({})) {
                events.push(`${event.index}/${event.ordinal}`);
                if (event.kind === "configurationChanged") {
                    return events;
                }
            }
            return events;
        });
        const logged = cluster.state.events.map(event => `${event.index}/${event.ordinal}`);
        assert.deepEqual(watched, logged);
        yield* submit(entry, { body: Buffer.from("counted") });
        const health = yield* Effect.promise(() => entry.operator.getHealth({}));
        assert.deepEqual([health.process, health.ready, health.leader], ["entry-1", true, "control"]);
        const statistics = yield* Effect.promise(() => entry.operator.getStatistics({}));
        assert.equal(statistics.distributions.find(each => each.measure === "requestMs")?.count, 1n);
        assert.equal(statistics.counters.find(each => each.name === "requests.answered")?.value, 1n);
    })));
